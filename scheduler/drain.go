package scheduler

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/task"
)

// drainWindow is how long batch tasks in a zone that left go on running there
// when nothing else has room for them: stopping them earlier would only cost
// work, and many finish. A VM that drains is emptied at once: its process
// waits for that.
const drainWindow = 20 * time.Minute

// outFor returns for how long the VM's zone has been out of service, at least
// drainWindow when the VM is to be emptied at once.
func (c *cycle) outFor(v *vmView) time.Duration {
	if v.Draining || v.OutSince.IsZero() {
		return drainWindow
	}
	return c.s.Now.Sub(v.OutSince)
}

// drain moves work away from VMs that leave, the nearest deadline first, a
// few checkpoints at a time on each VM and a part of each service at a time.
func (c *cycle) drain() {
	var leaving []*Task
	for n := range c.vms {
		v := &c.vms[n]
		if !v.leaves() {
			continue
		}
		for _, t := range v.tasks {
			if c.movable(t) {
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

// compareDrain puts urgent work and near deadlines first.
func (c *cycle) compareDrain(a, b *Task) int {
	return cmp.Or(
		cmp.Compare(classRank(a), classRank(b)),
		cmp.Compare(c.slack(a), c.slack(b)),
		cmp.Compare(a.ID, b.ID),
	)
}

// servicePatience is how long an instance on a VM that leaves goes on running
// while room for it becomes free elsewhere by itself.
const servicePatience = 10 * time.Minute

// mayStop reports whether a task on a VM that leaves is to be stopped now:
// when its time there is over, or when room elsewhere would lie idle without
// it, or when its deadline is near and there is room.
func (c *cycle) mayStop(t *Task, v *vmView) bool {
	if t.Class == task.LatencyCritical {
		return c.serviceMayStop(t, v)
	}
	if c.outFor(v) >= drainWindow {
		return true
	}
	contended := c.waiting > 0 && !t.Urgent() && c.slack(t) >= tightSlack
	return !contended && c.keepRoom(t)
}

// serviceMayStop keeps most instances of a service running while it is moved,
// and an instance until there is room for it elsewhere or the patience ends.
func (c *cycle) serviceMayStop(t *Task, v *vmView) bool {
	j := c.job(t.Job)
	if j.moving >= max((j.running+j.moving)/serviceStoppingPart, 1) {
		return false
	}
	if c.keepRoom(t) || c.outFor(v) >= servicePatience {
		return true
	}
	c.hold(t)
	return false
}

// keepRoom reserves room for a task that is to move, and reports whether
// there is any.
func (c *cycle) keepRoom(t *Task) bool {
	key := shape{t.Job, t.Grant}
	if c.noRoom[key] {
		return false
	}
	n := c.pick(t)
	if n < 0 {
		c.noRoom[key] = true
		return false
	}
	c.vms[n].reserved = c.vms[n].reserved.add(held(t))
	return true
}

// keepRoomForStopping reserves room for the tasks that are stopping on VMs
// that leave, so that they find it when they have stopped.
func (c *cycle) keepRoomForStopping() {
	for n := range c.vms {
		v := &c.vms[n]
		if !v.leaves() {
			continue
		}
		for _, t := range v.tasks {
			if t.State == task.Stopping {
				c.keepRoom(t)
			}
		}
	}
}

// fullMemory is the share of a VM's memory above which the observed use must not stay.
const fullMemory = 0.95

// relieve stops batch tasks on VMs whose observed memory use comes near their
// capacity; processor time is left to throttles.
func (c *cycle) relieve() {
	for n := range c.vms {
		v := &c.vms[n]
		spare := int64(fullMemory * float64(v.Capacity.MemoryMiB))
		for _, t := range v.tasks {
			if c.movable(t) {
				spare -= t.Used.MemoryMiB
			}
		}
		for spare < 0 {
			t := c.worstMemory(v)
			if t == nil {
				break
			}
			spare += t.Used.MemoryMiB
			c.evict(t, ReasonOvercommit, urgentGrace, "")
		}
	}
}

// worstMemory returns the batch task that exceeds its grant of memory most, or nil.
func (c *cycle) worstMemory(v *vmView) *Task {
	var worst *Task
	worstBy := int64(0)
	for _, t := range v.tasks {
		over := t.Used.MemoryMiB - t.Grant.MemoryMiB
		if c.movable(t) && t.Class == task.Batch && over > worstBy {
			worst, worstBy = t, over
		}
	}
	return worst
}
