package dispatch

import (
	"math"

	"amaranthpaddle/jobs"
)

// minClaimShare is the least share of its declared CPU that a throttled run claims: the
// lowest pace above a pause. It bounds the runs that gather on a worker while they are
// paused and that share its CPU when the services recover.
const minClaimShare = float64(MinPace) / FullPace

// allowsBestEffort reports whether a best-effort task of the candidate may
// start on the worker: there is unclaimed CPU, and the services on the worker can
// spare the headroom. CPU that throttled runs leave unused is open to jobs that starve
// only: small costs of many runs add up, and services were over their target twice as
// long when it was open to all tasks that by themselves cost a service little.
func (p *planner) allowsBestEffort(c candidate, l *load) bool {
	group := c.group.Spec
	unclaimed := hasUnclaimedCPU(c, l)
	if c.waited > starvationTimeout && (unclaimed || p.hasUnusedCPU(c, l) || p.fleet.countedBelowHalf()) ||
		p.standsStill(c) && p.mayKeep(c, l) {
		return true // its agent throttles it as far as the services need
	}
	if !unclaimed && !p.partialFits.allows(c, l, unusedMilliCPU(l)) {
		return false // it would only slow down the best-effort runs on the worker
	}
	if !unclaimed {
		// Over its target, a service has all best-effort runs paused in the end.
		return !l.worker.Sample.overTarget() && p.interference(group, l) == 0
	}
	limit := maxInterference
	if p.ignoresInterference(c) {
		limit = math.Inf(1) // it is throttled until the services can spare the headroom
	}
	return p.interference(group, l) < limit
}

// idleService is whether the workers of a service are mostly unused, for one sum of what
// the fleet's runs claim.
type idleService struct {
	claimed      int64
	mostlyUnused bool
}

// mostlyUnused reports whether less than half of the CPU of a service's workers is likely in
// use: services use about half of what they declare, and throttled runs less than they claim.
func (p *planner) mostlyUnused(service string) bool {
	known, found := p.idleServices[service]
	if !found || known.claimed != p.fleet.claimed {
		used, capacity := p.likelyMilliCPUOf(service)
		known = idleService{p.fleet.claimed, 2*used < capacity}
		if p.idleServices == nil {
			p.idleServices = map[string]idleService{}
		}
		p.idleServices[service] = known
	}
	return known.mostlyUnused
}

// likelyMilliCPUOf returns what all runs on a service's workers are likely to use, and the
// capacity of the workers. Best-effort runs count in full where neither their use nor their
// paces are known.
func (p *planner) likelyMilliCPUOf(service string) (milliCPU, capacity int64) {
	for _, l := range p.fleet.workers {
		if l.worker.Service != service {
			continue
		}
		capacity += l.worker.Capacity.MilliCPU
		bestEffort := l.bestEffortMilliCPU
		if len(l.worker.Sample.Cores) > 0 || l.worker.AtFullPace != nil {
			bestEffort = p.likelyMilliCPU(l)
		}
		milliCPU += l.used.MilliCPU - int64((1-avgServiceUtilization)*float64(l.serviceMilliCPU)) + bestEffort
	}
	return milliCPU, capacity
}

// maxKeptCost is how much headroom best-effort work may take from a service that is at its
// target or over it, for the sake of runs that are kept at work.
const maxKeptCost = 0.1

// MayKeep reports whether one more best-effort run, at the lowest pace, may be kept at work
// beside the services of a sample. kept holds the cores of others that the sample does not
// show yet, by image.
func (s *Sample) MayKeep(perCore func(Pair) float64, image string, milliCPU int64, kept map[string]float64) bool {
	for _, service := range s.Services {
		if service.Headroom <= 0 {
			continue
		}
		added := perCore(Pair{service.Image, image}) * KeptCores(milliCPU)
		for other, cores := range kept {
			added += perCore(Pair{service.Image, other}) * cores
		}
		taken := added
		for other, cores := range s.Cores {
			taken += perCore(Pair{service.Image, other}) * cores
		}
		if taken > maxKeptCost && float64(service.Headroom)-added < targetHeadroom {
			return false
		}
	}
	return true
}

// mayKeep reports whether a task of the candidate may be kept at work on a worker.
func (p *planner) mayKeep(c candidate, l *load) bool {
	return l.worker.Sample.MayKeep(p.in.PerCore, c.group.Spec.Image, c.group.Spec.MilliCpu, l.keptCores)
}

// KeptCores returns the cores that a run uses at the lowest pace.
func KeptCores(milliCPU int64) float64 { return float64(milliCPU) / 1000 * MinPace / FullPace }

// hasUnclaimedCPU reports whether a worker has CPU for one more best-effort task
// if all runs work at full pace, or no best-effort task yet.
func hasUnclaimedCPU(c candidate, l *load) bool {
	return l.bestEffortMilliCPU == 0 || unusedShare(l) >= share(c.group.Spec.MilliCpu, l)
}

// hasUnusedCPU reports whether a worker has CPU for one more best-effort task at
// the present paces of its runs.
func (p *planner) hasUnusedCPU(c candidate, l *load) bool {
	if len(l.worker.Sample.Cores) == 0 {
		return false // nothing is known of what its runs use
	}
	idle := l.bestEffortMilliCPU - p.likelyMilliCPU(l)
	return unusedMilliCPU(l)+idle >= c.group.Spec.MilliCpu
}

// likelyMilliCPU returns what the best-effort runs on a worker are likely to use at
// their paces. Runs that the plan adds count in full.
func (p *planner) likelyMilliCPU(l *load) int64 {
	if l.bestEffortUse == nil {
		use := p.bestEffortUseOf(l)
		l.bestEffortUse = &use
	}
	use := l.bestEffortUse
	if added := l.bestEffortMilliCPU - use.claimed; added >= 0 {
		return use.likely + added
	}
	return int64(float64(use.likely) * float64(l.bestEffortMilliCPU) / float64(use.claimed))
}

// bestEffortUse is what the best-effort runs on a worker use, without those that the
// plan adds.
type bestEffortUse struct {
	claimed int64 // milli-cores at full pace
	likely  int64 // milli-cores at their paces
}

// bestEffortUseOf determines what the runs on a worker use. A throttled run uses as much
// of its declared CPU as the runs of its image do on average, or as its pace allows if the
// worker tells nothing of their use.
func (p *planner) bestEffortUseOf(l *load) bestEffortUse {
	use := bestEffortUse{}
	throttled, all := map[string]int64{}, map[string]int64{}
	p.view.RunsOn(l.worker.Key, func(run jobs.RunID, group *jobs.Group) {
		spec := group.Spec
		if !spec.BestEffort {
			return
		}
		use.claimed += spec.MilliCpu
		all[spec.Image] += spec.MilliCpu
		switch reported := len(l.worker.Sample.Cores) > 0; {
		case l.worker.AtFullPace != nil && l.worker.AtFullPace(run):
			use.likely += spec.MilliCpu
		case reported:
			throttled[spec.Image] += spec.MilliCpu
		default:
			use.likely += p.paceLimit(run, spec.MilliCpu)
		}
	})
	for image, claimed := range throttled {
		used := 1000 * l.worker.Sample.Cores[image] / float64(max(all[image], 1))
		use.likely += int64(math.Ceil(float64(claimed) * min(max(used, minClaimShare), 1)))
	}
	return use
}

// paceLimit returns the part of its declared CPU that the pace of a run allows, all of it
// if its pace is not known.
func (p *planner) paceLimit(run jobs.RunID, milliCPU int64) int64 {
	status, known := p.in.runStatus(run)
	if !known {
		return milliCPU
	}
	return milliCPU * int64(max(status.Pace, MinPace)) / FullPace
}

// overTarget reports whether a service in the sample is over its target.
func (s *Sample) overTarget() bool {
	for _, service := range s.Services {
		if service.Headroom > 0 && service.Headroom < targetHeadroom {
			return true
		}
	}
	return false
}
