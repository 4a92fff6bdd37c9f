// Command cases plays the scripts of the review's cases: it starts the project's programs as processes, on
// loopback addresses, with stand-ins for clients, minions, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held    = 0
	broken  = 1
	couldnt = 2
)

var cases = map[string]func(c *cluster, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE FOLDER")
		os.Exit(couldnt)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldnt)
	}
	rec := &recorder{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, trouble %v", os.Args[1], trouble)
	c, err := newCluster(rec, 6)
	if err != nil {
		rec.note("%v", err)
		os.Exit(couldnt)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		code, err := play(c, cases[os.Args[1]], trouble)
		if err != nil {
			rec.note("the case couldn't run: %v", err)
			code = couldnt
		}
		result <- code
	}()
	code := couldnt
	select {
	case code = <-result:
	case <-stop:
	case <-time.After(112 * time.Second):
		rec.note("the case took too long")
	}
	c.close()
	rec.note("exit %d", code)
	os.Exit(code)
}

func play(c *cluster, f func(*cluster, bool) (int, error), trouble bool) (int, error) {
	if err := c.startAll(); err != nil {
		return 0, err
	}
	if err := c.order("/v1/Config.Replace", configuration(1, plainRoutes), 20*time.Second); err != nil {
		return 0, err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(3500 * time.Millisecond) // a new leader accepts everything for three seconds
	c.rec.note("the fleet is ready")
	return f(c, trouble)
}
