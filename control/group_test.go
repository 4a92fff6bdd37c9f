package control_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"amaranthpaddle/control"
	"amaranthpaddle/controlnode"
	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/operatorclient"
	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/transport"
)

// group is a control group of three replicas in this process, connected over
// loopback.
type group struct {
	nodes    []*controlnode.Node
	configs  []controlnode.Config
	security *transport.Security
	bytes    []*byteCounter // through each replica's listener
}

// byteCounter counts the bytes sent and received on a listener's connections.
type byteCounter struct{ n atomic.Int64 }

type countingListener struct {
	net.Listener
	counter *byteCounter
}

type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.counter}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.n.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.n.Add(int64(n))
	return n, err
}

func startGroup(t testing.TB) *group {
	g := &group{security: &transport.Security{}}
	peers := map[uint64]control.Peer{}
	for id := uint64(1); id <= 3; id++ {
		counter := &byteCounter{}
		g.bytes = append(g.bytes, counter)
		listener, operator := countingListener{listen(t), counter}, listen(t)
		peers[id] = control.Peer{Address: listener.Addr().String(), OperatorAddress: operator.Addr().String()}
		g.configs = append(g.configs, controlnode.Config{
			ID: id, Peers: peers, DataDir: t.TempDir(), Security: g.security, Listener: listener, Operator: operator,
		})
	}
	for _, config := range g.configs {
		node, err := controlnode.Start(config)
		if err != nil {
			t.Fatal(err)
		}
		g.nodes = append(g.nodes, node)
	}
	t.Cleanup(func() {
		for _, node := range g.nodes {
			node.Kill()
		}
	})
	return g
}

func listen(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func (g *group) operatorAddresses() []string {
	var addresses []string
	for _, config := range g.configs {
		addresses = append(addresses, config.Peers[config.ID].OperatorAddress)
	}
	return addresses
}

func (g *group) addresses() []string {
	var addresses []string
	for _, config := range g.configs {
		addresses = append(addresses, config.Peers[config.ID].Address)
	}
	return addresses
}

// leader waits for a leader and returns its index.
func (g *group) leader(t testing.TB) int {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for i, node := range g.nodes {
			if node.Replica().Status().LeaderReady {
				return i
			}
		}
	}
	t.Fatal("no leader")
	return 0
}

// restart kills a replica and starts it again with the same data folder.
func (g *group) restart(t testing.TB, i int) {
	t.Helper()
	g.nodes[i].Kill()
	config := g.configs[i]
	config.Listener, config.Operator = nil, nil
	node, err := controlnode.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	g.nodes[i] = node
}

// planCall is a submission, or a read when number is 0.
type planCall struct {
	number uint64
	digest string
}

// planAnswer is the outcome of a planCall.
type planAnswer struct {
	planCall // in force, for a read
	kind     string
	unknown  bool
}

// planModel is the sequential specification. Its state is the list of accepted
// plans; the last one is in force.
func planModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			accepted, call, answer := state.(string), input.(planCall), output.(planAnswer)
			last := lastPlan(accepted)
			if call.number == 0 {
				return answer.unknown || answer.planCall == last, state
			}
			entry := fmt.Sprintf("%d=%s;", call.number, call.digest)
			switch {
			case strings.Contains(";"+accepted, ";"+entry):
				return answer.unknown || answer.kind == "", state
			case strings.Contains(";"+accepted, fmt.Sprintf(";%d=", call.number)):
				return answer.unknown || answer.kind == fault.Conflict.String(), state
			case call.number < last.number:
				return answer.unknown || answer.kind == fault.Stale.String(), state
			default:
				return answer.unknown || answer.kind == "", accepted + entry
			}
		},
	}
}

func lastPlan(accepted string) planCall {
	entries := strings.Split(strings.TrimSuffix(accepted, ";"), ";")
	call := planCall{}
	if number, digest, ok := strings.Cut(entries[len(entries)-1], "="); ok {
		fmt.Sscan(number, &call.number)
		call.digest = digest
	}
	return call
}

func groupPlan(number uint64, tasks int) *plan.DayPlan {
	size := resource.Vector{MilliCPU: 1000, MemoryMiB: 1024}
	return &plan.DayPlan{
		Number: number, Day: "2026-12-04",
		Zones: []plan.Zone{{Name: "a", Region: "r", InService: true}},
		Teams: []plan.Team{{Name: "t", Quota: resource.Vector{MilliCPU: 1_000_000, MemoryMiB: 1 << 20}}},
		Jobs:  []plan.Job{{Name: "sort", Team: "t", Tasks: tasks, Size: size, RunTime: time.Minute}},
	}
}

// planHistory records the operators' calls and their answers.
type planHistory struct {
	mu      sync.Mutex
	start   time.Time
	ops     []porcupine.Operation
	decided int // operations with a known outcome
}

// awaitDecided returns when the given number of further operations has a known
// outcome.
func (h *planHistory) awaitDecided(t *testing.T, more int) {
	t.Helper()
	h.mu.Lock()
	want := h.decided + more
	h.mu.Unlock()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		h.mu.Lock()
		decided := h.decided
		h.mu.Unlock()
		if decided >= want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d operations have a known outcome", decided, want)
		}
	}
}

func (h *planHistory) do(operator int, call planCall, f func() planAnswer) {
	began := time.Since(h.start).Nanoseconds()
	answer := f()
	ended := time.Since(h.start).Nanoseconds()
	if answer.unknown {
		if call.number == 0 {
			return
		}
		ended = time.Hour.Nanoseconds() // it may take effect at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !answer.unknown {
		h.decided++
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: operator, Input: call, Call: began, Output: answer, Return: ended})
}

// operate alternates between submitting a plan, whose number collides with those
// of other operators, and reading the plan in force.
func operate(h *planHistory, client *operatorclient.Client, operator int, next *atomic.Uint64, stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		if i%2 == 1 {
			h.do(operator, planCall{}, func() planAnswer { return readPlan(ctx, client) })
		} else {
			p := groupPlan(next.Add(uint64(i%4))/2+1, operator+1)
			call := planCall{p.Number, fmt.Sprintf("%x", p.Digest())}
			h.do(operator, call, func() planAnswer { return submitPlan(ctx, client, p) })
		}
		cancel()
		time.Sleep(5 * time.Millisecond)
	}
}

func readPlan(ctx context.Context, client *operatorclient.Client) planAnswer {
	var inForce operatorapi.PlanInForce
	if err := client.Get(ctx, operatorapi.PathPlan, &inForce); err != nil {
		return planAnswer{unknown: true}
	}
	return planAnswer{planCall: planCall{inForce.Number, inForce.Digest}}
}

func submitPlan(ctx context.Context, client *operatorclient.Client, p *plan.DayPlan) planAnswer {
	data, _ := p.Encode()
	var result operatorapi.PlanResult
	err := client.Post(ctx, operatorapi.PathPlan, operatorclient.PlanChangeID(p), data, &result)
	switch kind := fault.KindOf(err); {
	case err == nil:
		return planAnswer{}
	case kind == fault.Conflict || kind == fault.Stale:
		return planAnswer{kind: kind.String()}
	default:
		return planAnswer{unknown: true}
	}
}

func TestPlansStayLinearizableWhileLeadersAreKilled(t *testing.T) {
	g := startGroup(t)
	g.leader(t)
	checkWatchers := g.startWatchers(t)
	history := &planHistory{start: time.Now()}
	stop := make(chan struct{})
	var next atomic.Uint64
	var wait sync.WaitGroup
	for operator := range 4 {
		addresses := slices.Clone(g.operatorAddresses())
		client := operatorclient.New(addresses, g.security, "")
		wait.Go(func() {
			defer client.Close()
			operate(history, client, operator, &next, stop)
		})
	}
	for range 3 {
		history.awaitDecided(t, 20)
		g.restart(t, g.leader(t))
	}
	history.awaitDecided(t, 20)
	close(stop)
	wait.Wait()
	checkWatchers()
	if result := porcupine.CheckOperationsTimeout(planModel(), history.ops, time.Minute); result != porcupine.Ok {
		t.Fatalf("history of %d operations: %v", len(history.ops), result)
	}
	t.Logf("%d operations, %d with a known outcome", len(history.ops), history.decided)
}
