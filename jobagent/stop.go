package jobagent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/timing"
)

// stopRun stops a run in the background so that it ends and can no longer start.
// Agent.mu must be held.
func (w *incarnation) stopRun(id jobs.RunID) {
	r := w.runs[id]
	if r.stopping {
		return
	}
	r.stopping = true
	r.phase = runFencing
	w.agent.wg.Go(func() { w.stopUntilConfirmed(id, r) })
}

// stopUntilConfirmed repeats the stop until the worker confirms it or the run's
// end becomes known otherwise. A stop is idempotent, so the first attempts have short
// timeouts; later ones give a slow worker time to answer.
func (w *incarnation) stopUntilConfirmed(id jobs.RunID, r *run) {
	delay, timeout := minRetryDelay, minCallTimeout
	for w.ctx.Err() == nil {
		w.agent.mu.Lock()
		r.times.stopCalls++
		w.agent.mu.Unlock()
		sent := time.Now()
		err := w.callStop(id, timeout)
		w.agent.mu.Lock()
		gone := w.runs[id] != r
		if err == nil && !gone {
			r.conclusivePoll = w.sentPolls + 1
			if !r.listedOnce {
				w.requestList()
			}
			r.times.stopConfirmed = w.agent.config.Clock()
			klog.InfoS("Run stop confirmed", "job", id.Task.Job, "run", id.String(), "worker", w.key)
		}
		w.agent.mu.Unlock()
		if err == nil || gone {
			return
		}
		klog.InfoS("Run stop not confirmed, retrying", "job", id.Task.Job, "run", id.String(), "worker", w.key, "error", err)
		if !timing.Sleep(w.ctx, delay-time.Since(sent)) {
			return
		}
		delay, timeout = min(2*delay, maxRetryDelay), min(2*timeout, stopTimeout)
	}
}

func (w *incarnation) callStop(id jobs.RunID, timeout time.Duration) error {
	release := w.acquire()
	if release == nil {
		return fault.New(fault.Canceled, "the worker incarnation has ended")
	}
	defer release()
	w.agent.mu.Lock()
	target, fence := w.target(), w.fence()
	w.agent.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	sent := time.Now()
	clockMS, err := w.agent.config.Worker.Stop(ctx, target, id, fence)
	observeCall("stop", sent, err)
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	w.updateClock(clockMS)
	return err
}
