package jobagent

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// startTimes holds the times, on the agent's clock, between the order to start a run and
// the confirmation that it can no longer start. Times are zero before they are reached.
type startTimes struct {
	ordered       time.Time
	sent          time.Time
	checkAfter    time.Duration // after sent, unless it is answered by then
	fenced        time.Time     // when the missing answer was given up
	stopConfirmed time.Time
	stopCalls     int
}

// checkStart requests a list if a start has not been answered in time. A run in it has
// begun, and one that is missing is fenced. The starts sent afterwards have twice that time,
// up to maxStartTimeout, until one is answered within startTimeout: a worker may answer polls
// sooner than starts.
func (w *incarnation) checkStart(r *run) {
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	if r.phase == runStarting {
		r.overduePoll = w.sentPolls + 1
		w.requestList()
	}
}

// logSettled logs the end of a run whose start got no answer, with the waits before it.
// Agent.mu must be held.
func (w *incarnation) logSettled(id jobs.RunID, r *run, outcome api.RunOutcome) {
	if r == nil || r.times.fenced.IsZero() {
		return
	}
	now := w.agent.config.Clock()
	t := r.times
	confirmed := t.stopConfirmed
	if confirmed.IsZero() {
		confirmed = now // the end was known before a stop was confirmed
	}
	telemetry.JobAgentUnanswered.Observe(now.Sub(t.sent), jobs.OutcomeName(outcome))
	klog.InfoS("Unanswered start settled", "job", id.Task.Job, "run", id.String(), "worker", w.key,
		"outcome", jobs.OutcomeName(outcome), "unresolved_ms", now.Sub(t.sent).Milliseconds(),
		"slot_ms", t.sent.Sub(t.ordered).Milliseconds(), "answer_ms", t.fenced.Sub(t.sent).Milliseconds(),
		"stop_ms", confirmed.Sub(t.fenced).Milliseconds(), "stop_calls", t.stopCalls,
		"list_ms", now.Sub(confirmed).Milliseconds(), "listed", r.listedOnce)
}

// isConnectionLost reports whether a call failed because its connection was lost, in
// contrast to one without an answer.
func isConnectionLost(err error) bool {
	return fault.Is(err, fault.ConnectionLost) && !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled)
}
