package jobcontrol

import (
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// workerCrash is the reported crash of a worker's incarnation.
type workerCrash struct {
	reportedAt time.Time
	evidence   api.CrashEvidence // against each of the suspects, as reported
}

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
func (l *leadership) recordCrashes(crashes []*api.WorkerCrash) {
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
		evidence := l.weaken(c.Evidence)
		l.crashes[c.Worker] = workerCrash{reportedAt: now, evidence: c.Evidence}
		telemetry.JobWorkerCrashes.Add(1, jobs.EvidenceName(c.Evidence))
		klog.InfoS("Worker crashed", "worker", c.Worker, "suspects", len(c.Suspects), "evidence", jobs.EvidenceName(evidence))
		for _, run := range c.Suspects {
			l.add(&api.JobChange{Body: &api.JobChange_Crash{Crash: &api.RunCrash{Run: run, Evidence: evidence}}})
		}
	}
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

// handleCommittedCrash logs a job that was given up for the run. The lock is held.
func (l *leadership) handleCommittedCrash(crash *api.RunCrash, err error) {
	run := jobs.RunIDOf(crash.Run)
	var givenUp bool
	l.server.config.State.Read(func(view jobs.View) {
		job := view.Job(run.Task.Job)
		givenUp = err == nil && job != nil && job.CrashedBy != nil && jobs.RunIDOf(job.CrashedBy) == run
	})
	if givenUp {
		l.forgetJob(run.Task.Job)
		telemetry.JobsGivenUp.Add(1)
		klog.InfoS("Job given up, a task crashes its workers", "job", run.Task.Job, "run", run.String(),
			"evidence", jobs.EvidenceName(crash.Evidence))
	}
}

// lossEvidence returns whether a run that was lost with its worker had survived its
// start. The lock is held.
func (l *leadership) lossEvidence(key string, run jobs.RunID) api.CrashEvidence {
	crash, known := l.crashes[key]
	if known && crash.evidence != api.CrashEvidence_CRASH_EVIDENCE_RECENT && l.survivedStart(key, run) {
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
