package scheduler

import (
	"slices"

	"amaranthpaddle/task"
)

// Weights of the parts of a score.
const (
	weightFit         = 1.0
	weightSpread      = 2.0 // per instance of the service in the rack or zone
	weightAccelerator = 2.0 // for blocking a VM that has accelerators
	weightAvoid       = 4.0
	weightProbe       = 3.0  // for trying a VM on probation
	weightHarm        = 10.0 // per unit of slowdown, 0.1 is 10%
)

const (
	fullScores      = 48 // candidates for which interference is predicted
	harmBoundLoose  = 0.20
	harmBoundStrict = 0.15
)

type candidate struct {
	vm    int
	score float64
}

// pick returns the VM with the best score of those that can hold the task
// now, or -1. Instances of a service go to racks with few of them, or to any
// rack when those have no room.
func (c *cycle) pick(t *Task) int {
	if !held(t).fits(c.largest) {
		return -1
	}
	c.filter(t, t.Class == task.LatencyCritical)
	if len(c.scored) == 0 && t.Class == task.LatencyCritical {
		c.filter(t, false)
	}
	slices.SortFunc(c.scored, compareCandidates)
	return c.best(t)
}

// filter fills c.scored with the VMs that can hold the task.
func (c *cycle) filter(t *Task, spread bool) {
	c.scored = c.scored[:0]
	for n := range c.vms {
		v := &c.vms[n]
		if !fits(t, v) || !c.admits(t, v) {
			continue
		}
		if spread && !c.spreads(t, v) {
			continue
		}
		c.scored = append(c.scored, candidate{n, c.score(t, v)})
	}
}

// compareCandidates puts higher scores first.
func compareCandidates(a, b candidate) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return a.vm - b.vm
}

// best predicts interference for the first candidates and returns the VM with
// the best score that remains, or -1.
func (c *cycle) best(t *Task) int {
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
	load := float64(v.committed.grant.MilliCPU+t.Grant.MilliCPU) / float64(max(v.Capacity.MilliCPU, 1))
	score := weightFit * load
	if t.Class == task.LatencyCritical {
		score = -weightFit * load
		j := c.job(t.Job)
		score -= weightSpread * float64(j.byRack[v.rackKey()]+j.byZone[v.Zone]+2*v.jobTasks(t.Job))
	}
	if v.Capacity.Accelerators > 0 && t.Grant.Accelerators == 0 {
		score -= weightAccelerator
	}
	if avoided(t, v) {
		score -= weightAvoid
	}
	if v.Quarantine == Probation {
		score += weightProbe
	}
	return score
}

// harm predicts the slowdown that the placement causes, weighed between
// services and batch, and whether the services on the VM stay within the bound.
func (c *cycle) harm(t *Task, v *vmView) (float64, bool) {
	if c.s.Harm == nil {
		return 0, true
	}
	load := (v.cores + cores(t)) / float64(max(v.Capacity.MilliCPU, 1)) * 1000
	h := harmSum{c: c, t: t, v: v, load: load}
	for _, other := range v.tasks {
		h.add(other)
	}
	for _, other := range v.placed {
		h.add(other)
	}
	weight := c.s.LatencyWeight
	cost := weight*h.services + (1-weight)*h.batch
	if t.Class == task.LatencyCritical || t.Urgent() {
		return cost, true
	}
	return cost, h.worst <= c.harmBound()
}

// harmBound returns the predicted slowdown of a service instance above which
// no ordinary batch task is put beside it.
func (c *cycle) harmBound() float64 {
	return harmBoundLoose + c.s.LatencyWeight*(harmBoundStrict-harmBoundLoose)
}

// harmSum adds up the slowdowns that putting t on v causes.
type harmSum struct {
	c        *cycle
	t        *Task
	v        *vmView
	load     float64 // of the VM with the task
	services float64
	batch    float64
	worst    float64 // total slowdown of the most disturbed instance on the VM
}

func (h *harmSum) add(other *Task) {
	harm := h.c.s.Harm
	onOther := harm.Slowdown(other.Job, h.t.Job, cores(h.t))
	onTask := harm.Slowdown(h.t.Job, other.Job, cores(other))
	if other.Class == task.LatencyCritical {
		h.services += onOther
		h.worst = max(h.worst, onOther+h.c.present(other, h.v)+harm.LoadSlowdown(other.Job, h.load))
	} else {
		h.batch += onOther
	}
	if h.t.Class == task.LatencyCritical {
		h.services += onTask
	} else {
		h.batch += onTask
	}
}

// present returns the predicted slowdown of a service instance by the other
// tasks that are on the VM already.
func (c *cycle) present(victim *Task, v *vmView) float64 {
	sum := 0.0
	for _, other := range v.tasks {
		if other != victim {
			sum += c.s.Harm.Slowdown(victim.Job, other.Job, cores(other))
		}
	}
	for _, other := range v.placed {
		sum += c.s.Harm.Slowdown(victim.Job, other.Job, cores(other))
	}
	return sum
}
