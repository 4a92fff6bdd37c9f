package dispatch

import (
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Backlog is what a submitted job would wait for.
type Backlog struct {
	Ahead   float64 // core-seconds of work that goes before the job
	Waiting int     // tasks of that work that could start and have no place
	Rate    float64 // core-seconds that the service's workers have done a second lately, 0 while not known
	Fits    bool    // some worker is large enough for each task
}

// Verdict is the decision on a submitted job.
type Verdict struct {
	Refuse     bool
	Reason     string
	Wait       time.Duration // expected, before the job's work begins
	RetryAfter time.Duration // when a job like it could be served in time
}

// Parameters of the admission.
const (
	waitDoubt      = 2.0 // by which an expected wait may be too long: durations are rough
	largestRetry   = time.Minute
	unplaceableTry = 10 * time.Second // for workers of another size to join, or to come back
)

// Admit decides whether a job is taken. Needed is the least time that it takes,
// objective the time within which it counts.
//
// The load pattern that this answers: a burst that the workers can't do before
// all of it is worthless. Who is told so at once can turn elsewhere, and comes
// back when there is room. Nothing is refused while there are free places, nor
// what could still be of some worth.
func Admit(b Backlog, needed, objective time.Duration) Verdict {
	if !b.Fits {
		return Verdict{Refuse: true, Reason: "no worker is large enough", RetryAfter: unplaceableTry}
	}
	if b.Waiting == 0 || b.Rate <= 0 {
		return Verdict{}
	}
	wait := time.Duration(b.Ahead / b.Rate * float64(time.Second))
	v := Verdict{Wait: wait}
	if wait <= time.Duration(waitDoubt*float64(lateFactor*objective-needed)) {
		return v
	}
	v.Refuse, v.Reason = true, "the work ahead takes too long"
	v.RetryAfter = min(max(wait-max(objective-needed, 0), time.Second), largestRetry)
	return v
}

// Submission is a job that asks to be taken.
type Submission struct {
	QueueKey string
	Queue    *api.JobQueue
	Spec     *api.JobSpec
}

// Judge returns the verdict on a submission at the present load. Jobs with a
// schedule or without an end are taken as long as their tasks fit: they don't
// count by the time until they are done.
func Judge(view jobs.View, in Input, s Submission, rate float64) Verdict {
	expect := in.Durations.Of(s.QueueKey)
	b := Backlog{Fits: s.fits(in.Workers)}
	if s.Spec.GetSchedule().GetTimes() == 0 && !anyLongRunning(s.Spec) {
		work := Work(s.Spec, expect)
		b.Rate = rate
		b.Ahead, b.Waiting = ahead(view, in, s.Queue, in.Works.Worth(s.QueueKey, work)/max(work, leastRemaining))
	}
	return Admit(b, milliseconds(longestChain(s.Spec.GetGroups(), expect)), Objective(s.Queue, s.Spec, expect))
}

func anyLongRunning(spec *api.JobSpec) bool {
	for _, group := range spec.GetGroups() {
		if group.LongRunning {
			return true
		}
	}
	return false
}

// fits reports whether each group's tasks fit on some empty worker. While no
// worker of the service is known, nothing speaks against it.
func (s Submission) fits(workers []Worker) bool {
	known := false
	for i := range workers {
		known = known || workers[i].Service == s.Queue.Service
	}
	if !known {
		return true
	}
	for _, group := range s.Spec.GetGroups() {
		if !fitsSomewhere(s.Queue, group, workers) {
			return false
		}
	}
	return true
}

func fitsSomewhere(queue *api.JobQueue, group *api.TaskGroup, workers []Worker) bool {
	for i := range workers {
		if workers[i].allows(queue, group) && demand(group).Fits(workers[i].Capacity) {
			return true
		}
	}
	return false
}

// ahead returns the work that goes before a job of the queue with this density
// of worth, and how many tasks of it wait for a place.
func ahead(view jobs.View, in Input, queue *api.JobQueue, density float64) (work float64, waiting int) {
	view.ActiveJobs(func(job *jobs.Job) {
		other := view.QueueOf(job)
		if job.Phase.Ended() || other.Service != queue.Service {
			return
		}
		expect := in.Durations.Of(job.QueueKey)
		for _, c := range jobCandidates(view, in, job) {
			if c.group.Spec.LongRunning || c.lateness == worthless || !c.before(queue, density) {
				continue
			}
			tasks := WaitingIn(c.group)
			waiting += tasks
			work += float64(tasks) * TaskWork(c.group.Spec, expect)
		}
	})
	return work, waiting
}

// WaitingTasks returns the tasks without a place that are still worth something, by service.
func WaitingTasks(view jobs.View, in Input) map[string][]Waiting {
	waiting := map[string][]Waiting{}
	for _, c := range candidates(view, in) {
		if c.lateness == worthless {
			continue
		}
		if tasks := WaitingIn(c.group); tasks > 0 {
			waiting[c.queue.Service] = append(waiting[c.queue.Service], Waiting{c.group.Spec, tasks})
		}
	}
	return waiting
}

// before reports whether a candidate goes before a new job of the queue.
func (c *candidate) before(queue *api.JobQueue, density float64) bool {
	if c.queue.Priority != queue.Priority {
		return c.queue.Priority < queue.Priority
	}
	return c.lateness == inTime && c.density >= density
}

// DrainRate measures how much work is done, in core-seconds a second. It is not
// safe for concurrent use.
type DrainRate struct {
	began time.Time
	done  float64 // core-seconds
	clock decayClock
}

// Times of the measurement.
const (
	drainMemory = 4 * time.Second // after which work counts a third; a burst lasts longer
	drainWarmup = 2 * drainMemory // before the rate counts
)

// Learn takes in the work of a task that is done.
func (d *DrainRate) Learn(work float64, now time.Time) {
	if d.began.IsZero() {
		d.began = now
	}
	d.done = d.done*d.clock.advance(now, drainMemory) + work
}

// PerSecond returns the rate, 0 while it is not known.
func (d *DrainRate) PerSecond(now time.Time) float64 {
	if d.began.IsZero() || now.Sub(d.began) < drainWarmup {
		return 0
	}
	d.done *= d.clock.advance(now, drainMemory)
	return d.done / drainMemory.Seconds()
}
