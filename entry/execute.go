package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
	"amaranthpaddle/timing"
)

// Bounds on the attempts of one request.
const (
	maxAttempts  = 6
	lookupGrace  = 500 * time.Millisecond // past the deadline, to look up an attempt's outcome
	retryBackoff = 20 * time.Millisecond  // base delay before a retry when no backend server was left
)

// execution is the state of one request across its attempts.
type execution struct {
	entry       *Entry
	service     *service
	request     *request.Request
	headers     []*api.HTTPHeader
	body        *body
	digest      []byte // of the request; set when it has a key
	deadline    time.Time
	sink        *sink
	sinkOwner   atomic.Pointer[collector] // the one that writes its answer to the caller
	collector   *collector                // of the last attempt
	progress    request.Progress
	tried       map[string]bool
	claimAfter  string // attempt that holds the key's claim and is proven never to have run
	last        *sentAttempt
	attempts    int
	ctx         context.Context
	cancel      context.CancelCauseFunc
	timer       *time.Timer // ends the request at its deadline
	released    bool        // release has run
	lastEventID string      // id of the last event of a standing stream

	queued      time.Duration // waiting for admission and for slots
	backendTime time.Duration // in the backend server that answered
}

// sentAttempt identifies an attempt that was sent and its agent.
type sentAttempt struct {
	attempt     string
	address     string
	incarnation uint64
	deadline    int64 // on the agent's clock, microseconds
	conn        *agentConn
}

// run makes attempts until the answer is complete or the request is refused.
func (x *execution) run(ctx context.Context) error {
	arrived := time.Now()
	if err := x.service.admit(ctx, x.request.Class); err != nil {
		return err
	}
	x.queued = time.Since(arrived)
	defer x.release()
	err := x.attempt(ctx)
	for err != nil {
		step := x.progress.AfterAttempt(err)
		if step == request.StepLookup {
			step, err = x.lookupLast(ctx, err)
		}
		if step == request.StepLookupHolder {
			step, err = x.lookupClaimHolder(ctx, err)
		}
		if step == request.StepAnswer || !x.mayRetry(ctx, err) {
			break
		}
		retriesTotal.Inc()
		err = x.attempt(ctx)
	}
	if err != nil && x.collector.standing() {
		return nil
	}
	if err != nil {
		return x.progress.Final(x.deadlineError(err))
	}
	return x.collector.finish()
}

// release ends the request's admission, once.
func (x *execution) release() {
	if !x.released {
		x.released = true
		x.service.release()
	}
}

// becomeStanding removes the deadline and the admission of a request whose answer turned out to be
// a standing stream.
func (x *execution) becomeStanding() {
	if x.request.Standing {
		return
	}
	if x.timer != nil {
		x.timer.Stop()
	}
	x.release()
	go func() {
		select {
		case <-x.entry.stopping:
			x.cancel(errMoved)
		case <-x.ctx.Done():
		}
	}()
}

// deadlineError wraps err as a deadline error when the deadline has passed.
func (x *execution) deadlineError(err error) error {
	if x.deadline.IsZero() || time.Now().Before(x.deadline) {
		return err
	}
	if fault.KindOf(err).Answer().Outcome == fault.OutcomeNotRun {
		return fault.Wrap(fault.DeadlineNotRun, err, "the deadline passed")
	}
	return fault.Wrap(fault.DeadlineUnknown, err, "the deadline passed")
}

// mayRetry reports whether another attempt may be made, and pauses before it
// when every backend server has refused.
func (x *execution) mayRetry(ctx context.Context, err error) bool {
	if x.attempts >= maxAttempts || ctx.Err() != nil || x.sinkOwner.Load() != nil {
		return false
	}
	kind := fault.KindOf(err)
	if kind.Answer().Outcome != fault.OutcomeNotRun && !x.service.takeRetry() {
		return false
	}
	if kind != fault.NoBackend && kind != fault.NoQuorum {
		return true
	}
	clear(x.tried)
	return timing.Sleep(ctx, retryBackoff/2+rand.N(retryBackoff<<min(x.attempts, 5)))
}

// lookupLast asks for the outcome of the last attempt over another connection.
func (x *execution) lookupLast(ctx context.Context, cause error) (request.Step, error) {
	state, err := x.lookup(ctx, x.last, true)
	return x.afterLookup(state, err, cause)
}

// lookupClaimHolder asks for the outcome of the attempt that holds the key's claim. When
// it never ran, the next attempt claims in its place.
func (x *execution) lookupClaimHolder(ctx context.Context, cause error) (request.Step, error) {
	holder := x.last
	state, err := x.lookup(ctx, holder, false)
	switch {
	case state == request.Fenced:
		x.claimAfter = holder.attempt
	case state == request.Unknown && err == nil:
		cause = fault.Wrap(fault.KeyExpired, cause, "the answer to this key is no longer kept")
	}
	return x.afterLookup(state, err, cause)
}

func (x *execution) afterLookup(state request.State, err, cause error) (request.Step, error) {
	if state == request.Finished {
		return request.StepAnswer, err
	}
	step := x.progress.AfterLookup(state)
	if state == request.Fenced {
		return step, fault.Wrap(fault.Fenced, cause, "the attempt did not run")
	}
	return step, cause
}

// lookup asks the attempt's agent for its state. When it is Finished and err is
// nil, the answer is in the collector.
func (x *execution) lookup(ctx context.Context, s *sentAttempt, fence bool) (request.State, error) {
	lookupsTotal.Inc()
	ctx, cancel := x.lookupContext(ctx)
	defer cancel()
	if s == nil || s.address == "" {
		return request.Unknown, nil
	}
	for pause := retryBackoff; ; pause = min(2*pause, pongTimeout) {
		state, err := x.lookupOnce(ctx, s, fence)
		if err == nil || fault.Is(err, fault.AnswerDamaged) {
			return state, err
		}
		if !timing.Sleep(ctx, pause) {
			return request.Unknown, err
		}
	}
}

// lookupContext outlives the caller's deadline by lookupGrace, and the caller
// itself, so that "not run" is reported whenever it can be established.
func (x *execution) lookupContext(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := lookupGrace
	if !x.deadline.IsZero() {
		limit += max(time.Until(x.deadline), 0)
	}
	return context.WithTimeout(context.WithoutCancel(ctx), limit)
}

func (x *execution) lookupOnce(ctx context.Context, s *sentAttempt, fence bool) (request.State, error) {
	conn, err := x.entry.pool.peer(s.address).conn(ctx, s.conn)
	if err != nil {
		return request.Unknown, err
	}
	if conn.agentIncarnation() != s.incarnation {
		return request.Unknown, nil
	}
	c := &call{entry: x.entry, conn: conn, collector: x.collector, deadline: x.deadline}
	return c.lookup(ctx, s, fence, x.waitMs())
}

// waitMs is how long a lookup may wait for a running attempt, milliseconds.
func (x *execution) waitMs() int64 {
	if x.deadline.IsZero() {
		return 0
	}
	return max(time.Until(x.deadline), 0).Milliseconds()
}

// lookup sends a lookup and collects the answer of a finished attempt.
func (c *call) lookup(ctx context.Context, s *sentAttempt, fence bool, waitMs int64) (request.State, error) {
	done := c.conn.use()
	defer done()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(c.conn.ctx, func() { cancel(context.Cause(c.conn.ctx)) })
	defer stop()
	if !c.collector.streaming {
		c.collector.reset()
	}
	stream, err := c.conn.client.Lookup(ctx, &api.LookupRequest{
		Attempt: s.attempt, Incarnation: s.incarnation, DeadlineUs: s.deadline,
		Offset: c.collector.size, WaitMs: waitMs, Fence: fence,
	})
	if err != nil {
		return request.Unknown, fault.FromStatus(err)
	}
	first, err := stream.Recv()
	if err != nil {
		return request.Unknown, streamError(ctx, err)
	}
	state := stateOf(first.GetState())
	if state != request.Finished {
		return state, nil
	}
	return state, c.collect(ctx, stream, nil).err
}

func stateOf(state api.AttemptState) request.State {
	switch state {
	case api.AttemptState_ATTEMPT_STATE_RUNNING:
		return request.Running
	case api.AttemptState_ATTEMPT_STATE_FINISHED:
		return request.Finished
	case api.AttemptState_ATTEMPT_STATE_FENCED:
		return request.Fenced
	default:
		return request.Unknown
	}
}

// callerHeaders returns the headers of r that are passed on.
func callerHeaders(r *http.Request) []*api.HTTPHeader {
	headers := make([]*api.HTTPHeader, 0, len(r.Header))
	for name, values := range r.Header {
		if skipHeader(name) {
			continue
		}
		for _, value := range values {
			headers = append(headers, &api.HTTPHeader{Name: name, Value: value})
		}
	}
	return headers
}
