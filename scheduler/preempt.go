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
	var bestVictims []int
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
		if victims != nil && (best < 0 || cost < bestCost) {
			best, bestCost, bestVictims = n, cost, victims
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
	for _, i := range bestVictims {
		c.evict(i, reason, grace, t.ID)
	}
	reserve(t, &c.vms[best])
	return true
}

// victims returns the cheapest tasks whose stop makes room for t on the VM,
// with the cost, or nil.
func (c *cycle) victims(t *Task, v *vmView) ([]int, time.Duration) {
	var able []int
	need := held(t)
	room := v.free().add(v.releasing)
	for _, i := range v.tasks {
		if c.movable(i) && c.preempts(t, &c.s.Tasks[i]) {
			able = append(able, i)
			room = room.add(held(&c.s.Tasks[i]))
		}
	}
	if !need.fits(room) {
		return nil, 0
	}
	slices.SortFunc(able, func(a, b int) int {
		return cmp.Or(cmp.Compare(c.cost(b), c.cost(a)), cmp.Compare(b, a))
	})
	// Spare the most costly ones as long as the rest still makes room.
	var chosen []int
	var cost time.Duration
	for _, i := range able {
		without := room.sub(held(&c.s.Tasks[i]))
		if need.fits(without) {
			room = without
			continue
		}
		chosen = append(chosen, i)
		cost += c.cost(i)
	}
	return chosen, cost
}

// cost is what stopping the task costs, as time of work.
func (c *cycle) cost(i int) time.Duration {
	t := &c.s.Tasks[i]
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
