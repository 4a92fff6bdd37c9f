package jobagent

import (
	"maps"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// tokenTermBits leaves a fencing token within 53 bits until the year 2039, so that it is
// exact for a worker that reads numbers as floating point.
const tokenTermBits = 12

// fencingToken returns the fencing token of calls to an incarnation of a worker, for the
// leader of a term. The incarnation outweighs the term: a worker's id does not tell its
// incarnations apart, and one that has answered a call must refuse whatever was sent to
// an earlier one, under any leader.
func fencingToken(born int64, term uint64) uint64 {
	return uint64(max(born, 0))<<tokenTermBits + term
}

// fence returns the fencing token of the next call. Agent.mu must be held.
func (w *incarnation) fence() uint64 { return fencingToken(w.worker.Born, w.agent.term) }

// startRetention is how long an unsettled start is remembered. Calls without an answer may
// be carried out seconds later, also after restarts of the worker.
const startRetention = 30 * time.Second

// sentStart is a start that was sent to an incarnation of a worker which has neither
// refused it nor listed its run.
type sentStart struct {
	key      string // of the incarnation
	order    *api.RunOrder
	unixMS   int64 // when it was sent
	sentAt   time.Time
	answered bool
	crossed  bool // a later incarnation has listed the run
}

// noteSent remembers a start that is being sent. Agent.mu must be held.
func (w *incarnation) noteSent(id jobs.RunID, order *api.RunOrder) {
	w.agent.forgetOldStarts()
	w.agent.sentStarts[id] = &sentStart{key: w.key, order: order, unixMS: time.Now().UnixMilli(), sentAt: w.agent.config.Clock()}
}

// forgetOldStarts drops the starts that were sent longer than startRetention ago. Agent.mu
// must be held.
func (a *Agent) forgetOldStarts() {
	now := a.config.Clock()
	maps.DeleteFunc(a.sentStarts, func(_ jobs.RunID, sent *sentStart) bool { return now.Sub(sent.sentAt) > startRetention })
}

// noteStartResult records the result of a start. Agent.mu must be held.
func (w *incarnation) noteStartResult(id jobs.RunID, err error) {
	sent := w.agent.sentStarts[id]
	switch {
	case sent == nil || sent.key != w.key:
	case err == nil:
		sent.answered = true
	case fault.KindOf(err).Answer().Outcome == fault.OutcomeNotRun:
		delete(w.agent.sentStarts, id)
	}
}

// noteListed settles the start of a run that the incarnation has listed as running or
// ended. Agent.mu must be held.
func (w *incarnation) noteListed(id jobs.RunID) {
	sent := w.agent.sentStarts[id]
	switch {
	case sent == nil || sent.crossed:
	case sent.key == w.key:
		delete(w.agent.sentStarts, id)
	default:
		sent.crossed = true
		w.acquit(id)
		telemetry.JobAgentCrossedStarts.Add(1)
		klog.InfoS("Run was started by an order for an earlier incarnation, stopping it", "job", id.Task.Job, "run", id.String(),
			"worker", w.key, "ordered_for", sent.key, "sent_before_restart_ms", w.worker.Born-sent.unixMS, "answered", sent.answered)
	}
}

// mayReuseID reports whether calls to an earlier incarnation with an id may be under way:
// this process has made some, or the one before may have. Agent.mu must be held.
func (a *Agent) mayReuseID(id string) bool {
	if a.current != nil && a.current.worker.Id == id {
		return true
	}
	return a.config.Clock().Sub(a.startedAt) < jobs.StartDelayLimit
}

// fenceFormerStarts takes over the runs whose starts an earlier incarnation with the same id
// has not answered. They count as runs of this one until it is certain that they have not
// begun: it refuses the starts from its first answer on, but if it ends, the next incarnation
// does not. Agent.mu must be held.
func (w *incarnation) fenceFormerStarts(earlier *incarnation) {
	if earlier.worker.Id != w.worker.Id {
		return // the worker refuses calls for another id
	}
	for id, r := range earlier.runs {
		if !r.unanswered() {
			continue
		}
		w.runs[id] = &run{phase: runFencing, order: r.order, former: true, pace: dispatch.FullPace, times: r.times}
		w.stopRun(id)
	}
}

// takeOverEnds takes over the ends that an earlier incarnation with the same id has listed and
// the leader has not recorded: this one does not know them, and their runs would count as
// lost. Their positions say nothing of its own ends. Agent.mu must be held.
func (w *incarnation) takeOverEnds(earlier *incarnation) {
	if earlier.worker.Id != w.worker.Id {
		return
	}
	for id, e := range earlier.ends {
		if e.listed {
			w.ends[id] = &end{listed: true, message: e.message}
		}
	}
}

// unanswered reports whether the run's start was sent and nothing has shown what became of it.
func (r *run) unanswered() bool { return (r.sent || r.former) && !r.begun() }

// mayBeginLater reports whether an incarnation of the worker may still carry out the start of
// a run, though this one has confirmed its stop. Agent.mu must be held.
func (w *incarnation) mayBeginLater(r *run) bool { return r.former && w.startDelayLeft(r) > 0 }

// startDelayLeft returns for how long a start without an answer may still be carried out,
// 0 or less if it may not. Agent.mu must be held.
func (w *incarnation) startDelayLeft(r *run) time.Duration {
	return jobs.StartDelayLimit - w.agent.config.Clock().Sub(r.times.sent)
}

// preventStarts asks a new incarnation once to refuse the starts that were sent to earlier
// ones. Their fencing token does so only from its first answer on, and no longer at the
// incarnation after it. Agent.mu must be held.
func (w *incarnation) preventStarts() {
	w.agent.forgetOldStarts()
	for id := range w.agent.sentStarts {
		if w.runs[id] == nil {
			w.agent.wg.Go(func() { _ = w.callStop(id, stopTimeout) })
		}
	}
}

// stopIfCrossed stops a listed run that was ordered for an earlier incarnation, and reports
// whether it was. Agent.mu must be held.
func (w *incarnation) stopIfCrossed(id jobs.RunID) bool {
	sent := w.agent.sentStarts[id]
	if sent == nil || !sent.crossed {
		return false
	}
	w.runs[id] = &run{phase: runRunning, order: sent.order, pace: dispatch.FullPace}
	w.stopRun(id)
	return true
}

// unsettledStarts returns how many of the remembered starts were sent to other incarnations
// than the one with the key and have no answer. Agent.mu must be held.
func (a *Agent) unsettledStarts(key string) (n int) {
	for _, sent := range a.sentStarts {
		if sent.key != key && !sent.answered && !sent.crossed {
			n++
		}
	}
	return n
}

// noteOutlived records that the worker lists a run as running which was reported lost with
// its lease: the lease lasted for longer than the agent had counted. It stops the run, whose
// task may run elsewhere; if that stop is lost, the next list after the leader has recorded
// the loss leads to another. Agent.mu must be held.
func (w *incarnation) noteOutlived(id jobs.RunID) {
	since, lost := w.lapsed[id]
	if !lost {
		return
	}
	delete(w.lapsed, id)
	telemetry.JobAgentOutlivedRuns.Add(1)
	klog.InfoS("Run that was reported lost is still running", "job", id.Task.Job, "run", id.String(), "worker", w.key,
		"since_reported_ms", w.agent.config.Clock().Sub(since).Milliseconds())
	w.agent.wg.Go(func() { _ = w.callStop(id, stopTimeout) })
}
