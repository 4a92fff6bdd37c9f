// Command review-2 plays the scripts of the second independent review: it starts the
// project's programs on loopback addresses, with stand-ins for clients, minions and the
// operator, and checks one rule from what these have seen.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// played is what a case has found.
type played struct {
	broken []string
}

var cases = map[string]struct {
	minions int
	play    func(f *fleet, trouble bool) (played, error)
}{
	"deadly":          {6, playDeadly},
	"together":        {11, playTogether},
	"suspects":        {11, playSuspects},
	"standstill":      {8, playStandstill},
	"shared-id":       {4, playSharedID},
	"gang-checkpoint": {8, playGangCheckpoint},
}

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file for what was seen")
	flag.Parse()
	c, known := cases[*name]
	if !known {
		fmt.Println("unknown case", *name)
		os.Exit(2)
	}
	os.Exit(run1(c.minions, c.play, *path, os.Getenv("TROUBLE") != "0"))
}

func run1(minions int, play func(*fleet, bool) (played, error), path string, trouble bool) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	f, err := newFleet(rec, minions)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		f.close()
		os.Exit(2)
	}()
	limit := time.AfterFunc(115*time.Second, func() {
		rec.note("out of time")
		f.close()
		os.Exit(2)
	})
	defer limit.Stop()
	if err := f.start(configuration(7)); err != nil {
		rec.note("could not run: %v", err)
		fmt.Println(err)
		return 2
	}
	found, err := play(f, trouble)
	if err != nil {
		rec.note("could not run: %v", err)
		fmt.Println(err)
		if errors.Is(err, errCannotRun) {
			return 2
		}
		return 2
	}
	for _, line := range found.broken {
		rec.note("BROKEN %s", line)
		fmt.Println("broken:", line)
	}
	if len(found.broken) > 0 {
		return 1
	}
	rec.note("the rule held")
	fmt.Println("the rule held")
	return 0
}

// planOf reads a task's behaviour from its spec: words like work=8000, saves, gang=3.
func planOf(spec string) taskPlan {
	plan := taskPlan{work: time.Second}
	for _, word := range strings.Fields(spec) {
		key, value, _ := strings.Cut(word, "=")
		number, _ := strconv.Atoi(value)
		switch key {
		case "work":
			plan.work = time.Duration(number) * time.Millisecond
		case "saves":
			plan.saves = true
		case "lasts":
			plan.lasts = true
		case "fails":
			plan.fails = true
		case "kills":
			plan.kills = time.Duration(number) * time.Millisecond
		case "gang":
			plan.gangOf = number
		}
	}
	return plan
}
