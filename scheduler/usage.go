package scheduler

import (
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/scheduler/estimate"
	"amaranthpaddle/scheduler/interference"
	"amaranthpaddle/task"
)

// usedDecay is the share of the previous value that is kept per sample when
// use falls; a rise takes effect at once.
const usedDecay = 0.8

// Thresholds of a smoothed slowdown, with hysteresis: between calmRatio and 1
// of the threshold a measurement ends a series of high ones, but not one of
// calm ones.
const (
	pressureThresholdLoose  = 0.22 // at a latency weight of 0
	pressureThresholdStrict = 0.16 // at a latency weight of 1
	calmRatio               = 0.6  // ratio to the threshold, below which a slowdown is calm
	smoothing               = 0.4  // weight of the newest measurement
)

// RecordUsage records the samples of one report of a VM. Reports are delayed, so a
// slowdown is attributed to the runs that were active in the sample's
// interval, not to those that are active now.
func (l *Learner) RecordUsage(now time.Time, vm *VM, samples []Sample, t *task.Table, latencyWeight float64) {
	l.invalidate(vm.ID)
	for i := range samples {
		l.observeUse(now, vm, &samples[i], t)
	}
	for i := range samples {
		s := &samples[i]
		k := t.Task(s.Task)
		if k == nil {
			continue
		}
		x, ok := l.measurement(s, k)
		if !ok {
			continue
		}
		x.Neighbours, x.Load = neighboursOf(vm, samples, i)
		l.interference.Observe(now, x)
		if k.Job.Class == task.LatencyCritical && k.Generation == s.Generation {
			slowdown := x.Slowdown
			if x.Offset {
				slowdown -= l.interference.Offset(x.Job, x.OwnLoad)
			}
			l.observePressure(now, vm, s, samples, slowdown, latencyWeight)
		}
	}
}

func (l *Learner) observeUse(now time.Time, vm *VM, s *Sample, t *task.Table) {
	k := t.Task(s.Task)
	if k == nil || k.Generation != s.Generation || k.VM != vm.ID {
		return
	}
	r := l.run(s.Task, now)
	if r.generation != s.Generation {
		*r = run{generation: s.Generation, vm: vm.ID, movedAt: r.movedAt, seenAt: now}
	}
	r.used.MilliCPU = max(s.Used.MilliCPU, int64(usedDecay*float64(r.used.MilliCPU)))
	r.used.MemoryMiB = max(s.Used.MemoryMiB, int64(usedDecay*float64(r.used.MemoryMiB)))
	r.usedAt = now
	l.sizes.ObserveUse(now, k.Job.ID, estimate.BoundedUse(s.Used, k.Grant), l.throttled(s.Task))
}

// measurement returns the slowdown that a sample shows, and whether it shows
// any. Latency is compared with the first one observed of the service; the
// model estimates the offset to the latency when running alone.
func (l *Learner) measurement(s *Sample, k *task.Task) (interference.Measurement, bool) {
	x := interference.Measurement{Job: k.Job.ID, OwnLoad: ownLoad(s, k.Grant)}
	switch {
	case s.Latency > 0:
		x.Offset = true
		x.Slowdown = float64(s.Latency)/float64(l.serviceReference(k.Job.ID, s.Latency)) - 1
		return x, true
	case s.Speed > 0 && !l.throttled(s.Task):
		x.Slowdown = 1/s.Speed - 1
		return x, true
	}
	return x, false
}

func (l *Learner) throttled(id string) bool {
	r := l.runs[id]
	return r != nil && r.throttle > 0 && r.throttle < 1
}

func ownLoad(s *Sample, grant resource.Vector) float64 {
	if grant.MilliCPU <= 0 {
		return 0
	}
	return float64(s.Used.MilliCPU) / float64(grant.MilliCPU)
}

// serviceReference returns the latency that the latencies of the service are
// compared with: the first one observed.
func (l *Learner) serviceReference(service string, first time.Duration) time.Duration {
	known, ok := l.referenceLatency[service]
	if !ok {
		l.referenceLatency[service] = first
		return first
	}
	return known
}

// neighboursOf returns what ran beside samples[i] in its interval, by job,
// and the VM's load in it.
func neighboursOf(vm *VM, samples []Sample, i int) ([]interference.Neighbour, float64) {
	victim := &samples[i]
	var neighbours []interference.Neighbour
	total := float64(victim.Used.MilliCPU)
	for n := range samples {
		if n == i {
			continue
		}
		share := overlap(victim, &samples[n])
		used := share * float64(samples[n].Used.MilliCPU)
		if used <= 0 {
			continue
		}
		total += used
		neighbours = addNeighbour(neighbours, jobOf(samples[n].Task), used/1000)
	}
	return neighbours, total / float64(max(vm.Capacity.MilliCPU, 1))
}

func addNeighbour(neighbours []interference.Neighbour, job string, cores float64) []interference.Neighbour {
	for i := range neighbours {
		if neighbours[i].Job == job {
			neighbours[i].Cores += cores
			return neighbours
		}
	}
	return append(neighbours, interference.Neighbour{Job: job, Cores: cores})
}

// overlap returns the fraction of the victim's interval in which the other
// run was active.
func overlap(victim, other *Sample) float64 {
	length := victim.End.Sub(victim.Start)
	if length <= 0 {
		return 0
	}
	start, end := victim.Start, victim.End
	if other.Start.After(start) {
		start = other.Start
	}
	if other.End.Before(end) {
		end = other.End
	}
	return max(float64(end.Sub(start))/float64(length), 0)
}

// observePressure updates the pressure on a service instance with a measured
// slowdown.
func (l *Learner) observePressure(now time.Time, vm *VM, s *Sample, samples []Sample, slowdown, weight float64) {
	r := l.run(s.Task, now)
	if s.Start.Before(r.mitigatedAt) {
		return
	}
	p := &r.pressure
	threshold := pressureThresholdLoose + weight*(pressureThresholdStrict-pressureThresholdLoose)
	p.Task = s.Task
	p.VM = vm.ID
	p.Slowdown += smoothing * (slowdown - p.Slowdown)
	p.Threshold = threshold
	p.Mitigated = false
	switch {
	case p.Slowdown > threshold:
		p.HighCount++
		p.CalmCount = 0
	case p.Slowdown < calmRatio*threshold:
		p.CalmCount++
		p.HighCount = 0
	default:
		p.HighCount = 0
	}
	if p.HighCount > 0 {
		p.Antagonists = l.antagonists(s, samples)
	}
}

// antagonists returns the tasks that ran in the sample's interval, with the
// slowdown that the model attributes to each.
func (l *Learner) antagonists(victim *Sample, samples []Sample) []Antagonist {
	var list []Antagonist
	for i := range samples {
		other := &samples[i]
		if other.Task == victim.Task {
			continue
		}
		cores := overlap(victim, other) * float64(other.Used.MilliCPU) / 1000
		share := l.interference.View().Slowdown(jobOf(victim.Task), jobOf(other.Task), cores)
		if share > 0 {
			list = append(list, Antagonist{Task: other.Task, Share: share})
		}
	}
	return list
}
