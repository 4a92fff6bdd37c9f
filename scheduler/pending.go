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

// starves reports whether the task waited so long, with no other task of its
// job running, that smaller ones must not go on taking the room that becomes
// free. A job that runs gets its turn when one of its own tasks finishes.
func (c *cycle) starves(t *Task) bool {
	return c.s.Now.Sub(t.Since) > starvedAfter && c.job(t.Job).total == 0
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

// group holds the pending tasks of one job, which are ranked together.
type group struct {
	tasks    []*Task
	class    int
	tight    bool
	borrower bool
	slack    time.Duration // least of the tasks
	strain   float64       // on the resource that the fleet is short of
	since    time.Time     // oldest of the tasks
}

// order returns the pending tasks whose backoff is over, most important first
// and those of one job together: services and urgent work, and the rest.
func (c *cycle) order() (first, rest []*Task) {
	groups := c.groups()
	slices.SortFunc(groups, compareGroups)
	list := make([]*Task, 0, len(c.s.Pending))
	urgent := 0
	for _, g := range groups {
		list = append(list, g.tasks...)
		if g.class < restClass {
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
			last.strain = c.strain(t)
			byJob[t.Job] = last
			groups = append(groups, last)
		}
		c.join(last, t)
	}
	return groups
}

func (c *cycle) join(g *group, t *Task) {
	g.tasks = append(g.tasks, t)
	g.slack = min(g.slack, c.slack(t))
	g.tight = g.slack < tightSlack
	if t.Since.Before(g.since) {
		g.since = t.Since
	}
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

// scarce is how much smaller the free share of one resource must be than that
// of another for the fleet to be short of it.
const scarce = 0.5

// strain returns how much of the resource that the fleet is short of the task
// takes, for what it takes of the other; 0 when it is short of neither.
func (c *cycle) strain(t *Task) float64 {
	cpu := float64(t.Grant.MilliCPU) / float64(max(c.whole.MilliCPU, 1))
	memory := float64(t.Grant.MemoryMiB) / float64(max(c.whole.MemoryMiB, 1))
	freeCPU := float64(c.spare.MilliCPU) / float64(max(c.whole.MilliCPU, 1))
	freeMemory := float64(c.spare.MemoryMiB) / float64(max(c.whole.MemoryMiB, 1))
	switch {
	case freeMemory < scarce*freeCPU && cpu > 0:
		return memory / cpu
	case freeCPU < scarce*freeMemory && memory > 0:
		return cpu / memory
	}
	return 0
}

// compareGroups orders by class, then jobs whose deadline is near, then
// priority, then teams within their quota, then slack, then what is short in
// the fleet, then age.
func compareGroups(a, b *group) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		compareBool(a.tight, b.tight),
		cmp.Compare(b.tasks[0].Priority, a.tasks[0].Priority),
		compareBool(b.borrower, a.borrower),
		cmp.Compare(a.slack, b.slack),
		cmp.Compare(a.strain, b.strain),
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

// noDeadline is the slack of a task that has none.
const noDeadline = time.Duration(1<<63 - 1)

// slack returns the spare time until the deadline, with the job's whole work
// spread over half of the fleet in service.
func (c *cycle) slack(t *Task) time.Duration {
	if t.Deadline.IsZero() {
		return noDeadline
	}
	need := t.Remaining
	if c.cpu > 0 {
		wide := float64(t.JobWork) * float64(t.Grant.MilliCPU) / (float64(c.cpu) / 2)
		need = max(need, time.Duration(wide))
	}
	return t.Deadline.Sub(c.s.Now) - need
}
