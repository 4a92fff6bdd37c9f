package jobcontrol

import (
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// recordBegun queues the news that a worker has begun a run, if the job is not known to
// have begun. If it is not committed, the next report brings it again. The lock is held.
func (l *leadership) recordBegun(run jobs.RunID) {
	if l.queue.hasBegun(run.Task.Job) {
		return
	}
	queued := false
	l.assumed.Read(func(state jobs.View) {
		job := state.Job(run.Task.Job)
		queued = job != nil && job.Phase == jobs.PhaseQueued
	})
	if queued {
		l.add(&api.JobChange{Body: &api.JobChange_Begun{Begun: &api.RunBegun{Run: run.Ref()}}})
	}
}

// hasBegun reports whether a report shows that the worker has begun a run. Agents of
// earlier builds do not say so, but pass on its progress once the worker lists it.
func hasBegun(status *api.RunStatus) bool { return status.Begun || status.Percent > 0 }

// handleCommittedBegun logs that a job has begun.
func handleCommittedBegun(begun *api.RunBegun, err error) {
	run := jobs.RunIDOf(begun.Run)
	klog.InfoS("Job begun", "job", run.Task.Job, "run", run.String(), "error", err)
}
