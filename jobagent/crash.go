package jobagent

import (
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// maxCrashes is the number of earlier incarnations whose crashes are reported.
const maxCrashes = 4

// recentRunAge is the time after its first listing for which a run may still have
// crashed its worker.
const recentRunAge = 2 * time.Second

// crash returns which runs may have crashed this incarnation, which a later one has
// replaced: those that it was starting or, when there were none, the latest ones. It
// returns nil for an incarnation that had announced its end. Agent.mu must be held.
func (w *incarnation) crash() *api.WorkerCrash {
	if w.worker.Draining || w.agent.leaving {
		return nil
	}
	crash := &api.WorkerCrash{Worker: w.key, Evidence: api.CrashEvidence_CRASH_EVIDENCE_SUSPECT}
	crash.Suspects = w.suspects((*run).starting)
	switch len(crash.Suspects) {
	case 0:
		crash.Evidence = api.CrashEvidence_CRASH_EVIDENCE_RECENT
		crash.Suspects = w.suspects(func(r *run) bool { return w.lastAnswer().Sub(r.listedAt) < recentRunAge })
	case 1:
		crash.Evidence = api.CrashEvidence_CRASH_EVIDENCE_SOLE_SUSPECT
	}
	klog.InfoS("Worker ended without notice", "worker", w.key, "runs", len(w.runs),
		"suspects", len(crash.Suspects), "evidence", jobs.EvidenceName(crash.Evidence))
	return crash
}

// suspects returns the runs that meet a condition, and those that were given up with
// the silent worker while it was starting them. Agent.mu must be held.
func (w *incarnation) suspects(condition func(*run) bool) (suspects []*api.RunRef) {
	for id, r := range w.runs {
		if condition(r) {
			suspects = append(suspects, id.Ref())
		}
	}
	for _, e := range w.ends {
		if e.message.CrashEvidence == api.CrashEvidence_CRASH_EVIDENCE_SUSPECT {
			suspects = append(suspects, e.message.Run)
		}
	}
	return suspects
}

// lastAnswer returns when the worker is last known to have run. Agent.mu must be held.
func (w *incarnation) lastAnswer() time.Time {
	if w.unansweredSince.IsZero() {
		return w.agent.config.Clock()
	}
	return w.unansweredSince
}

// starting reports whether the incarnation was ordered to start the run and has not
// listed it yet.
func (r *run) starting() bool { return r.ordered && !r.listedOnce }

// silenceEvidence returns what the end of a run on a worker that has fallen silent
// says of it. Silence does not prove a crash.
func (r *run) silenceEvidence() api.CrashEvidence {
	if r.starting() {
		return api.CrashEvidence_CRASH_EVIDENCE_SUSPECT
	}
	return api.CrashEvidence_CRASH_EVIDENCE_UNKNOWN
}
