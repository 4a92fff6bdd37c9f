package dispatch

import (
	"math"
	"time"

	"amaranthpaddle/api"
)

// Weights of a worker's score, relative to the share of its processors that
// stays free, which is 0 to 1.
const (
	weightDistrust  = 4.0 // a worker that fails everything comes after any full one
	weightOtherRack = 2.0 // for data or neighbours on another rack, which slows the work by half or more
	weightServing   = 8.0 // keeps best-effort work and services apart as long as there is any choice
	weightImages    = 0.3 // keeps services of different images on different workers
	weightPack      = 1.0 // gathers services, and what does not disturb them, on few workers
	weightSameGroup = 0.1 // spreads the tasks of a long-running group over workers
)

// servingUse is the share of their declared processors that services use on
// average: for their tail latency to hold they keep about half in reserve.
const servingUse = 0.55

// score returns how good a worker is for one more task of a group.
//
// Best-effort tasks disturb services beside them. So services gather on few
// workers, counted tasks, which disturb nobody, fill those up, and best-effort
// tasks go where they disturb nobody and most is unused.
func (p *planner) score(group *api.TaskGroup, l *load, spread spread) float64 {
	s := -weightDistrust * l.worker.Distrust
	if group.DataRack != "" && group.DataRack != l.worker.Rack {
		s -= weightOtherRack
	}
	if group.RackLocal && len(spread.racks) > 0 && spread.racks[l.worker.Rack] == 0 {
		s -= weightOtherRack
	}
	if group.LongRunning {
		s -= weightSameGroup * float64(spread.workers[l.worker.Key])
	}
	if group.BestEffort {
		return s + unusedShare(l) - weightServing*p.disturbance(group, l)
	}
	if group.TargetLatencyMs > 0 {
		s -= weightServing*p.incoming(group, l) + weightImages*float64(otherImages(l, group.Image))
	}
	if len(l.serving) > 0 {
		s += weightPack
	}
	return s - weightPack*(1-share(l.used.MilliCPU, l))
}

// otherImages returns how many images of services other than this one are on a
// worker. Each best-effort image disturbs services of some images only: the
// fewer images stand on a worker, the more best-effort work fits beside them.
func otherImages(l *load, image string) int {
	others := len(l.serving)
	if l.serving[image] > 0 {
		others--
	}
	return others
}

// incoming returns what part of the processors is used by best-effort work that
// a service of the group would suffer from.
func (p *planner) incoming(group *api.TaskGroup, l *load) float64 {
	cores := 0.0
	for image, used := range l.fillers {
		if harmPerCore(p.in.PerCore, Pair{group.Image, image}) > 0 {
			cores += used
		}
	}
	return share(int64(1000*cores), l)
}

// unusedShare returns the share of the processors that is left for best-effort
// work, since services use less than they declare. It is negative when the
// best-effort work that is there wants more than is left.
func unusedShare(l *load) float64 {
	counted := l.used.MilliCPU - int64((1-servingUse)*float64(l.services))
	return 1 - share(counted+l.bestEffort, l)
}

// share returns what part of a worker's processors an amount is.
func share(milliCPU int64, l *load) float64 {
	if l.worker.Capacity.MilliCPU <= 0 {
		return 1
	}
	return float64(milliCPU) / float64(l.worker.Capacity.MilliCPU)
}

// mayFill reports whether a best-effort task could work on the worker: with
// processors that are unused, and beside services that can spare the headroom.
func (p *planner) mayFill(c candidate, l *load) bool {
	group := c.group.Spec
	if c.waited > starvation && p.halfUncounted() {
		return true
	}
	if l.bestEffort > 0 && unusedShare(l) < share(group.MilliCpu, l) {
		return false // it would only slow down those that are there
	}
	limit := mostDisturbance
	if c.waited > fillPatience && p.halfEmpty() {
		limit = math.Inf(1) // it works when the services can spare it
	}
	return p.disturbance(group, l) < limit
}

// Limits of what a best-effort task may take of the headroom that services can spare.
const (
	mostDisturbance = 0.5 // a service's load may double until its next look
	// fillPatience is how long a job of which nothing runs waits for a place where
	// it disturbs nobody, while half of the fleet is free.
	fillPatience = 1500 * time.Millisecond
	// starvation is how long a job of which nothing runs waits behind other
	// best-effort work, while the tasks that count leave half of the fleet. Then
	// one of its tasks begins, so that every job comes to its end.
	starvation = 10 * time.Second
)

// halfUncounted reports whether tasks that count take less than half of all processors.
func (p *planner) halfUncounted() bool {
	var counted, capacity int64
	for _, l := range p.loads {
		counted += l.used.MilliCPU
		capacity += l.worker.Capacity.MilliCPU
	}
	return 2*counted < capacity
}

// halfEmpty reports whether less than half of all processors is claimed.
func (p *planner) halfEmpty() bool {
	var claimed, capacity int64
	for _, l := range p.loads {
		claimed += l.used.MilliCPU + l.bestEffort
		capacity += l.worker.Capacity.MilliCPU
	}
	return 2*claimed < capacity
}

// disturbance returns what part of the headroom that the services on a worker
// can spare would be gone with one more task of a best-effort group; 1 and more
// when it would have to be slowed down. A group that disturbs no service there
// gives 0.
func (p *planner) disturbance(group *api.TaskGroup, l *load) float64 {
	worst := 0.0
	for _, service := range l.worker.Look.Services {
		cost := harmPerCore(p.in.PerCore, Pair{service.Image, group.Image})
		if cost == 0 || service.Headroom <= 0 {
			continue
		}
		spare := float64(service.Headroom) - spareHeadroom
		for image, cores := range l.worker.Look.Cores {
			spare += p.in.PerCore(Pair{service.Image, image}) * cores
		}
		taken := cost * float64(group.MilliCpu) / 1000
		for image, cores := range l.fillers {
			taken += p.in.PerCore(Pair{service.Image, image}) * cores
		}
		if spare <= 0 {
			return taken / leastSpare
		}
		worst = max(worst, taken/max(spare, leastSpare))
	}
	return worst
}

// leastSpare is the spare headroom below which a service is taken to have none.
const leastSpare = 0.05
