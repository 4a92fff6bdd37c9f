package scheduler

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/task"
)

// tightSlack is the slack below which a deadline counts as near: the task
// goes first in its class and may preempt.
const tightSlack = 15 * time.Minute

// schedulePending places pending tasks in the given order, and preempts for
// those that may preempt.
func (c *cycle) schedulePending(tasks []*Task) {
	for _, t := range tasks {
		if c.budget.placements <= 0 {
			return
		}
		key := shape{t.Job, t.Grant}
		if c.unplaceable[key] || t.Trial && c.trialInProgress(t) {
			continue
		}
		if n := c.pick(t); n >= 0 {
			c.place(t, n, reasonFor(&c.vms[n]))
			c.budget.placements--
			continue
		}
		if !c.makeRoom(t) {
			c.unplaceable[key] = true
		}
	}
}

// makeRoom preempts other tasks for the task if it may, or else reserves a VM
// for it if it is starved. It reports whether running or stopping tasks
// release capacity for it; a reserved VM does not count.
func (c *cycle) makeRoom(t *Task) bool {
	if c.budget.preemptors > 0 && c.mayPreempt(t) {
		c.budget.preemptors--
		if c.preempt(t) {
			return true
		}
	}
	if c.budget.reservations > 0 && c.starved(t) && c.reserveVM(t) {
		c.budget.reservations--
	}
	return false
}

// trialInProgress reports whether a task of the failing job is being tried
// already. Running instances of a service do not count.
func (c *cycle) trialInProgress(t *Task) bool {
	j := c.job(t.Job)
	if t.Class == task.LatencyCritical {
		return j.total > j.running
	}
	return j.total > 0
}

// Limits for tasks that stay pending.
const (
	starvedAfter           = 10 * time.Minute
	maxStarvedReservations = 3 // VMs per call that are reserved for starved tasks
)

// starved reports whether the task has been pending so long, with no other
// task of its job holding a grant, that smaller tasks must not keep taking
// the capacity that becomes free. A job with a placed task gets capacity when
// that task finishes.
func (c *cycle) starved(t *Task) bool {
	return c.s.Now.Sub(t.Since) > starvedAfter && c.job(t.Job).total == 0
}

// reserveVM reserves what is free or becomes free on the VM with the smallest
// shortfall for the task. No running task is stopped for it.
func (c *cycle) reserveVM(t *Task) bool {
	best, minShortfall := -1, int64(0)
	for n := range c.vms {
		v := &c.vms[n]
		if !c.admits(t, v) || !fitsEmpty(t, v) {
			continue
		}
		shortfall := demandOf(t).sub(v.free()).positive()
		size := shortfall.grant.MilliCPU + shortfall.grant.MemoryMiB + shortfall.expectedCPU
		if best < 0 || size < minShortfall {
			best, minShortfall = n, size
		}
	}
	if best < 0 {
		return false
	}
	c.vms[best].reserved = c.vms[best].reserved.add(demandOf(t))
	return true
}

func reasonFor(v *vmView) Reason {
	if v.Quarantine == Probation {
		return ReasonProbe
	}
	return ReasonScheduled
}

// group holds the pending tasks of one job, which are ordered together.
type group struct {
	tasks    []*Task
	class    int
	tight    bool
	borrower bool
	slack    time.Duration // lowest of the tasks
	scarcity float64       // see cycle.scarcity
	since    time.Time     // earliest of the tasks
}

// order returns the pending tasks whose backoff is over, most important first
// and grouped by job. first holds services and urgent tasks, rest the others.
func (c *cycle) order() (first, rest []*Task) {
	groups := c.groups()
	slices.SortFunc(groups, compareGroups)
	list := make([]*Task, 0, len(c.s.Pending))
	urgent := 0
	for _, g := range groups {
		list = append(list, g.tasks...)
		if g.class < ordinaryRank {
			urgent = len(list)
		}
	}
	return list[:urgent], list[urgent:]
}

func (c *cycle) groups() []*group {
	byJob := map[string]*group{}
	var groups []*group
	var last *group
	for i := range c.s.Pending {
		t := &c.s.Pending[i]
		if !due(t, c.s.Now) {
			continue
		}
		if last == nil || last.tasks[0].Job != t.Job {
			last = byJob[t.Job]
		}
		if last == nil {
			last = &group{class: classRank(t), borrower: c.borrows(t), slack: noDeadline, since: t.Since}
			last.scarcity = c.scarcity(t)
			byJob[t.Job] = last
			groups = append(groups, last)
		}
		c.addToGroup(last, t)
	}
	return groups
}

func (c *cycle) addToGroup(g *group, t *Task) {
	g.tasks = append(g.tasks, t)
	g.slack = min(g.slack, c.slack(t))
	g.tight = g.slack < tightSlack
	if t.Since.Before(g.since) {
		g.since = t.Since
	}
}

// ordinaryRank is the rank of batch tasks that are not urgent.
const ordinaryRank = 2

func classRank(t *Task) int {
	switch {
	case t.Class == task.LatencyCritical:
		return 0
	case t.Urgent():
		return 1
	}
	return ordinaryRank
}

// scarcityRatio is the ratio of the free share of one resource to that of the
// other below which the first is scarce.
const scarcityRatio = 0.5

// scarcity returns the task's share of the scarce resource divided by its
// share of the other one, or 0 when neither CPU nor memory is scarce.
func (c *cycle) scarcity(t *Task) float64 {
	cpu := float64(t.Grant.MilliCPU) / float64(max(c.totalCapacity.MilliCPU, 1))
	memory := float64(t.Grant.MemoryMiB) / float64(max(c.totalCapacity.MemoryMiB, 1))
	freeCPU := float64(c.totalFree.MilliCPU) / float64(max(c.totalCapacity.MilliCPU, 1))
	freeMemory := float64(c.totalFree.MemoryMiB) / float64(max(c.totalCapacity.MemoryMiB, 1))
	switch {
	case freeMemory < scarcityRatio*freeCPU && cpu > 0:
		return memory / cpu
	case freeCPU < scarcityRatio*freeMemory && memory > 0:
		return cpu / memory
	}
	return 0
}

// compareGroups orders by class, then jobs with a near deadline, then higher
// priority, then teams within their quota, then less slack, then less use of
// the scarce resource, then age.
func compareGroups(a, b *group) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		compareBool(a.tight, b.tight),
		cmp.Compare(b.tasks[0].Priority, a.tasks[0].Priority),
		compareBool(b.borrower, a.borrower),
		cmp.Compare(a.slack, b.slack),
		cmp.Compare(a.scarcity, b.scarcity),
		a.since.Compare(b.since),
		cmp.Compare(a.tasks[0].Job, b.tasks[0].Job),
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

// noDeadline is the slack of a task without a deadline.
const noDeadline = time.Duration(1<<63 - 1)

// slack returns the time until the deadline less the time needed: the
// remaining time of the task, or that of the whole job when it runs on half
// of the VMs in service, if that is longer.
func (c *cycle) slack(t *Task) time.Duration {
	if t.Deadline.IsZero() {
		return noDeadline
	}
	need := t.Remaining
	if c.cpuInService > 0 {
		parallel := float64(t.JobWork) * float64(t.Grant.MilliCPU) / (float64(c.cpuInService) / 2)
		need = max(need, time.Duration(parallel))
	}
	return t.Deadline.Sub(c.s.Now) - need
}
