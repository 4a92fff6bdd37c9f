package jobentry

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/timing"
)

// Intervals and timeouts while the leader does not answer.
const (
	surveyInterval  = 200 * time.Millisecond // from the end of one survey to the next
	shortSurvey     = 500 * time.Millisecond // timeouts of surveys, alternately: a short one notices a
	longSurvey      = probeTimeout           // restarted replica sooner, a long one a slow leader
	slowCall        = 300 * time.Millisecond // after which an unanswered call asks for a survey; above a commit between regions
	recheckInterval = 100 * time.Millisecond // between decisions on a waiting call
	minAttempt      = 60 * time.Millisecond  // left for a further attempt; two round trips between regions
)

// withoutLeader ends a call that would not be answered in time. It carries the
// time after which the caller should return.
type withoutLeader struct{ retryAfter time.Duration }

func (*withoutLeader) Error() string { return "no leader is expected in time" }

// progress is what became of a call's attempts so far. Its lock comes before the
// gateway's.
type progress struct {
	mu        sync.Mutex
	open      bool // an attempt is under way
	uncertain bool // an attempt without an answer may have been accepted
}

// begin records that an attempt is about to be sent.
func (p *progress) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = true
}

// end records that the attempt has ended; uncertain is whether it may have been
// accepted without an answer.
func (p *progress) end(uncertain bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = false
	p.uncertain = p.uncertain || uncertain
}

func (p *progress) isUncertain() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.uncertain
}

// decide returns the reason to end a call now, nil for none. A call without a
// deadline never ends early. waiting is whether the call has been tried already,
// open whether an attempt is under way, which a reachable quorum may still answer.
func (g *Gateway) decide(ctx context.Context, kind api.JobCallKind, waiting, open bool) *withoutLeader {
	deadline, given := ctx.Deadline()
	if !given {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := timing.Boot()
	if open && !g.outage.withoutQuorum(now) || !g.outage.hopeless(now, kind, time.Until(deadline), waiting) {
		return nil
	}
	return &withoutLeader{g.outage.retryAfter(now, kind)}
}

// watch ends a waiting call by cancel as soon as no leader is to be expected in
// time, and asks for a survey when the call is slow. It ends with ctx.
func (g *Gateway) watch(ctx context.Context, kind api.JobCallKind, tries *progress, cancel context.CancelCauseFunc) {
	slow := time.Now().Add(slowCall)
	requested := false
	for timing.Sleep(ctx, recheckInterval) {
		if g.endHopeless(ctx, kind, tries, cancel) {
			return
		}
		if !requested && time.Now().After(slow) {
			requested = true
			g.requestSurvey()
		}
	}
}

// endHopeless ends a waiting call by cancel if no leader is to be expected in time.
// No attempt begins between the decision and cancel. A submission that may have
// been accepted is treated like a query: what became of it can be learnt until the
// deadline.
func (g *Gateway) endHopeless(ctx context.Context, kind api.JobCallKind, tries *progress, cancel context.CancelCauseFunc) bool {
	tries.mu.Lock()
	defer tries.mu.Unlock()
	if tries.open || tries.uncertain {
		kind = api.JobCallKind_JOB_CALL_KIND_LOOK
	}
	reason := g.decide(ctx, kind, true, tries.open)
	if reason != nil {
		cancel(reason)
	}
	return reason != nil
}

func (g *Gateway) requestSurvey() {
	select {
	case g.surveys <- struct{}{}:
	default: // one is already requested
	}
}

// recordFailure records the error of an attempt, if it means that no leader was
// found. A replica that does not lead may name the leader, so its answer only asks
// for a survey.
func (g *Gateway) recordFailure(err error) {
	if !g.options.RefuseWithoutLeader || !(replicaAnswered(err) || replicaSilent(err)) {
		return
	}
	if fault.Is(err, fault.NotLeader) {
		g.requestSurvey()
		return
	}
	g.mu.Lock()
	began := g.outage.failed(timing.Boot())
	g.mu.Unlock()
	if began {
		g.requestSurvey()
	}
}

// replicaAnswered reports whether err is the answer of a replica that does not lead.
func replicaAnswered(err error) bool {
	kind := fault.KindOf(err)
	return kind == fault.NotLeader || kind == fault.NoQuorum || kind == fault.CommitUnknown
}

// replicaSilent reports whether err means that no answer came from a replica.
func replicaSilent(err error) bool {
	kind := fault.KindOf(err)
	return kind == fault.ConnectionLost || kind == fault.DeadlineUnknown
}

type surveyResult struct {
	address string
	err     error
}

// survey asks all replicas at once for the leader. It ends with the leader's
// answer, or after half of the timeout when a quorum answered and none led: the
// next survey then sees an election's result sooner.
func (g *Gateway) survey(parent context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()
	half, cancelHalf := context.WithTimeout(ctx, timeout/2)
	defer cancelHalf()
	addresses := g.client.Addresses()
	results := make(chan surveyResult, len(addresses))
	for _, address := range addresses {
		go func() { results <- surveyResult{address, g.ask(ctx, address)} }()
	}
	reachable, enough := 0, (<-chan struct{})(nil)
	for pending := len(addresses); pending > 0; pending-- {
		var r surveyResult
		select {
		case r = <-results:
		case <-enough:
			g.recordSurvey(parent, reachable, len(addresses))
			return
		}
		switch {
		case replicaAnswered(r.err):
			reachable++
		case replicaSilent(r.err):
			g.client.Note(r.address, nil, r.err)
		case !fault.Is(r.err, fault.Canceled):
			g.recordLeader(r)
			return
		}
		if 2*reachable >= len(addresses) {
			enough = half.Done()
		}
	}
	g.recordSurvey(parent, reachable, len(addresses))
}

// recordLeader records the answer of the leader to a survey, which may be an error
// of its own: then it takes calls, but does not count for Ready.
func (g *Gateway) recordLeader(r surveyResult) {
	if r.err == nil {
		g.client.Note(r.address, nil, nil)
		g.recordAnswer()
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endOutageLocked()
}

// recordSurvey records a survey in which none led, unless it ended with the gateway.
func (g *Gateway) recordSurvey(ctx context.Context, reachable, replicas int) {
	if ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outage.surveyed(timing.Boot(), reachable, replicas)
	klog.V(1).InfoS("No control replica leads", "reachable", reachable, "replicas", replicas)
}

// ask sends one query to a replica. Errors: those of fault.FromStatus.
func (g *Gateway) ask(ctx context.Context, address string) error {
	connection, err := g.client.Connection(address)
	if err != nil {
		return fault.Wrap(fault.ConnectionLost, err, "connection")
	}
	_, err = api.NewJobsClient(connection).Call(ctx, &api.JobCall{Kind: api.JobCallKind_JOB_CALL_KIND_LOOK})
	return fault.FromStatus(err)
}

// lacksTime reports whether a further attempt would probably be cut off by the
// deadline of ctx. Its outcome would then be unknown without need.
func lacksTime(ctx context.Context) bool {
	deadline, given := ctx.Deadline()
	return given && time.Until(deadline) < minAttempt
}

// attempt is one attempt of a call at a replica. sent is whether the call may have
// left this process: a stream was opened for it on an established connection.
func attempt(ctx context.Context, connection *grpc.ClientConn, call *api.JobCall, options []grpc.CallOption) (answer *api.JobAnswer, sent bool, err error) {
	var replica peer.Peer
	answer, err = api.NewJobsClient(connection).Call(ctx, call, append(options, grpc.Peer(&replica))...)
	if ctx.Err() == nil && status.Code(err) == codes.Canceled && len(status.Convert(err).Details()) == 0 {
		// Another call or a survey found the connection silent and closed it.
		err = status.Error(codes.Unavailable, "the connection was closed")
	}
	return answer, replica.Addr != nil, err
}
