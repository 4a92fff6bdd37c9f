package scheduler

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/task"
)

// drainWindow is how long batch tasks in a zone out of service may go on
// running while no other VM has room for them: stopping them earlier only
// loses work, and many of them finish. A draining VM is emptied at once,
// because its process waits for that.
const drainWindow = 20 * time.Minute

// outOfServiceFor returns for how long the VM's zone has been out of service,
// or drainWindow when the VM is draining or the time is not known, so that it
// is emptied at once.
func (c *cycle) outOfServiceFor(v *vmView) time.Duration {
	if v.Draining || v.OutOfServiceSince.IsZero() {
		return drainWindow
	}
	return c.s.Now.Sub(v.OutOfServiceSince)
}

// drain stops tasks on VMs under evacuation in the order of compareDrain, so
// that they are placed elsewhere. It limits the concurrent checkpoints per VM
// and the share of each service that is moved at a time.
func (c *cycle) drain() {
	var leaving []*Task
	for n := range c.vms {
		v := &c.vms[n]
		if !v.evacuating() {
			continue
		}
		for _, t := range v.tasks {
			if c.stoppable(t) {
				leaving = append(leaving, t)
			}
		}
	}
	slices.SortFunc(leaving, c.compareDrain)
	for _, t := range leaving {
		v := &c.vms[c.byID[t.VM]]
		if v.stopping >= maxStoppingPerVM || !c.mayStop(t, v) {
			continue
		}
		reason := ReasonDraining
		if !v.InService {
			reason = ReasonZoneOut
		}
		c.evict(t, reason, checkpointGrace, "")
	}
}

// compareDrain orders by class, then by slack.
func (c *cycle) compareDrain(a, b *Task) int {
	return cmp.Or(
		cmp.Compare(classRank(a), classRank(b)),
		cmp.Compare(c.slack(a), c.slack(b)),
		cmp.Compare(a.ID, b.ID),
	)
}

// serviceDrainWindow is how long a service instance on a VM under evacuation
// may go on running until room becomes free on another VM.
const serviceDrainWindow = 10 * time.Minute

// mayStop reports whether a task on a VM under evacuation is to be stopped
// now. A batch task is stopped when its drain window is over, or when there
// is room elsewhere, unless other due tasks compete for that room and the
// task is neither urgent nor close to its deadline.
func (c *cycle) mayStop(t *Task, v *vmView) bool {
	if t.Class == task.LatencyCritical {
		return c.serviceMayStop(t, v)
	}
	if c.outOfServiceFor(v) >= drainWindow {
		return true
	}
	contended := c.ordinaryDue > 0 && !t.Urgent() && c.slack(t) >= tightSlack
	return !contended && c.reserveElsewhere(t)
}

// serviceMayStop reports whether the instance may be stopped. It keeps most
// instances of a service running during an evacuation, and each one until
// there is room for it elsewhere or serviceDrainWindow is over.
func (c *cycle) serviceMayStop(t *Task, v *vmView) bool {
	j := c.job(t.Job)
	if j.unavailable >= max((j.running+j.unavailable)/serviceStoppingDivisor, 1) {
		return false
	}
	if c.reserveElsewhere(t) || c.outOfServiceFor(v) >= serviceDrainWindow {
		return true
	}
	c.reserveVM(t)
	return false
}

// reserveElsewhere reserves capacity for a task that is to move, and reports
// whether a VM has it.
func (c *cycle) reserveElsewhere(t *Task) bool {
	key := shape{t.Job, t.Grant}
	if c.unplaceable[key] {
		return false
	}
	n := c.pick(t)
	if n < 0 {
		c.unplaceable[key] = true
		return false
	}
	c.vms[n].reserved = c.vms[n].reserved.add(demandOf(t))
	return true
}

// reserveForStopping reserves capacity for the tasks that are stopping on VMs
// under evacuation, so that it is still free when they have stopped.
func (c *cycle) reserveForStopping() {
	for n := range c.vms {
		v := &c.vms[n]
		if !v.evacuating() {
			continue
		}
		for _, t := range v.tasks {
			if t.State == task.Stopping {
				c.reserveElsewhere(t)
			}
		}
	}
}

// maxMemoryUtilization is the share of a VM's memory that tasks may be
// observed to use before one is evicted.
const maxMemoryUtilization = 0.95

// relieveMemory evicts batch tasks from VMs whose observed memory use exceeds
// maxMemoryUtilization. CPU contention is handled by throttles.
func (c *cycle) relieveMemory() {
	for n := range c.vms {
		v := &c.vms[n]
		spare := int64(maxMemoryUtilization * float64(v.Capacity.MemoryMiB))
		for _, t := range v.tasks {
			if c.stoppable(t) {
				spare -= t.Used.MemoryMiB
			}
		}
		for spare < 0 {
			t := c.worstMemoryOveruse(v)
			if t == nil {
				break
			}
			spare += t.Used.MemoryMiB
			c.evict(t, ReasonOvercommit, urgentGrace, "")
		}
	}
}

// worstMemoryOveruse returns the batch task that exceeds its memory grant
// most, or nil.
func (c *cycle) worstMemoryOveruse(v *vmView) *Task {
	var worst *Task
	worstBy := int64(0)
	for _, t := range v.tasks {
		over := t.Used.MemoryMiB - t.Grant.MemoryMiB
		if c.stoppable(t) && t.Class == task.Batch && over > worstBy {
			worst, worstBy = t, over
		}
	}
	return worst
}
