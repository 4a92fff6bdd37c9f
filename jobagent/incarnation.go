package jobagent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
	"amaranthpaddle/timing"
)

// incarnation is what the agent knows of one incarnation of its worker. Its
// fields are guarded by Agent.mu.
type incarnation struct {
	agent  *Agent
	ctx    context.Context
	cancel context.CancelFunc
	key    string
	calls  chan struct{} // has room for the calls at a time

	worker   *api.Worker
	address  string
	sequence int64

	clockMS   int64     // the worker's clock
	clockRead time.Time // when that reading arrived; the zero time for none
	holds     int64     // answered holds that were sent after the previous answer

	runs     map[jobs.RunID]*run
	ends     map[jobs.RunID]*end
	listed   int64              // highest position that was taken in
	open     map[int64]struct{} // positions that are not recorded
	recorded chan struct{}      // something was recorded

	unhealthy  bool      // as the worker says itself
	unanswered time.Time // since when holds get no answer; the zero time while they do
	renewedTo  time.Time // the latest lease that was sent to the worker
	pacing     *dispatch.Pacing
	pacedAt    time.Time
}

// runPhase is what the agent knows of a run.
type runPhase int

const (
	runStarting runPhase = iota // its start has no answer yet
	runRunning                  // the worker accepted or listed it
	runFencing                  // it is being stopped, whether it runs or not
)

// run is one run that has not ended.
type run struct {
	phase      runPhase
	order      *api.RunOrder // nil for a run that this process did not begin
	status     *api.RunStatus
	pace       int
	stopping   bool  // a stop is on its way
	stoppedAt  int64 // hold count after which the worker's list decides; 0 while no stop is confirmed
	listedOnce bool  // the worker has listed it
}

// end is an end that the leader has not recorded.
type end struct {
	message  *api.WorkerEnd
	position int64 // in the worker's list, 0 for one that the agent found out
	stream   int64 // on which it was last sent
	sentAt   time.Time
}

func newIncarnation(a *Agent, r Registration) *incarnation {
	ctx, cancel := context.WithCancel(a.ctx)
	return &incarnation{
		agent: a, ctx: ctx, cancel: cancel,
		key:    jobs.WorkerKey(r.Worker.Id, r.Worker.Born),
		calls:  make(chan struct{}, Concurrency),
		worker: r.Worker, address: r.Address, sequence: r.Sequence,
		runs: map[jobs.RunID]*run{}, ends: map[jobs.RunID]*end{}, open: map[int64]struct{}{},
		recorded: make(chan struct{}, 1),
		pacing:   dispatch.NewPacing(),
		// An earlier process of this agent may have granted the longest lease just now.
		renewedTo: a.config.Clock().Add(a.config.LeaseLimit),
	}
}

func (w *incarnation) target() Target { return Target{Address: w.address, ID: w.worker.Id} }

// fenceUnresolved stops, at this incarnation, the runs whose start the former
// one has not answered: such a call may still be carried out here.
func (w *incarnation) fenceUnresolved(former *incarnation) {
	for id, r := range former.runs {
		if r.phase == runStarting || r.phase == runFencing && r.stoppedAt == 0 {
			w.runs[id] = &run{phase: runFencing, order: r.order}
			w.stop(id)
		}
	}
}

// deadlineMS returns the end of the lease on the worker's clock, 0 when no
// lease is held or the clock is not known. Whatever the clock's drift, the
// worker reaches it before the lease ends here. The lock is held.
func (w *incarnation) deadlineMS() int64 {
	until, held := w.agent.lease()
	if !held || w.clockRead.IsZero() {
		return 0
	}
	left := min(until.Sub(w.agent.config.Clock()), w.agent.config.LeaseLimit)
	sinceRead := w.agent.config.Clock().Sub(w.clockRead)
	return w.clockMS + int64(clockPart*float64((sinceRead+left).Milliseconds()))
}

// noteClock takes in a reading of the worker's clock. The lock is held.
func (w *incarnation) noteClock(clockMS int64) {
	if clockMS > 0 && (w.clockRead.IsZero() || clockMS >= w.clockMS) {
		w.clockMS, w.clockRead = clockMS, w.agent.config.Clock()
	}
}

// begin takes up an order to begin a run. The lock is held.
func (w *incarnation) begin(order *api.RunOrder) {
	id := jobs.RunOf(order.Run)
	if w.runs[id] != nil || w.ends[id] != nil {
		return // ordered before
	}
	r := &run{phase: runStarting, order: order, pace: dispatch.FullPace}
	w.runs[id] = r
	w.agent.done.Go(func() { w.start(id, r) })
}

// acquire takes a slot for a call to the worker.
func (w *incarnation) acquire() bool {
	select {
	case w.calls <- struct{}{}:
		return true
	case <-w.ctx.Done():
		return false
	}
}

func (w *incarnation) release() { <-w.calls }

// start calls the worker for a run and sees to it that the outcome is known.
func (w *incarnation) start(id jobs.RunID, r *run) {
	if !w.acquire() {
		return
	}
	defer w.release()
	a := w.agent
	a.mu.Lock()
	call, refusal := w.startCall(id, r)
	target := w.target()
	if refusal != "" {
		w.finish(id, api.RunOutcome_RUN_OUTCOME_REFUSED, "", refusal, 0)
		a.mu.Unlock()
		return
	}
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, startTimeout)
	defer cancel()
	sent := time.Now()
	clockMS, err := a.config.Worker.Start(ctx, target, call)
	observeCall("start", sent, err)
	a.mu.Lock()
	defer a.mu.Unlock()
	w.noteClock(clockMS)
	w.started(id, r, err)
}

// startCall returns the call that begins a run, or why it must not be made.
func (w *incarnation) startCall(id jobs.RunID, r *run) (StartCall, string) {
	deadline := w.deadlineMS()
	switch {
	case r.phase != runStarting:
		return StartCall{}, "it was stopped before it began"
	case w.worker.Draining || w.agent.leaving:
		return StartCall{}, "the worker drains"
	case deadline == 0:
		return StartCall{}, "no lease is held"
	}
	if until, _ := w.agent.lease(); until.After(w.renewedTo) {
		w.renewedTo = until
	}
	return StartCall{
		Run: id, Payload: r.order.Payload, Checkpoint: r.order.Checkpoint, Ticket: r.order.Ticket,
		DeadlineMS: deadline, Fence: w.agent.term,
	}, ""
}

// started takes in the answer to a start. The lock is held.
func (w *incarnation) started(id jobs.RunID, r *run, err error) {
	if w.runs[id] != r {
		return // it ended already
	}
	switch {
	case err == nil:
		klog.InfoS("Run began", "job", id.Task.Job, "run", id.String(), "worker", w.key)
		if r.phase == runStarting {
			r.phase = runRunning
		}
		if r.order.GetBestEffort() {
			w.paceNew()
		}
	case fault.KindOf(err).Answer().Outcome == fault.OutcomeNotRun:
		w.finish(id, api.RunOutcome_RUN_OUTCOME_REFUSED, "", err.Error(), 0)
	default:
		klog.InfoS("Start without an answer, run is fenced", "job", id.Task.Job, "run", id.String(),
			"worker", w.key, "error", err)
		if !r.listedOnce {
			r.phase = runFencing
			w.stop(id)
		}
	}
}

// stop makes sure that a run ends and can't begin any more. The lock is held.
func (w *incarnation) stop(id jobs.RunID) {
	r := w.runs[id]
	if r.stopping {
		return
	}
	r.stopping = true
	r.phase = runFencing
	w.agent.done.Go(func() { w.stopUntilConfirmed(id, r) })
}

// stopUntilConfirmed repeats the stop until the worker has answered it.
func (w *incarnation) stopUntilConfirmed(id jobs.RunID, r *run) {
	pause := retryPause
	for w.ctx.Err() == nil {
		err := w.callStop(id)
		w.agent.mu.Lock()
		gone := w.runs[id] != r
		if err == nil && !gone {
			r.stoppedAt = w.holds + 1
			klog.InfoS("Run's stop confirmed", "job", id.Task.Job, "run", id.String(), "worker", w.key)
		}
		w.agent.mu.Unlock()
		if err == nil || gone {
			return
		}
		klog.InfoS("Run's stop not confirmed", "job", id.Task.Job, "run", id.String(), "worker", w.key, "error", err)
		if !timing.Sleep(w.ctx, pause) {
			return
		}
		pause = min(2*pause, maxRetry)
	}
}

func (w *incarnation) callStop(id jobs.RunID) error {
	if !w.acquire() {
		return fault.New(fault.Canceled, "the incarnation is over")
	}
	defer w.release()
	w.agent.mu.Lock()
	target, fence := w.target(), w.agent.term
	w.agent.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, stopTimeout)
	defer cancel()
	sent := time.Now()
	clockMS, err := w.agent.config.Worker.Stop(ctx, target, id, fence)
	observeCall("stop", sent, err)
	w.agent.mu.Lock()
	defer w.agent.mu.Unlock()
	w.noteClock(clockMS)
	return err
}

// finish records the end of a run for the leader. The lock is held.
func (w *incarnation) finish(id jobs.RunID, outcome api.RunOutcome, checkpoint, reason string, position int64) {
	delete(w.runs, id)
	if earlier := w.ends[id]; earlier != nil {
		if position > earlier.position {
			earlier.position = position
		}
		return
	}
	telemetry.JobAgentEnds.Add(1, jobs.OutcomeName(outcome))
	klog.InfoS("Run's end seen", "job", id.Task.Job, "run", id.String(), "worker", w.key,
		"outcome", jobs.OutcomeName(outcome), "reason", reason)
	w.ends[id] = &end{position: position, message: &api.WorkerEnd{
		Run: id.Ref(), Outcome: outcome, Checkpoint: checkpoint, Reason: reason,
	}}
	w.agent.signal()
}

// observeCall counts a call to the worker.
func observeCall(call string, sent time.Time, err error) {
	result := "ok"
	if err != nil {
		result = fault.KindOf(err).String()
	}
	telemetry.JobAgentCalls.Add(1, call, result)
	telemetry.JobAgentSeconds.Observe(time.Since(sent), call)
}

// fill adds what the leader should know of the worker, which is nothing before
// the worker has listed its runs. The lock is held.
func (w *incarnation) fill(report *api.WorkerReport, stream int64) {
	if w.holds == 0 {
		return
	}
	now := w.agent.config.Clock()
	report.Worker = w.worker
	report.RunsListed = true
	report.Lists, report.Unhealthy = w.holds, w.unhealthy
	for id, r := range w.runs {
		status := &api.RunStatus{Run: id.Ref(), Pace: int32(r.pace)}
		if r.status != nil {
			status.Checkpoint, status.Percent, status.Usage = r.status.Checkpoint, r.status.Percent, r.status.Usage
		}
		report.Runs = append(report.Runs, status)
	}
	for _, e := range w.ends {
		if e.stream == stream && now.Sub(e.sentAt) < resendEnd {
			continue
		}
		e.stream, e.sentAt = stream, now
		report.Ends = append(report.Ends, e.message)
	}
	if !w.unanswered.IsZero() {
		report.UnansweredMs = now.Sub(w.unanswered).Milliseconds()
	}
}

// resendEnd is the pause after which an end that is not recorded is sent again;
// it exceeds a commit in the other region.
const resendEnd = time.Second

// noteRecorded takes in that the leader has recorded an end. The lock is held.
func (w *incarnation) noteRecorded(id jobs.RunID) {
	e := w.ends[id]
	if e == nil {
		return
	}
	delete(w.ends, id)
	delete(w.open, e.position)
	select {
	case w.recorded <- struct{}{}:
	default:
	}
}

// cursor returns the position up to which all ends are recorded. The lock is held.
func (w *incarnation) cursor() int64 {
	cursor := w.listed
	for position := range w.open {
		cursor = min(cursor, position-1)
	}
	return cursor
}

// reconcile compares the runs that the leader counts here with those that are
// known. The lock is held.
func (w *incarnation) reconcile(expected []*api.RunRef) {
	wanted := map[jobs.RunID]bool{}
	for _, ref := range expected {
		id := jobs.RunOf(ref)
		wanted[id] = true
		if w.runs[id] == nil && w.ends[id] == nil {
			klog.InfoS("Run that the leader counts is not known, it is fenced", "job", id.Task.Job, "run", id.String(), "worker", w.key)
			w.runs[id] = &run{phase: runFencing}
			w.stop(id)
		}
	}
	for id, r := range w.runs {
		if !wanted[id] && r.phase == runRunning {
			klog.InfoS("Run that the leader does not count is stopped", "job", id.Task.Job, "run", id.String(), "worker", w.key)
			w.stop(id)
		}
	}
}
