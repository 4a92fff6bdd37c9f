package control_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"amaranthpaddle/api"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/operatorclient"
	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
)

// fleetSizes are a quarter, half and all of the planned number of workers.
var fleetSizes = []int{138, 275, 550}

// tasksPerVM is the number of running tasks per VM: 9,900 tasks on 550 VMs.
const tasksPerVM = 18

// What each task uses, independent of its grant.
const (
	usedMilliCPU  = 1000
	usedMemoryMiB = 3000
)

// wireCounter counts the payload bytes that the clients send and receive.
type wireCounter struct{ in, out atomic.Int64 }

func (c *wireCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context   { return ctx }
func (c *wireCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (c *wireCounter) HandleConn(context.Context, stats.ConnStats)                       {}
func (c *wireCounter) HandleRPC(_ context.Context, s stats.RPCStats) {
	switch payload := s.(type) {
	case *stats.InPayload:
		c.in.Add(int64(payload.WireLength))
	case *stats.OutPayload:
		c.out.Add(int64(payload.WireLength))
	}
}

// stubAgent is an agent without a worker: a session and a watch.
type stubAgent struct {
	vm       string
	session  grpc.BidiStreamingClient[api.AgentReport, api.Directive]
	sendMu   sync.Mutex // guards sequence and Send
	sequence uint64
	answered chan uint64 // sequences that directives acknowledged
	zoneIn   atomic.Bool
	revision atomic.Uint64 // last received by the watch
}

// stubFleet is a control group and many stub agents in one process.
type stubFleet struct {
	group   *group
	client  *operatorclient.Client
	agents  []*stubAgent
	wire    wireCounter
	changes int
}

func startStubFleet(b *testing.B, size int) *stubFleet {
	f := &stubFleet{group: startGroup(b)}
	leader := f.group.leader(b)
	f.client = operatorclient.New(slices.Clone(f.group.operatorAddresses()), f.group.security, "")
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	addresses := f.group.addresses()
	for i := range size {
		f.agents = append(f.agents, f.connect(ctx, b, i, addresses[leader], addresses[i%len(addresses)]))
	}
	f.submitPlan(b, size)
	return f
}

func (f *stubFleet) dial(ctx context.Context, b *testing.B, address string) api.ControlClient {
	connection, err := f.group.security.Dial(address, grpc.WithStatsHandler(&f.wire))
	if err != nil {
		b.Fatal(err)
	}
	context.AfterFunc(ctx, func() { connection.Close() })
	return api.NewControlClient(connection)
}

// connect opens a session at the leader and a watch at another replica.
func (f *stubFleet) connect(ctx context.Context, b *testing.B, i int, leader, watched string) *stubAgent {
	agent := &stubAgent{vm: fmt.Sprintf("vm-%03d", i), answered: make(chan uint64, 64)}
	stream, err := f.dial(ctx, b, leader).Session(ctx)
	if err != nil {
		b.Fatal(err)
	}
	agent.session = stream
	err = agent.send(&api.AgentReport{
		Incarnation: 1, ServersChanged: true,
		Vm: &api.VM{
			Id: agent.vm, Zone: fmt.Sprintf("zone-%d", i%5), Region: fmt.Sprintf("region-%d", i%2), Rack: fmt.Sprint(i / 3),
			Capacity: &api.Resources{MilliCpu: 32_000, MemoryMib: 128_000, Accelerators: 1},
		},
		Servers: agentServers(agent.vm),
	})
	if err != nil {
		b.Fatal(err)
	}
	watch, err := f.dial(ctx, b, watched).Watch(ctx, &api.WatchRequest{Watcher: agent.vm, Kind: "agent"})
	if err != nil {
		b.Fatal(err)
	}
	go agent.followSession()
	go agent.followWatch(watch)
	return agent
}

// agentServers returns the VM's 6 backend servers, 3,300 on 550 VMs.
func agentServers(vm string) []*api.BackendServer {
	var servers []*api.BackendServer
	for i := range 6 {
		servers = append(servers, &api.BackendServer{
			Id: fmt.Sprintf("%s-ledger-%d", vm, i), Service: "ledger", Vm: vm,
			AgentAddress: "10.0.0.1:7000", Slots: 8, Connections: 64,
		})
	}
	return servers
}

// followSession receives directives and reports each start as running.
func (a *stubAgent) followSession() {
	for {
		d, err := a.session.Recv()
		if err != nil {
			return
		}
		a.zoneIn.Store(d.ZoneInService)
		if len(d.Start) > 0 {
			_ = a.send(startedReport(d.Start))
		}
		select {
		case a.answered <- d.Acknowledged:
		default:
		}
	}
}

// startedReport reports runs as running, with a first usage sample for each.
func startedReport(starts []*api.StartTask) *api.AgentReport {
	report := &api.AgentReport{Incarnation: 1}
	now := time.Now().UnixMilli()
	for _, start := range starts {
		report.Tasks = append(report.Tasks, &api.TaskStatus{Task: start.Task, Generation: start.Generation, Phase: api.TaskPhase_TASK_PHASE_RUNNING})
		report.Usage = append(report.Usage, &api.UsageSample{
			Task: start.Task, Generation: start.Generation, StartUnixMs: now - 1000, EndUnixMs: now, Speed: 1,
			Used: &api.Resources{MilliCpu: usedMilliCPU, MemoryMib: usedMemoryMiB},
		})
	}
	return report
}

func (a *stubAgent) followWatch(watch grpc.ServerStreamingClient[api.DirectoryUpdate]) {
	for {
		update, err := watch.Recv()
		if err != nil {
			return
		}
		a.revision.Store(update.Revision)
	}
}

// submitPlan submits a plan that fills the fleet, and waits for its placement.
func (f *stubFleet) submitPlan(b *testing.B, size int) {
	quota := resource.Vector{MilliCPU: 100_000_000, MemoryMiB: 1 << 30, Accelerators: 10_000}
	p := &plan.DayPlan{
		Number: 1, Day: "2026-12-04", Teams: []plan.Team{{Name: "t", Quota: quota}},
		Jobs: []plan.Job{{Name: "sort", Team: "t", Tasks: size * tasksPerVM, Size: resource.Vector{MilliCPU: 1400, MemoryMiB: 4096}, RunTime: time.Hour}},
	}
	for i := range 5 {
		p.Zones = append(p.Zones, plan.Zone{Name: fmt.Sprintf("zone-%d", i), Region: "r", InService: true})
	}
	data, err := p.Encode()
	if err != nil {
		b.Fatal(err)
	}
	var result operatorapi.PlanResult
	if err := f.client.Post(context.Background(), operatorapi.PathPlan, "plan", data, &result); err != nil {
		b.Fatal(err)
	}
	f.awaitPlacements(b, size)
}

// awaitPlacements returns when no task is pending, or when the number of
// pending tasks has not changed in six polls.
func (f *stubFleet) awaitPlacements(b *testing.B, size int) {
	pending, same := 0, 0
	for same < 6 {
		time.Sleep(500 * time.Millisecond)
		for _, a := range f.agents {
			a.heartbeat(b)
		}
		var status operatorapi.Status
		if err := f.client.Get(context.Background(), operatorapi.PathStatus, &status); err != nil {
			b.Fatal(err)
		}
		same++
		if status.Jobs[0].Pending != pending {
			pending, same = status.Jobs[0].Pending, 0
		}
		if pending == 0 {
			break
		}
	}
	b.Logf("%d of %d tasks run", size*tasksPerVM-pending, size*tasksPerVM)
}

func (a *stubAgent) send(report *api.AgentReport) error {
	a.sendMu.Lock()
	defer a.sendMu.Unlock()
	a.sequence++
	report.Sequence = a.sequence
	return a.session.Send(report)
}

func (a *stubAgent) heartbeat(b *testing.B) {
	if err := a.send(&api.AgentReport{Incarnation: 1, Revision: a.revision.Load()}); err != nil {
		b.Fatal(err)
	}
}

// awaitAnswers returns when the last heartbeat of every agent was acknowledged.
func (f *stubFleet) awaitAnswers() {
	for _, a := range f.agents {
		for acknowledged := range a.answered {
			if acknowledged >= a.sequence {
				break
			}
		}
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHeartbeat measures one heartbeat and its answer for each agent. The CPU
// time is that of the whole process: three replicas and all agents.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("agents=%d", size), func(b *testing.B) {
			f := startStubFleet(b, size)
			f.drainAnswers()
			f.wire.in.Store(0)
			f.wire.out.Store(0)
			before := cpuTime()
			leader := f.group.bytes[f.group.leader(b)]
			leader.n.Store(0)
			for b.Loop() {
				for _, a := range f.agents {
					a.heartbeat(b)
				}
				f.awaitAnswers()
			}
			heartbeats := float64(b.N * size)
			b.ReportMetric(float64(leader.n.Load())/heartbeats, "B-TCP/heartbeat")
			b.ReportMetric(float64(f.wire.out.Load())/heartbeats, "B-report/heartbeat")
			b.ReportMetric(float64(f.wire.in.Load())/heartbeats, "B-directive/heartbeat")
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/heartbeats, "cpu-us/heartbeat")
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			b.ReportMetric(float64(memory.HeapAlloc)/1e6, "MB-heap-of-all")
		})
	}
}

func (f *stubFleet) drainAnswers() {
	time.Sleep(time.Second)
	for _, a := range f.agents {
		for len(a.answered) > 0 {
			<-a.answered
		}
	}
}

// BenchmarkChangeInForce measures the time from an operator's request until every
// watcher has received the change and every session of the zone was notified.
func BenchmarkChangeInForce(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("watchers=%d", size), func(b *testing.B) {
			f := startStubFleet(b, size)
			f.drainAnswers()
			f.wire.in.Store(0)
			before := cpuTime()
			var worst time.Duration
			for b.Loop() {
				began := time.Now()
				f.toggleZone(b)
				worst = max(worst, time.Since(began))
			}
			changes := float64(b.N * size)
			b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
			b.ReportMetric(float64(f.wire.in.Load())/changes, "B/change/watcher")
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/changes, "cpu-us/change/watcher")
		})
	}
}

// toggleZone takes a zone out of service or puts it back, and waits until every
// agent has received the change.
func (f *stubFleet) toggleZone(b *testing.B) {
	f.changes++
	verb, in := "/out", false
	if f.changes%2 == 0 {
		verb, in = "/in", true
	}
	var result operatorapi.ChangeResult
	err := f.client.Post(context.Background(), operatorapi.PathZones+"zone-4"+verb, fmt.Sprint("change-", f.changes), nil, &result)
	if err != nil {
		b.Fatal(err)
	}
	for i, a := range f.agents {
		for a.revision.Load() < result.Revision || i%5 == 4 && a.zoneIn.Load() != in {
			time.Sleep(200 * time.Microsecond)
		}
	}
}

// idleTime is how long one iteration of BenchmarkIdle lasts.
const idleTime = 2 * time.Second

// BenchmarkIdle measures the CPU time of a fleet in which no agent reports.
func BenchmarkIdle(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("agents=%d", size), func(b *testing.B) {
			f := startStubFleet(b, size)
			f.drainAnswers()
			before := cpuTime()
			for b.Loop() {
				time.Sleep(idleTime)
			}
			used := float64(cpuTime() - before)
			b.ReportMetric(100*used/float64(b.N)/float64(idleTime), "cpu-%-of-a-core")
		})
	}
}
