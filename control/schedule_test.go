package control

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/scheduler"
)

// urgentTarget is the maximum time from submitting urgent work until it starts.
const urgentTarget = 4200 * time.Millisecond

// workerAgent carries out directives as an agent with a worker does: it starts
// tasks immediately, and stops them with a checkpoint after checkpointTime.
type workerAgent struct {
	*testAgent
	started map[string]time.Time // by task
	latest  map[string]*api.StartTask
	stopped map[string]bool
	fails   bool // every start fails
}

const checkpointTime = time.Second

// work executes directives and sends heartbeats until the session ends.
func (a *workerAgent) work() {
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	for {
		select {
		case d := <-a.stream.out:
			a.execute(d)
		case <-heartbeat.C:
			a.report()
		case <-a.stream.ctx.Done():
			return
		}
	}
}

func (a *workerAgent) execute(d *api.Directive) {
	for _, start := range d.Start {
		a.started[start.Task], a.latest[start.Task] = time.Now(), start
		phase := api.TaskPhase_TASK_PHASE_RUNNING
		if a.fails {
			phase = api.TaskPhase_TASK_PHASE_FAILED
		}
		a.report(inPhase(runKey{start.Task, start.Generation}, phase, ""))
	}
	for _, stop := range d.Stop {
		a.stopped[stop.Task] = stop.Checkpoint
		time.Sleep(checkpointTime)
		a.report(inPhase(runKey{stop.Task, stop.Generation}, api.TaskPhase_TASK_PHASE_STOPPED, "checkpoint-1"))
	}
}

func (s *testServer) connectWorker(t *testing.T, vm *api.VM, fails bool) *workerAgent {
	agent := &workerAgent{
		testAgent: s.connect(t, vm, 1, nil),
		started:   map[string]time.Time{},
		latest:    map[string]*api.StartTask{},
		stopped:   map[string]bool{},
		fails:     fails,
	}
	go agent.work()
	return agent
}

// batchPlan returns a plan with one job and no services in zones a and b.
func batchPlan(number uint64, tasks int, size resource.Vector) *plan.DayPlan {
	p := testPlan(number, tasks)
	p.Services = nil
	p.Jobs[0].Size = size
	return p
}

func TestAZoneOutMovesWorkWithItsCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{Decide: scheduler.Decide})
		p := batchPlan(1, 1, resource.Vector{MilliCPU: 1000, MemoryMiB: 1024})
		p.Jobs[0].RunTime = 6 * time.Hour // too long to finish before the zone must be drained
		s.mustPost(t, operatorapi.PathPlan, "c1", encodePlan(t, p))
		first := s.connectWorker(t, testVM("vm-1", "a"), false)
		time.Sleep(5 * time.Second)
		second := s.connectWorker(t, testVM("vm-2", "b"), false)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		run := first.latest["job/sort/0"]
		if run == nil {
			t.Fatal("not started")
		}
		s.mustPost(t, operatorapi.PathZones+"a/out", "c2", nil)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		moved := second.latest["job/sort/0"]
		if moved == nil || moved.Checkpoint != "checkpoint-1" || moved.Generation != run.Generation+1 || !first.stopped["job/sort/0"] {
			t.Fatalf("first %v, then %v", run, moved)
		}
		if second.started["job/sort/0"].Before(first.started["job/sort/0"].Add(checkpointTime)) {
			t.Fatal("started elsewhere before it had stopped")
		}
		first.close()
		second.close()
	})
}

func TestUrgentWorkStartsInTimeOnAFullFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{Decide: scheduler.Decide})
		half := resource.Vector{MilliCPU: 2000, MemoryMiB: 8192}
		s.mustPost(t, operatorapi.PathPlan, "c1", encodePlan(t, batchPlan(1, 4, half)))
		agents := []*workerAgent{s.connectWorker(t, testVM("vm-1", "a"), false), s.connectWorker(t, testVM("vm-2", "b"), false)}
		time.Sleep(30 * time.Second)
		urgent := batchPlan(2, 4, half)
		urgent.Jobs = append(urgent.Jobs, plan.Job{Name: "urgent", Team: "t", Tasks: 1, Size: half, RunTime: time.Minute, Priority: plan.UrgentPriority})
		s.mustPost(t, operatorapi.PathPlan, "c2", encodePlan(t, urgent))
		submitted := time.Now()
		time.Sleep(urgentTarget)
		synctest.Wait()
		started := false
		for _, agent := range agents {
			_, here := agent.started["job/urgent/0"]
			started = started || here
		}
		if !started {
			t.Fatalf("not started %v after it was submitted", time.Since(submitted))
		}
		for _, agent := range agents {
			agent.close()
		}
	})
}

func TestUnplaceableWorkIsReportedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{Decide: scheduler.Decide})
		s.connect(t, testVM("vm-1", "a"), 1, nil).next(t)
		var answer operatorapi.PlanResult
		body := encodePlan(t, batchPlan(1, 1, resource.Vector{MilliCPU: 64_000, MemoryMiB: 1024}))
		s.request(t, http.MethodPost, operatorapi.PathPlan, "c1", body, &answer)
		if len(answer.Warnings) != 1 || !strings.Contains(answer.Warnings[0], "sort") {
			t.Fatalf("warnings %q", answer.Warnings)
		}
		var status operatorapi.Status
		s.request(t, http.MethodGet, operatorapi.PathStatus, "", nil, &status)
		if status.Jobs[0].State != "unplaceable" || status.Jobs[0].Reason == "" {
			t.Fatalf("job %+v", status.Jobs[0])
		}
	})
}

func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{Decide: scheduler.Decide})
		agent := s.connect(t, testVM("vm-1", "a"), 1, []*api.BackendServer{testBackend("server", "vm-1")})
		agent.next(t)
		agent.sequence++
		agent.stream.in <- &api.AgentReport{Sequence: agent.sequence, Incarnation: 1, Leaving: true}
		if d := agent.next(t); !d.Drain {
			t.Fatalf("directive %v", d)
		}
		s.mustPost(t, operatorapi.PathPlan, "c1", encodePlan(t, testPlan(1, 1)))
		time.Sleep(5 * time.Second)
		synctest.Wait()
		for len(agent.stream.out) > 0 {
			if d := <-agent.stream.out; starts(d) {
				t.Fatalf("directive %v", d)
			}
		}
		if update := s.state.UpdateSince(0); !update.Servers[0].Leaving {
			t.Fatalf("servers %v", update.Servers)
		}
	})
}

func TestVMThatFailsEveryTaskIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{Decide: scheduler.Decide})
		p := batchPlan(1, 3, resource.Vector{MilliCPU: 500, MemoryMiB: 512})
		other := p.Jobs[0]
		other.Name = "audit"
		p.Jobs = append(p.Jobs, other)
		bad := s.connectWorker(t, testVM("vm-bad", "a"), true)
		s.mustPost(t, operatorapi.PathPlan, "c1", encodePlan(t, p))
		time.Sleep(20 * time.Second)
		var status operatorapi.Status
		s.request(t, http.MethodGet, operatorapi.PathStatus, "", nil, &status)
		if status.VMs[0].State != operatorapi.VMQuarantined {
			t.Fatalf("VM %+v", status.VMs[0])
		}
		bad.close()
	})
}

func TestPendingTaskHasReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{Decide: scheduler.Decide})
		worker := s.connectWorker(t, testVM("vm", "a"), false)
		s.mustPost(t, operatorapi.PathPlan, "c1", encodePlan(t, batchPlan(1, 40, resource.Vector{MilliCPU: 500, MemoryMiB: 512})))
		time.Sleep(10 * time.Second)
		var list operatorapi.Tasks
		s.request(t, http.MethodGet, operatorapi.PathTasks, "", nil, &list)
		waiting := 0
		for _, view := range list.Tasks {
			if view.State != "pending" {
				continue
			}
			waiting++
			if view.Reason == "" {
				t.Errorf("%s is pending without a reason", view.ID)
			}
		}
		if waiting == 0 {
			t.Error("no task is pending")
		}
		worker.close()
	})
}

func TestObservedUsageAppearsInStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		agent := s.connect(t, testVM("vm", "a"), 1, nil)
		run := s.placeOne(t, agent)
		agent.report(running(run))
		agent.next(t)
		agent.sequence++
		now := time.Now()
		agent.stream.in <- &api.AgentReport{Sequence: agent.sequence, Incarnation: 1, Usage: []*api.UsageSample{{
			Task: run.task, Generation: run.generation,
			StartUnixMs: now.Add(-time.Second).UnixMilli(), EndUnixMs: now.UnixMilli(),
			Used: &api.Resources{MilliCpu: 700, MemoryMib: 300}, Speed: 1,
		}}}
		agent.next(t)
		time.Sleep(idleInterval + leaderLoopInterval) // until the next round, if the last one made no decisions
		var status operatorapi.Status
		s.request(t, http.MethodGet, operatorapi.PathStatus, "", nil, &status)
		if used := status.VMs[0].Used; used.MilliCPU != 700 || used.MemoryMiB != 300 {
			t.Fatalf("used %+v", used)
		}
	})
}

func TestShortWorkMayFinishInZoneOutButNotOnLeavingVM(t *testing.T) {
	s := NewState()
	applyTo(s, &api.Command{Body: &api.Command_SubmitPlan{SubmitPlan: &api.SubmitPlan{Plan: compressedPlan(t, testPlan(1, 1))}}})
	announce := &api.AnnounceVM{Vm: testVM("vm", "a"), Incarnation: 1}
	applyTo(s, &api.Command{NowMs: 1000, Body: &api.Command_AnnounceVm{AnnounceVm: announce}})
	if !s.outSince(s.registry.VM("vm")).IsZero() {
		t.Error("a VM in service counts as drained")
	}
	applyTo(s, &api.Command{NowMs: 2000, Body: &api.Command_SetDrain{SetDrain: &api.SetDrain{Vm: "vm", Drain: true, ChangeId: "c1"}}})
	applyTo(s, &api.Command{NowMs: 3000, Body: &api.Command_SetZone{SetZone: &api.SetZone{Zone: "a", ChangeId: "c2"}}})
	if since := s.outSince(s.registry.VM("vm")); since.UnixMilli() != 2000 {
		t.Errorf("drained since %v", since)
	}
	announce.Leaving = true
	applyTo(s, &api.Command{NowMs: 4000, Body: &api.Command_AnnounceVm{AnnounceVm: announce}})
	if !s.outSince(s.registry.VM("vm")).IsZero() {
		t.Error("work may continue on a VM whose agent is leaving")
	}
}
