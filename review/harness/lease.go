package main

import (
	"fmt"
	"syscall"
	"time"
)

// uncountedLease: an agent is killed and started again, and its machine is cut off from the core
// before its minion has sent the next heartbeat.
func uncountedLease(rec *record, root string, trouble bool) outcome {
	const (
		restart  = 500 * time.Millisecond  // until the platform has started the agent again
		killedAt = 150 * time.Millisecond  // after a heartbeat
		cutAt    = 1400 * time.Millisecond // after that heartbeat, before the next one
		cutFor   = 5500 * time.Millisecond
		tasks    = 8
		job      = "0000000000001ea5"
	)
	d, err := newDeployment(rec, root, 3, 4)
	if err != nil {
		return outcome{err: err}
	}
	defer d.stop()
	f := newForwarder(rec)
	defer f.close()
	if err := d.forwardCore(f); err != nil {
		return outcome{err: err}
	}
	if err := d.start(); err != nil {
		return outcome{err: err}
	}
	l := &ledger{}
	var minions []*minion
	for i, m := range d.side {
		w := newMinion(d, l, m, fmt.Sprintf("i-%d", i), func(string) time.Duration { return lasts })
		if err := w.begin(); err != nil {
			return outcome{err: err}
		}
		defer w.end()
		minions = append(minions, w)
	}
	if err := d.configure(configuration(1, newRoute("r-1", "/sync/", 4))); err != nil {
		return outcome{err: err}
	}
	time.Sleep(5 * time.Second)
	body := map[string]any{"spec": "sync", "steps": []any{map[string]any{
		"count": tasks, "cpu": 4000, "mem_mb": 4000, "estimated_ms": 1000, "long_running": true,
	}}}
	if a := d.call("POST", "/sync/"+job, body, 5); a.status/100 != 2 {
		return outcome{err: fmt.Errorf("the job was not accepted: %d %s", a.status, a.body)}
	}
	if began, ok := l.await(tasks, 10*time.Second); !ok {
		return outcome{err: fmt.Errorf("%d of %d tasks have begun", began, tasks)}
	}
	time.Sleep(5 * time.Second)
	victim := busiest(minions)
	beat := victim.nextBeat()
	if trouble {
		agent := victim.machine.agent
		time.Sleep(time.Until(beat.Add(killedAt)))
		rec.say("the agent of minion %s, with %d runs, is killed", victim.id, victim.runs())
		agent.signal(syscall.SIGKILL)
		agent.kill()
		time.Sleep(time.Until(beat.Add(killedAt + restart)))
		f.mark()
		if err := agent.start(); err != nil {
			return outcome{err: err}
		}
		time.Sleep(time.Until(beat.Add(cutAt)))
		f.cutOff(cutFor)
	}
	time.Sleep(time.Until(beat.Add(cutAt + cutFor + 3*time.Second)))
	return outcome{breaks: l.twice()}
}

// busiest returns the minion with the most runs.
func busiest(minions []*minion) *minion {
	best, most := minions[0], -1
	for _, w := range minions {
		if n := w.runs(); n > most {
			best, most = w, n
		}
	}
	return best
}

// runs returns the number of the minion's runs.
func (w *minion) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running)
}

// nextBeat waits for the minion's next acknowledged heartbeat and returns its time.
func (w *minion) nextBeat() time.Time {
	w.mu.Lock()
	sequence := w.acknowledged
	w.mu.Unlock()
	for {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		if w.acknowledged > sequence {
			defer w.mu.Unlock()
			return w.acknowledgedAt
		}
		w.mu.Unlock()
	}
}
