package jobagent

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// incarnation holds the agent's state for one incarnation (process lifetime) of
// its worker. Its fields are guarded by Agent.mu.
type incarnation struct {
	agent     *Agent
	ctx       context.Context
	cancel    context.CancelFunc
	key       string
	callSlots chan struct{} // semaphore that bounds concurrent calls to the worker

	worker   *api.Worker
	address  string
	sequence int64

	clockMS      int64     // latest reading of the worker's clock
	clockReadAt  time.Time // when that reading arrived; zero before the first one
	registeredAt time.Time
	polls        int64         // answered polls; each was sent after the previous response
	wholeLists   int64         // answered polls whose response left out no end
	sentPolls    int64         // polls that were sent, by which lists are numbered
	startTimeout time.Duration // after which a start that is not answered is looked for in a list
	endWait      func()        // ends the long poll under way; nil when the present one does not wait

	runs         map[jobs.RunID]*run
	ends         map[jobs.RunID]*end
	kept         map[jobs.RunID]bool      // best-effort runs that are not paused
	lapsed       map[jobs.RunID]time.Time // runs that were reported lost with the worker's lease, since when
	lastPosition int64                    // highest position received in the worker's list of ended runs
	acknowledged int64                    // highest cursor of an answered poll
	unrecorded   map[int64]struct{}       // received positions that the leader has not recorded yet
	recorded     chan struct{}            // signaled when the leader has recorded an end

	compared         bool      // with the leader's runs: it expects no run that is not known here
	unhealthy        bool      // result of the worker's health check
	unreachable      bool      // the latest poll was refused, or could not connect
	unansweredSince  time.Time // since when polls have gone unanswered; zero while they are answered
	leaseUntil       time.Time // end of the lease that the leader has granted to this incarnation, under which its runs may be started and renewed
	sentLeaseUntil   time.Time // latest end of a lease that was sent to the worker, on the agent's clock
	reusesID         bool      // calls to an earlier incarnation with this id may be under way
	formerLeaseUntil time.Time // latest end of a lease from such a call; zero before the worker's first answer
	pacer            *dispatch.Pacer
	pacedAt          time.Time

	downSince      time.Time      // when the connection of a poll was lost that the worker had answered until then; zero otherwise
	silentStarts   []crashSuspect // runs that were given up with the silent worker while it was starting them
	silentRuns     []crashSuspect // other runs that were given up with it
	crashes        []*crash       // of earlier incarnations, the latest last
	crashesSession int64          // leader session on which they were last sent
}

// runPhase is the phase of a run as the agent knows it.
type runPhase int

const (
	runStarting runPhase = iota // the start has not been answered yet
	runRunning                  // the worker accepted or listed it
	runFencing                  // a stop is being confirmed, whether the run has started or not
)

// run is the state of a run that is not known to have ended.
type run struct {
	phase          runPhase
	order          *api.RunOrder // nil for a run that this process did not start
	startBy        time.Time     // end of the lease under which the start was ordered; it is not sent afterwards
	status         *api.RunStatus
	pace           int       // the latest one, which the worker may not have yet
	pacing         bool      // a call that sets the pace is under way
	stopping       bool      // a stop has been requested
	conclusivePoll int64     // first poll that is sent after the stop was confirmed: from its list on, a missing run never begins; 0 before
	acceptedPoll   int64     // first poll that is sent after the worker accepted the start; 0 before
	sent           bool      // this incarnation may have received the order to start it
	former         bool      // an earlier incarnation was sent the order, and has not answered it
	connectionLost bool      // the connection was lost on which the order was sent
	listedOnce     bool      // the worker has listed the run at least once
	overduePoll    int64     // first poll that is sent after the start's answer was overdue: from its list on, a missing run is fenced; 0 before
	cancelStart    func()    // ends the call that starts it
	startedAt      time.Time // when the worker accepted or first listed it
	survivedAt     time.Time // when an answer of the worker showed that it had survived the start
	times          startTimes
}

// begun reports whether the worker is known to have begun the run.
func (r *run) begun() bool { return !r.startedAt.IsZero() }

// end is the end of a run that the leader has not recorded yet.
type end struct {
	message   *api.WorkerEnd
	position  int64 // in the worker's list, 0 for an end that the agent inferred or an earlier incarnation listed
	listed    bool  // by the worker
	sessionID int64 // leader session on which it was last sent
	sentAt    time.Time
}

func newIncarnation(a *Agent, r Registration) *incarnation {
	ctx, cancel := context.WithCancel(a.ctx)
	return &incarnation{
		agent: a, ctx: ctx, cancel: cancel,
		key:       jobs.WorkerKey(r.Worker.Id, r.Worker.Born),
		callSlots: make(chan struct{}, MaxConcurrentCalls),
		worker:    r.Worker, address: r.Address, sequence: r.Sequence, registeredAt: a.config.Clock(),
		runs: map[jobs.RunID]*run{}, ends: map[jobs.RunID]*end{}, lapsed: map[jobs.RunID]time.Time{}, unrecorded: map[int64]struct{}{},
		recorded:     make(chan struct{}, 1),
		pacer:        dispatch.NewPacer(),
		startTimeout: startTimeout,
		// A previous process of this agent may have just sent the longest possible lease.
		sentLeaseUntil: a.config.Clock().Add(a.longestLease()),
	}
}

func (w *incarnation) target() Target { return Target{Address: w.address, ID: w.worker.Id} }

// acceptStart accepts the leader's order to start a run and starts it in the
// background. Agent.mu must be held.
func (w *incarnation) acceptStart(order *api.RunOrder) {
	id := jobs.RunIDOf(order.Run)
	if w.runs[id] != nil || w.ends[id] != nil {
		return // a repeated order
	}
	r := &run{phase: runStarting, order: order, startBy: w.leaseUntil, pace: dispatch.FullPace, times: startTimes{ordered: w.agent.config.Clock()}}
	w.runs[id] = r
	w.agent.wg.Go(func() { w.startRun(id, r) })
}

// acquire waits for a slot for a call to the worker. It returns the function that
// releases the slot, or nil when the incarnation has ended. The slot is released after
// slotTimeout at the latest, so that calls without an answer don't delay others.
func (w *incarnation) acquire() (release func()) {
	select {
	case w.callSlots <- struct{}{}:
		free := sync.OnceFunc(func() { <-w.callSlots })
		timer := time.AfterFunc(slotTimeout, free)
		return func() {
			timer.Stop()
			free()
		}
	case <-w.ctx.Done():
		return nil
	}
}

// startRun sends the start of a run to the worker and handles the result.
func (w *incarnation) startRun(id jobs.RunID, r *run) {
	release := w.acquire()
	if release == nil {
		return
	}
	defer release()
	a := w.agent
	a.mu.Lock()
	request, refusal := w.startRequest(id, r)
	target := w.target()
	if refusal != "" {
		w.finish(id, api.RunOutcome_RUN_OUTCOME_REFUSED, "", refusal, 0)
		a.mu.Unlock()
		return
	}
	at, known := a.config.Clock(), w.clockMS
	r.sent, r.times.sent = true, at
	w.noteSent(id, r.order)
	ctx, cancel := context.WithTimeout(w.ctx, maxStartTimeout)
	defer cancel()
	r.cancelStart = cancel
	checkAfter := w.startTimeout
	r.times.checkAfter = checkAfter
	a.mu.Unlock()
	defer time.AfterFunc(checkAfter, func() { w.checkStart(r) }).Stop()
	sent := time.Now()
	clockMS, err := a.config.Worker.Start(ctx, target, request)
	observeCall("start", sent, err)
	a.mu.Lock()
	defer a.mu.Unlock()
	w.updateClock(clockMS)
	later := err == nil && answeredLater(clockMS, known)
	if err == nil && !later {
		w.noteAlive(at)
		if a.config.Clock().Sub(at) < startTimeout {
			w.startTimeout = startTimeout
		}
	}
	w.noteStartResult(id, err)
	w.handleStartResult(id, r, err, later)
}

// startRequest returns the request that starts a run, or the reason why it must
// not be sent. Agent.mu must be held.
func (w *incarnation) startRequest(id jobs.RunID, r *run) (StartRequest, string) {
	deadline := w.deadlineMS()
	switch {
	case r.phase != runStarting:
		return StartRequest{}, "it was stopped before it began"
	case w.worker.Draining || w.agent.leaving:
		return StartRequest{}, "the worker drains"
	case deadline == 0:
		return StartRequest{}, "no lease is held"
	case !w.agent.config.Clock().Before(r.startBy):
		return StartRequest{}, "the lease under which it was ordered is over" // the leader has lost the run
	}
	if until, _ := w.lease(); until.After(w.sentLeaseUntil) {
		w.sentLeaseUntil = until
	}
	return StartRequest{
		Run: id, Payload: r.order.Payload, Checkpoint: r.order.Checkpoint, Ticket: r.order.Ticket,
		DeadlineMS: deadline, Fence: w.fence(),
	}, ""
}

// handleStartResult handles the result of a start request. later is set if a later
// incarnation has accepted it, so that this one has not begun the run. Agent.mu must be held.
func (w *incarnation) handleStartResult(id jobs.RunID, r *run, err error, later bool) {
	if w.runs[id] != r {
		return // the run has already ended
	}
	switch {
	case err == nil:
		klog.InfoS("Run started", "job", id.Task.Job, "run", id.String(), "worker", w.key)
		if r.phase == runStarting {
			r.phase = runRunning
		}
		r.acceptedPoll = w.sentPolls + 1
		if r.startedAt.IsZero() && !later {
			r.startedAt = w.agent.config.Clock()
		}
		if r.order.Probation {
			w.agent.wg.Go(func() { w.confirmStart(id, r) })
		}
		if r.order.GetBestEffort() {
			w.paceNewRun()
		}
	case fault.KindOf(err).Answer().Outcome == fault.OutcomeNotRun:
		w.finish(id, api.RunOutcome_RUN_OUTCOME_REFUSED, "", err.Error(), 0)
	default:
		klog.InfoS("Start outcome unknown, fencing the run", "job", id.Task.Job, "run", id.String(),
			"worker", w.key, "error", err)
		r.connectionLost = isConnectionLost(err)
		if !r.listedOnce {
			r.phase = runFencing
			r.times.fenced = w.agent.config.Clock()
			w.stopRun(id)
		}
	}
}

// finish removes a run and queues its end for the report to the leader. Agent.mu
// must be held.
func (w *incarnation) finish(id jobs.RunID, outcome api.RunOutcome, checkpoint, reason string, position int64) {
	r := w.runs[id]
	w.logSettled(id, r, outcome)
	delete(w.runs, id)
	if earlier := w.ends[id]; earlier != nil {
		if position > earlier.position {
			earlier.position = position
		}
		return
	}
	telemetry.JobAgentEnds.Add(1, jobs.OutcomeName(outcome))
	klog.InfoS("Run ended", "job", id.Task.Job, "run", id.String(), "worker", w.key,
		"outcome", jobs.OutcomeName(outcome), "reason", reason)
	evidence := api.CrashEvidence_CRASH_EVIDENCE_UNKNOWN
	if position > 0 {
		evidence = api.CrashEvidence_CRASH_EVIDENCE_SURVIVED
	}
	w.ends[id] = &end{position: position, listed: position > 0, message: &api.WorkerEnd{
		Run: id.Ref(), Outcome: outcome, Checkpoint: checkpoint, Reason: reason, CrashEvidence: evidence,
		Begun: position > 0 || r != nil && r.begun(),
	}}
	w.agent.requestReport()
}

// observeCall records the result and duration of a call to the worker in metrics.
func observeCall(call string, sent time.Time, err error) {
	result := "ok"
	if err != nil {
		result = fault.KindOf(err).String()
	}
	telemetry.JobAgentCalls.Add(1, call, result)
	telemetry.JobAgentSeconds.Observe(time.Since(sent), call)
}

// fillReport adds the worker's state to a report. It adds nothing before the
// worker has listed its runs. Agent.mu must be held.
func (w *incarnation) fillReport(report *api.WorkerReport, sessionID int64) {
	if w.polls == 0 {
		return
	}
	now := w.agent.config.Clock()
	report.Worker = w.worker
	report.RunsListed = true
	report.Lists, report.Unhealthy = w.wholeLists, w.unhealthy
	if w.crashesSession != sessionID {
		w.crashesSession, report.Crashes = sessionID, w.crashReports(now)
	}
	for id, r := range w.runs {
		status := &api.RunStatus{Run: id.Ref(), Pace: int32(r.pace), Starting: r.starting(), Begun: r.begun()}
		if r.status != nil {
			status.Checkpoint, status.Percent, status.Usage = r.status.Checkpoint, r.status.Percent, r.status.Usage
		}
		report.Runs = append(report.Runs, status)
	}
	for _, e := range w.ends {
		if e.sessionID == sessionID && now.Sub(e.sentAt) < endResendInterval {
			continue
		}
		e.sessionID, e.sentAt = sessionID, now
		report.Ends = append(report.Ends, e.message)
	}
	report.Unreachable = w.unreachable
	if w.reusesID {
		report.FormerLeaseMs = max(w.formerLeaseUntil.Sub(now).Milliseconds(), 0)
	}
	if !w.unansweredSince.IsZero() {
		report.UnansweredMs = now.Sub(w.unansweredSince).Milliseconds()
	}
}

// endResendInterval is the time after which an end that the leader has not
// recorded is sent again; it exceeds the latency of a commit in the other region.
const endResendInterval = time.Second

// markRecorded drops an end that the leader has recorded, so that it can be
// acknowledged to the worker. Agent.mu must be held.
func (w *incarnation) markRecorded(id jobs.RunID) {
	e := w.ends[id]
	if e == nil {
		return
	}
	delete(w.ends, id)
	delete(w.unrecorded, e.position)
	select {
	case w.recorded <- struct{}{}:
	default:
	}
}

// cursor returns the position up to which the leader has recorded all ends.
// Agent.mu must be held.
func (w *incarnation) cursor() int64 {
	cursor := w.lastPosition
	for position := range w.unrecorded {
		cursor = min(cursor, position-1)
	}
	return cursor
}

// describeRuns adds what the leader knows of runs that an earlier process of this
// agent started: without it neither their services are protected nor their
// best-effort runs paced. Agent.mu must be held.
func (w *incarnation) describeRuns(orders []*api.RunOrder) {
	for _, order := range orders {
		if r := w.runs[jobs.RunIDOf(order.Run)]; r != nil && r.order == nil {
			r.order = order
			if order.BestEffort {
				r.pace = unknownPace // the earlier process may have throttled it
			}
		}
	}
}

// unknownPace is the pace of a run of which no call has set it. It differs from all
// others, so that the next adjustment sends one.
const unknownPace = -1

// reconcileWithLeader compares the runs that the leader expects on this worker
// with those that the agent knows: it fences unknown ones and stops unexpected
// ones. Agent.mu must be held.
func (w *incarnation) reconcileWithLeader(expected []*api.RunRef) {
	w.compared = true
	wanted := map[jobs.RunID]bool{}
	for _, ref := range expected {
		id := jobs.RunIDOf(ref)
		wanted[id] = true
		if w.runs[id] == nil && w.ends[id] == nil {
			klog.InfoS("Run expected by the leader is unknown here, fencing it", "job", id.Task.Job, "run", id.String(), "worker", w.key)
			w.runs[id] = &run{phase: runFencing}
			w.stopRun(id)
		}
	}
	for id, r := range w.runs {
		if !wanted[id] && r.phase != runFencing {
			klog.InfoS("Stopping a run that the leader does not expect", "job", id.Task.Job, "run", id.String(), "worker", w.key)
			w.stopRun(id)
		}
	}
}
