package jobagent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/timing"
)

// runHolds renews the worker's lease and takes in its lists until the
// incarnation ends.
func (w *incarnation) runHolds() {
	pause := retryPause
	for w.ctx.Err() == nil {
		err := w.hold()
		if err == nil {
			pause = retryPause
			w.waitRecorded()
			continue
		}
		if w.ctx.Err() != nil {
			return
		}
		w.noteUnanswered(err)
		if !timing.Sleep(w.ctx, pause) {
			return
		}
		pause = min(2*pause, maxRetry)
	}
}

// hold makes one call and takes in its answer.
func (w *incarnation) hold() error {
	a := w.agent
	a.mu.Lock()
	call := w.holdCall()
	target := w.target()
	a.mu.Unlock()
	timeout := time.Duration(call.WaitMS)*time.Millisecond + holdSlack
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	answer, err := a.config.Worker.Hold(ctx, target, call)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if answer.Born != w.worker.Born {
		return fault.Newf(fault.Conflict, "incarnation %d answered in place of %d", answer.Born, w.worker.Born)
	}
	w.take(answer)
	return nil
}

// holdCall returns the next call. While the worker does not answer, its lease
// is not extended. The lock is held.
func (w *incarnation) holdCall() HoldCall {
	call := HoldCall{Fence: w.agent.term, Cursor: w.cursor()}
	if w.unanswered.IsZero() {
		if call.DeadlineMS = w.deadlineMS(); call.DeadlineMS > 0 {
			until, _ := w.agent.lease()
			w.renewedTo = later(w.renewedTo, until)
		}
		call.WaitMS = w.wait().Milliseconds()
	}
	return call
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wait returns for how long the worker may wait for an end. The lock is held.
func (w *incarnation) wait() time.Duration {
	if w.clockRead.IsZero() {
		return 0
	}
	for _, r := range w.runs {
		if r.stoppedAt > 0 && !r.listedOnce {
			return 0 // the next list decides about it
		}
	}
	if w.mixed() {
		return pacingWait
	}
	return longWait
}

// mixed reports whether best-effort runs work beside services.
func (w *incarnation) mixed() bool {
	serving, bestEffort := false, false
	for _, r := range w.runs {
		serving = serving || r.order.GetTargetLatencyMs() > 0
		bestEffort = bestEffort || r.order.GetBestEffort()
	}
	return serving && bestEffort
}

// waitRecorded gives the leader a moment to record what was just listed: until
// it has, the worker lists it again.
func (w *incarnation) waitRecorded() {
	limit := time.NewTimer(recordWait)
	defer limit.Stop()
	for {
		w.agent.mu.Lock()
		waiting := len(w.open) > 0
		w.agent.mu.Unlock()
		if !waiting {
			return
		}
		select {
		case <-w.recorded:
		case <-limit.C:
			return
		case <-w.ctx.Done():
			return
		}
	}
}

// take takes in an answer. The lock is held.
func (w *incarnation) take(answer *HoldAnswer) {
	if !w.unanswered.IsZero() {
		klog.InfoS("Worker answers again", "worker", w.key, "silent_ms", w.agent.config.Clock().Sub(w.unanswered).Milliseconds())
		w.unanswered = time.Time{}
	}
	w.holds++
	if w.holds == 1 {
		w.agent.signal()
	}
	w.noteClock(answer.ClockMS)
	for _, listed := range answer.Ends {
		if listed.Position <= w.listed {
			continue
		}
		w.listed = listed.Position
		w.open[listed.Position] = struct{}{}
		w.finish(listed.Run, listed.Outcome, listed.Checkpoint, listed.Reason, listed.Position)
	}
	w.takeRunning(answer.Running)
	w.pace()
	if w.mixed() {
		w.agent.signal() // the leader learns from each look
	}
}

// takeRunning compares the worker's list with the runs that are known.
func (w *incarnation) takeRunning(list []*api.RunStatus) {
	running := make(map[jobs.RunID]bool, len(list))
	for _, status := range list {
		id := jobs.RunOf(status.Run)
		running[id] = true
		r := w.runs[id]
		if r == nil {
			if w.ends[id] != nil {
				continue // an older list
			}
			r = &run{phase: runRunning, pace: dispatch.FullPace}
			w.runs[id] = r
		}
		if r.phase == runStarting {
			r.phase = runRunning
		}
		r.status, r.listedOnce = status, true
	}
	for id, r := range w.runs {
		switch {
		case running[id]:
		case r.phase == runFencing && r.stoppedAt > 0 && w.holds > r.stoppedAt:
			w.finish(id, api.RunOutcome_RUN_OUTCOME_LOST, "", "the worker does not know the run and never will", 0)
		case r.phase == runRunning && r.listedOnce && !r.stopping:
			// It is no longer listed, so its end is in a list that follows, or the
			// worker has forgotten it. A stop makes sure of either.
			w.stop(id)
		}
	}
}

// noteUnanswered takes in that a hold got no answer. Once the latest lease that
// was sent is over, nothing runs there any more.
func (w *incarnation) noteUnanswered(err error) {
	a := w.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock()
	if w.unanswered.IsZero() {
		w.unanswered = now
		klog.InfoS("Worker does not answer", "worker", w.key, "runs", len(w.runs), "error", err)
		a.signal()
	}
	if now.Before(w.renewedTo.Add(lapseMargin)) {
		return
	}
	for id, r := range w.runs {
		if r.phase == runStarting {
			continue // its call decides
		}
		checkpoint := ""
		if r.status != nil {
			checkpoint = r.status.Checkpoint
		}
		w.finish(id, api.RunOutcome_RUN_OUTCOME_LOST, checkpoint, "the worker does not answer and its lease is over", 0)
	}
}

// lapseMargin is the time that a worker may take to act on a lease that is over.
const lapseMargin = 250 * time.Millisecond

// pace adapts the pace of best-effort runs to the services beside them, after a
// list of the worker. The lock is held.
func (w *incarnation) pace() {
	now := w.agent.config.Clock()
	if now.Sub(w.pacedAt) < paceInterval {
		return // the worker's figures have hardly changed
	}
	w.pacedAt = now
	services, fillers, ids := w.neighbours()
	w.setPaces(ids, w.pacing.Look(services, fillers, w.agent.costs.PerCore), services)
}

// paceNew paces a best-effort run that has just begun, before the worker's
// figures show what it does to the services. The lock is held.
func (w *incarnation) paceNew() {
	services, fillers, ids := w.neighbours()
	w.setPaces(ids, w.pacing.Paces(services, fillers, w.agent.costs.PerCore), services)
}

// neighbours returns the services and the best-effort runs with their ids, as
// the worker listed them last. The lock is held.
func (w *incarnation) neighbours() (services []dispatch.Serving, fillers []dispatch.Filler, ids []jobs.RunID) {
	for id, r := range w.runs {
		if r.order == nil {
			continue
		}
		if target := r.order.TargetLatencyMs; target > 0 && r.status != nil {
			services = append(services, dispatch.Serving{
				Image: r.order.Image, Headroom: dispatch.HeadroomOf(r.status.Usage, target),
			})
		} else if r.order.BestEffort && r.phase == runRunning {
			ids = append(ids, id)
			fillers = append(fillers, dispatch.Filler{
				Image: r.order.Image, Cores: cores(r.status.GetUsage()), Full: cores(r.order.MilliCpu),
			})
		}
	}
	return services, fillers, ids
}

// setPaces orders the paces that have changed. The lock is held.
func (w *incarnation) setPaces(ids []jobs.RunID, paces []int, services []dispatch.Serving) {
	changed := 0
	for i, percent := range paces {
		if r := w.runs[ids[i]]; r.pace != percent {
			r.pace = percent
			changed++
			w.agent.done.Go(func() { w.callPace(ids[i], percent) })
		}
	}
	if changed > 0 {
		klog.InfoS("Best-effort pace changed", "worker", w.key, "runs", changed, "of", len(ids), "services", services)
	}
}

// paceInterval is the shortest time between changes of pace: the worker's
// figures speak of half a second.
const paceInterval = 350 * time.Millisecond

func cores(milliCPU int64) float64 { return float64(milliCPU) / 1000 }

func (w *incarnation) callPace(id jobs.RunID, percent int) {
	if !w.acquire() {
		return
	}
	defer w.release()
	w.agent.mu.Lock()
	target, fence := w.target(), w.agent.term
	w.agent.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, stopTimeout)
	defer cancel()
	if err := w.agent.config.Worker.Pace(ctx, target, id, percent, fence); err != nil {
		klog.InfoS("Pace not set", "job", id.Task.Job, "run", id.String(), "worker", w.key, "percent", percent, "error", err)
		w.agent.mu.Lock()
		defer w.agent.mu.Unlock()
		if r := w.runs[id]; r != nil {
			r.pace = -1 // the next look sets it again
		}
	}
}
