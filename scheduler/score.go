package scheduler

import (
	"slices"

	"amaranthpaddle/task"
)

// Weights of the components of a score.
const (
	weightFit         = 1.0
	weightSpread      = 2.0 // per instance of the service in the rack or zone
	weightAccelerator = 2.0 // penalty for using a VM with accelerators for a task that needs none
	weightAvoid       = 4.0
	weightProbe       = 3.0  // bonus for probing a VM on probation
	weightSlowdown    = 10.0 // per unit of slowdown; 0.1 is 10%
)

const (
	maxPredicted        = 48 // best-scored candidates for which interference is predicted
	slowdownLimitLoose  = 0.20
	slowdownLimitStrict = 0.15
)

type candidate struct {
	vm    int
	score float64
}

// pick returns the VM with the best score of those that can hold the task
// now, or -1. Service instances go to racks below their even share, or to any
// rack if those have no capacity.
func (c *cycle) pick(t *Task) int {
	if !demandOf(t).fits(c.maxFree) {
		return -1
	}
	c.filter(t, t.Class == task.LatencyCritical)
	if len(c.candidates) == 0 && t.Class == task.LatencyCritical {
		c.filter(t, false)
	}
	slices.SortFunc(c.candidates, compareCandidates)
	return c.bestCandidate(t)
}

// filter sets c.candidates to the VMs that can hold the task.
func (c *cycle) filter(t *Task, spread bool) {
	c.candidates = c.candidates[:0]
	for n := range c.vms {
		v := &c.vms[n]
		if !fits(t, v) || !c.admits(t, v) {
			continue
		}
		if spread && !c.withinRackShare(t, v) {
			continue
		}
		c.candidates = append(c.candidates, candidate{n, c.score(t, v)})
	}
}

// compareCandidates orders by descending score.
func compareCandidates(a, b candidate) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return a.vm - b.vm
}

// bestCandidate predicts interference for the first maxPredicted candidates
// and returns the VM with the best resulting score, or -1.
func (c *cycle) bestCandidate(t *Task) int {
	best, bestScore := -1, 0.0
	for _, k := range c.candidates[:min(maxPredicted, len(c.candidates))] {
		slowdown, ok := c.predictSlowdown(t, &c.vms[k.vm])
		if !ok {
			continue
		}
		if score := k.score - weightSlowdown*slowdown; best < 0 || score > bestScore {
			best, bestScore = k.vm, score
		}
	}
	return best
}

// score rates a VM without regard to interference; higher is better. Services
// prefer emptier VMs, and batch tasks prefer fuller ones.
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

// predictSlowdown predicts the slowdown that the placement causes, weighted
// between services and batch, and whether the services on the VM stay within
// the slowdown limit. The limit does not apply to service instances and
// urgent tasks.
func (c *cycle) predictSlowdown(t *Task, v *vmView) (float64, bool) {
	if c.s.Interference == nil {
		return 0, true
	}
	load := (v.cores + usedCores(t)) / float64(max(v.Capacity.MilliCPU, 1)) * 1000
	sum := slowdownSum{c: c, t: t, v: v, load: load}
	for _, other := range v.tasks {
		sum.add(other)
	}
	for _, other := range v.placed {
		sum.add(other)
	}
	weight := c.s.LatencyWeight
	cost := weight*sum.services + (1-weight)*sum.batch
	if t.Class == task.LatencyCritical || t.Urgent() {
		return cost, true
	}
	return cost, sum.maxService <= c.slowdownLimit()
}

// slowdownLimit returns the predicted slowdown of a service instance above
// which no ordinary batch task is placed on its VM.
func (c *cycle) slowdownLimit() float64 {
	return slowdownLimitLoose + c.s.LatencyWeight*(slowdownLimitStrict-slowdownLimitLoose)
}

// slowdownSum sums up the slowdowns that placing t on v causes.
type slowdownSum struct {
	c          *cycle
	t          *Task
	v          *vmView
	load       float64 // share of the VM's CPU that is used with the task
	services   float64
	batch      float64
	maxService float64 // total slowdown of the most affected service instance on the VM
}

func (s *slowdownSum) add(other *Task) {
	model := s.c.s.Interference
	onOther := model.Slowdown(other.Job, s.t.Job, usedCores(s.t))
	onTask := model.Slowdown(s.t.Job, other.Job, usedCores(other))
	if other.Class == task.LatencyCritical {
		s.services += onOther
		s.maxService = max(s.maxService, onOther+s.c.existingSlowdown(other, s.v)+model.LoadSlowdown(other.Job, s.load))
	} else {
		s.batch += onOther
	}
	if s.t.Class == task.LatencyCritical {
		s.services += onTask
	} else {
		s.batch += onTask
	}
}

// existingSlowdown returns the predicted slowdown of a service instance by
// the other tasks on the VM.
func (c *cycle) existingSlowdown(victim *Task, v *vmView) float64 {
	sum := 0.0
	for _, other := range v.tasks {
		if other != victim {
			sum += c.s.Interference.Slowdown(victim.Job, other.Job, usedCores(other))
		}
	}
	for _, other := range v.placed {
		sum += c.s.Interference.Slowdown(victim.Job, other.Job, usedCores(other))
	}
	return sum
}
