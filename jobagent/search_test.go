package jobagent

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/fault"
	"amaranthpaddle/transport"
)

// fakeControl is a control replica that handles sessions with drive.
type fakeControl struct {
	api.UnimplementedJobsServer
	drive func(api.Jobs_DriveServer) error
}

func (f *fakeControl) Drive(stream api.Jobs_DriveServer) error { return f.drive(stream) }

// serveControl returns the address of a control replica.
func serveControl(t *testing.T, drive func(api.Jobs_DriveServer) error) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	api.RegisterJobsServer(server, &fakeControl{drive: drive})
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// leadTerm answers the first report as the leader of a term and holds the session.
func leadTerm(term uint64, began func()) func(api.Jobs_DriveServer) error {
	return func(stream api.Jobs_DriveServer) error {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		began()
		if err := stream.Send(&api.WorkerDirective{Acknowledged: report.Sequence, Term: term, LeaseMs: 4000, HealthPath: "/healthz"}); err != nil {
			return err
		}
		<-stream.Context().Done()
		return nil
	}
}

func startAgent(t *testing.T, addresses ...string) *Agent {
	t.Helper()
	client := controlclient.New(&transport.Security{}, addresses)
	t.Cleanup(client.Close)
	agent := New(Config{Name: "a", Worker: newFakeWorker(1), Control: client})
	agent.Start()
	t.Cleanup(agent.Stop)
	return agent
}

// Load pattern: the VMs of four of five replicas are without power, so that they neither
// answer nor refuse. Guards against an agent that waits for one replica after the other,
// 0.9 s each, before it reaches the one that leads.
func TestAgentReachesLeaderWhileOtherReplicasAreSilent(t *testing.T) {
	var ended atomic.Int32
	silent := func(stream api.Jobs_DriveServer) error {
		<-stream.Context().Done()
		ended.Add(1)
		return nil
	}
	reached := make(chan int32, 16)
	leader := serveControl(t, leadTerm(1, func() { reached <- ended.Load() }))
	addresses := []string{leader}
	for range 4 {
		addresses = append(addresses, serveControl(t, silent))
	}
	startAgent(t, addresses...)
	if waited := <-reached; waited != 0 {
		t.Errorf("the leader was reached after %d replicas had been given up, want 0", waited)
	}
}

// Guards against a session with a leader whose term has ended, which may answer faster
// than its successor, and against a named leader that is not among the known addresses.
func TestAgentPrefersLeaderOfTheLatestTerm(t *testing.T) {
	reached := make(chan struct{}, 16)
	leader := serveControl(t, leadTerm(7, func() { reached <- struct{}{} }))
	stale := serveControl(t, leadTerm(6, func() {}))
	follower := serveControl(t, func(stream api.Jobs_DriveServer) error {
		stream.SetTrailer(metadata.Pairs(controlclient.LeaderTrailer, leader))
		return fault.ToStatus(fault.New(fault.NotLeader, "another one leads"))
	})
	client := controlclient.New(&transport.Security{}, []string{stale, follower})
	t.Cleanup(client.Close)
	agent := New(Config{Name: "a", Worker: newFakeWorker(1), Control: client})
	agent.term = 7 // a leader of this term has answered before
	agent.Start()
	t.Cleanup(agent.Stop)
	<-reached
	applied := func() bool { // the leader's directive
		agent.mu.Lock()
		defer agent.mu.Unlock()
		return agent.healthPath != ""
	}
	for !applied() {
		time.Sleep(time.Millisecond)
	}
	if got := client.Leader(); got != leader {
		t.Errorf("the agent's session is with %s, want %s of the latest term", got, leader)
	}
}
