package scheduler

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// costs of an eviction, as time of work.
const (
	costPerEviction = time.Minute
	costPerPriority = 10 * time.Second
)

// reclaimPatience is how long a team waits for room to become free by itself
// before it takes back what others borrowed.
const reclaimPatience = 2 * time.Minute

// mayPreempt reports whether room may be made for the task.
func (c *cycle) mayPreempt(t *Task) bool {
	if t.Class == task.LatencyCritical || t.Urgent() {
		return true
	}
	return c.slack(t) < tightSlack || c.s.Now.Sub(t.Since) > reclaimPatience && c.withinQuota(t)
}

// preempt makes room for the task on the VM where that costs least, or waits
// for room that is being made. It reports whether room will come.
func (c *cycle) preempt(t *Task) bool {
	best, bestCost := -1, time.Duration(0)
	var bestVictims []*Task
	for n := range c.vms {
		v := &c.vms[n]
		if !c.admits(t, v) || !fitsEver(t, v) {
			continue
		}
		if fitsLater(t, v) {
			reserve(t, v)
			return true
		}
		victims, cost := c.victims(t, v)
		if len(victims) > 0 && (best < 0 || cost < bestCost) {
			best, bestCost, bestVictims = n, cost, slices.Clone(victims)
		}
	}
	if best < 0 {
		return false
	}
	reason, grace := ReasonPreempted, checkpointGrace
	if t.Urgent() {
		grace = urgentGrace
	} else if t.Class == task.LatencyCritical {
		grace = serviceGrace
	} else if c.slack(t) >= tightSlack {
		reason = ReasonQuota
	}
	for _, victim := range bestVictims {
		c.evict(victim, reason, grace, t.ID)
	}
	reserve(t, &c.vms[best])
	return true
}

// victims returns the cheapest tasks whose stop makes room for t on the VM,
// with the cost, or none. The slice is reused by the next call.
func (c *cycle) victims(t *Task, v *vmView) ([]*Task, time.Duration) {
	able := c.able[:0]
	need := held(t)
	room := v.free().add(v.releasing)
	for _, other := range v.tasks {
		if c.movable(other) && c.preempts(t, other) {
			able = append(able, other)
			room = room.add(held(other))
		}
	}
	c.able = able
	if !need.fits(room) {
		return nil, 0
	}
	slices.SortFunc(able, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(b.cost(), a.cost()), cmp.Compare(b.ID, a.ID))
	})
	// Spare the most costly ones as long as the rest still makes room.
	chosen := c.chosen[:0]
	var cost time.Duration
	for _, other := range able {
		without := room.sub(held(other))
		if need.fits(without) {
			room = without
			continue
		}
		chosen = append(chosen, other)
		cost += other.cost()
	}
	c.chosen = chosen
	return chosen, cost
}

// cost is what stopping the task costs, as time of work.
func (t *Task) cost() time.Duration {
	return costPerEviction + t.AtRisk + costPerPriority*time.Duration(max(t.Priority, 0))
}

// preempts reports whether t may take the room of the running task other.
func (c *cycle) preempts(t, other *Task) bool {
	if other.Class == task.LatencyCritical {
		return false
	}
	if t.Class == task.LatencyCritical {
		return true
	}
	if t.Urgent() {
		return !other.Urgent()
	}
	if other.Urgent() {
		return false
	}
	if c.reclaims(t, other) {
		return true
	}
	if c.slack(t) >= tightSlack {
		return false
	}
	return other.Priority < t.Priority && c.slack(other) >= 2*tightSlack
}

// reclaims reports whether the task's team takes back quota that the other's
// team has borrowed.
func (c *cycle) reclaims(t, other *Task) bool {
	if t.Team == other.Team || !c.withinQuota(t) || other.Priority > t.Priority {
		return false
	}
	lender := c.teams[other.Team]
	return lender != nil && exceeds(lender.used, lender.quota)
}

// withinQuota reports whether the team has a quota that holds the task as well.
func (c *cycle) withinQuota(t *Task) bool {
	team := c.teams[t.Team]
	if team == nil || team.quota.IsZero() {
		return false
	}
	return !exceeds(team.used.Add(t.Grant), team.quota)
}

// borrows reports whether the team would exceed its quota by the task.
func (c *cycle) borrows(t *Task) bool {
	team := c.teams[t.Team]
	return team != nil && exceeds(team.used.Add(t.Grant), team.quota)
}

// exceeds reports whether used is above quota in a component that is limited.
func exceeds(used, quota resource.Vector) bool {
	return quota.MilliCPU > 0 && used.MilliCPU > quota.MilliCPU ||
		quota.MemoryMiB > 0 && used.MemoryMiB > quota.MemoryMiB ||
		quota.Accelerators > 0 && used.Accelerators > quota.Accelerators
}
