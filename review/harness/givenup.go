package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// givenUp: minions crash one after the other, by no fault of the tasks on them, while many short
// tasks start. No task ever fails.
func givenUp(rec *record, root string, trouble bool) outcome {
	const (
		minions  = 7
		during   = 88 * time.Second
		interval = 1200 * time.Millisecond // between crashes
		down     = 300 * time.Millisecond
		arrival  = 18 * time.Millisecond // between jobs
		tasks    = 10
		runTime  = 300 * time.Millisecond
	)
	d, err := newDeployment(rec, root, 3, minions)
	if err != nil {
		return outcome{err: err}
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return outcome{err: err}
	}
	l := &ledger{}
	var all []*minion
	for i, m := range d.side {
		w := newMinion(d, l, m, fmt.Sprintf("i-%d", i), func(string) time.Duration { return runTime })
		if err := w.begin(); err != nil {
			return outcome{err: err}
		}
		all = append(all, w)
	}
	defer func() {
		for _, w := range all {
			w.end()
		}
	}()
	if err := d.configure(configuration(1, newRoute("r-1", "/check/", 2))); err != nil {
		return outcome{err: err}
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	crashed := make(chan struct{})
	go func() {
		defer close(crashed)
		if trouble {
			crashInTurn(all, interval, down, stop)
		}
	}()
	var mu sync.Mutex
	var accepted []string
	var calls sync.WaitGroup
	for n, until := 0, time.Now().Add(during); time.Now().Before(until); n++ {
		time.Sleep(arrival)
		calls.Go(func() {
			id := fmt.Sprintf("%016x", 0xfa0000+n)
			body := map[string]any{"spec": "check", "steps": []any{map[string]any{"count": tasks, "cpu": 1000, "mem_mb": 900, "estimated_ms": 300}}}
			if a := d.call("POST", "/check/"+id, body, 3); a.status/100 == 2 {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
	}
	close(stop)
	<-crashed
	calls.Wait()
	time.Sleep(5 * time.Second)
	rec.say("%d jobs were accepted, %d runs have begun", len(accepted), len(l.runs))
	return outcome{breaks: d.shownAsFailed(accepted)}
}

// crashInTurn crashes a random minion after each interval, never one twice in a row.
func crashInTurn(minions []*minion, interval, down time.Duration, stop chan struct{}) {
	last := -1
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval - down):
		}
		next := rand.IntN(len(minions))
		for next == last {
			next = rand.IntN(len(minions))
		}
		last = next
		minions[next].end()
		time.Sleep(down)
		_ = minions[next].begin()
	}
}

// shownAsFailed returns the jobs that are shown as failed.
func (d *deployment) shownAsFailed(ids []string) (breaks []string) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, 32)
	for _, id := range ids {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			if a := d.call("GET", "/check/"+id, nil, 3); strings.Contains(a.body, "failed") {
				mu.Lock()
				defer mu.Unlock()
				breaks = append(breaks, fmt.Sprintf("LOST: job %s is shown as failed, no run of it has ended failed", id))
			}
		})
	}
	calls.Wait()
	return breaks
}
