package scheduler

import (
	"slices"
	"time"

	"amaranthpaddle/task"
)

// admits reports whether the VM may take the task at all, capacity aside.
func (c *cycle) admits(t *Task, v *vmView) bool {
	if !v.open() {
		return false
	}
	if v.Quarantine == Probation && !probes(t, v) {
		return false
	}
	return c.mayStart(t, v) && (!t.Untried || t.Urgent() || v.jobTasks(t.Job) < maxUntried)
}

// maxUntried is how many tasks of a job a VM takes before the first of them
// was seen running: the declared size may be far too small.
const maxUntried = 2

// probes reports whether the task may be the one that tries a VM on
// probation: ordinary batch, and one at a time beside what ran there before.
func probes(t *Task, v *vmView) bool {
	return v.starting == 0 && v.young == 0 && t.Class == task.Batch && !t.Urgent()
}

// mayStart bounds the starts in progress on a VM, and more so on a VM that
// just came into service, so that its return is not a stampede.
func (c *cycle) mayStart(t *Task, v *vmView) bool {
	if t.Urgent() || t.Class == task.LatencyCritical {
		return true
	}
	limit := maxStartingPerVM
	if c.s.Now.Sub(v.InSince) < rampTime {
		limit = maxStartingOnRamp
	}
	return v.starting < limit
}

// spreads reports whether the VM's rack may take another instance of the
// service: a rack holds at most its even share, rounded up, of the instances
// in the racks that take work.
func (c *cycle) spreads(t *Task, v *vmView) bool {
	j := c.job(t.Job)
	racks := c.racksInService()
	wanted := j.total + 1
	return j.byRack[v.rackKey()] < (wanted+racks-1)/racks
}

func (c *cycle) racksInService() int {
	if c.racks > 0 {
		return c.racks
	}
	seen := map[string]bool{}
	for i := range c.vms {
		if v := &c.vms[i]; v.open() {
			seen[v.rackKey()] = true
		}
	}
	c.racks = max(len(seen), 1)
	return c.racks
}

// fits reports whether the VM can hold the task now.
func fits(t *Task, v *vmView) bool { return held(t).fits(v.free()) }

// fitsLater reports whether the VM can hold the task once the tasks that are
// stopping have stopped.
func fitsLater(t *Task, v *vmView) bool {
	return held(t).fits(v.free().add(v.releasing))
}

// fitsEver reports whether the VM could hold the task if it were empty.
func fitsEver(t *Task, v *vmView) bool { return held(t).fits(v.whole()) }

// reserve keeps room on the VM for a task that waits for stopping ones. The
// part that they release is kept as well: nobody else can have it yet.
func reserve(t *Task, v *vmView) {
	fromFree := held(t).sub(v.releasing).positive()
	v.reserved = v.reserved.add(fromFree)
	v.releasing = v.releasing.sub(held(t)).positive()
}

// avoided reports whether the task's job failed on the VM.
func avoided(t *Task, v *vmView) bool { return slices.Contains(t.Avoid, v.ID) }

// due reports whether the task's backoff is over.
func due(t *Task, now time.Time) bool { return !t.NotBefore.After(now) }
