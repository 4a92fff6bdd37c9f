package jobcontrol

import (
	"fmt"
	"hash/fnv"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// workerCrash is the reported crash of a worker's incarnation.
type workerCrash struct {
	reportedAt time.Time
	evidence   api.CrashEvidence // against each of the suspects, as reported
	weighed    bool
	late       map[jobs.RunID]dispatch.LateVerdict // of the runs that had survived their start, as far as their agent tells
}

// reportedCrash is a crash that has not been weighed as evidence.
type reportedCrash struct {
	agent   string
	at      time.Time
	message *api.WorkerCrash
}

// crashSurveyTime is the time in which all agents in touch report to a new leader.
const crashSurveyTime = 500 * time.Millisecond

// Times for which crashes are remembered.
const (
	// crashRetention exceeds the time in which the runs of a crashed worker are
	// recorded as lost, elections included.
	crashRetention = 30 * time.Second
	// unexplainedCrashEffect is the time after the crash of a worker that was
	// starting no run in which other workers may crash for the same reason.
	unexplainedCrashEffect = 2 * time.Second
)

// recordCrashes queues what the crashes in a report say of the runs. A crash that was
// reported before is ignored. The lock is held.
func (l *leadership) recordCrashes(agent string, crashes []*api.WorkerCrash) {
	now := l.server.now()
	for key, crash := range l.crashes {
		if now.Sub(crash.reportedAt) > crashRetention {
			delete(l.crashes, key)
		}
	}
	for _, c := range crashes {
		if _, known := l.crashes[c.Worker]; known {
			continue
		}
		at := now.Add(-time.Duration(c.AgoMs) * time.Millisecond)
		if now.Sub(at) > crashRetention {
			continue // it was weighed, and which other workers went down with it is forgotten
		}
		l.crashes[c.Worker] = workerCrash{reportedAt: now, evidence: c.Evidence}
		l.outages.Crash(c.Worker, at, now)
		l.unweighed = append(l.unweighed, reportedCrash{agent: agent, at: at, message: c})
		telemetry.JobWorkerCrashes.Add(1, jobs.EvidenceName(c.Evidence))
	}
	l.weighCrashes()
}

// weighCrashes queues what the crashes say of the runs that have not been weighed. A new
// leader first hears of the other workers, which may have gone down at the same time. The
// lock is held.
func (l *leadership) weighCrashes() {
	if l.server.now().Sub(l.since) < crashSurveyTime {
		return
	}
	for _, crash := range l.unweighed {
		l.weighCrash(crash)
	}
	l.unweighed = nil
}

func (l *leadership) weighCrash(crash reportedCrash) {
	c := crash.message
	reported := l.weaken(c.Evidence)
	starting := startingSuspects(c)
	var tasks []jobs.TaskID
	for _, run := range starting {
		tasks = append(tasks, jobs.RunIDOf(run).Task)
	}
	l.outages.Suspect(c.Worker, tasks, l.server.now())
	l.weighLate(crash)
	conclusive := dispatch.ConclusiveSuspicion(l.outages.Suspects())
	simultaneous, rate := l.outages.Simultaneous(c.Worker, crash.at), l.outages.Rate(len(l.workers), l.server.now())
	klog.InfoS("Worker crashed", "worker", c.Worker, "suspects", len(c.Suspects), "running", len(c.Running), "evidence", jobs.EvidenceName(reported),
		"ago_ms", c.AgoMs, "simultaneous", simultaneous, "workers", len(l.workers), "crashes_per_worker_hour", int(rate*3600), "conclusive", conclusive)
	for i, run := range starting {
		_, again := l.crashedUnder[jobs.RunIDOf(run).Task][crash.agent]
		weighing := dispatch.WorkerCrashCase{
			Ran: ranBefore(c.RanMs, i), Simultaneous: simultaneous, Workers: len(l.workers), Rate: rate, Others: l.otherSuspects(c, i),
			SameVM: again,
		}
		weighed := weighing.Weaken(reported)
		if simultaneous > 0 {
			l.spread(jobs.RunIDOf(run))
			l.noteSpread(jobs.RunIDOf(run))
		}
		proved := weighed != api.CrashEvidence_CRASH_EVIDENCE_UNKNOWN
		if proved {
			l.noteCrashedUnder(jobs.RunIDOf(run).Task, crash.agent)
		}
		if proved || weighing.FewSimultaneous() {
			l.add(&api.JobChange{Body: &api.JobChange_Crash{Crash: &api.RunCrash{
				Run: run, Evidence: weighed, Weight: weighing.Weight(weighed), Conclusive: conclusive,
			}}})
		}
	}
}

// startingSuspects returns the runs that a worker was starting when it crashed.
func startingSuspects(c *api.WorkerCrash) []*api.RunRef {
	if c.Evidence == api.CrashEvidence_CRASH_EVIDENCE_RECENT {
		return nil
	}
	return c.Suspects
}

// noteCrashedUnder records that the worker of an agent has crashed under a task. The lock
// is held.
func (l *leadership) noteCrashedUnder(task jobs.TaskID, agent string) {
	if l.crashedUnder[task] == nil {
		l.crashedUnder[task] = map[string]time.Time{}
	}
	l.crashedUnder[task][agent] = l.server.now()
}

// crashAvoidance is how long a task does not start on a VM that has crashed under it, if
// another one may take it.
const crashAvoidance = 10 * time.Second

// crashedWorkers returns the keys of the workers whose VMs have lately crashed under a
// task. The lock is held.
func (l *leadership) crashedWorkers(task jobs.TaskID, now time.Time) (keys []string) {
	under := l.crashedUnder[task]
	if len(under) == 0 {
		return nil
	}
	for _, view := range l.workers {
		if at, crashed := under[view.agent]; crashed && now.Sub(at) < crashAvoidance {
			keys = append(keys, view.key)
		}
	}
	return keys
}

// unknownRunAge stands for the time between the start of a suspect and the crash if the
// agent is of a build that does not tell it.
const unknownRunAge = time.Second

// ranBefore returns the longest time that may lie between the start of a run and the crash of
// its worker, from the times in a report.
func ranBefore(ranMS []int64, i int) time.Duration {
	if i >= len(ranMS) {
		return unknownRunAge
	}
	return time.Duration(ranMS[i]+1) * time.Millisecond // the agent cuts fractions off
}

// otherSuspects returns the probabilities of the other suspects of a crash that they crash
// their workers. The lock is held.
func (l *leadership) otherSuspects(c *api.WorkerCrash, suspect int) (others []float64) {
	l.assumed.Read(func(state jobs.View) {
		for i, ref := range c.Suspects {
			if i == suspect {
				continue
			}
			if job := state.Job(ref.GetTask().GetJob()); job != nil {
				if _, task := job.Task(jobs.RunIDOf(ref).Task); task != nil {
					others = append(others, task.CrashProbability())
				}
			}
		}
	})
	return others
}

// weaken returns the weight of evidence against a run: a sole suspect is one of several
// while other workers crash that are starting nothing. The lock is held.
func (l *leadership) weaken(evidence api.CrashEvidence) api.CrashEvidence {
	if evidence != api.CrashEvidence_CRASH_EVIDENCE_SOLE_SUSPECT {
		return evidence
	}
	for _, other := range l.crashes {
		if other.evidence == api.CrashEvidence_CRASH_EVIDENCE_RECENT &&
			l.server.now().Sub(other.reportedAt) < unexplainedCrashEffect {
			return api.CrashEvidence_CRASH_EVIDENCE_SUSPECT
		}
	}
	for _, view := range l.workers {
		if view.unreachable && !l.startsAny(view) {
			return api.CrashEvidence_CRASH_EVIDENCE_SUSPECT
		}
	}
	return evidence
}

// startsAny reports whether a worker is starting a run. The lock is held.
func (l *leadership) startsAny(view *workerView) (starts bool) {
	l.assumed.Read(func(state jobs.View) {
		state.RunsOn(view.key, func(run jobs.RunID, _ *jobs.Group) { starts = starts || view.starting(run) })
	})
	return starts
}

// requeueCrashes queues the crashes of a batch again that may not be committed. The
// lock is held.
func (l *leadership) requeueCrashes(b *batch) {
	for _, p := range b.changes {
		if p.change.GetCrash() != nil {
			l.add(p.change)
		}
	}
}

// handleCommittedCrash logs a job that was given up for the run, or a task that is held
// apart. The lock is held.
func (l *leadership) handleCommittedCrash(crash *api.RunCrash, err error) {
	if err != nil {
		return
	}
	run := jobs.RunIDOf(crash.Run)
	var givenUp bool
	l.server.config.State.Read(func(view jobs.View) {
		job := view.Job(run.Task.Job)
		if job == nil {
			return
		}
		givenUp = job.CrashedBy != nil && jobs.RunIDOf(job.CrashedBy) == run
		if _, task := job.Task(run.Task); !givenUp && task != nil && task.OnProbation() {
			l.holdApart(job, run, task.Crashes())
		}
	})
	if givenUp {
		l.forgetJob(run.Task.Job)
		telemetry.JobsGivenUp.Add(1)
		klog.InfoS("Job given up, a task crashes its workers", "job", run.Task.Job, "run", run.String(),
			"evidence", jobs.EvidenceName(crash.Evidence))
	}
}

// Tasks that were being started when several workers went down together start again one
// after the other, in spreadSlots steps: several tasks that crash their workers would
// otherwise go on to do so together, and pass for a common cause. The interval is longer
// than the time within which outages count as simultaneous.
const (
	spreadSlots    = 8
	spreadInterval = 200 * time.Millisecond
)

// spread lets the task of a run wait for one of these steps, before its next run. Neighbours
// in a group get different ones, and tasks of two groups that get the same one get another
// pair after their next runs. The lock is held.
func (l *leadership) spread(run jobs.RunID) {
	hash := fnv.New32a()
	fmt.Fprint(hash, run.Task.GroupID(), run.Number)
	slot := (hash.Sum32() + uint32(run.Task.Index)) % spreadSlots
	l.pause(run.Task, time.Duration(slot)*spreadInterval)
}

// noteSpread records that a run that has not ended is a suspect of crashes at the same time.
// The lock is held.
func (l *leadership) noteSpread(run jobs.RunID) {
	l.assumed.Read(func(state jobs.View) {
		if state.WorkerOf(run) != "" {
			l.spreadRuns[run] = true
		}
	})
}

// spreadLateEnd spreads a task again if the end of its run, whose start had no answer, is
// reported after the first pause. Several tasks would otherwise start again together, as the
// starts that were sent together stay open for as long. The lock is held.
func (l *leadership) spreadLateEnd(run jobs.RunID) {
	if l.spreadRuns[run] && !l.paused(run.Task, l.server.now()) {
		l.spread(run)
	}
}

// pause lets a task wait before it starts again, at least as long as it has to already.
// The lock is held.
func (l *leadership) pause(task jobs.TaskID, pause time.Duration) {
	if until := l.server.now().Add(pause); until.After(l.pausedUntil[task]) {
		l.pausedUntil[task] = until
	}
}

// holdApart lets a task on probation wait before it starts again. The lock is held.
func (l *leadership) holdApart(job *jobs.Job, run jobs.RunID, crashes int) {
	pause := dispatch.ProbationPause(crashes)
	if pause > 0 {
		l.pause(run.Task, pause)
	}
	work := dispatch.Work(job.Spec, l.knowledge.Durations.ForQueue(job.QueueKey))
	klog.InfoS("Task held apart, its worker crashed", "job", job.ID, "run", run.String(), "crashes", crashes,
		"pause_ms", pause.Milliseconds(), "value", l.knowledge.QueueWork.Value(job.QueueKey, work))
}

// paused reports whether a task waits after a crash. The lock is held.
func (l *leadership) paused(task jobs.TaskID, now time.Time) bool {
	until, known := l.pausedUntil[task]
	if known && !now.Before(until) {
		delete(l.pausedUntil, task)
		return false
	}
	return known
}

// lossEvidence returns whether a run that was lost with its worker had survived its start
// for so long that the worker's crash says nothing of it. The lock is held.
func (l *leadership) lossEvidence(key string, run jobs.RunID) api.CrashEvidence {
	crash, known := l.crashes[key]
	if !known || !crash.weighed || !l.survivedStart(key, run) {
		return api.CrashEvidence_CRASH_EVIDENCE_UNKNOWN
	}
	verdict, judged := crash.late[run]
	if judged && verdict == dispatch.LateOutlived || !judged && crash.evidence != api.CrashEvidence_CRASH_EVIDENCE_RECENT {
		return api.CrashEvidence_CRASH_EVIDENCE_SURVIVED
	}
	return api.CrashEvidence_CRASH_EVIDENCE_UNKNOWN
}

// survivedStart reports whether a list of the worker has shown that it survived the
// start of the run. An order to start it may not have reached the agent. The lock is
// held.
func (l *leadership) survivedStart(key string, run jobs.RunID) bool {
	view := l.viewOf(key)
	return view != nil && !view.starting(run)
}
