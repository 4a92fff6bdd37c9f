package scheduler

import (
	"cmp"
	"slices"

	"amaranthpaddle/task"
)

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
			if c.movable(i) {
				leaving = append(leaving, i)
			}
		}
	}
	slices.SortFunc(leaving, c.compareDrain)
	for _, i := range leaving {
		t := &c.s.Tasks[i]
		v := &c.vms[c.byID[t.VM]]
		if v.stopping >= maxStoppingPerVM || !c.serviceMayStop(t) {
			continue
		}
		reason := ReasonDraining
		if !v.InService {
			reason = ReasonZoneOut
		}
		c.evict(i, reason, checkpointGrace, "")
	}
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

// serviceMayStop keeps most instances of a service running while it is moved.
func (c *cycle) serviceMayStop(t *Task) bool {
	if t.Class != task.LatencyCritical {
		return true
	}
	j := c.job(t.Job)
	return j.stopping < max(j.total/serviceStoppingPart, 1)
}

// relieve stops batch tasks on VMs whose observed memory use is above their
// capacity; processor time is left to throttles.
func (c *cycle) relieve() {
	for n := range c.vms {
		v := &c.vms[n]
		excess := v.Capacity
		for _, i := range v.tasks {
			if c.movable(i) {
				excess.MemoryMiB -= c.s.Tasks[i].Used.MemoryMiB
			}
		}
		for excess.MemoryMiB < 0 {
			i := c.worstMemory(v)
			if i < 0 {
				break
			}
			excess.MemoryMiB += c.s.Tasks[i].Used.MemoryMiB
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
