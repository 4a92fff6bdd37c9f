package jobs

import "amaranthpaddle/api"

// Weights of the evidence that a task crashes its workers. A crash blames all runs that
// the worker was starting, so one crash is never enough; two are if the second left no
// other suspect.
const (
	recentWeight      = 3
	suspectWeight     = 4
	soleSuspectWeight = 6

	probationSuspicion = suspectWeight                     // from which a task starts apart from others
	maxSuspicion       = suspectWeight + soleSuspectWeight // at which a task is given up
)

// OnProbation reports whether the task may have crashed a worker. It is started apart
// from others, so that another crash tells which task is the cause.
func (t *Task) OnProbation() bool { return t.suspicion >= probationSuspicion }

// applyEvidence updates the suspicion of a task with the end of a run, and fails the
// job of a task that crashes its workers.
func (s *State) applyEvidence(job *Job, run RunID, evidence api.CrashEvidence) {
	_, task := job.Task(run.Task)
	was := task.OnProbation()
	switch evidence {
	case api.CrashEvidence_CRASH_EVIDENCE_SURVIVED:
		task.suspicion = 0
	case api.CrashEvidence_CRASH_EVIDENCE_RECENT:
		task.suspicion += recentWeight
	case api.CrashEvidence_CRASH_EVIDENCE_SUSPECT:
		task.suspicion += suspectWeight
	case api.CrashEvidence_CRASH_EVIDENCE_SOLE_SUSPECT:
		task.suspicion += soleSuspectWeight
	}
	s.countSuspect(job, task, was)
	if task.suspicion >= maxSuspicion {
		job.CrashedBy = run.Ref()
		s.finish(job, PhaseFailed)
	}
}

// countSuspect updates the number of tasks on probation after a change of the task.
func (s *State) countSuspect(job *Job, task *Task, was bool) {
	switch is := task.OnProbation(); {
	case is && !was:
		job.suspects++
		s.suspects++
	case was && !is:
		job.suspects--
		s.suspects--
	}
}
