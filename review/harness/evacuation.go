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

// staleEvacuation: orders to take evacuated zones back are sent to a core machine that is frozen,
// and again to another one, which acknowledges them. The zones are evacuated again. Then the first
// machine wakes. This is played several times.
func staleEvacuation(rec *record, root string, trouble bool) outcome {
	const (
		rounds  = 5
		cycles  = 2
		frozen  = 7 * time.Second
		observe = 2 * time.Second
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
	for i, m := range d.side {
		w := newMinion(d, l, m, fmt.Sprintf("i-%d", i), func(string) time.Duration { return time.Second })
		if err := w.begin(); err != nil {
			return outcome{err: err}
		}
		defer w.end()
	}
	if err := d.configure(configuration(1, newRoute("r-1", "/recon/", 4))); err != nil {
		return outcome{err: err}
	}
	time.Sleep(5 * time.Second)
	leader := d.leader()
	if leader == nil {
		return outcome{err: fmt.Errorf("no leader is known")}
	}
	var others []*machine
	for _, m := range d.core {
		if m != leader {
			others = append(others, m)
		}
	}
	a, b := others[0], others[1]
	zones := []string{"za", "zb", "zc"}
	if !d.orderAll("Begin", zones, b) {
		return outcome{err: fmt.Errorf("the evacuations are not acknowledged")}
	}
	for i := range 5 { // work that waits for the zones
		body := map[string]any{"spec": "reconcile", "steps": []any{map[string]any{"count": 600, "cpu": 4000, "mem_mb": 4000, "estimated_ms": 1000}}}
		if a := d.call("POST", fmt.Sprintf("/recon/%016x", 0xeac0+i), body, 5); a.status/100 != 2 {
			return outcome{err: fmt.Errorf("a job was not accepted: %d %s", a.status, a.body)}
		}
	}
	time.Sleep(contact)
	for range rounds {
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
		time.Sleep(time.Until(from) + observe)
		if breaks := l.startsIn(zones, from, acked); len(breaks) > 0 {
			return outcome{breaks: breaks}
		}
	}
	return outcome{}
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
