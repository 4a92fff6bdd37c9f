package control

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
	agentsession "amaranthpaddle/session"
	"amaranthpaddle/task"
)

// leaseAgent is a test agent that computes its lease as the real agent does.
type leaseAgent struct {
	*testAgent
	holder *agentsession.Holder
}

// connectLeaseAgent opens a session. Its first report counts as sent now.
func (s *testServer) connectLeaseAgent(t *testing.T, vm *api.VM, incarnation uint64, tasks ...*api.TaskStatus) *leaseAgent {
	holder := agentsession.NewHolder()
	holder.RecordSent(1, time.Now(), 0)
	agent := &leaseAgent{s.connect(t, vm, incarnation, nil, tasks...), holder}
	agent.receive(t)
	return agent
}

// receive applies the next directive.
func (a *leaseAgent) receive(t *testing.T) *api.Directive {
	t.Helper()
	d := a.next(t)
	a.holder.ApplyDirective(d)
	return d
}

// renew sends a report that takes delay to arrive, and applies the answer.
func (a *leaseAgent) renew(t *testing.T, delay time.Duration, tasks ...*api.TaskStatus) *api.Directive {
	t.Helper()
	a.holder.RecordSent(a.sequence+1, time.Now(), 0)
	time.Sleep(delay)
	a.report(tasks...)
	return a.receive(t)
}

// holds reports whether the lease is still valid according to the agent's worker.
func (a *leaseAgent) holds(began time.Time) bool {
	return time.Since(began).Milliseconds() < a.holder.WorkerLeaseUntil()
}

func (s *testServer) lost(vm string) bool {
	s.state.mu.RLock()
	defer s.state.mu.RUnlock()
	return s.state.registry.VM(vm).Lost
}

// placeOne submits a plan with one service instance and returns the run that the
// agent was told to start.
func (s *testServer) placeOne(t *testing.T, agent *testAgent) runKey {
	t.Helper()
	p := testPlan(1, 1)
	p.Jobs = nil
	s.mustPost(t, operatorapi.PathPlan, "plan-1", encodePlan(t, p))
	d := agent.until(t, starts)
	return runKey{d.Start[0].Task, d.Start[0].Generation}
}

func TestSilentVMIsDeclaredLostAfterLeaseAndWithinBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		agent := s.connectLeaseAgent(t, testVM("vm", "a"), 1)
		for range 10 {
			time.Sleep(2 * time.Second)
			agent.renew(t, 0)
		}
		began := time.Now()
		agent.holder = agentsession.NewHolder()
		agent.renew(t, 300*time.Millisecond)
		answered := time.Now()
		agent.close()
		for agent.holds(began) {
			if s.lost("vm") {
				t.Fatal("the VM was declared lost while its agent held the lease")
			}
			time.Sleep(10 * time.Millisecond)
		}
		bound := s.config.Lease.NewLeaderWait() + 2*leaderLoopInterval
		for !s.lost("vm") {
			if time.Since(answered) > bound {
				t.Fatalf("not declared lost within %v", bound)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

func TestAnnouncedVMDoesNotExpireBeforeFirstGrant(t *testing.T) {
	start := time.Unix(0, 0)
	leases := newLeaseTable(Config{}.withDefaults().Lease)
	leases.reset(start)
	now := start.Add(time.Hour)
	attempt, ok := leases.beginAnnounce("vm", now)
	if !ok || len(leases.takeExpired([]string{"vm"}, now)) > 0 {
		t.Fatal("expired before its first lease")
	}
	leases.endAnnounce("vm", attempt)
	if !leases.grant("vm", now) {
		t.Fatal("no lease after the announcement")
	}
}

func TestUnresolvedLossBlocksGrantsAndAnnouncements(t *testing.T) {
	start := time.Unix(0, 0)
	leases := newLeaseTable(Config{}.withDefaults().Lease)
	leases.reset(start)
	now := start.Add(time.Hour)
	leases.takeExpired([]string{"vm"}, now)
	if _, ok := leases.beginAnnounce("vm", now); ok || leases.grant("vm", now) {
		t.Fatal("granted while the loss declaration may still be appended")
	}
	leases.resolveLoss("vm")
	attempt, ok := leases.beginAnnounce("vm", now)
	if !ok || leases.grant("vm", now) {
		t.Fatal("granted a lease without a new announcement")
	}
	leases.takeExpired([]string{"vm"}, now.Add(time.Hour))
	leases.endAnnounce("vm", attempt)
	if leases.grant("vm", now) {
		t.Fatal("an announcement ended a later loss declaration")
	}
}

func TestNewLeaderWaitsOneLeaseBeforeDeclaringVMLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		agent := s.connectLeaseAgent(t, testVM("vm", "a"), 1)
		agent.close()
		time.Sleep(s.config.Lease.Duration - time.Second)
		s.node.setLeader(false)
		synctest.Wait()
		s.node.setLeader(true)
		s.awaitLeading()
		elected := time.Now()
		time.Sleep(s.config.Lease.Duration)
		if s.lost("vm") {
			t.Fatal("a new leader declared a VM lost within one lease of its election")
		}
		time.Sleep(s.config.Lease.Margin + 2*leaderLoopInterval)
		if !s.lost("vm") {
			t.Fatalf("not declared lost %v after the election", time.Since(elected))
		}
	})
}

func TestPermissionsExpireWithinBoundOfLastConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		s.mustPost(t, operatorapi.PathPlan, "c1", encodePlan(t, testPlan(1, 1)))
		agent := s.connectLeaseAgent(t, testVM("vm", "a"), 1)
		began := time.Now()
		agent.holder = agentsession.NewHolder()
		s.node.setQuorum(false)
		cut := time.Now()
		for range 5 {
			time.Sleep(150 * time.Millisecond)
			agent.holder.RecordSent(agent.sequence+1, time.Now(), time.Since(began).Milliseconds())
			agent.report()
			synctest.Wait()
		}
		for len(agent.stream.out) > 0 {
			agent.receive(t)
		}
		until := began.Add(time.Duration(agent.holder.WorkerLeaseUntil()) * time.Millisecond)
		if limit := cut.Add(s.config.Lease.Duration); until.After(limit) {
			t.Fatalf("the lease outlasts the last confirmed leadership by %v", until.Sub(limit)+s.config.Lease.Duration)
		}
		time.Sleep(time.Until(cut.Add(s.config.Freshness)))
		if agent.holder.MayStart(time.Now()) {
			t.Fatal("a start is permitted after the freshness bound")
		}
		time.Sleep(2 * confirmTimeout)
	})
}

func TestZoneOutIsDeliveredOrFreshnessExpires(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestServer(t, Config{})
			s.mustPost(t, operatorapi.PathPlan, "c1", encodePlan(t, testPlan(1, 0+1)))
			agent := s.connectLeaseAgent(t, testVM("vm", "a"), 1)
			agent.renew(t, 100*time.Millisecond)
			if !agent.holder.MayStart(time.Now()) {
				t.Fatal("no start although the zone is in service")
			}
			s.mustPost(t, operatorapi.PathZones+"a/out", "c2", nil)
			accepted := time.Now()
			synctest.Wait()
			for !cutOff && len(agent.stream.out) > 0 {
				agent.receive(t)
			}
			if !cutOff && agent.holder.MayStart(time.Now()) {
				t.Fatal("a connected agent may start after the zone was taken out")
			}
			time.Sleep(time.Until(accepted.Add(s.config.Freshness)))
			if agent.holder.MayStart(time.Now()) {
				t.Fatal("an agent that received nothing may start after the freshness bound")
			}
		})
	}
}

func TestNoStartOrPlacementInZoneOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		s.mustPost(t, operatorapi.PathPlan, "c1", encodePlan(t, testPlan(1, 1)))
		s.mustPost(t, operatorapi.PathZones+"a/out", "c2", nil)
		agent := s.connect(t, testVM("vm", "a"), 1, nil)
		for range 5 {
			if d := agent.next(t); starts(d) || d.ZoneInService {
				t.Fatalf("directive %v", d)
			}
			time.Sleep(2 * time.Second)
			agent.report()
		}
		var tasks operatorapi.Tasks
		s.request(t, http.MethodGet, operatorapi.PathTasks, "", nil, &tasks)
		for _, k := range tasks.Tasks {
			if k.State != task.Pending.String() {
				t.Errorf("task %+v", k)
			}
		}
	})
}

// drainTarget is the maximum time from a drain request until agents and watchers
// know of it.
const drainTarget = 2 * time.Second

func TestDrainedVMIsNotifiedAndStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		agent := s.connectLeaseAgent(t, testVM("vm", "a"), 1)
		s.mustPost(t, operatorapi.PathVMs+"vm/drain", "c1", nil)
		drained := time.Now()
		if d := agent.receive(t); !d.Drain || time.Since(drained) > drainTarget {
			t.Fatalf("directive %v after %v", d, time.Since(drained))
		}
		s.mustPost(t, operatorapi.PathPlan, "c2", encodePlan(t, testPlan(1, 1)))
		for range 3 {
			time.Sleep(2 * time.Second)
			if d := agent.renew(t, 0); starts(d) || agent.holder.MayStart(time.Now()) {
				t.Fatalf("directive %v", d)
			}
		}
	})
}

func TestRunsOfEarlierIncarnationEndOnlyWhenConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		agent := s.connect(t, testVM("vm", "a"), 1, nil)
		run := s.placeOne(t, agent)
		agent.report(running(run))
		agent.next(t)
		agent.close()
		second := s.connect(t, testVM("vm", "a"), 2, nil)
		d := second.until(t, func(d *api.Directive) bool { return len(d.Stop) > 0 })
		if d.Stop[0].Task != run.task || starts(d) {
			t.Fatalf("directive %v", d)
		}
		for range 5 {
			time.Sleep(2 * time.Second)
			second.report()
			if d := second.next(t); starts(d) {
				t.Fatal("started again although the earlier run was not confirmed stopped")
			}
		}
		second.report(inPhase(run, api.TaskPhase_TASK_PHASE_STOPPED, ""))
		d = second.until(t, starts)
		if d.Start[0].Generation != run.generation+1 {
			t.Fatalf("directive %v", d)
		}
	})
}

func TestRunReportedByNewIncarnationContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		agent := s.connect(t, testVM("vm", "a"), 1, nil)
		run := s.placeOne(t, agent)
		agent.report(running(run))
		agent.next(t)
		agent.close()
		second := s.connect(t, testVM("vm", "a"), 2, nil, running(run))
		for range 3 {
			if d := second.next(t); len(d.Stop) > 0 || starts(d) {
				t.Fatalf("directive %v", d)
			}
			second.report()
		}
	})
}

func TestReturningVMStopsRunsPlacedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		agent := s.connect(t, testVM("vm-1", "a"), 1, nil)
		run := s.placeOne(t, agent)
		agent.report(running(run))
		agent.next(t)
		agent.close()
		for !s.lost("vm-1") {
			time.Sleep(100 * time.Millisecond)
		}
		other := s.connect(t, testVM("vm-2", "a"), 1, nil)
		other.until(t, starts)
		back := s.connect(t, testVM("vm-1", "a"), 1, nil, running(run))
		d := back.next(t)
		if len(d.Stop) != 1 || d.Stop[0].Generation != run.generation || d.LeaseMs == 0 {
			t.Fatalf("directive %v", d)
		}
	})
}

func TestUnreportedStartIsResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		agent := s.connect(t, testVM("vm", "a"), 1, nil)
		run := s.placeOne(t, agent)
		time.Sleep(resendInterval)
		agent.report()
		if d := agent.until(t, starts); d.Start[0].Generation != run.generation {
			t.Fatalf("directive %v", d)
		}
	})
}

func TestASessionEndsWithTheLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{Peers: func(uint64) Peer { return Peer{Address: "127.0.0.1:7"} }})
		agent := s.connect(t, testVM("vm", "a"), 1, nil)
		agent.next(t)
		s.node.setLeader(false)
		if err := <-agent.done; !fault.Is(err, fault.NotLeader) {
			t.Fatalf("error %v", err)
		}
		if agent.stream.trailer.Get("paddle-leader")[0] != "127.0.0.1:7" {
			t.Fatalf("trailer %v", agent.stream.trailer)
		}
	})
}

func TestSilentSessionIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		agent := s.connect(t, testVM("vm", "a"), 1, nil)
		agent.next(t)
		time.Sleep(s.config.Lease.NewLeaderWait() + time.Second)
		synctest.Wait()
		select {
		case err := <-agent.done:
			if !fault.Is(err, fault.ConnectionLost) {
				t.Fatalf("error %v", err)
			}
		default:
			t.Fatal("the session of a silent agent stays open")
		}
	})
}

func TestReportIsAnsweredOnlyAfterLaterConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		agent := s.connect(t, testVM("vm", "a"), 1, nil)
		agent.next(t)
		synctest.Wait()
		s.node.setQuorum(false)
		agent.report()
		time.Sleep(confirmMaxAge / 2)
		synctest.Wait()
		if len(agent.stream.out) > 0 {
			t.Fatalf("answered with an earlier confirmation: %v", <-agent.stream.out)
		}
		s.node.setQuorum(true)
		if d := agent.next(t); d.LeaseMs == 0 {
			t.Fatalf("directive %v", d)
		}
	})
}
