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
func (c *cycle) schedulePending(tasks []*Task) {
	for _, t := range tasks {
		if c.budget.placements <= 0 {
			return
		}
		key := shape{t.Job, t.Grant}
		if c.noRoom[key] || t.Trial && c.onTrial(t) {
			continue
		}
		if n := c.pick(t); n >= 0 {
			c.place(t, n, reasonFor(&c.vms[n]))
			c.budget.placements--
			continue
		}
		if !c.makeRoom(t) {
			c.noRoom[key] = true
		}
	}
}

// makeRoom stops others for the task if it may, or else keeps what becomes
// free for it if it waited for long. It reports whether room will come soon.
func (c *cycle) makeRoom(t *Task) bool {
	if c.budget.preemptors > 0 && c.mayPreempt(t) {
		c.budget.preemptors--
		if c.preempt(t) {
			return true
		}
	}
	if c.budget.holds > 0 && c.starves(t) && c.hold(t) {
		c.budget.holds--
	}
	return false
}

// onTrial reports whether a task of the failing job is being tried already.
// Instances of a service that run well do not count.
func (c *cycle) onTrial(t *Task) bool {
	j := c.job(t.Job)
	if t.Class == task.LatencyCritical {
		return j.total > j.running
	}
	return j.total > 0
}

// Rules for tasks that find no room for long.
const (
	starvedAfter = 10 * time.Minute
	maxHolds     = 3 // VMs per call that are kept free for starved tasks
)

// starves reports whether the task waited so long that smaller ones must not
// go on taking the room that becomes free.
func (c *cycle) starves(t *Task) bool {
	return c.s.Now.Sub(t.Since) > starvedAfter
}

// hold keeps what becomes free on the VM that lacks least for the task. No
// running task is stopped for it.
func (c *cycle) hold(t *Task) bool {
	best, bestLack := -1, int64(0)
	for n := range c.vms {
		v := &c.vms[n]
		if !c.admits(t, v) || !fitsEver(t, v) {
			continue
		}
		lack := held(t).sub(v.free()).positive()
		size := lack.grant.MilliCPU + lack.grant.MemoryMiB + lack.use
		if best < 0 || size < bestLack {
			best, bestLack = n, size
		}
	}
	if best < 0 {
		return false
	}
	c.vms[best].reserved = c.vms[best].reserved.add(held(t))
	return true
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

// order returns the pending tasks whose backoff is over, most important
// first: services and urgent work, and the rest.
func (c *cycle) order() (first, rest []*Task) {
	list := make([]ranked, 0, len(c.s.Pending))
	urgent := 0
	for i := range c.s.Pending {
		t := &c.s.Pending[i]
		if !due(t, c.s.Now) {
			continue
		}
		r := c.rank(t)
		if r.class < restClass {
			urgent++
		}
		list = append(list, r)
	}
	slices.SortFunc(list, compareRank)
	tasks := make([]*Task, len(list))
	for i := range list {
		tasks[i] = list[i].t
	}
	return tasks[:urgent], tasks[urgent:]
}

func (c *cycle) rank(t *Task) ranked {
	slack := c.slack(t)
	return ranked{t: t, class: classRank(t), tight: slack < tightSlack, borrower: c.borrows(t), slack: slack}
}

// restClass is the rank of work that is neither a service nor urgent.
const restClass = 2

func classRank(t *Task) int {
	switch {
	case t.Class == task.LatencyCritical:
		return 0
	case t.Urgent():
		return 1
	}
	return restClass
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
