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
	checkedAt time.Time                // when victims were last looked for
	jobs      map[string]time.Time     // when runs of a job were last preempted, within dispatch.PreemptionPause
	tasks     map[jobs.TaskID]bool     // tasks that were preempted, while their job has not ended
	clearing  map[string]clearing      // by worker key
	stoppedAt map[jobs.RunID]time.Time // when stops of preempted runs were ordered, until they end
}

// clearing is a set of runs on one worker that give way to the same task.
type clearing struct {
	since time.Time
	runs  []jobs.RunID
}

func newPreemption() preemption {
	return preemption{jobs: map[string]time.Time{}, tasks: map[jobs.TaskID]bool{}, clearing: map[string]clearing{}, stoppedAt: map[jobs.RunID]time.Time{}}
}

const (
	// preemptionInterval is the time between searches for victims. It is below the
	// time that the most urgent jobs can wait and still be in time.
	preemptionInterval = 100 * time.Millisecond
	// maxClearingTime is how long a worker stays closed to starts while several runs
	// there give way to one task. A stop that takes longer is likely lost.
	maxClearingTime = time.Second
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
			Leading: now.Sub(l.since), Stopping: l.stopsUnderWay(now),
			Recently: func(job string) bool { return !l.preemption.jobs[job].IsZero() },
			Before:   func(task jobs.TaskID) bool { return l.preemption.tasks[task] },
		})
	})
	for _, p := range preempted {
		l.recordPreemption(p, now)
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
// A preempted run that has not ended within maxClearingTime is left out, so that the
// task that waits for its room finds other room. The lock is held.
func (l *leadership) stopsUnderWay(now time.Time) map[jobs.RunID]bool {
	stopping := maps.Clone(l.movingRuns)
	for run, at := range l.preemption.stoppedAt {
		switch {
		case !l.movingRuns[run]:
			delete(l.preemption.stoppedAt, run)
		case now.Sub(at) >= maxClearingTime:
			delete(stopping, run)
		}
	}
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
	if p.Set > 1 {
		c, known := l.preemption.clearing[p.Worker]
		if !known {
			c.since = now
		}
		c.runs = append(c.runs, p.Run)
		l.preemption.clearing[p.Worker] = c
	}
}

// holdClearingWorkers closes the workers in the input of a plan on which several runs
// give way to one task, until all of them have ended. Their ends may be committed in
// different batches, and less urgent tasks would take the room of the first one. The
// lock is held.
func (l *leadership) holdClearingWorkers(view jobs.View, in dispatch.Input) dispatch.Input {
	now := l.server.now()
	maps.DeleteFunc(l.preemption.clearing, func(_ string, c clearing) bool {
		return now.Sub(c.since) >= maxClearingTime || !slices.ContainsFunc(c.runs, func(run jobs.RunID) bool {
			job, _, _ := view.Run(run)
			return job != nil
		})
	})
	for i := range in.Workers {
		if _, held := l.preemption.clearing[in.Workers[i].Key]; held {
			in.Workers[i].Open = false
		}
	}
	return in
}
