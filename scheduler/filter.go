package scheduler

import (
	"slices"
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// admits reports whether the VM may take the task at all, capacity aside.
func (c *cycle) admits(t *Task, v *vmView) bool {
	if !v.InService || !v.Fresh || v.Draining {
		return false
	}
	if v.Quarantine == Quarantined {
		return false
	}
	if v.Quarantine == Probation && (len(v.tasks)+len(v.placed) > 0 || t.Class == task.LatencyCritical) {
		return false
	}
	if !c.mayStart(t, v) {
		return false
	}
	return t.Class != task.LatencyCritical || c.spreads(t, v)
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

// spreads reports whether another instance of the service on the VM keeps the
// instances spread: no rack holds more than its even share, rounded up, of
// the instances that the racks in service can hold.
func (c *cycle) spreads(t *Task, v *vmView) bool {
	j := c.jobs[t.Job]
	if j == nil || j.byRack == nil {
		return true
	}
	racks := c.racksInService()
	wanted := j.total + 1
	share := (wanted + racks - 1) / racks
	return j.byRack[v.rackKey()] < share+1
}

func (c *cycle) racksInService() int {
	if c.racks > 0 {
		return c.racks
	}
	seen := map[string]bool{}
	for i := range c.vms {
		if v := &c.vms[i]; v.InService && !v.Draining && v.Fresh {
			seen[v.rackKey()] = true
		}
	}
	c.racks = max(len(seen), 1)
	return c.racks
}

// fits reports whether the VM can hold the task now.
func fits(t *Task, v *vmView) bool { return t.Grant.Fits(v.free()) }

// fitsLater reports whether the VM can hold the task once the tasks that are
// stopping have stopped.
func fitsLater(t *Task, v *vmView) bool {
	return t.Grant.Fits(v.free().Add(v.releasing))
}

// reserve keeps room on the VM for a task that waits for stopping ones. The
// part that they release is kept as well: nobody else can have it yet.
func reserve(t *Task, v *vmView) {
	fromFree := positive(t.Grant.Sub(v.releasing))
	v.reserved = v.reserved.Add(fromFree)
	v.releasing = positive(v.releasing.Sub(t.Grant))
}

func positive(v resource.Vector) resource.Vector { return v.Max(resource.Vector{}) }

// avoided reports whether the task's job failed on the VM.
func avoided(t *Task, v *vmView) bool { return slices.Contains(t.Avoid, v.ID) }

// due reports whether the task's backoff is over.
func due(t *Task, now time.Time) bool { return !t.NotBefore.After(now) }
