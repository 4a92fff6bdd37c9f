package dispatch

import (
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// lateFactor is how many objectives a job may take and still be worth
// something, from the users' account of what a late job is worth.
const lateFactor = 3

// Objective returns how long a job may take from its submission to count as in
// time: the longest chain of its groups, stretched by the queue's slack factor,
// and the queue's target on top. Expect gives the duration of a group's task.
func Objective(queue *api.JobQueue, spec *api.JobSpec, expect func(*api.TaskGroup) float64) time.Duration {
	chain := longestChain(spec.GetGroups(), expect)
	return milliseconds(chain*max(1, queue.GetSlackFactor()) + float64(queue.GetTargetCompletionMs()))
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// longestChain returns the longest sum of durations along dependencies.
func longestChain(groups []*api.TaskGroup, duration func(*api.TaskGroup) float64) float64 {
	ends := make([]float64, len(groups))
	longest := 0.0
	for i, group := range groups {
		for _, earlier := range group.DependsOn {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += duration(group)
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingChain returns the longest chain of what an occurrence has still to do.
func remainingChain(occurrence *jobs.Occurrence, expect func(*api.TaskGroup) float64) time.Duration {
	groups := make([]*api.TaskGroup, len(occurrence.Groups))
	done := map[*api.TaskGroup]bool{}
	for i, group := range occurrence.Groups {
		groups[i] = group.Spec
		done[group.Spec] = group.Done()
	}
	return milliseconds(longestChain(groups, func(group *api.TaskGroup) float64 {
		if done[group] {
			return 0
		}
		return expect(group)
	}))
}

// Parts of a job's worth, from the users' account: a fixed part and one that
// grows with its work against the mean of its queue.
const (
	fixedWorth     = 0.3
	workWorth      = 0.7
	mostWorth      = 4.0
	leastRemaining = 0.05 // core-seconds, of a job that is nearly done
)

// Works keeps the mean work of each queue's jobs, in core-seconds. It is not
// safe for concurrent use.
type Works struct {
	means map[string]float64
}

// NewWorks returns Works that know nothing.
func NewWorks() *Works { return &Works{means: map[string]float64{}} }

// meanRate is the weight of a new job in the mean of its queue.
const meanRate = 0.05

// Learn takes in the work of a submitted job.
func (w *Works) Learn(queue string, work float64) {
	mean, known := w.means[queue]
	if !known {
		mean = work
	}
	w.means[queue] = mean + meanRate*(work-mean)
}

// Worth returns what a job with this work is worth, relative to its queue's
// mean job.
func (w *Works) Worth(queue string, work float64) float64 {
	mean := w.means[queue]
	if mean <= 0 {
		return 1
	}
	return min(fixedWorth+workWorth*work/mean, mostWorth)
}

// Work returns the core-seconds of all tasks of a job.
func Work(spec *api.JobSpec, expect func(*api.TaskGroup) float64) float64 {
	work := 0.0
	for _, group := range spec.GetGroups() {
		work += float64(group.Count) * TaskWork(group, expect)
	}
	return work
}

// TaskWork returns the core-seconds of one task of a group.
func TaskWork(group *api.TaskGroup, expect func(*api.TaskGroup) float64) float64 {
	return float64(group.MilliCpu) / 1000 * expect(group) / 1000
}

// remainingWork returns the core-seconds of the tasks that are not done.
func remainingWork(occurrence *jobs.Occurrence, expect func(*api.TaskGroup) float64) float64 {
	work := 0.0
	for _, group := range occurrence.Groups {
		if group.Done() || group.Spec.LongRunning {
			continue
		}
		for i := range group.Tasks {
			if !group.Tasks[i].Done {
				work += TaskWork(group.Spec, expect)
			}
		}
	}
	return max(work, leastRemaining)
}
