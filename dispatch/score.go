package dispatch

import (
	"time"

	"amaranthpaddle/api"
)

// Weights in the score of a worker, relative to the free share of its CPU,
// which is 0 to 1.
const (
	weightHealth       = 4.0 // a worker on which all runs fail scores below any full one
	weightOtherRack    = 2.0 // data or peers on another rack slow the work by half or more
	weightInterference = 8.0 // separates best-effort work from services that it interferes with, as long as there is a choice
	weightImages       = 0.3 // separates services of different images
	weightPacking      = 1.0 // packs services and counted tasks onto few workers
	weightCrashes      = 16. // separates tasks whose workers have crashed, for each crash
	weightSpread       = 0.1 // spreads the tasks of a long-running group over workers
)

// avgServiceUtilization is the share of their declared CPU that services use on
// average: they keep about half in reserve to hold their tail latency.
const avgServiceUtilization = 0.55

// score returns how suitable a worker is for one more task of a group; higher
// is better.
//
// Best-effort tasks interfere with services on the same worker. Services are
// therefore packed onto few workers, counted tasks, which interfere with no
// service, fill those workers, and best-effort tasks go where they do not
// interfere and most CPU is unused. Tasks on probation, which may crash the worker,
// go where least runs.
func (p *planner) score(group *api.TaskGroup, l *load, spread spread, probation bool) float64 {
	s := -weightHealth * l.worker.HealthPenalty
	if group.DataRack != "" && group.DataRack != l.worker.Rack {
		s -= weightOtherRack
	}
	if group.RackLocal && len(spread.racks) > 0 && spread.racks[l.worker.Rack] == 0 {
		s -= weightOtherRack
	}
	if group.LongRunning {
		s -= weightSpread * float64(spread.workers[l.worker.Key])
	}
	if probation {
		return s - exposure(l)
	}
	if group.BestEffort {
		return s + unusedShare(l) - weightInterference*p.interference(group, l)
	}
	if group.TargetLatencyMs > 0 {
		s -= weightInterference*p.interferingShare(group, l) + weightImages*float64(otherImages(l, group.Image))
	}
	if len(l.serviceRuns) > 0 {
		s += weightPacking
	}
	return s - weightPacking*(1-share(l.used.MilliCPU, l))
}

// otherImages returns the number of service images other than this one on a
// worker. Each best-effort image interferes with some service images only, so
// the fewer service images are on a worker, the more best-effort work can share
// it.
func otherImages(l *load, image string) int {
	others := len(l.serviceRuns)
	if l.serviceRuns.of(image) > 0 {
		others--
	}
	return others
}

// interferingShare returns the share of the worker's CPU that is used by
// best-effort work that interferes with a service of the group.
func (p *planner) interferingShare(group *api.TaskGroup, l *load) float64 {
	cores := 0.0
	for _, used := range l.bestEffortCores {
		if significantCost(p.in.PerCore, Pair{group.Image, used.image}) > 0 {
			cores += used.amount
		}
	}
	return share(int64(1000*cores), l)
}

// unusedShare returns the share of the CPU that is left for more best-effort
// work, given that services use less than they declare. It is negative if the
// best-effort work on the worker wants more than is left.
func unusedShare(l *load) float64 { return 1 - share(expectedMilliCPU(l), l) }

// unusedMilliCPU is unusedShare in milli-cores.
func unusedMilliCPU(l *load) int64 { return l.worker.Capacity.MilliCPU - expectedMilliCPU(l) }

// expectedMilliCPU returns what the runs on a worker use together, with best-effort
// runs at full pace.
func expectedMilliCPU(l *load) int64 {
	return l.used.MilliCPU - int64((1-avgServiceUtilization)*float64(l.serviceMilliCPU)) + l.bestEffortMilliCPU
}

// share returns an amount of CPU as a share of the worker's capacity.
func share(milliCPU int64, l *load) float64 {
	if l.worker.Capacity.MilliCPU <= 0 {
		return 1
	}
	return float64(milliCPU) / float64(l.worker.Capacity.MilliCPU)
}

// starves reports whether no task of the candidate's job has found a worker for too
// long, or the job stands still.
func (p *planner) starves(c candidate) bool {
	return c.waited > starvationTimeout || p.standsStill(c)
}

// standsStill reports whether the candidate's job has had no run at work for too long, or a
// task of a long-running group no run, while its service is mostly unused.
func (p *planner) standsStill(c candidate) bool {
	return c.stoodStill() > interferenceWait && p.mostlyUnused(c.queue.Service)
}

// ignoresInterference reports whether a task of the candidate may start beside
// services that cannot spare the headroom.
func (p *planner) ignoresInterference(c candidate) bool {
	return c.waited > interferenceWait && p.fleet.claimedBelowHalf()
}

// Limits for the placement of best-effort tasks.
const (
	maxInterference = 0.5 // of a service's spare headroom; the load of the service may double until its next sample
	// interferenceWait is how long a job without active runs waits for a worker
	// where it stays within maxInterference, while less than half of the fleet is
	// claimed.
	interferenceWait = 1500 * time.Millisecond
	// starvationTimeout is how long a job without active runs waits for a worker.
	// Then one of its tasks is started where CPU is unused, whatever it interferes
	// with, or anywhere while counted tasks use less than half of the fleet or it is
	// mostly unused. So every job completes eventually.
	starvationTimeout = 10 * time.Second
)

// interference returns the share of the spare headroom of the most affected
// service on a worker that would be used up with one more task of a best-effort
// group. At 1 and above, best-effort runs would have to be throttled. It is 0
// if the group interferes with no service on the worker. A service without a sample
// counts with unsampledHeadroom.
func (p *planner) interference(group *api.TaskGroup, l *load) float64 {
	worst := 0.0
	for _, service := range l.worker.Sample.Services {
		cost := significantCost(p.in.PerCore, Pair{service.Image, group.Image})
		if cost == 0 || service.Headroom <= 0 {
			continue
		}
		spare := float64(service.Headroom) - reservedHeadroom
		for image, cores := range l.worker.Sample.Cores {
			spare += p.in.PerCore(Pair{service.Image, image}) * cores
		}
		worst = max(worst, p.headroomTaken(service.Image, cost, group, l)/max(spare, minSpareHeadroom))
	}
	for _, runs := range l.serviceRuns {
		if cost := significantCost(p.in.PerCore, Pair{runs.image, group.Image}); cost > 0 && !l.worker.Sample.shows(runs.image) {
			worst = max(worst, p.headroomTaken(runs.image, cost, group, l)/(unsampledHeadroom-reservedHeadroom))
		}
	}
	return worst
}

// headroomTaken returns the headroom that best-effort work takes from a service on a
// worker with one more task of a group, which costs the service cost per core.
func (p *planner) headroomTaken(service string, cost float64, group *api.TaskGroup, l *load) float64 {
	taken := cost * float64(group.MilliCpu) / 1000
	for _, cores := range l.bestEffortCores {
		taken += p.in.PerCore(Pair{service, cores.image}) * cores.amount
	}
	return taken
}

// shows reports whether a service of the image is in the sample.
func (s *Sample) shows(image string) bool {
	for _, service := range s.Services {
		if service.Image == image && service.Headroom > 0 {
			return true
		}
	}
	return false
}

// unsampledHeadroom is the headroom of a service that no sample shows yet, near the
// middle of what services have over their load.
const unsampledHeadroom = 2.0

// minSpareHeadroom is the lower bound for the spare headroom that interference
// is divided by.
const minSpareHeadroom = 0.05
