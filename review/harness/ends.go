package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// manyEnds: more ends than a minion lists in one response wait to be taken note of, while the
// machine that leads the core is frozen.
func manyEnds(rec *record, root string, trouble bool) outcome {
	const (
		minions     = 3
		tasks       = 2400 // about 800 on each
		frozen      = 4 * time.Second
		shortest    = 6 * time.Second
		span        = time.Second
		job         = "00000000000e17d5"
		longestCase = 60 * time.Second
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
	takes := func(task string) time.Duration { return shortest + time.Duration(spread(task)*float64(span)) }
	for i, m := range d.side {
		w := newMinion(d, l, m, fmt.Sprintf("i-%d", i), takes)
		if err := w.begin(); err != nil {
			return outcome{err: err}
		}
		defer w.end()
	}
	if err := d.configure(configuration(1, newRoute("r-1", "/recon/", 2))); err != nil {
		return outcome{err: err}
	}
	time.Sleep(5 * time.Second) // the minions are registered, and the leader is settled
	body := map[string]any{"spec": "reconcile", "steps": []any{map[string]any{"count": tasks, "cpu": 30, "mem_mb": 100, "estimated_ms": 6500}}}
	if a := d.call("POST", "/recon/"+job, body, 5); a.status/100 != 2 {
		return outcome{err: fmt.Errorf("the job was not accepted: %d %s", a.status, a.body)}
	}
	began, ok := l.await(tasks, 20*time.Second)
	if !ok {
		return outcome{err: fmt.Errorf("%d of %d tasks have begun", began, tasks)}
	}
	first := l.firstBegan()
	rec.say("all %d tasks have begun, the first one %d ms ago", tasks, time.Since(first).Milliseconds())
	time.Sleep(time.Until(first.Add(shortest)))
	if trouble {
		leader := d.leader()
		if leader == nil {
			return outcome{err: fmt.Errorf("no leader is known")}
		}
		leader.control.signal(syscall.SIGSTOP)
		time.AfterFunc(frozen, func() { leader.control.signal(syscall.SIGCONT) })
	}
	until := time.Now().Add(longestCase)
	for time.Now().Before(until) {
		a := d.call("GET", "/recon/"+job, nil, 5)
		if strings.Contains(a.body, "completed") || strings.Contains(a.body, "failed") {
			break
		}
		time.Sleep(time.Second)
	}
	time.Sleep(4 * time.Second)
	return outcome{breaks: l.twice()}
}

// await waits until n runs have begun.
func (l *ledger) await(n int, limit time.Duration) (int, bool) {
	until := time.Now().Add(limit)
	for {
		l.mu.Lock()
		began := len(l.runs)
		l.mu.Unlock()
		if began >= n || time.Now().After(until) {
			return began, began >= n
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (l *ledger) firstBegan() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[0].began
}
