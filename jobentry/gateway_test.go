package jobentry

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/fault"
	"amaranthpaddle/transport"
)

// fakeLeader answers calls with its steps in order and repeats the last one.
type fakeLeader struct {
	api.UnimplementedJobsServer
	mu    sync.Mutex
	steps []step
	calls int
}

type step struct {
	kind api.JobAnswerKind
	err  error
}

func (f *fakeLeader) Call(context.Context, *api.JobCall) (*api.JobAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.steps[min(f.calls, len(f.steps)-1)]
	f.calls++
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
			gateway, _ := serve(t, c.steps...)
			ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
			defer cancel()
			answer, err := gateway.Call(ctx, &api.JobCall{Kind: api.JobCallKind_JOB_CALL_KIND_SUBMIT})
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
