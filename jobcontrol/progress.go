package jobcontrol

import (
	"cmp"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// updateProgress updates the progress of the runs on a worker and marks the stalled
// ones, which are then stopped and started elsewhere. The lock is held.
func (l *leadership) updateProgress(view *workerView, report *api.WorkerReport) {
	if report.Lists == view.lists || report.UnansweredMs > 0 {
		return // no new list of the worker
	}
	view.lists = report.Lists
	now := l.server.now()
	l.server.config.State.Read(func(state jobs.View) {
		for run, status := range view.runs {
			job, group, task := state.Run(run)
			if group == nil || group.Spec.Gang {
				continue // a gang waits for its members
			}
			if !hasBegun(status) {
				continue // it may not have begun, and its agent settles that
			}
			l.progress.Record(run, status.Percent, status.Pace, now)
			l.progress.RecordCheckpoint(run, cmp.Or(status.Checkpoint, task.Checkpoint), status.Percent)
			l.forecastListed(state, run, now)
			serving := group.Spec.LongRunning && status.Percent >= dispatch.FullPace
			if !serving && !l.movingRuns[run] && l.stalled(run, l.expectedDuration(job, group), now) {
				l.handleStalled(view, run, status.Percent, now)
			}
		}
	})
}

// stalled reports whether a run makes no progress. With a scheduling feature switched
// on, a long task is given the time that its own percents take. The lock is held.
func (l *leadership) stalled(run jobs.RunID, expected time.Duration, now time.Time) bool {
	return l.progress.Stalled(run, expected, now) &&
		!(l.server.config.Policy.Any() && l.progress.Advancing(run, now))
}

func (l *leadership) handleStalled(view *workerView, run jobs.RunID, percent int32, now time.Time) {
	klog.InfoS("Run stalled, moving it to another worker", "job", run.Task.Job, "run", run.String(), "worker", view.key, "percent", percent)
	telemetry.JobRunsStalled.Add(1)
	l.movingRuns[run] = true
	for range dispatch.StallWeight {
		l.health.Record(view.key, true, now)
	}
}

// relocateThrottled marks best-effort runs that are slowed down for the sake of
// services, and would be done earlier on another worker. They are then stopped and
// started there. The lock is held.
func (l *leadership) relocateThrottled() {
	now := l.server.now()
	if now.Sub(l.relocatedAt) < relocationInterval {
		return
	}
	l.relocatedAt = now
	l.assumed.Read(func(state jobs.View) {
		throttled := l.throttledRuns(state, now)
		if len(throttled) == 0 {
			return
		}
		for _, run := range dispatch.Relocate(state, l.planInput(state), throttled) {
			klog.InfoS("Run throttled, moving it to another worker", "job", run.Task.Job, "run", run.String())
			telemetry.JobRunsRelocated.Add(1)
			l.movingRuns[run] = true
		}
	})
}

// relocationInterval is the time between checks for throttled runs; agents report
// them no more often.
const relocationInterval = 400 * time.Millisecond

// throttledRuns returns the best-effort runs at a low pace that are not being moved
// yet. The lock is held.
func (l *leadership) throttledRuns(state jobs.View, now time.Time) (throttled []dispatch.ThrottledRun) {
	for _, view := range l.workers {
		for run, status := range view.runs {
			if !dispatch.Throttled(status.Pace) || l.movingRuns[run] {
				continue
			}
			job, group, _ := state.Run(run)
			if group == nil || !group.Spec.BestEffort {
				continue
			}
			if r, slow := l.progress.Throttled(run, l.expectedDuration(job, group), now); slow {
				throttled = append(throttled, r)
			}
		}
	}
	return throttled
}

// behind reports whether a copy of a run, started now, would likely be done before
// it. With a scheduling feature switched on, a run at the usual rate of a long task
// is not copied. The lock is held.
func (l *leadership) behind(state jobs.View, run jobs.RunID, now time.Time) bool {
	job, group, task := state.Run(run)
	if group == nil || !l.progress.Behind(run, l.expectedDuration(job, group), now) {
		return false
	}
	if !l.server.config.Policy.Any() {
		return true
	}
	status, known := l.runStatus(state, run, now)
	return !known || !l.knowledge.Durations.RunTimes.InherentlyLong(job.QueueKey, group.Spec, status, dispatch.Resumed(task, run))
}

// expectedDuration returns how long a task of a group is expected to take.
func (l *leadership) expectedDuration(job *jobs.Job, group *jobs.Group) time.Duration {
	return time.Duration(l.knowledge.Durations.Estimate(job.QueueKey, group.Spec.EstimatedMs) * float64(time.Millisecond))
}

// runStatus returns what is known of an active run, false before its start is
// committed and for a run that an earlier leader started and no listing shows. The
// lock is held.
func (l *leadership) runStatus(state jobs.View, run jobs.RunID, now time.Time) (dispatch.RunStatus, bool) {
	status := dispatch.RunStatus{Pace: dispatch.FullPace, Stopping: l.movingRuns[run]}
	startedAt, known := l.startedAt[run]
	if known {
		status.Age = now.Sub(startedAt)
	}
	_, _, task := state.Run(run)
	if task == nil {
		return status, known
	}
	for i := range task.Runs {
		if task.Runs[i].Number != run.Number {
			continue
		}
		view := l.viewOf(task.Runs[i].Worker)
		if view == nil || view.runs[run] == nil {
			break
		}
		status.Percent, status.Pace = view.runs[run].Percent, view.runs[run].Pace
		l.progress.AddTo(&status, run, known && !dispatch.Resumed(task, run), now)
		return status, true
	}
	return status, known
}
