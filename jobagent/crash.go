package jobagent

import (
	"cmp"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
	"amaranthpaddle/timing"
)

// maxCrashes is the number of earlier incarnations whose crashes are reported.
const maxCrashes = 4

// crashReportAge is the time for which a crash is reported to new leaders. Later, they can
// not know which other workers went down at the same time.
const crashReportAge = 20 * time.Second

// recentRunAge is the time for which a run that survived its start may still have
// crashed its worker.
const recentRunAge = 2 * time.Second

// crash is the crash of an earlier incarnation.
type crash struct {
	at      time.Time
	message *api.WorkerCrash
}

// crashSuspect is a run that may have crashed its worker.
type crashSuspect struct {
	run *api.RunRef
	ran time.Duration // longest time that may lie between its start and the crash
}

// crash returns which runs may have crashed this incarnation, which a later one has
// replaced: those that it was starting or, when there were none, the latest ones. It
// returns nil for an incarnation that had announced its end. Agent.mu must be held.
func (w *incarnation) crash() *crash {
	if w.worker.Draining || w.agent.leaving {
		return nil
	}
	at, exact := w.downAt()
	message := &api.WorkerCrash{Worker: w.key, Evidence: api.CrashEvidence_CRASH_EVIDENCE_SUSPECT}
	suspects := append(w.startingAt(at, exact), w.silentStarts...)
	switch len(suspects) {
	case 0:
		message.Evidence = api.CrashEvidence_CRASH_EVIDENCE_RECENT
		suspects = w.recentAt(at)
	case 1:
		message.Evidence = api.CrashEvidence_CRASH_EVIDENCE_SOLE_SUSPECT
	}
	for _, suspect := range suspects {
		message.Suspects = append(message.Suspects, suspect.run)
		message.RanMs = append(message.RanMs, suspect.ran.Milliseconds())
	}
	for _, other := range w.runningAt(at, suspects) {
		message.Running = append(message.Running, other.run)
		message.RunningMs = append(message.RunningMs, other.ran.Milliseconds())
	}
	klog.InfoS("Worker ended without notice", "worker", w.key, "runs", len(w.runs), "down_ms", w.agent.config.Clock().Sub(at).Milliseconds(),
		"exact", exact, "suspects", len(suspects), "running", len(message.Running), "evidence", jobs.EvidenceName(message.Evidence))
	return &crash{at: at, message: message}
}

// downAt returns when the incarnation went down, and whether that is known exactly: the
// loss of a connection shows it, silence does not. Agent.mu must be held.
func (w *incarnation) downAt() (at time.Time, exact bool) {
	switch {
	case !w.downSince.IsZero():
		return w.downSince, true
	case !w.unansweredSince.IsZero():
		return w.unansweredSince, false
	}
	return w.agent.config.Clock(), false
}

// startingAt returns the runs that the incarnation may have been starting when it went
// down. Agent.mu must be held.
func (w *incarnation) startingAt(at time.Time, exact bool) (suspects []crashSuspect) {
	for id, r := range w.runs {
		if ran, begun := r.ranBy(at); r.starting() && begun && (!exact || ran < minStartTime) {
			suspects = append(suspects, crashSuspect{id.Ref(), ran})
		}
	}
	return suspects
}

// ranBy returns the longest time that may lie between the start of a run and a time, and
// whether anything shows that the worker may have begun the run: its answer, its list, or
// the loss of the connection on which the start was sent. A start that is merely
// unanswered shows nothing.
func (r *run) ranBy(at time.Time) (ran time.Duration, begun bool) {
	switch {
	case !r.startedAt.IsZero():
		return max(at.Sub(r.startedAt), 0), true
	case r.connectionLost:
		return max(at.Sub(r.times.sent), 0), true
	}
	return 0, false
}

// recentAt returns the runs that had survived their start for a short time. Agent.mu must
// be held.
func (w *incarnation) recentAt(at time.Time) (suspects []crashSuspect) {
	for id, r := range w.runs {
		if !r.survivedAt.IsZero() && at.Sub(r.survivedAt) < recentRunAge {
			ran, _ := r.ranBy(at)
			suspects = append(suspects, crashSuspect{id.Ref(), ran})
		}
	}
	return suspects
}

// maxCrashRunning bounds the other runs that are reported with a crash. A run that has run
// for longer is less likely to be the cause.
const maxCrashRunning = 256

// runningAt returns the runs that the incarnation had begun when it went down, without its
// suspects, those that ran for the shortest time first. Agent.mu must be held.
func (w *incarnation) runningAt(at time.Time, suspects []crashSuspect) (others []crashSuspect) {
	excluded := map[jobs.RunID]bool{}
	for _, suspect := range suspects {
		excluded[jobs.RunIDOf(suspect.run)] = true
	}
	for id, r := range w.runs {
		if ran, begun := r.ranBy(at); begun && !excluded[id] {
			others = append(others, crashSuspect{id.Ref(), ran})
		}
	}
	if !w.unansweredSince.IsZero() {
		others = append(others, w.silentRuns...)
	}
	slices.SortFunc(others, func(a, b crashSuspect) int { return cmp.Compare(a.ran, b.ran) })
	return others[:min(len(others), maxCrashRunning)]
}

// acquit drops a run from the suspects of the latest crash: a later incarnation has
// begun it. Agent.mu must be held.
func (w *incarnation) acquit(run jobs.RunID) {
	if len(w.crashes) == 0 {
		return
	}
	message := w.crashes[len(w.crashes)-1].message
	i := slices.IndexFunc(message.Suspects, func(ref *api.RunRef) bool { return jobs.RunIDOf(ref) == run })
	if i >= 0 {
		message.Suspects, message.RanMs = slices.Delete(message.Suspects, i, i+1), slices.Delete(message.RanMs, i, i+1)
	}
	i = slices.IndexFunc(message.Running, func(ref *api.RunRef) bool { return jobs.RunIDOf(ref) == run })
	if i >= 0 {
		message.Running, message.RunningMs = slices.Delete(message.Running, i, i+1), slices.Delete(message.RunningMs, i, i+1)
	}
}

// crashReports returns the recent crashes of earlier incarnations, as seen from a time.
// Agent.mu must be held.
func (w *incarnation) crashReports(now time.Time) (reports []*api.WorkerCrash) {
	w.crashes = slices.DeleteFunc(w.crashes, func(c *crash) bool { return now.Sub(c.at) > crashReportAge })
	for _, c := range w.crashes {
		report := proto.CloneOf(c.message)
		report.AgoMs = now.Sub(c.at).Milliseconds()
		reports = append(reports, report)
	}
	return reports
}

// minStartTime is the time after which a worker that runs on has survived the start of a
// run. A list may catch a run just before the crash.
const minStartTime = 100 * time.Millisecond

// starting reports whether the incarnation may have begun the run, and nothing has
// shown yet that it survived that.
func (r *run) starting() bool { return r.sent && r.survivedAt.IsZero() }

// answeredLater reports whether a later incarnation of the worker has answered a call: its
// clock, which starts anew, is behind the reading that was known when the call was sent.
func answeredLater(clockMS, known int64) bool { return clockMS < known }

// noteAlive records that the worker ran at a time: when a call was sent that it has
// answered, or when a list arrived. Agent.mu must be held.
func (w *incarnation) noteAlive(at time.Time) {
	for _, r := range w.runs {
		if r.starting() && !r.startedAt.IsZero() && at.Sub(r.startedAt) >= minStartTime {
			r.survivedAt = at
			if r.order.GetProbation() {
				w.agent.requestReport() // other runs wait for this one
			}
		}
	}
}

// confirmStart makes a call to the worker once it must have survived the start of a run
// on probation, so that this is known before the next list. The pace of a best-effort
// run is left to setPaces.
func (w *incarnation) confirmStart(id jobs.RunID, r *run) {
	if r.order.BestEffort || !timing.Sleep(w.ctx, minStartTime) {
		return
	}
	release := w.acquire()
	if release == nil {
		return
	}
	defer release()
	w.agent.mu.Lock()
	target, fence, at, known := w.target(), w.fence(), w.agent.config.Clock(), w.clockMS
	w.agent.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, maxStartTimeout)
	defer cancel()
	clockMS, err := w.agent.config.Worker.Pace(ctx, target, id, dispatch.FullPace, fence)
	if err != nil || answeredLater(clockMS, known) {
		return // the next list tells
	}
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	w.noteAlive(at)
}
