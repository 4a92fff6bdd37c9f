package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playSuspects hands in steady jobs for the racks r2 to r4 and, with trouble, one job for
// rack r1 whose tasks can never be done. Then it hands in a job for r1 that lasts, which
// has to start.
func playSuspects(f *fleet, trouble bool) (found played, err error) {
	const poison, lasting = "b0a17c22e9d3465f", "c41f90d6b28e7a35"
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				body := fmt.Sprintf(`{"spec":"work=400","steps":[{"count":4,"cpu":1000,"mem_mb":256,"estimated_ms":400,"required_label":"r%d"}]}`, 2+i%3)
				f.call("POST", f.fronts[i%3], prefixA, fmt.Sprintf("aa%014x", i), strings.NewReader(body), 3*time.Second)
			}()
		}
	}()
	defer func() {
		close(stop)
		clients.Wait()
	}()
	time.Sleep(6 * time.Second)
	if trouble {
		body := `{"spec":"fails work=400","steps":[{"count":36,"cpu":2600,"mem_mb":256,"estimated_ms":400,"required_label":"r1"}]}`
		if err := f.submit("client P", prefixB, poison, body); err != nil {
			return found, err
		}
		time.Sleep(3 * time.Second)
		f.clientCall("client P", "GET", prefixB, poison, "")
	}
	body := `{"spec":"lasts","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimated_ms":1000,"required_label":"r1","long_running":true}]}`
	if err := f.submit("client L", prefixA, lasting, body); err != nil {
		return found, err
	}
	accepted := time.Now()
	started := time.Time{}
	for time.Since(accepted) < 20*time.Second && started.IsZero() {
		time.Sleep(100 * time.Millisecond)
		for _, e := range f.record.list() {
			if e.kind == "start" && strings.HasPrefix(e.task, lasting) {
				started = e.at
			}
		}
	}
	waited := time.Since(accepted)
	if !started.IsZero() {
		waited = started.Sub(accepted)
	}
	onR1, most, now := 0, 0, 0
	for _, e := range f.record.list() {
		job := strings.Split(e.task, ".")[0]
		cpu := map[bool]int{true: 2600, false: 1000}[job == poison]
		switch e.kind {
		case "start":
			now += cpu
		case "end":
			now -= cpu
		}
		if e.at.After(accepted) && e.at.Before(accepted.Add(waited)) {
			most = max(most, now)
			if job == poison && e.kind == "start" {
				onR1++
			}
		}
	}
	room := 32000 * len(f.minions)
	f.record.note("job %s had nothing running for %.1f s from its acknowledgement on; at most %.0f%% of the room was in use; %d starts of the other job for r1 in that time",
		lasting, waited.Seconds(), 100*float64(most)/float64(room), onR1)
	if 2*most >= room {
		return found, fmt.Errorf("%w: half of the room was in use", errCannotRun)
	}
	if waited >= standstillBound {
		found.broken = append(found.broken, fmt.Sprintf("LOST: accepted job %s had nothing running for %.1f s; the three minions with its label were idle, and at most %.0f%% of the room was in use",
			lasting, waited.Seconds(), 100*float64(most)/float64(room)))
	}
	return found, nil
}
