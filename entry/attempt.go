package entry

import (
	"context"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
	"amaranthpaddle/routing"
)

// attempt is one attempt and its result.
type attempt struct {
	target    *target
	sent      *sentAttempt // nil when nothing was sent
	collector *collector
	result    *result
}

// attempt sends the request once, or twice when it is hedged.
func (x *execution) attempt(ctx context.Context) error {
	x.attempts++
	t, err := x.pick(x.request.Idempotent && x.attempts == 1)
	if err != nil {
		return err
	}
	delay := x.hedgeDelay()
	if delay == 0 {
		return x.finishAttempt(x.send(ctx, t))
	}
	return x.attemptHedged(ctx, t, delay)
}

func (x *execution) pick(probe bool) (*target, error) {
	t, err := x.service.pick(routing.PickInfo{Standing: x.request.Standing, Probe: probe, Tried: x.tried})
	if err == nil {
		x.tried[t.server.Id] = true
	}
	return t, err
}

// finishAttempt records a as the request's last attempt and returns its error.
func (x *execution) finishAttempt(a *attempt) error {
	r := a.result
	x.queued += r.queue
	x.backendTime = r.backendTime
	if a.collector != nil {
		x.collector = a.collector
	}
	if a.sent != nil {
		x.last = a.sent
	}
	if r.claimHolder != nil {
		x.last = &sentAttempt{attempt: r.claimHolder.Attempt, address: r.claimHolder.AgentAddress, incarnation: r.claimHolder.Incarnation}
	}
	return r.err
}

// hedgeDelay is how long an attempt may go without an answer before a second
// one is sent, 0 when the request is not hedged.
func (x *execution) hedgeDelay() time.Duration {
	if !x.request.Idempotent || x.request.Standing || x.body.stored() || x.request.Class == request.Batch {
		return 0
	}
	return x.service.hedgeDelay()
}

// attemptHedged sends a second attempt when the first has no answer after delay and
// the hedging budget allows it. The first complete answer wins.
func (x *execution) attemptHedged(ctx context.Context, first *target, delay time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan *attempt, 2)
	go func() { ended <- x.send(ctx, first) }()
	running := 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case a := <-ended:
			running--
			err := a.result.err
			if running == 0 || x.wins(a) {
				return x.finishAttempt(a)
			}
			if err != nil {
				x.progress.AfterAttempt(err)
			}
		case <-timer.C:
			if second := x.hedgeTarget(); second != nil {
				running++
				hedgesTotal.Inc()
				x.attempts++
				go func() { ended <- x.send(ctx, second) }()
			}
		}
	}
}

// wins reports whether a's answer goes to the caller: it is being streamed
// already, or it is complete and no other answer is being streamed.
func (x *execution) wins(a *attempt) bool {
	if x.sinkOwner.Load() == a.collector {
		return true
	}
	return a.result.err == nil && x.acquireSink(a.collector)
}

// hedgeTarget returns where a second attempt goes, or nil when the budget is
// used up or no other backend server is left.
func (x *execution) hedgeTarget() *target {
	if !x.service.takeHedge() {
		return nil
	}
	t, err := x.pick(false)
	if err != nil {
		return nil
	}
	return t
}

// send makes one attempt at t.
func (x *execution) send(ctx context.Context, t *target) *attempt {
	a := &attempt{target: t, collector: newCollector(x.sink, x.acquireSink)}
	a.collector.onStanding = x.becomeStanding
	a.result = x.deliver(ctx, a)
	if x.body.stored() {
		x.forgetBodyHolder(a)
	}
	x.service.observe(t, x.request.Standing, a.result)
	return a
}

// acquireSink makes c the only collector that may write to the caller, and
// reports false when there is one already.
func (x *execution) acquireSink(c *collector) bool { return x.sinkOwner.CompareAndSwap(nil, c) }

func (x *execution) deliver(ctx context.Context, a *attempt) *result {
	t := a.target
	linkCtx, cancel := context.WithTimeout(ctx, pongTimeout)
	defer cancel()
	conn, err := x.entry.pool.peer(t.server.AgentAddress).conn(linkCtx, nil)
	if err != nil {
		return &result{err: err}
	}
	if conn.agentIncarnation() != t.server.Incarnation {
		return &result{err: fault.New(fault.NoBackend, "the agent has restarted")}
	}
	remote := t.server.Region != x.entry.config.Region
	start := x.newAttemptStart(t, conn)
	c := &call{entry: x.entry, conn: conn, start: start, remote: remote, deadline: x.deadline, collector: a.collector}
	c.chunks = x.body.attach(start, remote)
	if x.body.stored() {
		if start.BodyHolder, err = x.entry.placeBody(ctx, x, t); err != nil {
			return &result{err: err}
		}
	}
	if remote {
		start.AcceptZstd = true
		start.AnswerCredit = initialCredit
	}
	a.sent = &sentAttempt{attempt: start.Attempt, address: t.server.AgentAddress,
		incarnation: start.Incarnation, deadline: start.DeadlineUs, conn: conn}
	return c.run(ctx)
}

// forgetBodyHolder drops the body's holder after a refusal that may be due to it.
func (x *execution) forgetBodyHolder(a *attempt) {
	if fault.Is(a.result.err, fault.Fenced) {
		x.entry.bodies.forget(bodyKey{digest: x.body.digest, region: a.target.server.Region})
	}
}

func (x *execution) newAttemptStart(t *target, conn *agentConn) *api.AttemptStart {
	start := &api.AttemptStart{
		Attempt:       x.entry.newAttempt(),
		Server:        t.server.Id,
		Incarnation:   t.server.Incarnation,
		Service:       x.request.Service,
		Method:        x.request.Method,
		Uri:           x.request.URI,
		Headers:       x.attemptHeaders(),
		Idempotent:    x.request.Idempotent,
		Key:           x.request.Key,
		RequestDigest: x.digest,
		ClaimAfter:    x.claimAfter,
		Class:         api.CallerClass_CALLER_CLASS_INTERACTIVE,
		Standing:      x.request.Standing,
	}
	if x.request.Class == request.Batch {
		start.Class = api.CallerClass_CALLER_CLASS_BATCH
	}
	deadline := x.deadline
	if deadline.IsZero() {
		deadline = time.Now().Add(request.DefaultDeadline)
	}
	start.DeadlineUs = conn.agentTime(deadline)
	return start
}
