package task_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/resource"
	"amaranthpaddle/task"
	"amaranthpaddle/task/lease"
)

var (
	epoch = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	terms = lease.Terms{Duration: 10 * time.Second, Margin: 500 * time.Millisecond}
)

const (
	freshness = 2 * time.Second
	// minClockRate is the slowest rate of an agent's clock: during one lease
	// it falls behind by less than the margin.
	minClockRate = 0.953
	maxClockRate = 1.05
	// freshnessBound is the maximum duration of freshness on the leader's clock.
	freshnessBound = 2100 * time.Millisecond
)

// agent simulates a VM's agent and its worker, with a clock of its own, a lease
// and the runs that are actually running.
type agent struct {
	vm, zone string
	rate     float64 // of its clock, relative to the leader's
	paused   bool    // the agent's process is paused; its worker is not
	holder   lease.Holder
	seen     map[string]uint64      // highest generation started or fenced
	statuses map[string]task.Report // by task, the newest generation
	running  map[string]run
}

type run struct {
	generation uint64
	grant      resource.Vector
	expiry     time.Time // passed on to the worker
	stopping   bool      // is taking its checkpoint
}

// heartbeat and answer are the messages between an agent and the leader.
type heartbeat struct {
	from     *agent
	sent     time.Time // by the agent's clock
	statuses []task.Report
}

type answer struct {
	to      *agent
	renewal time.Time // when the heartbeat was sent
	zoneIn  bool
	start   []directive
	stop    []directive
}

type directive struct {
	task       string
	generation uint64
	grant      resource.Vector
	checkpoint string
}

// local returns the agent's clock reading.
func (a *agent) local(now time.Time) time.Time {
	return epoch.Add(time.Duration(float64(now.Sub(epoch)) * a.rate))
}

func (a *agent) report(r task.Report) { a.statuses[r.Task] = r }

// expire is the worker's side of a lease: it stops the runs whose lease has expired.
func (a *agent) expire(now time.Time) {
	for id, r := range a.running {
		if !a.local(now).Before(r.expiry) {
			delete(a.running, id)
			a.report(task.Report{Task: id, Generation: r.generation, Phase: task.PhaseStopped})
		}
	}
}

func (a *agent) heartbeat(now time.Time) heartbeat {
	h := heartbeat{from: a, sent: a.local(now)}
	for _, r := range a.statuses {
		h.statuses = append(h.statuses, r)
	}
	slices.SortFunc(h.statuses, func(x, y task.Report) int {
		if x.Task < y.Task {
			return -1
		}
		return 1
	})
	return h
}

// receive processes an answer and returns the runs that it started.
func (a *agent) receive(now time.Time, m answer) []directive {
	a.holder.Renew(terms, m.renewal)
	for _, d := range m.stop {
		a.stop(d)
	}
	var started []directive
	for _, d := range m.start {
		if a.start(now, m, d) {
			started = append(started, d)
		}
	}
	for id, r := range a.running {
		r.expiry = a.holder.Expiry()
		a.running[id] = r
	}
	return started
}

// start starts a run if the lease and freshness granted by the same answer are
// still valid. A newer lease does not validate a late answer: the task may have
// been placed elsewhere in the meantime.
func (a *agent) start(now time.Time, m answer, d directive) bool {
	local := a.local(now)
	var own lease.Holder
	own.Renew(terms, m.renewal)
	if a.seen[d.task] >= d.generation || !own.Valid(local) {
		return false
	}
	if !m.zoneIn || !local.Before(m.renewal.Add(freshness)) {
		return false
	}
	a.seen[d.task] = d.generation
	a.running[d.task] = run{generation: d.generation, grant: d.grant, expiry: a.holder.Expiry()}
	a.report(task.Report{Task: d.task, Generation: d.generation, Phase: task.PhaseRunning})
	return true
}

// stop begins to stop a run, or ensures that it never starts.
func (a *agent) stop(d directive) {
	r, ok := a.running[d.task]
	switch {
	case ok && r.generation == d.generation:
		r.stopping = true
		a.running[d.task] = r
	case a.seen[d.task] < d.generation:
		a.seen[d.task] = d.generation
		a.report(task.Report{Task: d.task, Generation: d.generation, Phase: task.PhaseStopped})
	}
}

// stopped ends the stopping runs and reports their checkpoints.
func (a *agent) stopped() {
	for id, r := range a.running {
		if !r.stopping {
			continue
		}
		delete(a.running, id)
		a.report(task.Report{
			Task: id, Generation: r.generation, Phase: task.PhaseStopped,
			Checkpoint: fmt.Sprintf("%s@%d", id, r.generation), Progress: 0.5,
		})
	}
}

// drawAgent draws one of the agents that is not paused, or skips the action.
func (f *fleetMachine) drawAgent(t *rapid.T) *agent {
	a := rapid.SampledFrom(f.agents).Draw(t, "agent")
	if a.paused {
		t.Skip("frozen")
	}
	return a
}
