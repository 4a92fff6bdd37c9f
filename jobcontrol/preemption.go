package jobcontrol

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// preemption is what a leader remembers of the runs that it preempted.
type preemption struct {
	checkedAt time.Time            // when victims were last looked for
	jobs      map[string]time.Time // when runs of a job were last preempted, within dispatch.PreemptionPause
	tasks     map[jobs.TaskID]bool // tasks that were preempted, while their job has not ended
	clearing  []clearing
	stoppedAt map[jobs.RunID]time.Time // since when runs are being stopped, for whatever reason, until they end
}

// clearing is a set of runs on one worker that give way to the same task.
type clearing struct {
	worker string       // key of the incarnation
	task   jobs.GroupID // group of that task
	since  time.Time
	runs   []jobs.RunID
}

func newPreemption() preemption {
	return preemption{jobs: map[string]time.Time{}, tasks: map[jobs.TaskID]bool{}, stoppedAt: map[jobs.RunID]time.Time{}}
}

const (
	// preemptionInterval is the time between searches for victims. It is below the
	// time that the most urgent jobs can wait and still be in time.
	preemptionInterval = 100 * time.Millisecond
	// maxClearingTime is how long a worker stays closed to less urgent starts while several
	// runs there give way to one task. Stops usually take less; longer, other tasks that
	// fit beside the remaining runs would be delayed for a stop that may be lost.
	maxClearingTime = 400 * time.Millisecond
	// maxStopTime is how long the room of a run that is being stopped counts as soon
	// free. An agent's call to stop a run times out after 800 ms, so a stop that takes
	// longer is likely lost.
	maxStopTime = time.Second
)

// preemptRuns marks runs that give way to waiting tasks of more value. They are then
// stopped, and their tasks wait again. The lock is held.
func (l *leadership) preemptRuns() {
	now := l.server.now()
	if !l.server.config.Policy.Preemption || now.Sub(l.preemption.checkedAt) < preemptionInterval {
		return
	}
	l.preemption.checkedAt = now
	maps.DeleteFunc(l.preemption.jobs, func(_ string, at time.Time) bool { return now.Sub(at) >= dispatch.PreemptionPause })
	var preempted []dispatch.Preemption
	l.assumed.Read(func(view jobs.View) {
		l.preemption.forgetEnded(view)
		preempted = dispatch.Preempt(view, l.planInput(view), dispatch.PreemptionState{
			Leading: now.Sub(l.since), Stopping: l.stopsUnderWay(view, now),
			Recently: func(job string) bool { return !l.preemption.jobs[job].IsZero() },
			Before:   func(task jobs.TaskID) bool { return l.preemption.tasks[task] },
		})
	})
	for _, p := range preempted {
		l.recordPreemption(p, now)
	}
	for rest := preempted; len(rest) > 0; {
		set := rest[:rest[0].Set]
		l.preemption.clear(set, now)
		rest = rest[len(set):]
	}
}

// forgetEnded drops the tasks of jobs that have ended.
func (p *preemption) forgetEnded(view jobs.View) {
	maps.DeleteFunc(p.tasks, func(task jobs.TaskID, _ bool) bool {
		job := view.Job(task.Job)
		return job == nil || job.Phase.Ended()
	})
}

// stopsUnderWay returns the runs that are being stopped and whose room is soon free.
// A run that has not ended within maxStopTime is left out, so that the task that waits
// for its room finds other room. The lock is held.
func (l *leadership) stopsUnderWay(view jobs.View, now time.Time) map[jobs.RunID]bool {
	stopping := map[jobs.RunID]bool{}
	note := func(run jobs.RunID) {
		at, known := l.preemption.stoppedAt[run]
		if !known {
			at = now
			l.preemption.stoppedAt[run] = at
		}
		stopping[run] = now.Sub(at) < maxStopTime
	}
	for run := range l.movingRuns {
		note(run)
	}
	dispatch.EachStopped(view, note)
	maps.DeleteFunc(l.preemption.stoppedAt, func(run jobs.RunID, _ time.Time) bool {
		_, stopped := stopping[run]
		return !stopped
	})
	return stopping
}

func (l *leadership) recordPreemption(p dispatch.Preemption, now time.Time) {
	klog.InfoS("Run preempted", "job", p.Run.Task.Job, "run", p.Run.String(), "worker", p.Worker, "reason", p.Reason,
		"for_job", p.For.Job, "for_group", p.For.Group, "discarded_core_seconds", p.Discarded)
	telemetry.JobRunsPreempted.Add(1, string(p.Reason))
	telemetry.JobWorkDiscarded.AddFloat(p.Discarded)
	l.movingRuns[p.Run] = true
	l.preemption.stoppedAt[p.Run] = now
	l.preemption.jobs[p.Run.Task.Job], l.preemption.tasks[p.Run.Task] = now, true
}

// clear remembers a set of runs that give way to one task.
func (p *preemption) clear(set []dispatch.Preemption, now time.Time) {
	if len(set) == 1 {
		return // its end alone makes the room
	}
	c := clearing{worker: set[0].Worker, task: set[0].For, since: now}
	for _, s := range set {
		c.runs = append(c.runs, s.Run)
	}
	p.clearing = append(p.clearing, c)
}

// unfinished returns the sets whose workers stay closed. Of several sets on a worker the
// first that has ended opens it, so that its task does not wait for the others.
func (p *preemption) unfinished(view jobs.View, now time.Time) []clearing {
	open := map[string]bool{}
	for _, c := range p.clearing {
		if now.Sub(c.since) >= maxClearingTime || !c.anyActive(view) {
			open[c.worker] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(p.clearing), func(c clearing) bool { return open[c.worker] })
}

// anyActive reports whether a run of the set has not ended.
func (c *clearing) anyActive(view jobs.View) bool {
	return slices.ContainsFunc(c.runs, func(run jobs.RunID) bool {
		job, _, _ := view.Run(run)
		return job != nil
	})
}

// holdWorkers keeps the workers of a plan on which several runs give way to one task for
// tasks of more urgent queues. The ends of the runs may be committed in different batches,
// and less urgent tasks would take the room of the first one.
func holdWorkers(workers []dispatch.Worker, sets []clearing) {
	for _, c := range sets {
		if i := slices.IndexFunc(workers, func(w dispatch.Worker) bool { return w.Key == c.worker }); i >= 0 {
			workers[i].ClearingFor = append(workers[i].ClearingFor, c.task)
		}
	}
}
