package jobs

import (
	"math"
	"slices"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// Weights of the evidence that a task crashes its workers. A unit is a likelihood ratio of
// 10^0.4, so a task that is given up has at least 10,000: with one in crashingTasks that
// crash their workers, it is twice as likely that it does as that it doesn't. The leader
// asks for more where it has tested many suspects, and weighs what it measures. A crash
// blames all runs that the worker was starting, so one crash is never enough.
const (
	recentWeight      = 3
	suspectWeight     = 4
	soleSuspectWeight = 6

	probationSuspicion = suspectWeight                     // from which a task starts apart from others
	maxSuspicion       = suspectWeight + soleSuspectWeight // at which a task is given up, unless the leader asks for more
	minCrashes         = 2                                 // before a task is given up
	maxCrashes         = 4                                 // at which a task is given up whatever they weigh

	// One of this many tasks is expected to crash its workers. With 1000, a crash that
	// leaves 30 suspects or more put none of them on probation.
	crashingTasks = 5000
)

// CrashProbability returns the probability that the task crashes its workers, from the
// evidence so far.
func (t *Task) CrashProbability() float64 {
	return ProbabilityOf(math.Pow(10, 0.4*float64(t.suspicion)))
}

// ProbabilityOf returns the probability that a task crashes its workers, from the likelihood
// ratio of the evidence against it.
func ProbabilityOf(likelihoodRatio float64) float64 {
	odds := likelihoodRatio / crashingTasks
	return odds / (1 + odds)
}

// Crashes returns the number of crashes under the task since a worker has survived it.
func (t *Task) Crashes() int { return len(t.crashedRuns) }

// OnProbation reports whether the task may have crashed a worker. It is started apart
// from others, so that another crash tells which task is the cause.
func (t *Task) OnProbation() bool { return t.suspicion >= probationSuspicion }

// crash records that the worker of a run has crashed, and fails the job of a task that
// crashes its workers. It returns fault.Stale if the job has ended, the crash is
// recorded already, or a worker has survived this or a later run.
func (s *State) crash(c *api.RunCrash) error {
	run := RunIDOf(c.Run)
	job := s.jobs[run.Task.Job]
	if job == nil || job.Phase.Ended() {
		return fault.Newf(fault.Stale, "job %s does not run", run.Task.Job)
	}
	_, task := job.Task(run.Task)
	if task == nil {
		return fault.Newf(fault.NotFound, "no task %v", run.Task)
	}
	if task.Done || run.Number <= task.survivedRun || run.Number > task.LastRun || slices.Contains(task.crashedRuns, run.Number) {
		return fault.Newf(fault.Stale, "the crash under run %v is recorded, or says nothing of the task", run)
	}
	_, task = job.editTask(run.Task)
	task.crashedRuns = append(task.crashedRuns, run.Number)
	s.setSuspicion(job, task, task.suspicion+weightOf(c))
	conclusive := task.suspicion >= max(maxSuspicion, c.Conclusive)
	if crashes := len(task.crashedRuns); crashes >= minCrashes && conclusive || crashes >= maxCrashes {
		job.CrashedBy = run.Ref()
		s.finish(job, PhaseFailed)
	}
	return nil
}

func weightOf(c *api.RunCrash) int32 {
	if c.Weight > 0 {
		return c.Weight
	}
	switch c.Evidence {
	case api.CrashEvidence_CRASH_EVIDENCE_RECENT:
		return recentWeight
	case api.CrashEvidence_CRASH_EVIDENCE_SUSPECT:
		return suspectWeight
	case api.CrashEvidence_CRASH_EVIDENCE_SOLE_SUSPECT:
		return soleSuspectWeight
	}
	return 0
}

// applyEvidence updates the suspicion of a task with the end of a run whose worker is
// not known to have crashed.
func (s *State) applyEvidence(job *Job, run RunID, evidence api.CrashEvidence) {
	_, task := job.editTask(run.Task)
	switch evidence {
	case api.CrashEvidence_CRASH_EVIDENCE_SURVIVED:
		task.survivedRun, task.crashedRuns = max(task.survivedRun, run.Number), nil
		s.setSuspicion(job, task, 0)
	case api.CrashEvidence_CRASH_EVIDENCE_SILENT:
		s.setSuspicion(job, task, max(task.suspicion, probationSuspicion))
	}
}

// setSuspicion sets the suspicion of a task and counts the tasks on probation.
func (s *State) setSuspicion(job *Job, task *Task, suspicion int32) {
	before := task.OnProbation()
	task.suspicion = suspicion
	switch after := task.OnProbation(); {
	case after && !before:
		job.onProbation++
		s.onProbation++
	case before && !after:
		job.onProbation--
		s.onProbation--
	}
}
