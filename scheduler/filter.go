package scheduler

import (
	"slices"
	"time"

	"amaranthpaddle/task"
)

// admits reports whether the VM may take the task, capacity aside.
func (c *cycle) admits(t *Task, v *vmView) bool {
	if !v.schedulable() {
		return false
	}
	if v.Quarantine == Probation && !mayProbe(t, v) {
		return false
	}
	return c.mayStart(t, v) && (!t.Unobserved || t.Urgent() || v.jobTasks(t.Job) < maxUnobservedPerVM)
}

// maxUnobservedPerVM is how many tasks of a job a VM takes before the use of
// any of them was observed: the declared size may be far too small.
const maxUnobservedPerVM = 2

// mayProbe reports whether the task may be used to probe a VM on probation:
// it must be an ordinary batch task, and no other task may be starting there
// or have started within probeTime.
func mayProbe(t *Task, v *vmView) bool {
	return v.starting == 0 && v.recentStarts == 0 && t.Class == task.Batch && !t.Urgent()
}

// mayStart limits the batch tasks that are starting on a VM, more strictly
// just after the VM came into service, so that it is not overloaded by
// simultaneous starts.
func (c *cycle) mayStart(t *Task, v *vmView) bool {
	if t.Urgent() || t.Class == task.LatencyCritical {
		return true
	}
	limit := maxStartingPerVM
	if c.s.Now.Sub(v.InServiceSince) < rampTime {
		limit = maxStartingOnRamp
	}
	return v.starting < limit
}

// withinRackShare reports whether the VM's rack may take another instance of
// the service. Each rack holds at most an even share, rounded up, of the
// instances over the racks with schedulable VMs.
func (c *cycle) withinRackShare(t *Task, v *vmView) bool {
	j := c.job(t.Job)
	racks := c.schedulableRacks()
	wanted := j.total + 1
	return j.byRack[v.rackKey()] < (wanted+racks-1)/racks
}

func (c *cycle) schedulableRacks() int {
	if c.rackCount > 0 {
		return c.rackCount
	}
	seen := map[string]bool{}
	for i := range c.vms {
		if v := &c.vms[i]; v.schedulable() {
			seen[v.rackKey()] = true
		}
	}
	c.rackCount = max(len(seen), 1)
	return c.rackCount
}

// fits reports whether the VM can hold the task now.
func fits(t *Task, v *vmView) bool { return demandOf(t).fits(v.free()) }

// fitsAfterRelease reports whether the VM can hold the task when the stopping
// tasks have stopped.
func fitsAfterRelease(t *Task, v *vmView) bool {
	return demandOf(t).fits(v.free().add(v.releasing))
}

// fitsEmpty reports whether the VM could hold the task if it were empty.
func fitsEmpty(t *Task, v *vmView) bool { return demandOf(t).fits(v.allocatable()) }

// reserve reserves capacity on the VM for a task that waits for others to
// stop, including the capacity that those release, so that no second task
// counts on it.
func reserve(t *Task, v *vmView) {
	fromFree := demandOf(t).sub(v.releasing).positive()
	v.reserved = v.reserved.add(fromFree)
	v.releasing = v.releasing.sub(demandOf(t)).positive()
}

// avoided reports whether the task's job failed on the VM.
func avoided(t *Task, v *vmView) bool { return slices.Contains(t.Avoid, v.ID) }

// due reports whether the task's backoff is over.
func due(t *Task, now time.Time) bool { return !t.NotBefore.After(now) }
