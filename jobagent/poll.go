package jobagent

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/timing"
)

// pollLoop polls the worker, which renews its lease, until the incarnation ends.
func (w *incarnation) pollLoop() {
	delay, timeout := minRetryDelay, minCallTimeout
	for w.ctx.Err() == nil {
		sent := time.Now()
		err := w.poll(timeout)
		if err == nil {
			delay, timeout = minRetryDelay, minCallTimeout
			w.waitRecorded()
			continue
		}
		if w.ctx.Err() != nil {
			return
		}
		w.handlePollFailure(err)
		if !timing.Sleep(w.ctx, delay-time.Since(sent)) {
			return
		}
		delay, timeout = min(2*delay, maxRetryDelay), min(2*timeout, pollMargin)
	}
}

// poll polls the worker once and handles the response. timeout is that of a poll that
// does not wait.
func (w *incarnation) poll(timeout time.Duration) error {
	a := w.agent
	a.mu.Lock()
	request := w.pollRequest()
	target := w.target()
	w.sentPolls++
	number := w.sentPolls
	if request.WaitMS > 0 {
		timeout = time.Duration(request.WaitMS)*time.Millisecond + pollMargin
	}
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	ended := false
	if request.WaitMS > 0 {
		w.endWait = func() { ended = true; cancel() }
	}
	a.mu.Unlock()
	response, err := a.config.Worker.Poll(ctx, target, request)
	a.mu.Lock()
	defer a.mu.Unlock()
	w.endWait = nil
	if err != nil && ended {
		return nil // the next poll asks for a list at once
	}
	if err != nil {
		return err
	}
	if response.Born != w.worker.Born {
		return fault.Newf(fault.Conflict, "incarnation %d answered in place of %d", response.Born, w.worker.Born)
	}
	w.acknowledged = max(w.acknowledged, request.Cursor)
	w.handlePollResponse(response, number)
	return nil
}

// requestList ends the long poll under way, so that the next poll, for which pollWait
// returns 0, is sent at once. Agent.mu must be held.
func (w *incarnation) requestList() {
	if w.endWait != nil {
		w.endWait()
	}
}

// pollRequest returns the next poll. While the worker does not answer, its lease is not
// extended and no end is acknowledged: a later incarnation may answer, whose positions
// start anew. For the same reason, a cursor is sent until one poll with it is answered: a
// call that is held across a restart acknowledges ends of the later incarnation that
// nobody has seen. Agent.mu must be held.
func (w *incarnation) pollRequest() PollRequest {
	request := PollRequest{Fence: w.fence()}
	if w.unansweredSince.IsZero() {
		if cursor := w.cursor(); cursor > w.acknowledged {
			request.Cursor = cursor
		}
		if request.DeadlineMS = w.deadlineMS(); request.DeadlineMS > 0 {
			until, _ := w.lease()
			w.sentLeaseUntil = later(w.sentLeaseUntil, until)
		}
		request.WaitMS = w.pollWait().Milliseconds()
	}
	return request
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// pollWait returns how long the worker may hold back its response until a run
// ends. Agent.mu must be held.
func (w *incarnation) pollWait() time.Duration {
	if w.polls == 0 {
		return 0 // the leader waits for the first list
	}
	wait := maxPollWait
	if w.colocated() {
		wait = colocatedPollWait
	}
	for _, r := range w.runs {
		if w.mayBeginLater(r) {
			wait = min(wait, w.startDelayLeft(r)+time.Millisecond) // the list after that settles it
			continue
		}
		if r.conclusivePoll > 0 && !r.listedOnce {
			return 0 // the next response tells whether the run exists
		}
		if r.phase == runStarting && r.overduePoll > 0 {
			return 0 // the next response tells whether the start has taken effect
		}
		if r.starting() && r.order.Probation {
			return minStartTime
		}
	}
	return wait
}

// colocated reports whether best-effort runs share the worker with services.
// Agent.mu must be held.
func (w *incarnation) colocated() bool {
	serving, bestEffort := false, false
	for _, r := range w.runs {
		serving = serving || r.order.GetTargetLatencyMs() > 0
		bestEffort = bestEffort || r.order.GetBestEffort()
	}
	return serving && bestEffort
}

// waitRecorded waits up to recordWait for the leader to record the ended runs of
// the last response: until they are acknowledged, the worker lists them again.
func (w *incarnation) waitRecorded() {
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	for {
		w.agent.mu.Lock()
		waiting := len(w.unrecorded) > 0
		w.agent.mu.Unlock()
		if !waiting {
			return
		}
		select {
		case <-w.recorded:
		case <-timer.C:
			return
		case <-w.ctx.Done():
			return
		}
	}
}

// handlePollResponse applies the response to the poll of a number to the agent's state.
// Agent.mu must be held.
func (w *incarnation) handlePollResponse(response *PollResponse, number int64) {
	if !w.unansweredSince.IsZero() {
		klog.InfoS("Worker is answering again", "worker", w.key, "silent_ms", w.agent.config.Clock().Sub(w.unansweredSince).Milliseconds())
		w.unansweredSince = time.Time{}
	}
	w.unreachable, w.downSince = false, time.Time{}
	w.polls++
	if !response.MoreEnds {
		w.wholeLists++
	}
	if w.polls == 1 {
		klog.InfoS("Worker listed its runs for the first time", "worker", w.key, "runs", len(response.Running), "ends", len(response.Ends),
			"since_registered_ms", w.agent.config.Clock().Sub(w.registeredAt).Milliseconds(), "unsettled_starts", w.agent.unsettledStarts(w.key))
		w.agent.requestReport()
	}
	w.updateClock(response.ClockMS)
	for _, listed := range response.Ends {
		if listed.Position <= w.lastPosition {
			continue
		}
		w.lastPosition = listed.Position
		w.unrecorded[listed.Position] = struct{}{}
		w.noteListed(listed.Run)
		w.finish(listed.Run, listed.Outcome, listed.Checkpoint, listed.Reason, listed.Position)
	}
	w.noteAlive(w.agent.config.Clock())
	w.noteRunning(response.Running)
	clear(w.lapsed) // this list has shown which of them run on
	if !response.MoreEnds {
		w.settleUnlisted(response.Running, number)
	}
	w.adjustPaces()
	if w.colocated() {
		w.agent.requestReport() // the leader learns interference costs from every usage sample
	}
}

// noteRunning records the runs that the worker lists as running, and adopts unknown ones.
// Agent.mu must be held.
func (w *incarnation) noteRunning(list []*api.RunStatus) {
	for _, status := range list {
		id := jobs.RunIDOf(status.Run)
		w.noteListed(id)
		w.noteOutlived(id)
		if w.runs[id] == nil && !w.adopt(id) {
			continue // the list is older than the end of the run
		}
		r := w.runs[id]
		if r.phase == runStarting {
			r.phase = runRunning
		}
		r.status, r.listedOnce = status, true
		if r.startedAt.IsZero() {
			r.startedAt = w.agent.config.Clock()
		}
	}
}

// settleUnlisted decides on the runs that the worker's response to the poll of a number
// doesn't name. The response must be whole, else they may be ends that were left out.
// Agent.mu must be held.
func (w *incarnation) settleUnlisted(list []*api.RunStatus, poll int64) {
	running := make(map[jobs.RunID]bool, len(list))
	for _, status := range list {
		running[jobs.RunIDOf(status.Run)] = true
	}
	for id, r := range w.runs {
		switch {
		case running[id]:
		case r.phase == runStarting && r.overduePoll > 0 && poll >= r.overduePoll:
			// The worker answers calls, but not this one. It may need longer for starts. Starts
			// that were sent at the same time lengthen the time-out once.
			r.cancelStart()
			w.startTimeout = max(w.startTimeout, min(2*r.times.checkAfter, maxStartTimeout))
		case r.phase == runFencing && w.mayBeginLater(r):
		case r.phase == runFencing && r.conclusivePoll > 0 && poll >= r.conclusivePoll:
			w.finish(id, api.RunOutcome_RUN_OUTCOME_LOST, "", "the worker does not know the run and never will", 0)
		case r.phase == runRunning && !r.stopping && (r.listedOnce || r.acceptedPoll > 0 && poll >= r.acceptedPoll):
			// The run is not or no longer listed: either a later response reports its end,
			// or the worker has forgotten it. A stop settles both cases.
			w.stopRun(id)
		}
	}
}

// handlePollFailure handles a poll without an answer.
func (w *incarnation) handlePollFailure(err error) {
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock()
	if unreachable := fault.Is(err, fault.BackendUnavailable); unreachable != w.unreachable {
		w.unreachable = unreachable
		a.requestReport()
	}
	if w.unansweredSince.IsZero() {
		w.unansweredSince = now
		if !errors.Is(err, context.DeadlineExceeded) {
			w.downSince = now
		}
		klog.InfoS("Worker stopped answering", "worker", w.key, "runs", len(w.runs), "error", err)
		a.requestReport()
	}
	if !now.Before(w.sentLeaseUntil.Add(lapseMargin)) {
		w.loseLapsedRuns(now)
	}
}

// loseLapsedRuns reports the runs of a silent worker as lost once the latest lease that was
// sent to it has ended: none that it has begun can still be running. Agent.mu must be held.
func (w *incarnation) loseLapsedRuns(now time.Time) {
	lost := 0
	for id, r := range w.runs {
		if r.phase == runStarting {
			continue // the result of its start request decides
		}
		if r.unanswered() && w.startDelayLeft(r)+w.agent.longestLease() > 0 || r.former && w.polls == 0 {
			continue // a lease bounds only what has begun, and a later incarnation may begin it
		}
		checkpoint := ""
		if r.status != nil {
			checkpoint = r.status.Checkpoint
		}
		w.finish(id, api.RunOutcome_RUN_OUTCOME_LOST, checkpoint, "the worker does not answer and its lease is over", 0)
		w.lapsed[id] = now
		lost++
		at, _ := w.downAt()
		ran, begun := r.ranBy(at)
		if r.starting() {
			w.ends[id].message.CrashEvidence = api.CrashEvidence_CRASH_EVIDENCE_SILENT
		}
		switch {
		case begun && r.starting():
			w.silentStarts = append(w.silentStarts, crashSuspect{id.Ref(), ran})
		case begun:
			w.silentRuns = append(w.silentRuns, crashSuspect{id.Ref(), ran})
		}
	}
	if lost > 0 {
		klog.InfoS("Lease of the silent worker is over", "worker", w.key, "runs", lost, "answered", w.polls > 0,
			"since_registered_ms", now.Sub(w.registeredAt).Milliseconds(), "silent_ms", now.Sub(w.unansweredSince).Milliseconds(),
			"unsettled_starts", w.agent.unsettledStarts(""))
	}
}

// adopt takes up a listed run that this incarnation was not asked to start by this process
// of the agent. It returns false for a run that has ended. Agent.mu must be held.
func (w *incarnation) adopt(id jobs.RunID) bool {
	if w.ends[id] != nil {
		return false
	}
	if w.stopIfCrossed(id) {
		return true
	}
	w.runs[id] = &run{phase: runRunning, pace: dispatch.FullPace}
	if w.compared {
		klog.InfoS("Stopping a run that the leader does not expect", "job", id.Task.Job, "run", id.String(), "worker", w.key)
		w.stopRun(id)
	}
	return true
}

// lapseMargin is the time that a worker may take to end its runs once its lease
// has ended.
const lapseMargin = 250 * time.Millisecond
