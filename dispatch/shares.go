package dispatch

import (
	"cmp"
	"slices"

	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// caller is who shares the room of a service: the jobs of a queue that one availability
// zone's entries took. The zone is empty for jobs whose entry named none.
type caller struct{ queue, zone string }

func callerOf(job *jobs.Job) caller { return caller{job.QueueKey, job.Zone} }

// Zones of a queue whose shares for their weights differ by no more than zoneTolerance
// times the smaller one and minZoneShare are ordered by value density. Without that, the
// chance in the arrivals of three equal zones made 6 percent of the jobs in time late; with it,
// 3 percent.
const (
	zoneTolerance = 2.0
	minZoneShare  = 0.05
)

// fairOrder orders candidates of one priority and lateness by the dominant shares of
// their callers, if the policy says so and a service has too little room for all of them.
// The caller with the smallest share for its weight goes first, and each candidate adds
// its tasks to the share of its caller before the next one is chosen. So a burst in one
// queue and zone delays the jobs of that queue and zone first. Candidates of one caller,
// and of zones of a queue with shares of about the same size, go by value density.
//
// The dominant share is the larger one of a caller's parts of the counted CPU and of the
// memory of its service.
func fairOrder(view jobs.View, in Input, all []candidate) {
	if !in.Policy.FairShares || len(all) < 2 {
		return
	}
	s := newShares(view, in)
	if !s.scarce(all) {
		return
	}
	for from := 0; from < len(all); {
		to := from + 1
		for to < len(all) && sameLevel(&all[from], &all[to]) {
			to++
		}
		s.merge(all[from:to])
		from = to
	}
}

// sameLevel reports whether two candidates differ in their value density at most.
func sameLevel(a, b *candidate) bool {
	return a.rank() == b.rank() && a.lateness == b.lateness &&
		min(a.job.TasksOnProbation(), 1) == min(b.job.TasksOnProbation(), 1)
}

// shares holds what the callers use of their services.
type shares struct {
	capacity map[string]resource.Vector // by service
	claimed  map[string]resource.Vector // by service, with the CPU of best-effort runs
	used     map[caller]resource.Vector
	weights  map[string]map[string]float64 // by queue and zone
	weightOf func(queue string) map[string]float64
}

func newShares(view jobs.View, in Input) *shares {
	s := &shares{
		capacity: map[string]resource.Vector{}, claimed: map[string]resource.Vector{}, used: map[caller]resource.Vector{},
		weights: map[string]map[string]float64{}, weightOf: in.ZoneWeights,
	}
	for i := range in.Workers {
		w := &in.Workers[i]
		if w.Open {
			s.capacity[w.Service] = s.capacity[w.Service].Add(w.Capacity)
		}
	}
	view.ActiveJobs(func(job *jobs.Job) {
		if job.ActiveRuns() == 0 {
			return
		}
		service := view.QueueOf(job).Service
		job.Touched(func(_ int32, occurrence *jobs.Occurrence) {
			for _, group := range occurrence.Groups {
				runs := 0
				for i := range group.Tasks {
					runs += len(group.Tasks[i].Runs)
				}
				s.claimed[service] = s.claimed[service].Add(times(size(group.Spec), runs))
				s.used[callerOf(job)] = s.used[callerOf(job)].Add(times(demand(group.Spec), runs))
			}
		})
	})
	return s
}

// wanted returns what the waiting tasks of a candidate demand.
func wanted(c *candidate) resource.Vector {
	return times(demand(c.group.Spec), CountWaiting(c.group))
}

// scarce reports whether the candidates of some service demand more than no run claims.
func (s *shares) scarce(all []candidate) bool {
	demanded := map[string]resource.Vector{}
	for i := range all {
		service, group := all[i].queue.Service, all[i].group
		demanded[service] = demanded[service].Add(times(size(group.Spec), CountWaiting(group)))
	}
	for service, need := range demanded {
		if !need.Fits(s.capacity[service].Sub(s.claimed[service])) {
			return true
		}
	}
	return false
}

// contender is a caller with candidates of the level that is being ordered.
type contender struct {
	caller   caller
	waiting  []candidate // the next one first
	capacity resource.Vector
	weight   float64
	share    float64 // dominant share for its weight
}

// measure sets the share for what the caller uses.
func (c *contender) measure(used resource.Vector) {
	c.share = max(
		float64(used.MilliCPU)/float64(max(c.capacity.MilliCPU, 1)),
		float64(used.MemoryMiB)/float64(max(c.capacity.MemoryMiB, 1)),
	) / c.weight
}

// weight returns the weight of a caller's share, 1 if the demand of its zone is not known.
func (s *shares) weight(c caller) float64 {
	if s.weightOf == nil {
		return 1
	}
	weights, known := s.weights[c.queue]
	if !known {
		weights = s.weightOf(c.queue)
		s.weights[c.queue] = weights
	}
	if weight, known := weights[c.zone]; known {
		return weight
	}
	return 1
}

// contenders returns the callers of candidates of one level, sorted.
func (s *shares) contenders(level []candidate) []*contender {
	byCaller := map[caller]*contender{}
	var all []*contender
	for _, next := range level {
		key := callerOf(next.job)
		c := byCaller[key]
		if c == nil {
			c = &contender{caller: key, capacity: s.capacity[next.queue.Service], weight: s.weight(key)}
			c.measure(s.used[key])
			byCaller[key] = c
			all = append(all, c)
		}
		c.waiting = append(c.waiting, next)
	}
	slices.SortFunc(all, func(a, b *contender) int {
		return cmp.Or(cmp.Compare(a.caller.queue, b.caller.queue), cmp.Compare(a.caller.zone, b.caller.zone))
	})
	return all
}

// nextContender returns the contender whose candidate goes first: of the queue of the one with the
// smallest share, the zone with the highest value density among those whose shares are
// about as small.
func nextContender(all []*contender) *contender {
	least := slices.MinFunc(all, func(a, b *contender) int {
		return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.caller.queue, b.caller.queue))
	})
	chosen, limit := least, zoneTolerance*least.share+minZoneShare
	for _, c := range all {
		if c.caller.queue == least.caller.queue && c.share <= limit && c.waiting[0].density > chosen.waiting[0].density {
			chosen = c
		}
	}
	return chosen
}

// merge orders candidates of one level by the shares of their callers.
func (s *shares) merge(level []candidate) {
	all := s.contenders(level)
	for i := range level {
		c := nextContender(all)
		level[i] = c.waiting[0]
		s.used[c.caller] = s.used[c.caller].Add(wanted(&level[i]))
		c.measure(s.used[c.caller])
		if c.waiting = c.waiting[1:]; len(c.waiting) == 0 {
			all = slices.DeleteFunc(all, func(other *contender) bool { return other == c })
		}
	}
}
