package jobcontrol

import (
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// workerCrash is what an agent knows of the end of a worker's incarnation.
type workerCrash struct {
	reportedAt time.Time
	evidence   api.CrashEvidence // against each of the suspects
	suspects   map[jobs.RunID]bool
}

// Times for which crashes are remembered.
const (
	// crashRetention exceeds the time in which the runs of a crashed worker are
	// recorded as lost, elections included.
	crashRetention = 30 * time.Second
	// unexplainedCrashEffect is the time after the crash of a worker that was
	// starting no run in which other workers may crash for the same reason.
	unexplainedCrashEffect = 10 * time.Second
)

// recordCrashes stores the crashes in a report. The lock is held.
func (l *leadership) recordCrashes(crashes []*api.WorkerCrash) {
	now := l.server.now()
	for key, crash := range l.crashes {
		if now.Sub(crash.reportedAt) > crashRetention {
			delete(l.crashes, key)
		}
	}
	for _, c := range crashes {
		if l.crashes[c.Worker] != nil {
			continue // sent again on a new session
		}
		crash := &workerCrash{reportedAt: now, evidence: c.Evidence, suspects: map[jobs.RunID]bool{}}
		for _, ref := range c.Suspects {
			crash.suspects[jobs.RunIDOf(ref)] = true
		}
		l.crashes[c.Worker] = crash
		telemetry.JobWorkerCrashes.Add(1, jobs.EvidenceName(c.Evidence))
		klog.InfoS("Worker crashed", "worker", c.Worker, "suspects", len(c.Suspects), "evidence", jobs.EvidenceName(c.Evidence))
	}
}

// crashEvidence returns what is known of whether a run crashed its worker. The lock is
// held.
func (l *leadership) crashEvidence(key string, run jobs.RunID) api.CrashEvidence {
	crash := l.crashes[key]
	switch {
	case crash == nil:
		return api.CrashEvidence_CRASH_EVIDENCE_UNKNOWN
	case crash.suspects[run]:
		return l.weaken(crash)
	case crash.evidence != api.CrashEvidence_CRASH_EVIDENCE_RECENT && l.survivedStart(key, run):
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

// weaken returns the evidence of a crash. A sole suspect is one of several while other
// workers crash without a suspect. The lock is held.
func (l *leadership) weaken(crash *workerCrash) api.CrashEvidence {
	if crash.evidence != api.CrashEvidence_CRASH_EVIDENCE_SOLE_SUSPECT {
		return crash.evidence
	}
	for _, other := range l.crashes {
		if other.evidence == api.CrashEvidence_CRASH_EVIDENCE_RECENT &&
			l.server.now().Sub(other.reportedAt) < unexplainedCrashEffect {
			return api.CrashEvidence_CRASH_EVIDENCE_SUSPECT
		}
	}
	return crash.evidence
}
