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
}

// Options switches features of a Gateway on.
type Options struct {
	// RefuseWithoutLeader answers calls at once while no leader is to be expected in
	// time, in place of trying until the caller's deadline.
	RefuseWithoutLeader bool
}

// New returns a gateway that calls the control group through client.
func New(client *controlclient.Client, options Options) *Gateway {
	return &Gateway{client: client, options: options}
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
	for timing.Sleep(ctx, timing.Jitter(probeInterval, 0.2)) {
		g.mu.Lock()
		fresh := timing.Boot().Sub(g.lastAnswer) < probeInterval
		g.mu.Unlock()
		if fresh {
			continue
		}
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := g.Call(probe, &api.JobCall{Kind: api.JobCallKind_JOB_CALL_KIND_LOOK})
		cancel()
		if err != nil && ctx.Err() == nil {
			klog.InfoS("Leader does not answer", "error", err)
		}
	}
}

// Call forwards one call to the leader and retries it as controlclient.Client.Do
// does, until ctx ends. Errors: fault.NoQuorum when the call had no effect and never
// will; fault.CommitUnknown when a submission or a cancellation may have taken
// effect or may still do so.
func (g *Gateway) Call(ctx context.Context, call *api.JobCall) (*api.JobAnswer, error) {
	received := time.Now()
	if deadline, given := ctx.Deadline(); given {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-answerReserve))
		defer cancel()
		call.RemainingMs = time.Until(deadline).Milliseconds()
	}
	var answer *api.JobAnswer
	uncertain := false
	err := g.client.Do(ctx, func(ctx context.Context, connection *grpc.ClientConn, options ...grpc.CallOption) error {
		call.Attempt++
		var err error
		answer, err = api.NewJobsClient(connection).Call(ctx, call, options...)
		if err != nil && fault.KindOf(fault.FromStatus(err)).Answer().Outcome != fault.OutcomeNotRun {
			uncertain = true
		}
		return err
	})
	if err == nil {
		g.recordAnswer()
		err = checkRefusal(answer, uncertain)
	} else {
		err = finalError(err, uncertain)
	}
	logCall(call, answer, err, time.Since(received))
	if err != nil {
		return nil, err
	}
	return answer, nil
}

func (g *Gateway) recordAnswer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastAnswer = timing.Boot()
}

// checkRefusal returns fault.CommitUnknown for a refusal after an attempt with an
// unknown outcome, which may still be accepted.
func checkRefusal(answer *api.JobAnswer, uncertain bool) error {
	if !uncertain || answer.Kind != api.JobAnswerKind_JOB_ANSWER_KIND_REFUSED {
		return nil
	}
	return fault.New(fault.CommitUnknown, "an earlier attempt may still be taken")
}

func finalError(err error, uncertain bool) error {
	if uncertain {
		return fault.Wrap(fault.CommitUnknown, err, "no answer from the leader")
	}
	return fault.Wrap(fault.NoQuorum, err, "no leader")
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
