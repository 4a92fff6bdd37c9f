package jobs

import (
	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// begin records that a worker has begun a run of the job. A start that was only ordered
// may be refused, or lost before it takes effect.
func (j *Job) begin() {
	if j.Phase == PhaseQueued {
		j.Phase = PhaseRunning
	}
}

// begin records that a worker has begun a run, which may have ended since. It returns
// fault.NotFound for a run that was not started.
func (s *State) begin(c *api.RunBegun) error {
	run := RunIDOf(c.Run)
	job := s.jobs[run.Task.Job]
	if job == nil {
		return fault.Newf(fault.NotFound, "no job %s", run.Task.Job)
	}
	if _, task := job.Task(run.Task); task == nil || run.Number > task.LastRun {
		return fault.Newf(fault.NotFound, "no run %v", run)
	}
	job.begin()
	return nil
}

// provesBegun reports whether the end of a run shows that its worker had begun it: workers
// list only what they have begun. A run that is lost or refused need not have been.
func provesBegun(c *api.EndRun) bool {
	switch c.Outcome {
	case api.RunOutcome_RUN_OUTCOME_DONE, api.RunOutcome_RUN_OUTCOME_FAILED, api.RunOutcome_RUN_OUTCOME_STOPPED:
		return true
	}
	return c.CrashEvidence == api.CrashEvidence_CRASH_EVIDENCE_SURVIVED
}
