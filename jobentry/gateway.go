// Package jobentry is the callers' gateway to submitted jobs on an entry. It
// forwards each call to the leader of the control group, and reports a submission
// as refused only when it certainly was not accepted.
package jobentry

import (
	"context"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/fault"
	"amaranthpaddle/telemetry"
	"amaranthpaddle/timing"
)

// Intervals and timeouts of the gateway.
const (
	answerReserve    = 60 * time.Millisecond  // of the caller's time, reserved for returning the answer
	probeInterval    = 700 * time.Millisecond // between probes of the leader, while no call has reached it
	probeTimeout     = 900 * time.Millisecond
	maxLeaderSilence = 2500 * time.Millisecond // since its last answer, while Ready succeeds; longer than an election
)

// Gateway forwards calls to the leader. It must be started at most once.
type Gateway struct {
	client  *controlclient.Client
	options Options
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu         sync.Mutex
	lastAnswer time.Time // when the leader last answered
	draining   bool
	outage     outage

	surveys chan struct{} // holds a requested survey
}

// Options switches features of a Gateway on.
type Options struct {
	// RefuseWithoutLeader answers calls at once while no leader is to be expected in
	// time, in place of trying until the caller's deadline.
	RefuseWithoutLeader bool
	// Zone is the availability zone of the entry, which calls carry. Empty if it is not
	// known.
	Zone string
}

// New returns a gateway that calls the control group through client.
func New(client *controlclient.Client, options Options) *Gateway {
	return &Gateway{client: client, options: options, outage: newOutage(), surveys: make(chan struct{}, 1)}
}

// Start begins probing the leader whenever no call has reached it lately.
func (g *Gateway) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.done.Go(func() { g.probe(ctx) })
}

// Stop ends the probes.
func (g *Gateway) Stop() {
	g.cancel()
	g.done.Wait()
}

// Drain makes Ready fail. Calls are still served.
func (g *Gateway) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Draining reports whether Drain was called.
func (g *Gateway) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Ready returns nil when the gateway can take new callers, otherwise the reason why
// not. Errors: fault.Draining, fault.NotLeader.
func (g *Gateway) Ready() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.draining:
		return fault.New(fault.Draining, "the entry stops")
	case timing.Boot().Sub(g.lastAnswer) > maxLeaderSilence:
		return fault.New(fault.NotLeader, "the leader has not answered lately")
	}
	return nil
}

func (g *Gateway) probe(ctx context.Context) {
	timeout := longSurvey
	for {
		surveyed, open := g.awaitProbe(ctx)
		if !open {
			return
		}
		g.mu.Lock()
		fresh := timing.Boot().Sub(g.lastAnswer) < probeInterval
		active := g.outage.active()
		g.mu.Unlock()
		switch {
		case active || surveyed:
			timeout = shortSurvey + longSurvey - timeout // alternately
			g.survey(ctx, timeout)
		case !fresh:
			g.probeLeader(ctx)
		}
	}
}

// awaitProbe waits until the next probe is due. It returns whether a survey was
// requested, and whether ctx is still open.
func (g *Gateway) awaitProbe(ctx context.Context) (surveyed, open bool) {
	g.mu.Lock()
	interval, surveys := probeInterval, g.surveys
	if g.outage.active() {
		interval, surveys = surveyInterval, nil // requests don't add to the periodic surveys
	}
	g.mu.Unlock()
	timer := time.NewTimer(timing.Jitter(interval, 0.2))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-surveys:
		surveyed = true
	case <-ctx.Done():
	}
	return surveyed, ctx.Err() == nil
}

func (g *Gateway) probeLeader(ctx context.Context) {
	probe, cancel := context.WithTimeout(ctx, probeTimeout-answerReserve)
	defer cancel()
	call := &api.JobCall{Kind: api.JobCallKind_JOB_CALL_KIND_LOOK, RemainingMs: probeTimeout.Milliseconds()}
	_, err := g.forward(probe, call, new(progress))
	if err != nil && ctx.Err() == nil {
		g.recordFailure(err)
		klog.InfoS("Leader does not answer", "error", err)
	}
}

// Call forwards one call to the leader and retries it as controlclient.Client.Do
// does, until ctx ends or, with Options.RefuseWithoutLeader, until no leader is to
// be expected before that. Errors: fault.NoQuorum, with the time after which to
// retry, when the call had no effect and never will; fault.CommitUnknown when a
// submission or a cancellation may have taken effect or may still do so.
func (g *Gateway) Call(ctx context.Context, call *api.JobCall) (*api.JobAnswer, error) {
	received := time.Now()
	if deadline, given := ctx.Deadline(); given {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-answerReserve))
		defer cancel()
		call.RemainingMs = time.Until(deadline).Milliseconds()
	}
	call.Zone = g.options.Zone
	var tries progress
	answer, err := g.forwardInTime(ctx, call, &tries)
	if err == nil {
		err = checkRefusal(answer, tries.isUncertain())
	} else {
		err = g.finalError(err, tries.isUncertain(), call.Kind)
	}
	logCall(call, answer, err, time.Since(received))
	if err != nil {
		return nil, err
	}
	return answer, nil
}

// forwardInTime forwards a call as forward does while a leader is to be expected
// in time. It returns withoutLeader otherwise.
func (g *Gateway) forwardInTime(ctx context.Context, call *api.JobCall, tries *progress) (*api.JobAnswer, error) {
	if !g.options.RefuseWithoutLeader {
		return g.forward(ctx, call, tries)
	}
	if reason := g.decide(ctx, call.Kind, false, false); reason != nil {
		return nil, reason
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go g.watch(ctx, call.Kind, tries, cancel)
	answer, err := g.forward(ctx, call, tries)
	if reason, ended := context.Cause(ctx).(*withoutLeader); ended && err != nil {
		return nil, reason
	}
	return answer, err
}

// forward sends a call until it is answered or ctx ends. It records its
// attempts in tries.
func (g *Gateway) forward(ctx context.Context, call *api.JobCall, tries *progress) (answer *api.JobAnswer, err error) {
	var failure error // of the last attempt
	err = g.client.Do(ctx, func(try context.Context, connection *grpc.ClientConn, options ...grpc.CallOption) error {
		if failure != nil && lacksTime(ctx) {
			return &controlclient.NotAttempted{Cause: fault.Wrap(fault.NoQuorum, failure, "too little time is left for another attempt")}
		}
		call.Attempt++
		tries.begin()
		var err error
		sent := true
		if g.options.RefuseWithoutLeader {
			answer, sent, err = attempt(try, connection, call, options)
		} else {
			answer, err = api.NewJobsClient(connection).Call(try, call, options...)
		}
		if err == nil {
			tries.end(false)
			return nil
		}
		failure = fault.FromStatus(err)
		tries.end(sent && fault.KindOf(failure).Answer().Outcome != fault.OutcomeNotRun)
		if ctx.Err() == nil {
			g.recordFailure(failure)
		}
		return err
	})
	if err == nil {
		g.recordAnswer()
	}
	return answer, err
}

// recordAnswer records that the leader answered.
func (g *Gateway) recordAnswer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastAnswer = timing.Boot()
	g.endOutageLocked()
}

func (g *Gateway) endOutageLocked() {
	if lasted := g.outage.answered(timing.Boot()); lasted >= minOutage {
		klog.InfoS("Leader answers again", "after_ms", lasted.Milliseconds())
	}
}

// checkRefusal returns fault.CommitUnknown for a refusal after an attempt with an
// unknown outcome, which may still be accepted.
func checkRefusal(answer *api.JobAnswer, uncertain bool) error {
	if !uncertain || answer.Kind != api.JobAnswerKind_JOB_ANSWER_KIND_REFUSED {
		return nil
	}
	return fault.New(fault.CommitUnknown, "an earlier attempt may still be taken")
}

// finalError returns the error of a call that was not answered.
func (g *Gateway) finalError(err error, uncertain bool, kind api.JobCallKind) error {
	if uncertain {
		return fault.Wrap(fault.CommitUnknown, err, "no answer from the leader")
	}
	retryAfter := minRetryAfter
	if reason, ended := err.(*withoutLeader); ended {
		retryAfter = reason.retryAfter
		telemetry.JobEntryRefusals.Add(1, callName(kind))
	} else if g.options.RefuseWithoutLeader {
		g.mu.Lock()
		retryAfter = g.outage.retryAfter(timing.Boot(), kind)
		g.mu.Unlock()
	}
	return fault.WithRetryAfter(fault.Wrap(fault.NoQuorum, err, "no leader"), retryAfter)
}

// logCall writes a log line and metrics for a caller's call.
func logCall(call *api.JobCall, answer *api.JobAnswer, err error, took time.Duration) {
	if call.RequestId == "" {
		return // a probe
	}
	kind, result := callName(call.Kind), answerName(answer, err)
	telemetry.JobEntryCalls.Add(1, kind, result)
	telemetry.JobEntrySeconds.Observe(took, kind)
	klog.InfoS("Call answered", "request", call.RequestId, "path", call.Path, "call", kind,
		"answer", result, "state", answer.GetState(), "reason", answer.GetReason(),
		"version", answer.GetVersion(), "attempts", call.Attempt, "took_ms", took.Milliseconds(), "error", err)
}

// callName and answerName return the short names used in logs and metrics.
func callName(kind api.JobCallKind) string {
	return strings.ToLower(strings.TrimPrefix(kind.String(), "JOB_CALL_KIND_"))
}

func answerName(answer *api.JobAnswer, err error) string {
	if err != nil {
		return fault.KindOf(err).String()
	}
	return strings.ToLower(strings.TrimPrefix(answer.GetKind().String(), "JOB_ANSWER_KIND_"))
}
