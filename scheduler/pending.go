package scheduler

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/task"
)

// tightSlack is the spare time below which a task with a deadline goes first.
const tightSlack = 15 * time.Minute

// schedulePending places pending tasks in the order of their rank, and finds
// victims for those that may preempt.
func (c *cycle) schedulePending() {
	placed, preemptors := 0, 0
	for _, t := range c.order() {
		if placed >= maxPlacements {
			return
		}
		if t.Trial && c.job(t.Job).total > 0 {
			continue
		}
		key := shape{t.Job, t.Grant}
		if c.noRoom[key] {
			continue
		}
		if n := c.pick(t); n >= 0 {
			c.place(t, n, reasonFor(&c.vms[n]))
			placed++
			continue
		}
		if preemptors < maxPreemptors && c.mayPreempt(t) {
			preemptors++
			if c.preempt(t) {
				continue
			}
		}
		c.noRoom[key] = true
	}
}

func reasonFor(v *vmView) Reason {
	if v.Quarantine == Probation {
		return ReasonProbe
	}
	return ReasonScheduled
}

type ranked struct {
	t        *Task
	class    int
	tight    bool
	borrower bool
	slack    time.Duration
}

// order returns the pending tasks whose backoff is over, most important first.
func (c *cycle) order() []*Task {
	list := make([]ranked, 0, len(c.s.Pending))
	for i := range c.s.Pending {
		t := &c.s.Pending[i]
		if !due(t, c.s.Now) {
			continue
		}
		slack := c.slack(t)
		list = append(list, ranked{
			t:        t,
			class:    classRank(t),
			tight:    slack < tightSlack,
			borrower: c.borrows(t),
			slack:    slack,
		})
	}
	slices.SortFunc(list, compareRank)
	tasks := make([]*Task, len(list))
	for i := range list {
		tasks[i] = list[i].t
	}
	return tasks
}

func classRank(t *Task) int {
	switch {
	case t.Class == task.LatencyCritical:
		return 0
	case t.Urgent():
		return 1
	}
	return 2
}

// compareRank orders by class, then tasks whose deadline is near, then
// priority, then teams within their quota, then slack, then age.
func compareRank(a, b ranked) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		compareBool(a.tight, b.tight),
		cmp.Compare(b.t.Priority, a.t.Priority),
		compareBool(b.borrower, a.borrower),
		cmp.Compare(a.slack, b.slack),
		a.t.Since.Compare(b.t.Since),
		cmp.Compare(a.t.ID, b.t.ID),
	)
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// noDeadline is the slack of a task that has none.
const noDeadline = time.Duration(1<<63 - 1)

// slack returns the spare time until the deadline, with the job's whole work
// spread over half of the fleet in service.
func (c *cycle) slack(t *Task) time.Duration {
	if t.Deadline.IsZero() {
		return noDeadline
	}
	need := t.Remaining
	if c.batch > 0 {
		wide := float64(t.JobWork) * float64(t.Grant.MilliCPU) / (float64(c.batch) / 2)
		need = max(need, time.Duration(wide))
	}
	return t.Deadline.Sub(c.s.Now) - need
}
