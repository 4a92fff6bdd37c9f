package dispatch

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// candidate is a group with tasks that are ready to start.
type candidate struct {
	job        *jobs.Job
	queue      *api.JobQueue
	occurrence int32
	groupIndex int32
	group      *jobs.Group
	lateness   lateness
	lateLast   bool              // as the policy says
	waited     time.Duration     // time since submission, or since the occurrence was due, if no run of the job is active; 0 otherwise
	idle       time.Duration     // time since then, or since a run of the job was last at work, if none is now; 0 otherwise
	taskIdle   time.Duration     // for a long-running group, the longest time for which one of its waiting tasks has had no run; 0 for others
	tickets    map[string]string // from the queue's adviser, by worker key
	density    float64           // value of the job per remaining core-second
	slack      time.Duration     // for which the job may wait and still be in time, 0 for long-running groups
	reserved   int               // for an entry that places only tasks with a reservation, their number
	crashes    int               // under the task that is being placed
	few        bool              // see hasFewRuns
	peerRack   string            // the only rack on which tasks may start, empty for any
}

// lateness classifies a job by the value that it can still have.
type lateness int

const (
	inTime  lateness = iota // the objective can still be met
	late                    // the objective will be missed; the job has a part of its value
	expired                 // later than expiryFactor objectives, or surely so with LateLast; the job has no value left
)

// candidates returns the groups with tasks to start, the most urgent first.
//
// The order handles overload, when the workers cannot complete all work in
// time. Work on a job that misses its objective anyway is wasted, so such jobs
// come after those that can still meet it, and jobs with a high value per
// remaining core-second go first. The remaining work of a job shrinks as it
// progresses, so jobs in progress tend to be finished before others are begun.
// Jobs with a task on probation go before others of their kind: such a task needs a
// worker that is starting nothing else.
func candidates(view jobs.View, in Input) []candidate {
	var all []candidate
	allowance := jobAllowance(view)
	view.ActiveJobs(func(job *jobs.Job) {
		if job.Phase.Ended() || in.clock != nil && in.clock.over {
			return
		}
		all = tryCandidates(view, in, job, allowance, all)
		in.clock.lap(job.ID)
	})
	slices.SortFunc(all, func(a, b candidate) int { return a.compareUrgency(&b) })
	fairOrder(view, in, all)
	return all
}

// compareUrgency returns a negative number for a candidate that is more urgent than
// another one. It is called often in each plan, so it looks at a job only where needed.
func (c *candidate) compareUrgency(other *candidate) int {
	if by := cmp.Or(cmp.Compare(c.rank(), other.rank()), cmp.Compare(c.lateness, other.lateness)); by != 0 {
		return by
	}
	if by := cmp.Compare(min(other.job.TasksOnProbation(), 1), min(c.job.TasksOnProbation(), 1)); by != 0 {
		return by
	}
	if by := cmp.Compare(other.density, c.density); by != 0 {
		return by
	}
	return cmp.Or(
		cmp.Compare(c.job.ID, other.job.ID),
		cmp.Compare(c.occurrence, other.occurrence),
		cmp.Compare(c.groupIndex, other.groupIndex),
	)
}

// rank returns the sort key for the priority. Expired jobs come after all
// others, and late ones after those in time if the policy says so.
func (c *candidate) rank() int {
	switch {
	case c.lateness == expired:
		return expiredRank + int(c.queue.Priority)
	case c.lateness == late && c.lateLast:
		return lateRank + int(c.queue.Priority)
	}
	return int(c.queue.Priority)
}

// lateRank is larger than any priority, and expiredRank than any rank of a late job.
const (
	lateRank    = 1 << 20
	expiredRank = 2 * lateRank
)

// tryCandidates appends the groups of a job with tasks to start, none after a panic.
func tryCandidates(view jobs.View, in Input, job *jobs.Job, allowance int, before []candidate) (all []candidate) {
	defer func() {
		if cause := recover(); cause != nil {
			all = before
			in.Panicked(job.ID, cause)
		}
	}()
	return jobCandidates(view, in, job, allowance, before)
}

// remaining is what an occurrence still needs.
type remaining struct {
	of   *jobs.Occurrence // nil before the first
	path time.Duration    // critical path of the groups that are not done
	work float64          // core-seconds; see remainingWork
}

// update computes it for an occurrence. Those that have not begun share one state, so
// that it is computed once for them.
func (r *remaining) update(occurrence *jobs.Occurrence, estimate func(*api.TaskGroup) float64) {
	if r.of != occurrence {
		*r = remaining{occurrence, remainingCriticalPath(occurrence, estimate), remainingWork(occurrence, estimate)}
	}
}

// jobCandidates appends the groups of a job with tasks to start, as many as allowance
// permits.
func jobCandidates(view jobs.View, in Input, job *jobs.Job, allowance int, all []candidate) []candidate {
	queue := view.QueueOf(job)
	estimate := in.Durations.ForQueue(job.QueueKey)
	objective := Objective(queue, job.Spec, estimate)
	value := in.QueueWork.Value(job.QueueKey, Work(job.Spec, estimate))
	first, rest := len(all), remaining{}
	job.Due(in.UnixMS, func(k int32, occurrence *jobs.Occurrence) bool {
		age := ageOf(in, job, k)
		for g, group := range occurrence.Groups {
			if group.Done() || !occurrence.Ready(group) {
				continue
			}
			c := candidate{
				job: job, queue: queue, occurrence: k, groupIndex: int32(g), group: group, lateLast: in.Policy.LateLast,
			}
			if c.anyStartable(in) {
				rest.update(occurrence, estimate)
				c.density = value / rest.work
				c.assess(age, objective, rest.path)
				c.idle, c.taskIdle = min(age, in.idle(job)), min(age, c.longestIdle(in))
				all = append(all, c)
				allowance -= candidateCost
			}
		}
		allowance -= costOf(occurrence)
		return allowance > 0 || len(all) == first
	})
	return all
}

// assess sets what follows from the age of the job, from its objective, and from the time
// that it still needs.
func (c *candidate) assess(age, objective, needed time.Duration) {
	if c.job.ActiveRuns() == 0 {
		c.waited = age
	}
	if !c.group.Spec.LongRunning {
		c.lateness, c.slack = latenessOf(age, needed, objective), objective-age-needed
		if c.lateLast && age+needed > expiryFactor*objective {
			c.lateness = expired // it cannot complete before it has lost all value
		}
	}
}

// idle returns for how long a job has had no run at work.
func (in Input) idle(job *jobs.Job) time.Duration {
	switch {
	case in.Idle != nil:
		return in.Idle(job)
	case job.ActiveRuns() == 0:
		return in.Age(job)
	}
	return 0
}

// maxIdleTasks bounds the waiting tasks of a group whose times without a run are kept.
const maxIdleTasks = 256

// longestIdle returns the longest time for which a task of a long-running group that may
// start has had no run, of the first maxIdleTasks of them, which start first. Each of its
// tasks is to run all the time, whatever runs beside it.
func (c *candidate) longestIdle(in Input) (longest time.Duration) {
	if !c.group.Spec.LongRunning {
		return 0
	}
	waiting := 0
	for i := range c.group.Tasks {
		if waiting == maxIdleTasks {
			break
		}
		if needsRun(c.group, i) && c.startable(i, in) {
			waiting++
			longest = max(longest, in.taskIdle(c.job, c.taskID(i)))
		}
	}
	return longest
}

// taskIdle returns for how long a waiting task of a long-running group has had no run.
func (in Input) taskIdle(job *jobs.Job, task jobs.TaskID) time.Duration {
	if in.TaskIdle != nil {
		return in.TaskIdle(task)
	}
	return in.Age(job)
}

// stoodStill returns for how long the candidate's job, or a task of a long-running group,
// has had nothing at work.
func (c *candidate) stoodStill() time.Duration { return max(c.idle, c.taskIdle) }

// markAtWork records that a run of the candidate's job starts. Other tasks of a long-running
// group have their turn in the next plan.
func (c *candidate) markAtWork() { c.waited, c.idle, c.taskIdle = 0, 0, 0 }

// latenessOf classifies a job by its age and the shortest time that it still
// needs.
func latenessOf(age, needed, objective time.Duration) lateness {
	switch {
	case age > expiryFactor*objective:
		return expired
	case age+needed > objective:
		return late
	}
	return inTime
}

func (c *candidate) anyStartable(in Input) bool {
	for i := range c.group.Tasks {
		if c.startable(i, in) {
			return true
		}
	}
	return false
}

// startable reports whether a task needs a run, or a copy of its only run.
func (c *candidate) startable(index int, in Input) bool {
	if in.Paused != nil && in.Paused(c.taskID(index)) {
		return false
	}
	return needsRun(c.group, index) || c.needsCopy(index, in)
}

// CountWaiting returns the number of tasks of a group that are not done and
// have no run.
func CountWaiting(group *jobs.Group) (tasks int) {
	for i := range group.Tasks {
		if needsRun(group, i) {
			tasks++
		}
	}
	return tasks
}

// needsRun reports whether a task is not done and has no run.
func needsRun(group *jobs.Group, index int) bool {
	return !group.Tasks[index].Done && len(group.Tasks[index].Runs) == 0
}

// needsCopy reports whether a task of a speculative group has a single run that
// a copy would likely overtake.
func (c *candidate) needsCopy(index int, in Input) bool {
	task := c.group.Tasks[index]
	if !c.group.Spec.Speculative || c.group.Spec.Gang || task.Done || task.OnProbation() || len(task.Runs) != 1 || in.Behind == nil {
		return false
	}
	return in.Behind(jobs.RunID{Task: c.taskID(index), Number: task.Runs[0].Number})
}

func (c *candidate) taskID(index int) jobs.TaskID {
	return jobs.TaskID{Job: c.job.ID, Occurrence: c.occurrence, Group: c.groupIndex, Index: int32(index)}
}
