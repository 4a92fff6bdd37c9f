package scheduler

import (
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/scheduler/estimate"
	"amaranthpaddle/scheduler/interference"
	"amaranthpaddle/task"
)

// usedDecay is the share of the last value kept when use falls; a rise counts at once.
const usedDecay = 0.8

// Bounds of a slowdown, with hysteresis: between them it is neither high nor
// calm, and a calm instance stays so.
const (
	pressureLoose  = 0.22 // at a latency weight of 0
	pressureStrict = 0.16 // at a latency weight of 1
	calmShare      = 0.6  // of the bound, below which it is calm
	smoothing      = 0.4  // weight of the newest measurement
)

// Usage takes in the samples of one report of a VM. The samples name the
// interval that they speak of; a slowdown is attributed to the runs that
// the report shows in the same interval, not to those that run now.
func (l *Learner) Usage(now time.Time, vm *VM, samples []Sample, t *task.Table, latencyWeight float64) {
	l.changed(vm.ID)
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
		x.Beside, x.Load = neighbours(vm, samples, i)
		l.harm.Observe(now, x)
		if k.Job.Class == task.LatencyCritical && k.Generation == s.Generation {
			slowdown := x.Slowdown
			if x.Offset {
				slowdown -= l.harm.Offset(x.Job, x.OwnLoad)
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
		*r = run{generation: s.Generation, vm: vm.ID, moved: r.moved, seen: now}
	}
	r.used.MilliCPU = max(s.Used.MilliCPU, int64(usedDecay*float64(r.used.MilliCPU)))
	r.used.MemoryMiB = max(s.Used.MemoryMiB, int64(usedDecay*float64(r.used.MemoryMiB)))
	r.usedAt = now
	l.sizes.ObserveUse(now, k.Job.ID, estimate.BoundedUse(s.Used, k.Grant), l.throttled(s.Task))
}

// measurement returns the slowdown that a sample shows, and whether it shows
// any. Latency is measured against the first one seen of the service; what
// it would be alone is for the model to find.
func (l *Learner) measurement(s *Sample, k *task.Task) (interference.Measurement, bool) {
	x := interference.Measurement{Job: k.Job.ID, OwnLoad: ownLoad(s, k.Grant)}
	switch {
	case s.Latency > 0:
		x.Offset = true
		x.Slowdown = float64(s.Latency)/float64(l.reference(k.Job.ID, s.Latency)) - 1
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

// reference returns the latency that those of the service are compared with.
func (l *Learner) reference(service string, first time.Duration) time.Duration {
	known, ok := l.references[service]
	if !ok {
		l.references[service] = first
		return first
	}
	return known
}

// neighbours returns what ran beside samples[i] in its interval, by job, and
// the VM's load then.
func neighbours(vm *VM, samples []Sample, i int) ([]interference.Neighbour, float64) {
	victim := &samples[i]
	var beside []interference.Neighbour
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
		beside = addNeighbour(beside, jobOf(samples[n].Task), used/1000)
	}
	return beside, total / float64(max(vm.Capacity.MilliCPU, 1))
}

func addNeighbour(beside []interference.Neighbour, job string, cores float64) []interference.Neighbour {
	for i := range beside {
		if beside[i].Job == job {
			beside[i].Cores += cores
			return beside
		}
	}
	return append(beside, interference.Neighbour{Job: job, Cores: cores})
}

// overlap returns the part of the victim's interval in which the other ran.
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

// observePressure counts measurements of a service instance above and below the bound.
func (l *Learner) observePressure(now time.Time, vm *VM, s *Sample, samples []Sample, slowdown, weight float64) {
	r := l.run(s.Task, now)
	if s.Start.Before(r.answered) {
		return
	}
	p := &r.pressure
	bound := pressureLoose + weight*(pressureStrict-pressureLoose)
	p.Task = s.Task
	p.VM = vm.ID
	p.Slowdown += smoothing * (slowdown - p.Slowdown)
	p.Bound = bound
	p.Answered = false
	switch {
	case p.Slowdown > bound:
		p.Sustained++
		p.Calm = 0
	case p.Slowdown < calmShare*bound:
		p.Calm++
		p.Sustained = 0
	default:
		p.Sustained = 0
	}
	if p.Sustained > 0 {
		p.Disturbers = l.disturbers(s, samples)
	}
}

// disturbers returns the batch tasks that ran in the sample's interval, with
// the share of the slowdown that the model gives each.
func (l *Learner) disturbers(victim *Sample, samples []Sample) []Disturber {
	var list []Disturber
	for i := range samples {
		other := &samples[i]
		if other.Task == victim.Task {
			continue
		}
		cores := overlap(victim, other) * float64(other.Used.MilliCPU) / 1000
		share := l.harm.View().Slowdown(jobOf(victim.Task), jobOf(other.Task), cores)
		if share > 0 {
			list = append(list, Disturber{Task: other.Task, Share: share})
		}
	}
	return list
}
