package jobagent

import (
	"slices"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against a run that is placed elsewhere while its worker still runs it: until an
// incarnation has answered its first call, it takes the lease of any call that was meant for
// the incarnation before, which is as long as the worker grants on its new clock.
func TestLeaseOfAnEarlierIncarnationIsCountedFromTheFirstAnswer(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.register(1, false)
		r.grantLease(4 * time.Second)
		r.wait(time.Minute)
		late := StartRequest{Run: testRun(9), DeadlineMS: r.worker.clockMS() + 4000, Fence: fencingToken(r.worker.born, 1)}
		r.restartWorker(0)
		r.worker.set(func() { r.worker.hang = true })
		r.register(1, false)
		r.wait(2 * time.Second)
		late.DeadlineMS = min(late.DeadlineMS, r.worker.clockMS()+testLeaseLimit.Milliseconds()) // as the worker shortens it
		if err := r.worker.executeStart(late); err != nil {
			t.Fatalf("a worker that has answered no call refused one for its earlier incarnation: %v", err)
		}
		r.worker.set(func() { r.worker.hang = false })
		r.grantLease(4 * time.Second)
		r.wait(600 * time.Millisecond)
		r.start(run)
		r.wait(100 * time.Millisecond)
		r.worker.set(func() { r.worker.hang = true })
		for r.outcome(run) == none {
			r.wait(50 * time.Millisecond)
		}
		if remaining := r.worker.deadline - r.worker.clockMS(); remaining > 0 {
			t.Errorf("the run is reported lost, but the worker's lease lasts for another %d ms", remaining)
		}
	})
}

// Guards against a leader that waits too short a time for a worker that is cut off, or too
// long for one whose id is new, which no earlier call can reach.
func TestReportTellsForHowLongALeaseOfTheFormerLifeMayLast(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.register(1, false)
		r.wait(100 * time.Millisecond)
		if r.buildReport().FormerLeaseMs == 0 {
			t.Error("none reported by an agent that has just started, whose process before may have made calls")
		}
		r.wait(time.Minute)
		r.restartWorker(0)
		r.register(1, false)
		r.wait(100 * time.Millisecond)
		if left := r.buildReport().FormerLeaseMs; left < testLeaseLimit.Milliseconds()-100 || left > testLeaseLimit.Milliseconds()+200 {
			t.Errorf("%d ms left 100 ms after the first answer, the worker grants %v", left, testLeaseLimit)
		}
		r.wait(testLeaseLimit + 200*time.Millisecond)
		if left := r.buildReport().FormerLeaseMs; left != 0 {
			t.Errorf("%d ms left after the longest lease", left)
		}
		r.restartWorker(0)
		r.agent.Register(Registration{Address: "10.0.0.1:1", Sequence: 1, Worker: &api.Worker{Id: "new", Born: r.worker.born, Service: "s"}})
		r.wait(100 * time.Millisecond)
		if left := r.buildReport().FormerLeaseMs; left != 0 {
			t.Errorf("%d ms left for a worker whose id is new", left)
		}
	})
}

// Guards against a run that begins after its task was placed elsewhere: the incarnation that
// had refused its start ends, and the next one, which knows no fencing token, carries it out.
func TestUnansweredStartIsNotReportedLostWhileTheNextIncarnationMayCarryItOut(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.serve(20 * time.Second)
		r.worker.set(func() { r.worker.delayStarts = true })
		r.start(run)
		r.wait(10 * time.Millisecond)
		late := r.worker.delayedStarts[0]
		r.restartWorker(0)
		r.register(1, false)
		r.grantLease(20 * time.Second)
		r.wait(150 * time.Millisecond)
		if !r.reports(run) {
			t.Fatal("the report does not name the run, which the leader takes for lost")
		}
		r.restartWorker(0)
		if err := r.worker.executeStart(late); err != nil {
			t.Fatalf("the third incarnation refused the start: %v", err)
		}
		r.register(1, false)
		r.wait(100 * time.Millisecond)
		if !r.reports(run) {
			t.Error("the report does not name a run that the worker has begun")
		}
		r.wait(time.Second)
		if r.worker.isRunning(run) {
			t.Error("the run that crossed two restarts is not stopped")
		}
	})
}

// Guards against a task that waits for ever for a start that no incarnation carries out.
func TestUnansweredStartIsLostOnceItCanNoLongerBeCarriedOut(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.serve(20 * time.Second)
		r.worker.set(func() { r.worker.delayStarts = true })
		r.start(run)
		r.wait(10 * time.Millisecond)
		r.restartWorker(0)
		r.register(1, false)
		r.wait(jobs.StartDelayLimit + 2*time.Second)
		r.wantOutcome(run, lost)
	})
}

// Guards against a start that is carried out after its task was placed elsewhere: the lease
// of a silent worker bounds only the runs that it has begun.
func TestEndOfTheLeaseDoesNotSettleAnUnansweredStart(t *testing.T) {
	inBubble(t, func(r *rig) {
		begun, unanswered := testRun(1), testRun(2)
		unanswered.Task.Job = "k"
		r.serve(100 * time.Millisecond)
		r.agent.current.sentLeaseUntil = time.Now()
		r.grantLease(300 * time.Millisecond)
		r.start(begun)
		r.wait(50 * time.Millisecond)
		r.worker.set(func() { r.worker.hang = true })
		r.start(unanswered)
		r.wait(3 * time.Second)
		r.wantOutcome(begun, lost)
		r.wantOutcome(unanswered, none)
		r.wait(jobs.StartDelayLimit + testLeaseLimit - 4*time.Second)
		r.wantOutcome(unanswered, none)
		r.wait(3 * time.Second)
		r.wantOutcome(unanswered, lost)
	})
}

// reports returns whether the next report names a run, as one that has not ended or as one
// that the worker has stopped.
func (r *rig) reports(run jobs.RunID) bool {
	report := r.buildReport()
	return slices.ContainsFunc(report.Runs, func(status *api.RunStatus) bool { return jobs.RunIDOf(status.Run) == run }) ||
		slices.ContainsFunc(report.Ends, func(end *api.WorkerEnd) bool {
			return jobs.RunIDOf(end.Run) == run && end.Outcome == stopped
		})
}
