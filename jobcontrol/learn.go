package jobcontrol

import (
	"maps"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// initJobAges derives when the jobs of earlier leaders were first seen from their time
// of submission. The log's clock stood still while nothing was committed, so the time of
// day counts if it is later.
func (l *leadership) initJobAges() {
	now := l.server.config.UnixTime().UnixMilli()
	l.assumed.Read(func(view jobs.View) {
		view.ActiveJobs(func(job *jobs.Job) {
			age := time.Duration(max(now, view.NowMS())-job.SubmittedMS) * time.Millisecond
			l.firstSeen[job.ID] = l.since.Add(-max(age, 0))
		})
	})
}

const (
	// knowledgeSaveInterval is the shortest time between saves of the learned
	// statistics. A save takes about 1 kB without run times, and what a leader change
	// loses is learned again within this time.
	knowledgeSaveInterval = 3 * time.Second
	// runTimesSaveBudget bounds the run times in a save, in bytes: about ten keys, so
	// all 64 are saved within 24 s.
	runTimesSaveBudget = 2000
)

// saveKnowledge adds the learned statistics to the log, for a later leader. The
// lock is held.
func (l *leadership) saveKnowledge() {
	now, version := l.server.now(), l.knowledge.Interference.Version()
	if now.Sub(l.knowledgeSavedAt) < knowledgeSaveInterval {
		return
	}
	// Without a scheduling feature no plan depends on run times.
	budget := 0
	if l.server.config.Policy.Any() && l.knowledge.Durations.RunTimes.Changed() {
		budget = runTimesSaveBudget
	}
	if version == l.savedCostsVersion && budget == 0 {
		return
	}
	l.knowledgeSavedAt, l.savedCostsVersion = now, version
	learnt := l.knowledge.Learnt(budget)
	telemetry.JobRunTimesSaved.Add(len(learnt.RunTimes))
	l.add(&api.JobChange{Body: &api.JobChange_Learnt{Learnt: learnt}})
}

func (l *leadership) jobAge(job *jobs.Job, now time.Time) time.Duration {
	first, known := l.firstSeen[job.ID]
	if !known {
		first = now
		l.firstSeen[job.ID] = now
	}
	return now.Sub(first)
}

// forgetJob drops the times of a job that has ended. The lock is held.
func (l *leadership) forgetJob(job string) {
	lasted, named := l.standstills.forget(job, l.server.now())
	l.endStandstill(jobs.RunID{Task: jobs.TaskID{Job: job}}, lasted, named)
	delete(l.firstSeen, job)
	delete(l.startedJobs, job)
	delete(l.unplannable, job)
	l.rackWaits.forget(job)
	l.idleJobs.forget(job)
	maps.DeleteFunc(l.kept, func(run jobs.RunID, _ keptRun) bool { return run.Task.Job == job })
	ofJob := func(task jobs.TaskID) bool { return task.Job == job }
	maps.DeleteFunc(l.pausedUntil, func(task jobs.TaskID, _ time.Time) bool { return ofJob(task) })
	maps.DeleteFunc(l.crashedUnder, func(task jobs.TaskID, _ map[string]time.Time) bool { return ofJob(task) })
}

// learnWork updates the mean work of a queue's jobs with a submitted job. The lock
// is held.
func (l *leadership) learnWork(submit *api.SubmitJob, err error) {
	if err != nil {
		return
	}
	queue := submit.GetKey().GetQueue()
	l.knowledge.QueueWork.Learn(queue, dispatch.Work(submit.Spec, l.knowledge.Durations.ForQueue(queue)))
}

// observeWait records the time from a job's submission to its first start in the
// metrics. The lock is held.
func (l *leadership) observeWait(run jobs.RunID) {
	first, known := l.firstSeen[run.Task.Job]
	if !known || l.startedJobs[run.Task.Job] {
		return
	}
	l.startedJobs[run.Task.Job] = true
	waited := l.server.now().Sub(first)
	telemetry.JobWaitSeconds.Observe(waited)
	l.assumed.Read(func(view jobs.View) {
		if job := view.Job(run.Task.Job); job != nil {
			telemetry.JobZoneWait.Observe(waited, job.Zone)
		}
	})
}

// learnDuration updates the durations of a queue's tasks with a run that was done.
// Only the first run of a task counts, and only at full pace. The lock is held.
func (l *leadership) learnDuration(run jobs.RunID, end *api.EndRun) {
	startedAt, known := l.startedAt[run]
	if !known || end.Outcome != api.RunOutcome_RUN_OUTCOME_DONE || l.slowed(end.Worker, run) {
		return
	}
	l.assumed.Read(func(view jobs.View) {
		job := view.Job(run.Task.Job)
		if job == nil {
			return
		}
		if group, task := job.Task(run.Task); group != nil && task.LastRun == 1 {
			took := l.nearData(l.server.now().Sub(startedAt), group.Spec, end.Worker)
			l.knowledge.Durations.Learn(job.QueueKey, group.Spec.EstimatedMs, took.Milliseconds())
		}
	})
}

// nearData returns how long a run on a worker would have taken near its data. The lock
// is held.
func (l *leadership) nearData(took time.Duration, group *api.TaskGroup, worker string) time.Duration {
	view := l.viewOf(worker)
	if view == nil {
		return took
	}
	return time.Duration(float64(took) / l.server.config.Policy.RemoteFactor(group, view.worker.Rack))
}

// learnRunTime updates the distribution of run times with a run that did all work of
// its task. Runs after the first may have begun from a checkpoint, or be copies, of
// which only the fast ones end. The lock is held.
func (l *leadership) learnRunTime(run jobs.RunID, end *api.EndRun) {
	startedAt, known := l.startedAt[run]
	if !known || run.Number != 1 || end.Outcome != api.RunOutcome_RUN_OUTCOME_DONE {
		return
	}
	now := l.server.now()
	lost, listed := l.progress.Lost(run, now)
	if !listed && l.slowed(end.Worker, run) {
		return
	}
	// A job that has ended has no groups any more. Without the ends of jobs, of which the
	// longest tasks are a large part, run times would come out short.
	if queue, group, known := l.forecasts.TaskOf(run); known {
		l.knowledge.Durations.RunTimes.Learn(queue, group, l.nearData(now.Sub(startedAt)-lost, group, end.Worker))
	}
}

// learnDrainRate updates the drain rate with the work of a task that is done. The
// lock is held.
func (l *leadership) learnDrainRate(queue string, task *api.TaskGroup, outcome api.RunOutcome) {
	if outcome != api.RunOutcome_RUN_OUTCOME_DONE || task.LongRunning {
		return
	}
	l.drain.Learn(dispatch.TaskWork(task, l.knowledge.Durations.ForQueue(queue)), l.server.now())
}

// learnHealth updates the worker's failure rate with the outcome of a run. The lock
// is held.
func (l *leadership) learnHealth(end *api.EndRun) {
	switch end.Outcome {
	case api.RunOutcome_RUN_OUTCOME_DONE:
		l.health.Record(end.Worker, false, l.server.now())
	case api.RunOutcome_RUN_OUTCOME_FAILED, api.RunOutcome_RUN_OUTCOME_REFUSED:
		l.health.Record(end.Worker, true, l.server.now())
	}
}

// slowed reports whether the worker last listed the run below full pace.
func (l *leadership) slowed(worker string, run jobs.RunID) bool {
	view := l.viewOf(worker)
	if view == nil || view.runs[run] == nil {
		return false
	}
	return view.runs[run].Pace < dispatch.FullPace
}
