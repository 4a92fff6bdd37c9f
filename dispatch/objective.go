package dispatch

import (
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// expiryFactor is the number of objectives after which a late job has no value
// left, according to the users' account of the value of late jobs.
const expiryFactor = 3

// Objective returns the time from submission within which a job counts as in
// time: the critical path of its groups multiplied by the queue's slack factor,
// plus the queue's target completion time. estimate returns the duration of a
// task of a group in milliseconds.
func Objective(queue *api.JobQueue, spec *api.JobSpec, estimate func(*api.TaskGroup) float64) time.Duration {
	path := criticalPath(spec.GetGroups(), estimate)
	return milliseconds(path*max(1, queue.GetSlackFactor()) + float64(queue.GetTargetCompletionMs()))
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// criticalPath returns the longest sum of durations along dependencies.
func criticalPath(groups []*api.TaskGroup, duration func(*api.TaskGroup) float64) float64 {
	ends := make([]float64, len(groups))
	longest := 0.0
	for i, group := range groups {
		for _, dependency := range group.DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += duration(group)
		longest = max(longest, ends[i])
	}
	return longest
}

// remainingCriticalPath returns the critical path of the groups of an
// occurrence that are not done.
func remainingCriticalPath(occurrence *jobs.Occurrence, estimate func(*api.TaskGroup) float64) time.Duration {
	ends := make([]float64, len(occurrence.Groups))
	longest := 0.0
	for i, group := range occurrence.Groups {
		for _, dependency := range group.Spec.DependsOn {
			ends[i] = max(ends[i], ends[dependency])
		}
		if !group.Done() {
			ends[i] += estimate(group.Spec)
		}
		longest = max(longest, ends[i])
	}
	return milliseconds(longest)
}

// Terms of the value of a job, from the users' account: a base and a part
// proportional to its work relative to the mean of its queue.
const (
	baseValue        = 0.3
	workValue        = 0.7
	maxValue         = 4.0
	minRemainingWork = 0.05 // core-seconds, for a job that is nearly done
)

// QueueWork keeps the mean work of each queue's jobs, in core-seconds. It is
// not safe for concurrent use.
type QueueWork struct {
	means map[string]float64
}

// NewQueueWork returns a QueueWork without observations.
func NewQueueWork() *QueueWork { return &QueueWork{means: map[string]float64{}} }

// newJobWeight is the weight of a new job in the moving average of its queue.
const newJobWeight = 0.05

// Learn updates the mean of a queue with the work of a submitted job.
func (w *QueueWork) Learn(queue string, work float64) {
	mean, known := w.means[queue]
	if !known {
		mean = work
	}
	w.means[queue] = mean + newJobWeight*(work-mean)
}

// Value returns the value of a job with this work. The mean job of a queue has
// value 1.
func (w *QueueWork) Value(queue string, work float64) float64 {
	mean := w.means[queue]
	if mean <= 0 {
		return 1
	}
	return min(baseValue+workValue*work/mean, maxValue)
}

// Work returns the estimated core-seconds of all tasks of a job.
func Work(spec *api.JobSpec, estimate func(*api.TaskGroup) float64) float64 {
	work := 0.0
	for _, group := range spec.GetGroups() {
		work += float64(group.Count) * TaskWork(group, estimate)
	}
	return work
}

// TaskWork returns the estimated core-seconds of one task of a group.
func TaskWork(group *api.TaskGroup, estimate func(*api.TaskGroup) float64) float64 {
	return float64(group.MilliCpu) / 1000 * estimate(group) / 1000
}

// remainingWork returns the estimated core-seconds of the tasks of an
// occurrence that are not done, without long-running tasks and at least
// minRemainingWork.
func remainingWork(occurrence *jobs.Occurrence, estimate func(*api.TaskGroup) float64) float64 {
	work := 0.0
	for _, group := range occurrence.Groups {
		if group.Done() || group.Spec.LongRunning {
			continue
		}
		task := TaskWork(group.Spec, estimate)
		for i := range group.Tasks {
			if !group.Tasks[i].Done {
				work += task
			}
		}
	}
	return max(work, minRemainingWork)
}
