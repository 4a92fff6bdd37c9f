package jobagent

import (
	"testing"
	"testing/synctest"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against a run that is taken for over, placed elsewhere and carried out all the
// same: the earlier incarnation confirmed its stop, the later one does not know of it,
// and the start was in transit while the worker restarted under its id.
func TestConfirmedStopOfAnUnansweredStartHoldsAtTheNextIncarnation(t *testing.T) {
	for _, reported := range []bool{false, true} {
		inBubble(t, func(r *rig) {
			run := testRun(1)
			r.serve(20 * time.Second)
			r.worker.set(func() { r.worker.delayStarts = true })
			r.start(run)
			r.wait(startTimeout + 10*time.Millisecond)
			if reported {
				r.wait(3 * time.Second)
				r.wantOutcome(run, lost)
				r.sendDirective(&api.WorkerDirective{Recorded: []*api.RunRef{run.Ref()}})
			}
			late := r.worker.delayedStarts[0]
			r.restartWorker(0)
			r.register(1, false)
			r.wait(time.Second)
			if err := r.worker.executeStart(late); err == nil {
				t.Errorf("end reported %v: the next incarnation carried out the delayed start of a run that is over", reported)
			}
		})
	}
}

// Guards against a run that nobody counts and that works until its end: a start that was
// in transit while the worker restarted is carried out after the later incarnation's
// first list, so the comparison with the leader's runs does not show it.
func TestRunThatAppearsAfterTheComparisonWithTheLeaderIsStopped(t *testing.T) {
	inBubble(t, func(r *rig) {
		stray := testRun(1)
		r.serve(20 * time.Second)
		r.sendDirective(&api.WorkerDirective{ExpectedListed: true})
		r.wait(500 * time.Millisecond)
		r.worker.set(func() { r.worker.running[stray] = "" })
		r.wait(3 * time.Second)
		if r.worker.isRunning(stray) {
			t.Error("a run that the leader does not expect is still running 3 s after it appeared")
		}
	})
}

// Guards against ends that get lost, so that work that is done is done again: positions
// start anew in each incarnation, and a poll that follows the worker's restart, before
// its registration, acknowledges the ends up to a position of the earlier one.
func TestPollDoesNotAcknowledgeEndsOfTheNextIncarnation(t *testing.T) {
	inBubble(t, func(r *rig) {
		first, second := testRun(1), jobs.RunID{Task: jobs.TaskID{Job: "k"}, Number: 1}
		r.serve(30 * time.Second)
		r.start(first)
		r.wait(100 * time.Millisecond)
		r.worker.end(first, done)
		r.wait(10 * time.Millisecond)
		r.sendDirective(&api.WorkerDirective{Recorded: []*api.RunRef{first.Ref()}})
		r.wait(1200 * time.Millisecond)
		r.restartWorker(600 * time.Millisecond)
		r.wait(maxRetryDelay + 10*time.Millisecond)
		r.register(1, false)
		r.grantLease(30 * time.Second)
		r.wait(100 * time.Millisecond)
		r.start(second)
		r.wait(100 * time.Millisecond)
		r.worker.end(second, done)
		r.wait(3 * time.Second)
		r.wantOutcome(second, done)
	})
}

// Guards against blaming a run for a crash that preceded its start, which can fail its
// job after two crashes: the start was sent after the worker's restart and before its
// registration, and the later incarnation carried it out.
func TestRunStartedAfterTheRestartIsNoSuspectOfTheCrash(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.runBeside(testRun(1))
		r.restartWorker(0)
		r.start(testRun(2))
		synctest.Wait()
		r.register(1, false)
		r.wait(100 * time.Millisecond)
		for _, crash := range r.buildReport().Crashes {
			for _, run := range crash.Suspects {
				if jobs.RunIDOf(run) == testRun(2) {
					t.Errorf("%v is blamed for the crash before its start, with evidence %v", run, crash.Evidence)
				}
			}
		}
	})
}

// Guards against a run that is reported as over, and placed elsewhere, while its worker
// still holds a lease: a start that is meant for the earlier incarnation names a time on
// that one's clock, which is late on the clock that has just started. The later one
// takes it for the lease of all its runs, as long as it grants at most.
func TestRunsAreNotReportedLostWhileALeaseFromTheEarlierClockLasts(t *testing.T) {
	inBubble(t, func(r *rig) {
		run, crossing := testRun(1), jobs.RunID{Task: jobs.TaskID{Job: "k"}, Number: 1}
		r.register(1, false)
		r.grantLease(4 * time.Second)
		r.wait(time.Minute)
		late := StartRequest{Run: crossing, DeadlineMS: r.worker.clockMS() + 4000}
		r.restartWorker(0)
		r.serve(4 * time.Second)
		r.start(run)
		r.wait(3 * time.Second)
		late.DeadlineMS = min(late.DeadlineMS, r.worker.clockMS()+testLeaseLimit.Milliseconds()) // as the worker shortens it
		_ = r.worker.executeStart(late)                                                          // a worker that refuses it is as good
		r.worker.set(func() { r.worker.hang = true })
		for r.outcome(run) == none {
			r.wait(50 * time.Millisecond)
		}
		if remaining := r.worker.deadline - r.worker.clockMS(); remaining > 0 {
			t.Errorf("the run is reported lost, but the worker's lease lasts for another %d ms", remaining)
		}
	})
}

// Guards against a start that outlives its permission: it waits for a call slot while
// the lease under which it was ordered ends, so that the leader places the run
// elsewhere, and is sent under the lease of a new session that does not expect the run.
func TestStartIsNotSentUnderALaterLeaseThanItWasOrderedUnder(t *testing.T) {
	for name, later := range map[string]*api.WorkerDirective{
		"new session": {ExpectedListed: true},
		"same session, of an agent that was paused": {},
	} {
		t.Run(name, func(t *testing.T) { inBubble(t, func(r *rig) { r.testStartUnderALaterLease(later) }) })
	}
}

func (r *rig) testStartUnderALaterLease(later *api.WorkerDirective) {
	r.t.Helper()
	r.register(1, false)
	r.wait(100 * time.Millisecond)
	r.grantLease(startTimeout / 2)
	r.worker.set(func() { r.worker.delayStarts = true })
	for i := range MaxConcurrentCalls {
		r.start(jobs.RunID{Task: jobs.TaskID{Job: "busy", Index: int32(i)}, Number: 1})
	}
	synctest.Wait()
	if len(r.worker.delayedStarts) != MaxConcurrentCalls {
		r.t.Fatalf("%d starts were sent, want as many as calls at a time", len(r.worker.delayedStarts))
	}
	waiting := testRun(1)
	r.start(waiting)
	r.wait(startTimeout / 2)
	r.worker.set(func() { r.worker.delayStarts = false })
	r.grantLease(20 * time.Second)
	r.sendDirective(later)
	for range 20 {
		r.wait(100 * time.Millisecond)
		if r.worker.isRunning(waiting) {
			r.t.Fatal("a start was sent although the lease it was ordered under had ended")
		}
	}
}

// Guards against a run that is taken for running for ever: the worker accepted its start
// and forgot its end before any list showed it.
func TestAcceptedRunThatIsNeverListedIsSettled(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.serve(20 * time.Second)
		r.start(run)
		r.wait(10 * time.Millisecond)
		r.worker.set(func() { delete(r.worker.running, run) })
		r.wait(5 * time.Second)
		r.wantOutcome(run, lost)
	})
}

// Guards against a worker that gets no more work until it restarts: the deregistration of
// an earlier incarnation arrives after a later one has registered under the same id.
func TestDeregistrationOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.register(1, true)
		r.grantLease(20 * time.Second)
		r.wait(100 * time.Millisecond)
		r.restartWorker(0)
		r.register(1, false)
		r.grantLease(20 * time.Second)
		r.wait(100 * time.Millisecond)
		r.agent.Deregister("w", r.worker.born-1)
		r.start(testRun(1))
		r.wait(100 * time.Millisecond)
		if r.buildReport().Leaving || !r.worker.isRunning(testRun(1)) {
			t.Error("the later incarnation counts as leaving")
		}
		r.agent.Deregister("w", r.worker.born)
		if !r.buildReport().Leaving {
			t.Error("the later incarnation does not leave")
		}
	})
}
