package jobentry

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/fault"
	"amaranthpaddle/timing"
	"amaranthpaddle/transport"
)

// fakeLeader answers calls with its steps in order and repeats the last one.
type fakeLeader struct {
	api.UnimplementedJobsServer
	mu    sync.Mutex
	steps []step
	calls int
	zone  string // of the latest call
}

type step struct {
	kind   api.JobAnswerKind
	err    error
	status error // without a fault.Kind, as of a lost connection

	received func() // runs before the answer
	leader   string // address in the trailer
}

func (f *fakeLeader) Call(ctx context.Context, call *api.JobCall) (*api.JobAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zone = call.Zone
	s := f.steps[min(f.calls, len(f.steps)-1)]
	f.calls++
	if s.received != nil {
		s.received()
	}
	if s.leader != "" {
		grpc.SetTrailer(ctx, metadata.Pairs(controlclient.LeaderTrailer, s.leader))
	}
	if s.status != nil {
		return nil, s.status
	}
	if s.err != nil {
		return nil, fault.ToStatus(s.err)
	}
	return &api.JobAnswer{Kind: s.kind}, nil
}

func serve(t *testing.T, steps ...step) (*Gateway, *fakeLeader) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	leader := &fakeLeader{steps: steps}
	server := grpc.NewServer()
	api.RegisterJobsServer(server, leader)
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	client := controlclient.New(&transport.Security{}, []string{listener.Addr().String()})
	t.Cleanup(client.Close)
	return New(client, Options{}), leader
}

func TestRefusalAfterUnknownOutcomeIsNotPassedOn(t *testing.T) {
	refusal := step{kind: api.JobAnswerKind_JOB_ANSWER_KIND_REFUSED}
	accepted := step{kind: api.JobAnswerKind_JOB_ANSWER_KIND_ACCEPTED}
	notLeader := step{err: fault.New(fault.NotLeader, "another one leads")}
	unknown := step{err: fault.New(fault.CommitUnknown, "the commit is not known")}
	cases := []struct {
		name  string
		steps []step
		kind  api.JobAnswerKind
		fault fault.Kind
		fails bool
	}{
		{"refused at once", []step{refusal}, refusal.kind, 0, false},
		{"refused after a replica that does not lead", []step{notLeader, refusal}, refusal.kind, 0, false},
		{"refused after an attempt with an unknown outcome", []step{unknown, refusal}, 0, fault.CommitUnknown, true},
		{"accepted after an attempt with an unknown outcome", []step{unknown, accepted}, accepted.kind, 0, false},
		{"no leader at all", []step{notLeader}, 0, fault.NoQuorum, true},
		{"unknown outcome, then no leader", []step{unknown, notLeader}, 0, fault.CommitUnknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			gateway, leader := serve(t, c.steps...)
			gateway.options.Zone = "za"
			ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
			defer cancel()
			answer, err := gateway.Call(ctx, &api.JobCall{Kind: api.JobCallKind_JOB_CALL_KIND_SUBMIT})
			if leader.zone != "za" {
				t.Errorf("a call from zone za names zone %q", leader.zone)
			}
			if c.fails && !fault.Is(err, c.fault) {
				t.Fatalf("%v, %v; want kind %v", answer, err, c.fault)
			}
			if !c.fails && (err != nil || answer.Kind != c.kind) {
				t.Fatalf("%v, %v; want %v", answer, err, c.kind)
			}
		})
	}
}

func TestReadyWhileLeaderAnswers(t *testing.T) {
	gateway, _ := serve(t, step{kind: api.JobAnswerKind_JOB_ANSWER_KIND_NO_QUEUE})
	if err := gateway.Ready(); !fault.Is(err, fault.NotLeader) {
		t.Errorf("before any answer: %v", err)
	}
	if _, err := gateway.Call(context.Background(), &api.JobCall{}); err != nil {
		t.Fatal(err)
	}
	if err := gateway.Ready(); err != nil {
		t.Errorf("after an answer: %v", err)
	}
	gateway.Drain()
	if err := gateway.Ready(); !fault.Is(err, fault.Draining) {
		t.Errorf("while draining: %v", err)
	}
}

// serveRaw serves connections by handle and returns a gateway that refuses calls
// without a leader.
func serveRaw(t *testing.T, handle func(net.Listener)) *Gateway {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	handle(listener)
	client := controlclient.New(&transport.Security{}, []string{listener.Addr().String()})
	t.Cleanup(client.Close)
	return New(client, Options{RefuseWithoutLeader: true})
}

// hanging accepts calls and never answers: the answers' direction is cut.
type hanging struct{ api.UnimplementedJobsServer }

func (hanging) Call(ctx context.Context, _ *api.JobCall) (*api.JobAnswer, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a 503 for a submission that a replica may have accepted, and
// against a 504 for one that no replica can have received.
func TestNotRunIsSaidOnlyOfCallsThatWereNeverReceived(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle func(net.Listener)
		off    bool
		want   fault.Kind
	}{
		{"connection refused", func(l net.Listener) { l.Close() }, false, fault.NoQuorum},
		{"connection refused, feature off", func(l net.Listener) { l.Close() }, true, fault.CommitUnknown},
		{"connection without an answer", func(net.Listener) {}, false, fault.NoQuorum},
		{"lost after sending", func(l net.Listener) {
			server := grpc.NewServer()
			api.RegisterJobsServer(server, hanging{})
			go server.Serve(l)
			t.Cleanup(server.Stop)
		}, false, fault.CommitUnknown},
	} {
		gateway := serveRaw(t, c.handle)
		gateway.options.RefuseWithoutLeader = !c.off
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		answer, err := gateway.Call(ctx, &api.JobCall{Kind: submit})
		cancel()
		if !fault.Is(err, c.want) {
			t.Errorf("%s: %v, %v; want kind %v", c.name, answer, err, c.want)
		}
		if told := fault.RetryAfter(err) > 0; told != (c.want == fault.NoQuorum) {
			t.Errorf("%s: retry after %v", c.name, fault.RetryAfter(err))
		}
	}
}

// lateContext has little time left once the leader has been called.
type lateContext struct {
	context.Context
	leader *fakeLeader
}

func (c lateContext) Deadline() (time.Time, bool) {
	c.leader.mu.Lock()
	defer c.leader.mu.Unlock()
	if c.leader.calls > 0 {
		return time.Now().Add(minAttempt / 2), true
	}
	return time.Now().Add(time.Hour), true
}

// Guards against a 504 that only comes from a further attempt just before the
// deadline, which cuts it off, and against a client that forgets the leader
// because of an attempt that was not made.
func TestNoFurtherAttemptIsCutOffByTheDeadline(t *testing.T) {
	const named = "127.0.0.1:9"
	gateway, leader := serve(t, step{err: fault.New(fault.NotLeader, "another one leads"), leader: named})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := gateway.forward(lateContext{ctx, leader}, &api.JobCall{Kind: submit}, new(progress))
	if !fault.Is(err, fault.NoQuorum) || leader.calls != 1 || gateway.client.Target() != named {
		t.Errorf("%d attempts, %v, then at %s; want one, no-quorum, then at %s", leader.calls, err, gateway.client.Target(), named)
	}
}

// Guards against submissions that are refused untried because a replica redirected
// an earlier call to the new leader.
func TestARedirectionIsNoOutage(t *testing.T) {
	gateway := New(nil, Options{RefuseWithoutLeader: true})
	gateway.recordFailure(fault.New(fault.NotLeader, "another one leads"))
	if gateway.outage.active() || len(gateway.surveys) != 1 {
		t.Errorf("outage %v, %d surveys requested; want only a survey", gateway.outage.active(), len(gateway.surveys))
	}
}

// Guards against a submission that is cut off while the new leader works on it:
// in the meantime the entry learns that the election lasts for 10 s.
func TestAnAttemptThatAQuorumMayAnswerIsNotCutOff(t *testing.T) {
	var gateway *Gateway
	plain, _ := serve(t, step{kind: api.JobAnswerKind_JOB_ANSWER_KIND_ACCEPTED, received: func() {
		gateway.mu.Lock()
		now := timing.Boot()
		gateway.outage.elections = outageLengths{}
		gateway.outage.elections.add(10 * time.Second)
		gateway.outage.failed(now.Add(-2 * time.Second))
		gateway.mu.Unlock()
		time.Sleep(3 * recheckInterval) // several decisions on the waiting call
	}})
	gateway = New(plain.client, Options{RefuseWithoutLeader: true})
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if answer, err := gateway.Call(ctx, &api.JobCall{Kind: submit}); err != nil {
		t.Errorf("%v, %v; want the leader's answer", answer, err)
	}
}

// Guards against entries that keep trying for each caller while no replica can be
// reached, and against entries that go on refusing when the leader is back.
func TestCallsAreRefusedWithoutAttemptUntilTheLeaderIsBack(t *testing.T) {
	plain, leader := serve(t, step{status: status.Error(codes.Unavailable, "off")})
	gateway := New(plain.client, Options{RefuseWithoutLeader: true})
	gateway.Start()
	defer gateway.Stop()
	until := func(what string, reached func(*api.JobCall, error) bool) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			call := &api.JobCall{Kind: submit}
			_, err := gateway.Call(ctx, call)
			cancel()
			if reached(call, err) {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s: last error %v", what, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	until("no call was refused without an attempt", func(call *api.JobCall, err error) bool {
		return call.Attempt == 0 && fault.Is(err, fault.NoQuorum) && fault.RetryAfter(err) >= time.Second
	})
	leader.mu.Lock()
	leader.steps = []step{{kind: api.JobAnswerKind_JOB_ANSWER_KIND_ACCEPTED}}
	leader.mu.Unlock()
	until("no call was served", func(_ *api.JobCall, err error) bool { return err == nil })
	if err := gateway.Ready(); err != nil {
		t.Errorf("after an answer: %v", err)
	}
}
