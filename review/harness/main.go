// Command harness plays the scripted cases of the review. See ../REPORT.md.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// outcome is the end of a case.
type outcome struct {
	breaks []string // of the rule, none if it held
	err    error    // why the case could not run
}

// limit ends a case that hangs.
const limit = 115 * time.Second

var cases = map[string]func(rec *record, root string, trouble bool) outcome{
	"ends":       manyEnds,
	"lease":      uncountedLease,
	"evacuation": staleEvacuation,
	"givenup":    givenUp,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE FOLDER")
		os.Exit(2)
	}
	root, err := filepath.Abs(filepath.Join(os.Args[2], "..", ".."))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v", os.Args[1], trouble)
	result := make(chan outcome, 1)
	go func() { result <- cases[os.Args[1]](rec, root, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-result:
	case <-time.After(limit):
		o.err = fmt.Errorf("the case did not end in %v", limit) // the processes end with this one
	case <-signals:
		o.err = fmt.Errorf("interrupted")
	}
	os.Exit(report(rec, o))
}

func report(rec *record, o outcome) int {
	defer rec.close()
	if o.err != nil {
		rec.say("could not run: %v", o.err)
		return 2
	}
	for i, text := range o.breaks {
		if i == 10 {
			rec.say("... and %d more", len(o.breaks)-i)
			for _, rest := range o.breaks[i:] {
				rec.note("%s", rest)
			}
			break
		}
		rec.say("%s", text)
	}
	if len(o.breaks) > 0 {
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
