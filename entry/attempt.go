package entry

import (
	"context"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
	"amaranthpaddle/routing"
)

// try is one attempt and how it ended.
type try struct {
	target    *target
	sent      *sent // nil when nothing was sent
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
		return x.settle(x.send(ctx, t))
	}
	return x.hedged(ctx, t, delay)
}

func (x *execution) pick(probe bool) (*target, error) {
	t, err := x.service.pick(routing.PickInfo{Standing: x.request.Standing, Probe: probe, Tried: x.tried})
	if err == nil {
		x.tried[t.server.Id] = true
	}
	return t, err
}

// settle makes an ended attempt the last one and returns its error.
func (x *execution) settle(a *try) error {
	r := a.result
	x.queued += r.queue
	x.backendTime = r.backendTime
	if a.collector != nil {
		x.collector = a.collector
	}
	if a.sent != nil {
		x.last = a.sent
	}
	if r.holder != nil {
		x.last = &sent{attempt: r.holder.Attempt, address: r.holder.AgentAddress, incarnation: r.holder.Incarnation}
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

// hedged sends a second attempt when the first has no answer after delay and
// the hedging budget allows it. The first whole answer wins.
func (x *execution) hedged(ctx context.Context, first *target, delay time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan *try, 2)
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
				return x.settle(a)
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

// wins reports whether a's answer is the one for the caller: it is whole and no
// other one is being passed on, or it is the one being passed on.
func (x *execution) wins(a *try) bool {
	if x.flowing.Load() == a.collector {
		return true
	}
	return a.result.err == nil && x.claimFlow(a.collector)
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
func (x *execution) send(ctx context.Context, t *target) *try {
	a := &try{target: t, collector: newCollector(x.sink, x.claimFlow)}
	a.collector.onStanding = x.becomeStanding
	a.result = x.deliverTo(ctx, a)
	if x.body.stored() {
		x.forgetHolder(a)
	}
	x.service.observe(t, x.request.Standing, a.result)
	return a
}

// claimFlow reports whether c may pass its answer on to the caller: only one may.
func (x *execution) claimFlow(c *collector) bool { return x.flowing.CompareAndSwap(nil, c) }

func (x *execution) deliverTo(ctx context.Context, a *try) *result {
	t := a.target
	linkCtx, cancel := context.WithTimeout(ctx, pongTimeout)
	defer cancel()
	l, err := x.entry.pool.peer(t.server.AgentAddress).link(linkCtx, nil)
	if err != nil {
		return &result{err: err}
	}
	if l.agentIncarnation() != t.server.Incarnation {
		return &result{err: fault.New(fault.NoBackend, "the agent has restarted")}
	}
	remote := t.server.Region != x.entry.config.Region
	start := x.start(t, l)
	c := &call{entry: x.entry, link: l, start: start, remote: remote, deadline: x.deadline, collector: a.collector}
	c.chunks = x.body.attach(start, remote)
	if x.body.stored() {
		if start.BodyHolder, err = x.entry.placeBody(ctx, x, t); err != nil {
			return &result{err: err}
		}
	}
	if remote {
		start.AcceptZstd = true
		start.AnswerCredit = firstCredit
	}
	a.sent = &sent{attempt: start.Attempt, address: t.server.AgentAddress,
		incarnation: start.Incarnation, deadline: start.DeadlineUs, link: l}
	return c.run(ctx)
}

// forgetHolder drops the body's holder after a refusal that may be due to it.
func (x *execution) forgetHolder(a *try) {
	if fault.Is(a.result.err, fault.Fenced) {
		x.entry.bodies.forget(bodyKey{digest: x.body.digest, region: a.target.server.Region})
	}
}

func (x *execution) start(t *target, l *link) *api.AttemptStart {
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
	start.DeadlineUs = l.deadline(deadline)
	return start
}
