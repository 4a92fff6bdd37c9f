package dispatch

import (
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Backlog describes the work that a submitted job would have to wait for.
type Backlog struct {
	Ahead   float64 // core-seconds of work that is placed before the job
	Waiting int     // tasks of that work that are ready but have no worker
	Rate    float64 // recent drain rate of the service in core-seconds per second, 0 while unknown
	Fits    bool    // for each group, some worker's total capacity is large enough for a task
}

// Verdict is the admission decision on a submitted job.
type Verdict struct {
	Refuse     bool
	Reason     string
	Wait       time.Duration // expected time until the job's work begins
	RetryAfter time.Duration // after which a similar job could complete in time
	Occupied   time.Duration // for which the job takes all the room that it can use, 0 if unknown
}

// Admission parameters.
const (
	waitErrorFactor       = 2.0 // tolerated overestimate of the expected wait, because duration estimates are rough
	maxRetryAfter         = time.Minute
	unplaceableRetryAfter = 10 * time.Second // time for larger workers to join or to return
)

// AdmitBacklog decides whether a job with this backlog is accepted. needed is
// the shortest time in which the job can complete, objective the time within
// which it counts as in time.
//
// It handles bursts that exceed what the workers can complete before the jobs
// lose all their value. A caller that is refused at once can turn to another
// place or retry after RetryAfter, when there is capacity again. A job is not
// refused while no task of the work ahead waits for a worker, nor while it
// could still complete before it loses all value.
func AdmitBacklog(b Backlog, needed, objective time.Duration) Verdict {
	if !b.Fits {
		return Verdict{Refuse: true, Reason: reasonTooLarge, RetryAfter: unplaceableRetryAfter}
	}
	if b.Waiting == 0 || b.Rate <= 0 {
		return Verdict{}
	}
	wait := time.Duration(b.Ahead / b.Rate * float64(time.Second))
	v := Verdict{Wait: wait}
	if wait <= time.Duration(waitErrorFactor*float64(expiryFactor*objective-needed)) {
		return v
	}
	v.Refuse, v.Reason = true, reasonTooLate
	v.RetryAfter = min(max(wait-max(objective-needed, 0), time.Second), maxRetryAfter)
	return v
}

// Submission is a job that asks for admission.
type Submission struct {
	QueueKey string
	Zone     string // of the entry that took it, empty if it is not known
	Queue    *api.JobQueue
	Spec     *api.JobSpec
}

// Admit returns the admission decision on a submission at the current load.
// Jobs with a schedule or with long-running tasks are refused only if a task
// fits on no worker: their value does not depend on their completion time.
func Admit(view jobs.View, in Input, s Submission, rate float64) Verdict {
	estimate := in.Durations.ForQueue(s.QueueKey)
	b := Backlog{Fits: s.fits(in.Workers)}
	if s.Spec.GetSchedule().GetTimes() == 0 && !hasLongRunning(s.Spec) {
		work := Work(s.Spec, estimate)
		b.Rate = rate
		b.Ahead, b.Waiting = workAhead(view, in, s.Queue, in.QueueWork.Value(s.QueueKey, work)/max(work, minRemainingWork))
	}
	return AdmitBacklog(b, milliseconds(criticalPath(s.Spec.GetGroups(), estimate)), Objective(s.Queue, s.Spec, estimate))
}

func hasLongRunning(spec *api.JobSpec) bool {
	for _, group := range spec.GetGroups() {
		if group.LongRunning {
			return true
		}
	}
	return false
}

// fits reports whether the tasks of each group fit on some empty worker. It
// returns true while no worker of the service is known.
func (s Submission) fits(workers []Worker) bool {
	known := false
	for i := range workers {
		known = known || workers[i].Service == s.Queue.Service
	}
	if !known {
		return true
	}
	for _, group := range s.Spec.GetGroups() {
		if !fitsAnyWorker(s.Queue, group, workers) {
			return false
		}
	}
	return true
}

func fitsAnyWorker(queue *api.JobQueue, group *api.TaskGroup, workers []Worker) bool {
	for i := range workers {
		if workers[i].allows(queue, group) && demand(group).Fits(workers[i].Capacity) {
			return true
		}
	}
	return false
}

// workAhead returns the work in core-seconds that is placed before a job of the
// queue with the given value density, and how many of its tasks wait for a
// worker.
func workAhead(view jobs.View, in Input, queue *api.JobQueue, density float64) (work float64, waiting int) {
	allowance := jobAllowance(view)
	view.ActiveJobs(func(job *jobs.Job) {
		other := view.QueueOf(job)
		if job.Phase.Ended() || other.Service != queue.Service {
			return
		}
		estimate := in.Durations.ForQueue(job.QueueKey)
		for _, c := range jobCandidates(view, in, job, allowance, nil) {
			if c.group.Spec.LongRunning || c.lateness == expired || !c.precedes(queue, density) {
				continue
			}
			tasks := CountWaiting(c.group)
			waiting += tasks
			work += float64(tasks) * TaskWork(c.group.Spec, estimate)
		}
	})
	return work, waiting
}

// WaitingByService returns, by service, the groups with tasks that are ready
// but have no run. Groups of expired jobs are left out.
func WaitingByService(view jobs.View, in Input) map[string][]WaitingGroup {
	waiting := map[string][]WaitingGroup{}
	for _, c := range candidates(view, in) {
		if c.lateness == expired {
			continue
		}
		if tasks := CountWaiting(c.group); tasks > 0 {
			waiting[c.queue.Service] = append(waiting[c.queue.Service], WaitingGroup{c.group.Spec, tasks})
		}
	}
	return waiting
}

// precedes reports whether the candidate is placed before a new job of the
// queue with the given value density.
func (c *candidate) precedes(queue *api.JobQueue, density float64) bool {
	if c.queue.Priority != queue.Priority {
		return c.queue.Priority < queue.Priority
	}
	return c.lateness == inTime && c.density >= density
}

// DrainRate measures the rate at which work is completed, in core-seconds per
// second, as an exponentially weighted average. It is not safe for concurrent
// use.
type DrainRate struct {
	began time.Time // of the first completed task
	done  float64   // core-seconds, decayed
	clock decayClock
}

// Parameters of the drain rate measurement.
const (
	drainTimeConstant = 4 * time.Second       // shorter than a burst
	drainWarmup       = 2 * drainTimeConstant // until the measured rate is used
)

// Learn records the work of a completed task, in core-seconds.
func (d *DrainRate) Learn(work float64, now time.Time) {
	if d.began.IsZero() {
		d.began = now
	}
	d.done = d.done*d.clock.advance(now, drainTimeConstant) + work
}

// PerSecond returns the drain rate, or 0 during warm-up.
func (d *DrainRate) PerSecond(now time.Time) float64 {
	if d.began.IsZero() || now.Sub(d.began) < drainWarmup {
		return 0
	}
	d.done *= d.clock.advance(now, drainTimeConstant)
	return d.done / drainTimeConstant.Seconds()
}
