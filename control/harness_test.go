package control

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/scheduler"
)

// testServer is a Server on a fakeNode.
type testServer struct {
	*Server
	node *fakeNode
}

func newTestServer(t testing.TB, config Config) *testServer {
	state := NewState()
	node := newFakeNode(state)
	config.Node, config.State = node, state
	if config.Decide == nil {
		config.Decide = firstFit
	}
	server := &testServer{New(config), node}
	server.Start()
	t.Cleanup(server.Stop)
	server.awaitLeading()
	return server
}

// awaitLeading returns when the server has noticed that its node leads.
func (s *testServer) awaitLeading() {
	for {
		if _, err := s.leading(); err == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// firstFit places each pending task on the first VM with enough free resources.
func firstFit(s *scheduler.Snapshot) []scheduler.Decision {
	free := map[string]resource.Vector{}
	for _, vm := range s.VMs {
		free[vm.ID] = vm.Capacity
	}
	for _, held := range s.Tasks {
		free[held.VM] = free[held.VM].Sub(held.Grant)
	}
	var out []scheduler.Decision
	for i := range s.Pending {
		waiting := &s.Pending[i]
		for _, vm := range s.VMs {
			if !vm.Fresh || !vm.InService || vm.Draining || !waiting.Grant.Fits(free[vm.ID]) {
				continue
			}
			free[vm.ID] = free[vm.ID].Sub(waiting.Grant)
			out = append(out, scheduler.Decision{
				Action: scheduler.Place, Task: waiting.ID, Generation: waiting.Generation + 1,
				VM: vm.ID, Zone: vm.Zone, Capacity: vm.Capacity, Grant: waiting.Grant,
			})
			break
		}
	}
	return out
}

// testPlan returns a plan with zones a and b in service, one service and one job.
func testPlan(number uint64, tasks int) *plan.DayPlan {
	size := resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}
	return &plan.DayPlan{
		Number: number, Day: "2026-12-04", LatencyWeight: 0.5,
		Zones:    []plan.Zone{{Name: "a", Region: "r", InService: true}, {Name: "b", Region: "r", InService: true}},
		Teams:    []plan.Team{{Name: "t", Quota: resource.Vector{MilliCPU: 1_000_000, MemoryMiB: 1 << 20}}},
		Services: []plan.Service{{Name: "ledger", Team: "t", Instances: 1, Size: size, Objective: 50 * time.Millisecond, ObjectiveFraction: 0.99, Slots: 8, Connections: 64}},
		Jobs:     []plan.Job{{Name: "sort", Team: "t", Tasks: tasks, Size: size, RunTime: time.Minute}},
	}
}

// fataler is the method that compressedPlan needs of testing.TB and rapid.T.
type fataler interface{ Fatal(...any) }

func compressedPlan(t fataler, p *plan.DayPlan) []byte {
	data, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	compressed, err := compressPlan(data)
	if err != nil {
		t.Fatal(err)
	}
	return compressed
}

func encodePlan(t testing.TB, p *plan.DayPlan) []byte {
	data, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func testVM(id, zone string) *api.VM {
	return &api.VM{Id: id, Zone: zone, Region: "r", Rack: "1", Capacity: &api.Resources{MilliCpu: 4000, MemoryMib: 16384}}
}

func testBackend(id, vm string) *api.BackendServer {
	return &api.BackendServer{Id: id, Service: "ledger", Vm: vm, AgentAddress: "127.0.0.1:1", Slots: 8, Connections: 64}
}

// request sends an operator's request and decodes a successful answer into out.
func (s *testServer) request(t testing.TB, method, path, change string, body []byte, out any) (int, operatorapi.Error) {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(string(body)))
	if change != "" {
		r.Header.Set(operatorapi.HeaderChangeID, change)
	}
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	failure := operatorapi.Error{}
	if w.Code != http.StatusOK {
		out = &failure
	}
	if err := json.NewDecoder(w.Body).Decode(out); err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	return w.Code, failure
}

// mustPost sends a change that must be accepted.
func (s *testServer) mustPost(t testing.TB, path, change string, body []byte) {
	t.Helper()
	var answer map[string]any
	if status, failure := s.request(t, http.MethodPost, path, change, body, &answer); status != http.StatusOK {
		t.Fatalf("POST %s: %d %+v", path, status, failure)
	}
}

// fakeStream is the server's side of an in-memory stream.
type fakeStream[In, Out any] struct {
	grpc.ServerStream
	ctx     context.Context
	in      chan *In
	out     chan *Out
	trailer metadata.MD
}

func newFakeStream[In, Out any](ctx context.Context) *fakeStream[In, Out] {
	return &fakeStream[In, Out]{ctx: ctx, in: make(chan *In, 64), out: make(chan *Out, 4096)}
}

func (f *fakeStream[In, Out]) Context() context.Context  { return f.ctx }
func (f *fakeStream[In, Out]) SetTrailer(md metadata.MD) { f.trailer = md }
func (f *fakeStream[In, Out]) Send(message *Out) error   { f.out <- message; return nil }
func (f *fakeStream[In, Out]) Recv() (*In, error) {
	select {
	case message, ok := <-f.in:
		if !ok {
			return nil, io.EOF
		}
		return message, nil
	case <-f.ctx.Done():
		return nil, f.ctx.Err()
	}
}

// testAgent is the agent's side of a session.
type testAgent struct {
	stream      *fakeStream[api.AgentReport, api.Directive]
	done        chan error
	close       context.CancelFunc
	sequence    uint64
	vm          *api.VM
	incarnation uint64
}

// connect opens a session and sends the first report.
func (s *testServer) connect(t testing.TB, vm *api.VM, incarnation uint64, servers []*api.BackendServer, tasks ...*api.TaskStatus) *testAgent {
	ctx, cancel := context.WithCancel(context.Background())
	agent := &testAgent{
		stream: newFakeStream[api.AgentReport, api.Directive](ctx),
		done:   make(chan error, 1), close: cancel, vm: vm, incarnation: incarnation,
	}
	t.Cleanup(cancel)
	go func() { agent.done <- fault.FromStatus(s.Session(agent.stream)) }()
	agent.sequence++
	agent.stream.in <- &api.AgentReport{
		Sequence: agent.sequence, Vm: vm, Incarnation: incarnation,
		Servers: servers, ServersChanged: true, Tasks: tasks,
	}
	return agent
}

func (a *testAgent) report(tasks ...*api.TaskStatus) {
	a.sequence++
	a.stream.in <- &api.AgentReport{Sequence: a.sequence, Incarnation: a.incarnation, Tasks: tasks}
}

// next returns the next directive.
func (a *testAgent) next(t testing.TB) *api.Directive {
	t.Helper()
	select {
	case d := <-a.stream.out:
		return d
	case err := <-a.done:
		t.Fatalf("session ended: %v", err)
	case <-time.After(waitLimit):
		t.Fatal("no directive arrived")
	}
	return nil
}

// until returns the first directive that satisfies the condition.
func (a *testAgent) until(t testing.TB, condition func(*api.Directive) bool) *api.Directive {
	t.Helper()
	for {
		if d := a.next(t); condition(d) {
			return d
		}
	}
}

func running(key runKey) *api.TaskStatus {
	return &api.TaskStatus{Task: key.task, Generation: key.generation, Phase: api.TaskPhase_TASK_PHASE_RUNNING}
}

func inPhase(key runKey, phase api.TaskPhase, checkpoint string) *api.TaskStatus {
	return &api.TaskStatus{Task: key.task, Generation: key.generation, Phase: phase, Checkpoint: checkpoint}
}

// waitLimit is the timeout for directives that must arrive; it is not a
// performance target.
const waitLimit = 30 * time.Second

func vmName(i int) string { return fmt.Sprintf("vm-%03d", i) }
