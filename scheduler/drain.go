package scheduler

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/task"
)

// drainWindow is how long batch tasks on a VM that leaves go on running there
// when they will finish or nothing else has room for them: stopping them
// earlier would only cost work.
const drainWindow = 20 * time.Minute

// drain moves work away from VMs that leave, the nearest deadline first, a
// few checkpoints at a time on each VM and a part of each service at a time.
func (c *cycle) drain() {
	var leaving []int
	for n := range c.vms {
		v := &c.vms[n]
		if v.InService && !v.Draining {
			continue
		}
		for _, i := range v.tasks {
			if c.movable(i) && !c.mayFinish(&c.s.Tasks[i], v) {
				leaving = append(leaving, i)
			}
		}
	}
	slices.SortFunc(leaving, c.compareDrain)
	for _, i := range leaving {
		t := &c.s.Tasks[i]
		v := &c.vms[c.byID[t.VM]]
		if v.stopping >= maxStoppingPerVM || !c.mayStop(t, v) {
			continue
		}
		reason := ReasonDraining
		if !v.InService {
			reason = ReasonZoneOut
		}
		c.evict(i, reason, checkpointGrace, "")
	}
}

// mayFinish reports whether the batch task is expected to finish within the
// drain window, so that stopping it would only cost time.
func (c *cycle) mayFinish(t *Task, v *vmView) bool {
	if t.Class != task.Batch || t.State != task.Running || v.OutSince.IsZero() {
		return false
	}
	left := v.OutSince.Add(drainWindow).Sub(c.s.Now)
	return t.Remaining <= left
}

// compareDrain puts urgent work and near deadlines first.
func (c *cycle) compareDrain(a, b int) int {
	ta, tb := &c.s.Tasks[a], &c.s.Tasks[b]
	return cmp.Or(
		cmp.Compare(classRank(ta), classRank(tb)),
		cmp.Compare(c.slack(ta), c.slack(tb)),
		cmp.Compare(ta.ID, tb.ID),
	)
}

// servicePatience is how long an instance on a VM that leaves goes on running
// while room for it becomes free elsewhere by itself.
const servicePatience = 5 * time.Minute

// mayStop reports whether a task on a VM that leaves is to be stopped now:
// when there is room for it elsewhere, or its time there is over.
func (c *cycle) mayStop(t *Task, v *vmView) bool {
	if t.Class == task.LatencyCritical {
		return c.serviceMayStop(t, v)
	}
	return c.s.Now.Sub(v.OutSince) >= drainWindow || c.keepRoom(t)
}

// serviceMayStop keeps most instances of a service running while it is moved,
// and an instance until there is room for it elsewhere or the patience ends.
func (c *cycle) serviceMayStop(t *Task, v *vmView) bool {
	j := c.job(t.Job)
	if j.moving >= max((j.running+j.moving)/serviceStoppingPart, 1) {
		return false
	}
	if c.keepRoom(t) || c.s.Now.Sub(v.OutSince) >= servicePatience {
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
		if v.InService && !v.Draining {
			continue
		}
		for _, i := range v.tasks {
			if t := &c.s.Tasks[i]; t.State == task.Stopping {
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
		for _, i := range v.tasks {
			if c.movable(i) {
				spare -= c.s.Tasks[i].Used.MemoryMiB
			}
		}
		for spare < 0 {
			i := c.worstMemory(v)
			if i < 0 {
				break
			}
			spare += c.s.Tasks[i].Used.MemoryMiB
			c.evict(i, ReasonOvercommit, urgentGrace, "")
		}
	}
}

// worstMemory returns the batch task that exceeds its grant of memory most, or -1.
func (c *cycle) worstMemory(v *vmView) int {
	worst, worstBy := -1, int64(0)
	for _, i := range v.tasks {
		t := &c.s.Tasks[i]
		over := t.Used.MemoryMiB - t.Grant.MemoryMiB
		if c.movable(i) && t.Class == task.Batch && over > worstBy {
			worst, worstBy = i, over
		}
	}
	return worst
}
