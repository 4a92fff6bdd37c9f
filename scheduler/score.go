package scheduler

import (
	"slices"

	"amaranthpaddle/task"
)

// Weights of the parts of a score.
const (
	weightFit         = 1.0
	weightSpread      = 2.0 // per instance of the service in the rack or zone
	weightAccelerator = 2.0 // per idle accelerator share that would be blocked
	weightAvoid       = 4.0
	weightHarm        = 10.0 // per unit of slowdown, 0.1 is 10%
)

const (
	fullScores      = 48 // candidates for which interference is predicted
	harmBoundLoose  = 0.15
	harmBoundStrict = 0.08
)

type candidate struct {
	vm    int
	score float64
}

// pick returns the VM with the best score of those that can hold the task
// now, or -1. Interference is predicted for the best few only.
func (c *cycle) pick(t *Task) int {
	c.scored = c.scored[:0]
	for n := range c.vms {
		v := &c.vms[n]
		if fits(t, v) && c.admits(t, v) {
			c.scored = append(c.scored, candidate{n, c.score(t, v)})
		}
	}
	if len(c.scored) == 0 {
		return -1
	}
	slices.SortFunc(c.scored, func(a, b candidate) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return a.vm - b.vm
	})
	best, bestScore := -1, 0.0
	for _, k := range c.scored[:min(fullScores, len(c.scored))] {
		harm, ok := c.harm(t, &c.vms[k.vm])
		if !ok {
			continue
		}
		if score := k.score - weightHarm*harm; best < 0 || score > bestScore {
			best, bestScore = k.vm, score
		}
	}
	return best
}

// score rates a VM without looking at interference; higher is better.
// Services go to the emptier VMs; batch fills the fuller ones up.
func (c *cycle) score(t *Task, v *vmView) float64 {
	load := float64(v.committed.MilliCPU+t.Grant.MilliCPU) / float64(max(v.Capacity.MilliCPU, 1))
	score := weightFit * load
	if t.Class == task.LatencyCritical {
		score = -weightFit * load
		if j := c.jobs[t.Job]; j != nil {
			score -= weightSpread * float64(j.byRack[v.rackKey()]+j.byZone[v.Zone]+2*j.byVM[v.ID])
		}
	}
	if v.Capacity.Accelerators > 0 && t.Grant.Accelerators == 0 {
		score -= weightAccelerator
	}
	if avoided(t, v) {
		score -= weightAvoid
	}
	return score
}

// harm predicts the slowdown that the placement causes, weighed between
// services and batch, and whether the services on the VM stay within the bound.
func (c *cycle) harm(t *Task, v *vmView) (float64, bool) {
	if c.s.Harm == nil {
		return 0, true
	}
	weight := c.s.LatencyWeight
	bound := harmBoundLoose + weight*(harmBoundStrict-harmBoundLoose)
	var services, batch float64
	within := true
	eachResident(c, v, func(other *Task) {
		onOther := c.s.Harm.Slowdown(other.Job, t.Job, cores(t))
		onTask := c.s.Harm.Slowdown(t.Job, other.Job, cores(other))
		if other.Class == task.LatencyCritical {
			services += onOther
		} else {
			batch += onOther
		}
		if t.Class == task.LatencyCritical {
			services += onTask
		} else {
			batch += onTask
		}
	})
	if services > 0 && !t.Urgent() && t.Class == task.Batch {
		within = services+c.present(v) <= bound
	}
	return weight*services + (1-weight)*batch, within
}

// present returns the largest predicted slowdown of a service instance on the VM as it is.
func (c *cycle) present(v *vmView) float64 {
	worst := 0.0
	eachResident(c, v, func(victim *Task) {
		if victim.Class != task.LatencyCritical {
			return
		}
		sum := 0.0
		eachResident(c, v, func(other *Task) {
			if other != victim {
				sum += c.s.Harm.Slowdown(victim.Job, other.Job, cores(other))
			}
		})
		worst = max(worst, sum)
	})
	return worst
}

// eachResident calls f for each task that runs or is assumed on the VM.
func eachResident(c *cycle, v *vmView, f func(*Task)) {
	for _, i := range v.tasks {
		f(&c.s.Tasks[i])
	}
	for _, t := range v.placed {
		f(t)
	}
}

// cores returns the processor time that the task is expected to use.
func cores(t *Task) float64 {
	milli := t.Grant.MilliCPU
	if t.Used.MilliCPU > 0 {
		milli = t.Used.MilliCPU
	}
	return float64(milli) / 1000
}
