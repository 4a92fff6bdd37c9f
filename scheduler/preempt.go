package scheduler

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// Costs of an eviction, in time of lost work.
const (
	costPerEviction = time.Minute
	costPerPriority = 10 * time.Second
)

// reclaimDelay is how long a task of a team within its quota waits for free
// capacity before tasks of borrowing teams are preempted for it.
const reclaimDelay = 2 * time.Minute

// mayPreempt reports whether other tasks may be preempted for the task.
func (c *cycle) mayPreempt(t *Task) bool {
	if t.Class == task.LatencyCritical || t.Urgent() {
		return true
	}
	return c.slack(t) < tightSlack || c.s.Now.Sub(t.Since) > reclaimDelay && c.withinQuota(t)
}

// preempt evicts the tasks whose eviction costs least on one VM, or reserves
// capacity that stopping tasks already release. It reports whether capacity
// will become free for the task.
func (c *cycle) preempt(t *Task) bool {
	best, bestCost := -1, time.Duration(0)
	var bestVictims []*Task
	for n := range c.vms {
		v := &c.vms[n]
		if !c.admits(t, v) || !fitsEmpty(t, v) {
			continue
		}
		if fitsAfterRelease(t, v) {
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

// victims returns the cheapest tasks to evict from the VM so that it can hold
// t, with their cost, or none. The slice is reused by the next call.
func (c *cycle) victims(t *Task, v *vmView) ([]*Task, time.Duration) {
	evictable := c.evictable[:0]
	need := demandOf(t)
	room := v.free().add(v.releasing)
	for _, other := range v.tasks {
		if c.stoppable(other) && c.preempts(t, other) {
			evictable = append(evictable, other)
			room = room.add(demandOf(other))
		}
	}
	c.evictable = evictable
	if !need.fits(room) {
		return nil, 0
	}
	slices.SortFunc(evictable, func(a, b *Task) int {
		return cmp.Or(cmp.Compare(b.cost(), a.cost()), cmp.Compare(b.ID, a.ID))
	})
	// Keep the most costly tasks as long as evicting the others suffices.
	chosen := c.chosen[:0]
	var cost time.Duration
	for _, other := range evictable {
		without := room.sub(demandOf(other))
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

// cost returns the cost of evicting the task, in time of lost work.
func (t *Task) cost() time.Duration {
	return costPerEviction + t.AtRisk + costPerPriority*time.Duration(max(t.Priority, 0))
}

// preempts reports whether t may take the capacity of the other task.
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

// reclaims reports whether t takes back quota that the other task's team has
// borrowed.
func (c *cycle) reclaims(t, other *Task) bool {
	if t.Team == other.Team || !c.withinQuota(t) || other.Priority > t.Priority {
		return false
	}
	borrower := c.teams[other.Team]
	return borrower != nil && exceeds(borrower.used, borrower.quota)
}

// withinQuota reports whether the team has a quota and stays within it with
// the task.
func (c *cycle) withinQuota(t *Task) bool {
	team := c.teams[t.Team]
	if team == nil || team.quota.IsZero() {
		return false
	}
	return !exceeds(team.used.Add(t.Grant), team.quota)
}

// borrows reports whether the team exceeds its quota with the task.
func (c *cycle) borrows(t *Task) bool {
	team := c.teams[t.Team]
	return team != nil && exceeds(team.used.Add(t.Grant), team.quota)
}

// exceeds reports whether used is above quota in a limited component.
func exceeds(used, quota resource.Vector) bool {
	return quota.MilliCPU > 0 && used.MilliCPU > quota.MilliCPU ||
		quota.MemoryMiB > 0 && used.MemoryMiB > quota.MemoryMiB ||
		quota.Accelerators > 0 && used.Accelerators > quota.Accelerators
}
