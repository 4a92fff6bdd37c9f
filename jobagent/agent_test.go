package jobagent

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
)

const (
	none    = api.RunOutcome_RUN_OUTCOME_UNSPECIFIED
	done    = api.RunOutcome_RUN_OUTCOME_DONE
	lost    = api.RunOutcome_RUN_OUTCOME_LOST
	refused = api.RunOutcome_RUN_OUTCOME_REFUSED
	stopped = api.RunOutcome_RUN_OUTCOME_STOPPED
)

func TestRunEndIsAcknowledgedOnlyOnceRecorded(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.register(1, false)
		r.grantLease(4 * time.Second)
		r.wait(100 * time.Millisecond)
		r.start(run)
		r.wait(100 * time.Millisecond)
		if !r.worker.isRunning(run) {
			t.Fatal("the run did not start")
		}
		r.worker.end(run, done)
		r.wait(100 * time.Millisecond)
		r.wantOutcome(run, done)
		if r.worker.acked != 0 {
			t.Fatal("the end was acknowledged before the leader recorded it")
		}
		r.sendDirective(&api.WorkerDirective{Recorded: []*api.RunRef{run.Ref()}})
		r.wait(1200 * time.Millisecond)
		if r.worker.acked != 1 {
			t.Errorf("ends acknowledged up to position %d, want 1", r.worker.acked)
		}
	})
}

func TestStartIsRefusedWithoutLeaseOrWhileDraining(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.register(1, false)
		r.wait(100 * time.Millisecond)
		r.start(testRun(1))
		r.wait(100 * time.Millisecond)
		r.wantOutcome(testRun(1), refused)
		r.grantLease(4 * time.Second)
		r.register(2, true)
		r.start(testRun(2))
		r.wait(100 * time.Millisecond)
		r.wantOutcome(testRun(2), refused)
		if len(r.worker.calls) > 0 {
			t.Errorf("unexpected calls to the worker: %v", r.worker.calls)
		}
	})
}

func TestUnansweredStartIsFencedBeforeItIsReported(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.register(1, false)
		r.grantLease(20 * time.Second)
		r.wait(100 * time.Millisecond)
		r.worker.set(func() { r.worker.delayStarts = true })
		r.start(run)
		r.wait(startTimeout - 50*time.Millisecond)
		r.wantOutcome(run, none)
		r.wait(3 * time.Second)
		r.wantOutcome(run, lost)
		if err := r.worker.executeStart(r.worker.delayedStarts[0]); !fault.Is(err, fault.Fenced) {
			t.Errorf("delayed start: %v, want kind fenced", err)
		}
	})
}

// Guards against a list that waits for a long poll: the run of an unanswered start kept its
// room and its task for up to a second after its stop had been confirmed.
func TestListThatSettlesAStoppedRunDoesNotWaitForTheLongPoll(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.register(1, false)
		r.grantLease(20 * time.Second)
		r.wait(1100 * time.Millisecond) // the next long poll ends at about 2 s
		r.sendDirective(&api.WorkerDirective{Stops: []*api.RunRef{run.Ref()}})
		r.wait(50 * time.Millisecond)
		r.wantOutcome(run, lost)
	})
}

// Guards against a list that was asked for before the stop was confirmed, and arrives
// afterwards: the held start may take effect between the two.
func TestListOfAnEarlierPollDoesNotSettleAStoppedRun(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.worker.delayLists = 100 * time.Millisecond
		r.register(1, false)
		r.grantLease(20 * time.Second)
		r.wait(50 * time.Millisecond)
		r.sendDirective(&api.WorkerDirective{Stops: []*api.RunRef{run.Ref()}})
		r.wait(75 * time.Millisecond) // the first list has arrived
		r.wantOutcome(run, none)
		r.wait(100 * time.Millisecond)
		r.wantOutcome(run, lost)
	})
}

func TestUnansweredStartThatTookEffectIsStopped(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.register(1, false)
		r.grantLease(20 * time.Second)
		r.wait(100 * time.Millisecond)
		r.worker.set(func() { r.worker.delayStarts = true })
		r.start(run)
		r.wait(100 * time.Millisecond)
		if err := r.worker.executeStart(r.worker.delayedStarts[0]); err != nil {
			t.Fatal(err)
		}
		r.wait(4 * time.Second)
		if got := r.outcome(run); got != none && got != stopped {
			t.Errorf("outcome %v of a run that the worker lists, want none or stopped", got)
		}
		if got := r.outcome(run); got == stopped && r.worker.isRunning(run) {
			t.Error("the run was reported as stopped but is still running")
		}
	})
}

func TestRefusedStartIsReported(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.register(1, false)
		r.grantLease(4 * time.Second)
		r.wait(100 * time.Millisecond)
		r.worker.set(func() { r.worker.startErrors[run] = fault.New(fault.BackendUnavailable, "busy") })
		r.start(run)
		r.wait(100 * time.Millisecond)
		r.wantOutcome(run, refused)
	})
}

// Guards against reporting runs as lost too early: all agents were killed at once,
// and the restarted agent took a hung worker for one whose lease had ended. Found
// by seed 1 of trouble-3 on the grown site.
func TestRestartedAgentWaitsOutLeaseOfUnresponsiveWorker(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.register(1, false)
		r.grantLease(4 * time.Second)
		r.wait(100 * time.Millisecond)
		r.start(run)
		r.wait(100 * time.Millisecond)
		r.worker.set(func() { r.worker.hang = true })
		r.restartAgent()
		r.register(2, false)
		r.grantLease(4 * time.Second)
		if report := r.buildReport(); report.Worker != nil {
			t.Fatal("the worker was reported before its runs were known")
		}
		r.sendDirective(&api.WorkerDirective{ExpectedListed: true, Expected: []*api.RunRef{run.Ref()}})
		r.wait(testLeaseLimit - time.Second)
		r.wantOutcome(run, none)
		r.wait(3 * time.Second)
		r.wantOutcome(run, lost)
	})
}

func TestRestartedAgentRecoversRuns(t *testing.T) {
	inBubble(t, func(r *rig) {
		kept, ended, unknown := testRun(1), jobs.RunID{Task: jobs.TaskID{Job: "k"}, Number: 1}, jobs.RunID{Task: jobs.TaskID{Job: "l"}, Number: 1}
		r.register(1, false)
		r.grantLease(4 * time.Second)
		r.wait(100 * time.Millisecond)
		r.start(kept, ended)
		r.wait(100 * time.Millisecond)
		r.worker.end(ended, done)
		r.restartAgent()
		r.register(2, false)
		r.grantLease(4 * time.Second)
		r.wait(100 * time.Millisecond)
		r.sendDirective(&api.WorkerDirective{ExpectedListed: true, Expected: []*api.RunRef{kept.Ref(), ended.Ref(), unknown.Ref()}})
		r.wait(3 * time.Second)
		r.wantOutcome(kept, none)
		r.wantOutcome(ended, done)
		r.wantOutcome(unknown, lost)
		if !r.worker.isRunning(kept) {
			t.Error("a run that the leader expects was stopped")
		}
	})
}

func TestRunsOfUnresponsiveWorkerAreLostAfterItsLease(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.register(1, false)
		r.grantLease(4 * time.Second)
		r.wait(100 * time.Millisecond)
		r.start(run)
		r.wait(100 * time.Millisecond)
		r.worker.set(func() { r.worker.hang = true })
		for range 10 {
			r.grantLease(4 * time.Second) // the agent's own lease continues
			r.wait(300 * time.Millisecond)
		}
		r.wantOutcome(run, none)
		for range 20 {
			r.grantLease(4 * time.Second)
			r.wait(300 * time.Millisecond)
		}
		r.wantOutcome(run, lost)
		if remaining := r.worker.deadline - r.worker.clockMS(); remaining > 0 {
			t.Errorf("the run is lost, but the worker's lease lasts for another %d ms", remaining)
		}
	})
}

func TestWorkerLeaseEndsBeforeAgentLease(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.register(1, false)
		r.grantLease(4 * time.Second)
		r.wait(3 * time.Second)
		until := r.agent.current.leaseUntil
		slow := time.Duration(float64(r.worker.deadline-r.worker.clockMS())/minClockRate) * time.Millisecond
		if end := time.Now().Add(slow); end.After(until.Add(10 * time.Millisecond)) {
			t.Errorf("on a slow clock, the worker's lease ends %v after the agent's", end.Sub(until))
		}
	})
}

func TestOutOfOrderRegistrationsAreIgnored(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.register(5, true)
		r.register(4, false)
		if !r.agent.current.worker.Draining {
			t.Error("an out-of-order registration reset the draining state")
		}
		r.worker.set(func() { r.worker.born = 9 })
		r.register(1, false)
		r.worker.set(func() { r.worker.born = 1 })
		r.register(6, true)
		if r.agent.current.worker.Born != 9 {
			t.Error("an earlier incarnation replaced a later one")
		}
	})
}

func TestUnansweredStartIsFencedAtNextIncarnation(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.register(1, false)
		r.grantLease(20 * time.Second)
		r.wait(100 * time.Millisecond)
		r.worker.set(func() { r.worker.delayStarts = true })
		r.start(run)
		r.wait(100 * time.Millisecond)
		late := r.worker.delayedStarts[0]
		r.worker.set(func() { r.worker.born, r.worker.startedAt = 2, time.Now() })
		r.register(1, false)
		r.wait(time.Second)
		if err := r.worker.executeStart(late); !fault.Is(err, fault.Fenced) {
			t.Errorf("delayed start at the next incarnation: %v, want kind fenced", err)
		}
	})
}

func TestRunsUnknownToLeaderAreStopped(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.worker.running[run] = ""
		r.register(1, false)
		r.grantLease(4 * time.Second)
		r.wait(100 * time.Millisecond)
		r.sendDirective(&api.WorkerDirective{ExpectedListed: true})
		r.wait(500 * time.Millisecond)
		if r.worker.isRunning(run) {
			t.Error("the run is still running")
		}
	})
}

func TestOnlyInterferingBestEffortRunsArePaced(t *testing.T) {
	inBubble(t, func(r *rig) {
		service, heavy, light := testRun(1), jobs.RunID{Task: jobs.TaskID{Job: "k"}, Number: 1}, jobs.RunID{Task: jobs.TaskID{Job: "l"}, Number: 1}
		r.register(1, false)
		r.grantLease(20 * time.Second)
		r.wait(100 * time.Millisecond)
		for image, cost := range map[string]float64{"heavy": 0.5, "light": 0} {
			r.agent.costs.Set(pairCost("s", image, cost))
		}
		r.worker.set(func() {
			r.worker.usage[service], r.worker.usage[heavy], r.worker.usage[light] = 120, 3000, 3000
		})
		r.sendDirective(&api.WorkerDirective{Starts: []*api.RunOrder{
			{Run: service.Ref(), TargetLatencyMs: 150, Image: "s", MilliCpu: 6000},
			{Run: heavy.Ref(), BestEffort: true, Image: "heavy", MilliCpu: 3000},
			{Run: light.Ref(), BestEffort: true, Image: "light", MilliCpu: 3000},
		}})
		r.wait(3 * time.Second)
		if pace, paced := r.worker.paces[heavy]; !paced || pace > 99 {
			t.Errorf("the interfering run works at a pace of %d %%", pace)
		}
		if pace, paced := r.worker.paces[light]; paced {
			t.Errorf("the harmless run was paced to %d %%", pace)
		}
	})
}

// Guards against late pacing: when several best-effort runs start at once beside
// a service, their effect on it is measurable only half a second later.
func TestNewInterferingRunIsPacedAtOnce(t *testing.T) {
	inBubble(t, func(r *rig) {
		service, heavy := testRun(1), jobs.RunID{Task: jobs.TaskID{Job: "k"}, Number: 1}
		r.register(1, false)
		r.grantLease(20 * time.Second)
		r.wait(100 * time.Millisecond)
		r.agent.costs.Set(pairCost("s", "heavy", 0.5))
		r.worker.set(func() { r.worker.usage[service] = 70 })
		r.sendDirective(&api.WorkerDirective{Starts: []*api.RunOrder{
			{Run: service.Ref(), TargetLatencyMs: 150, Image: "s", MilliCpu: 6000},
		}})
		r.wait(3 * time.Second)
		r.sendDirective(&api.WorkerDirective{Starts: []*api.RunOrder{
			{Run: heavy.Ref(), BestEffort: true, Image: "heavy", MilliCpu: 6000},
		}})
		r.wait(20 * time.Millisecond)
		if pace, paced := r.worker.paces[heavy]; !paced || pace > 50 {
			t.Errorf("paced: %v, to %d %%; want at most 50 %%", paced, pace)
		}
	})
}

// Failure: an agent that was restarted did not know which of the runs that it found
// were services and which best-effort, and so paced none. Seen on nilefeather-loft
// (scale-2, seed 12): an agent was stopped and started at 15 s to 25 s; at 31.5 s a
// service had been over its target for 4 s beside best-effort work at full pace (HARM).
func TestRestartedAgentPacesRunsThatItFound(t *testing.T) {
	inBubble(t, func(r *rig) {
		service, heavy := testRun(1), jobs.RunID{Task: jobs.TaskID{Job: "k"}, Number: 1}
		orders := []*api.RunOrder{
			{Run: service.Ref(), TargetLatencyMs: 150, Image: "s", MilliCpu: 6000},
			{Run: heavy.Ref(), BestEffort: true, Image: "heavy", MilliCpu: 3000},
		}
		r.register(1, false)
		r.grantLease(20 * time.Second)
		r.wait(100 * time.Millisecond)
		r.sendDirective(&api.WorkerDirective{Starts: orders})
		r.wait(100 * time.Millisecond)
		r.restartAgent()
		r.register(2, false)
		r.grantLease(20 * time.Second)
		r.agent.costs.Set(pairCost("s", "heavy", 0.5))
		r.worker.set(func() { r.worker.usage[service], r.worker.usage[heavy] = 200, 3000 })
		r.wait(100 * time.Millisecond)
		r.sendDirective(&api.WorkerDirective{
			ExpectedListed: true, Expected: []*api.RunRef{service.Ref(), heavy.Ref()}, Described: orders,
		})
		r.wait(3 * time.Second)
		if pace, paced := r.worker.paces[heavy]; !paced || pace > 0 {
			t.Errorf("paced: %v, to %d %%; want a pause beside a service over its target", paced, pace)
		}
		r.worker.set(func() { r.worker.usage[service] = 20 })
		r.restartAgent()
		r.register(3, false)
		r.grantLease(20 * time.Second)
		r.wait(100 * time.Millisecond)
		r.sendDirective(&api.WorkerDirective{
			ExpectedListed: true, Expected: []*api.RunRef{service.Ref(), heavy.Ref()}, Described: orders,
		})
		r.wait(3 * time.Second)
		if pace := r.worker.paces[heavy]; pace != 100 {
			t.Errorf("a pause by an earlier process holds, at %d %%, beside an idle service", pace)
		}
	})
}

func TestHealthCheckResultIsReported(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.register(1, false)
		r.wait(2 * healthInterval)
		if r.worker.checkedPath != "" {
			t.Fatal("the worker's health was checked before the path was known")
		}
		r.agent.mu.Lock()
		r.agent.healthPath = "/healthz"
		r.agent.mu.Unlock()
		for _, unhealthy := range []bool{false, true, false} {
			r.worker.set(func() {
				r.worker.healthErr = nil
				if unhealthy {
					r.worker.healthErr = fault.New(fault.BackendUnavailable, "unhealthy")
				}
			})
			r.wait(2 * healthInterval)
			if got := r.buildReport().Unhealthy; got != unhealthy || r.worker.checkedPath != "/healthz" {
				t.Errorf("reported unhealthy %v, want %v; checked at %q", got, unhealthy, r.worker.checkedPath)
			}
		}
	})
}
