package dispatch

import (
	"cmp"
	"slices"

	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// fairOrder orders candidates of one priority and lateness by the dominant shares of
// their queues, if the policy says so and a service has too little room for all of them.
// The queue with the smallest share goes first, and each candidate adds its tasks to the
// share of its queue before the next one is chosen. So a burst of one queue delays the
// jobs of that queue first. Candidates of one queue stay in their order, by value density.
//
// The dominant share is the larger one of a queue's parts of the counted CPU and of the
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

// shares holds what the queues use of their services.
type shares struct {
	capacity map[string]resource.Vector // by service
	claimed  map[string]resource.Vector // by service, with the CPU of best-effort runs
	byQueue  map[string]resource.Vector
}

func newShares(view jobs.View, in Input) *shares {
	s := &shares{
		capacity: map[string]resource.Vector{}, claimed: map[string]resource.Vector{}, byQueue: map[string]resource.Vector{},
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
		for _, occurrence := range job.Occurrences {
			for _, group := range occurrence.Groups {
				runs := 0
				for i := range group.Tasks {
					runs += len(group.Tasks[i].Runs)
				}
				s.claimed[service] = s.claimed[service].Add(times(size(group.Spec), runs))
				s.byQueue[job.QueueKey] = s.byQueue[job.QueueKey].Add(times(demand(group.Spec), runs))
			}
		}
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

// dominant returns the dominant share of a queue of a service.
func (s *shares) dominant(queue, service string) float64 {
	used, capacity := s.byQueue[queue], s.capacity[service]
	return max(
		float64(used.MilliCPU)/float64(max(capacity.MilliCPU, 1)),
		float64(used.MemoryMiB)/float64(max(capacity.MemoryMiB, 1)),
	)
}

// merge orders candidates of one level by the shares of their queues.
func (s *shares) merge(level []candidate) {
	waiting := map[string][]candidate{}
	var queues []string
	for _, c := range level {
		if waiting[c.job.QueueKey] == nil {
			queues = append(queues, c.job.QueueKey)
		}
		waiting[c.job.QueueKey] = append(waiting[c.job.QueueKey], c)
	}
	slices.Sort(queues)
	for i := range level {
		next := slices.MinFunc(queues, func(a, b string) int {
			return cmp.Compare(s.dominant(a, waiting[a][0].queue.Service), s.dominant(b, waiting[b][0].queue.Service))
		})
		c := waiting[next][0]
		level[i] = c
		s.byQueue[next] = s.byQueue[next].Add(wanted(&c))
		if waiting[next] = waiting[next][1:]; len(waiting[next]) == 0 {
			queues = slices.DeleteFunc(queues, func(queue string) bool { return queue == next })
		}
	}
}
