package jobcontrol

import (
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
			job, group, _ := state.Run(run)
			if group == nil || group.Spec.Gang {
				continue // a gang waits for its members
			}
			l.progress.Record(run, status.Percent, status.Pace == dispatch.FullPace, now)
			serving := group.Spec.LongRunning && status.Percent >= dispatch.FullPace
			if !serving && !l.movingRuns[run] && l.progress.Stalled(run, l.expectedDuration(job, group), now) {
				l.handleStalled(view, run, status.Percent, now)
			}
		}
	})
}

func (l *leadership) handleStalled(view *workerView, run jobs.RunID, percent int32, now time.Time) {
	klog.InfoS("Run stalled, moving it to another worker", "job", run.Task.Job, "run", run.String(), "worker", view.key, "percent", percent)
	telemetry.JobRunsStalled.Add(1)
	l.movingRuns[run] = true
	for range dispatch.StallWeight {
		l.health.Record(view.key, true, now)
	}
}

// behind reports whether a copy of a run, started now, would likely be done before
// it. The lock is held.
func (l *leadership) behind(state jobs.View, run jobs.RunID, now time.Time) bool {
	job, group, _ := state.Run(run)
	return group != nil && l.progress.Behind(run, l.expectedDuration(job, group), now)
}

// expectedDuration returns how long a task of a group is expected to take.
func (l *leadership) expectedDuration(job *jobs.Job, group *jobs.Group) time.Duration {
	return time.Duration(l.knowledge.Durations.Estimate(job.QueueKey, group.Spec.EstimatedMs) * float64(time.Millisecond))
}
