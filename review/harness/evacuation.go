package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	evacuationBound = 5 * time.Second // evacuation_ms
	contact         = 4 * time.Second // contact_ms
)

// staleEvacuation: an order to take a zone back is sent to a core machine that is frozen, and
// again to another one, which acknowledges it. The zone is evacuated again. Then the first
// machine wakes.
func staleEvacuation(rec *record, root string, trouble bool) outcome {
	const (
		frozen = 7 * time.Second
		cycles = 4
	)
	d, err := newDeployment(rec, root, 3, 6)
	if err != nil {
		return outcome{err: err}
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return outcome{err: err}
	}
	l := &ledger{}
	takes := func(string) time.Duration { return 300 * time.Millisecond }
	for i, m := range d.side {
		w := newMinion(d, l, m, fmt.Sprintf("i-%d", i), takes)
		if err := w.begin(); err != nil {
			return outcome{err: err}
		}
		defer w.end()
	}
	if err := d.configure(configuration(1, newRoute("r-1", "/check/", 4))); err != nil {
		return outcome{err: err}
	}
	time.Sleep(5 * time.Second)
	leader := d.leader()
	if leader == nil {
		return outcome{err: fmt.Errorf("no leader is known")}
	}
	var followers []*machine
	for _, m := range d.core {
		if m != leader {
			followers = append(followers, m)
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.submitSmallJobs(stop)
	a, b := followers[0], followers[1]
	zones := []string{"za", "zb", "zc"}
	if !d.orderAll("Begin", zones, b) {
		return outcome{err: fmt.Errorf("the evacuations are not acknowledged")}
	}
	time.Sleep(contact)
	if trouble {
		a.control.signal(syscall.SIGSTOP)
	}
	woken := time.Now().Add(frozen)
	var acked time.Time
	for range cycles {
		if !d.orderAll("Finish", zones, a, b) {
			return outcome{err: fmt.Errorf("taking the zones back is not acknowledged")}
		}
		if !d.orderAll("Begin", zones, b) {
			return outcome{err: fmt.Errorf("the evacuations are not acknowledged")}
		}
		acked = time.Now()
	}
	time.Sleep(time.Until(woken))
	if trouble {
		a.control.signal(syscall.SIGCONT)
	}
	from := time.Now().Add(contact)
	if bound := acked.Add(evacuationBound); bound.After(from) {
		from = bound
	}
	time.Sleep(time.Until(from) + 8*time.Second)
	return outcome{breaks: l.startsIn(zones, from, acked)}
}

// orderAll sends the order for all zones at once, each to the machines in turn until one has
// acknowledged it. It reports whether all are acknowledged.
func (d *deployment) orderAll(order string, zones []string, to ...*machine) bool {
	var orders sync.WaitGroup
	var refused atomic.Bool
	for _, zone := range zones {
		orders.Go(func() {
			if _, ok := d.operate("/v1/Evacuations."+order+"/"+zone, nil, 5*time.Second, to...); !ok {
				refused.Store(true)
			}
		})
	}
	orders.Wait()
	return !refused.Load()
}

// startsIn returns the starts in evacuated zones later than a time.
func (l *ledger) startsIn(zones []string, from, acked time.Time) (breaks []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		for _, zone := range zones {
			if r.zone == zone && r.began.After(from) {
				breaks = append(breaks, fmt.Sprintf("EVAC: %s starts on %s in %s, %d ms after the evacuation of the zone was acknowledged",
					r.task, r.minion, zone, r.began.Sub(acked).Milliseconds()))
			}
		}
	}
	return breaks
}

var jobNumber atomic.Int64

// submitSmallJobs hands in a job of two short tasks every 100 ms until stop is closed.
func (d *deployment) submitSmallJobs(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		id := fmt.Sprintf("%016x", 0xa000+jobNumber.Add(1))
		body := map[string]any{"spec": "check", "steps": []any{map[string]any{"count": 4, "cpu": 500, "mem_mb": 900, "estimated_ms": 300}}}
		go d.call("POST", "/check/"+id, body, 3)
	}
}
