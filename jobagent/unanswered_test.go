package jobagent

import (
	"context"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
)

// maxSettleTime is the time within which a run is settled although one call has got no
// answer. The callers' most urgent jobs have an objective of 400 ms and no value after
// three of them: a task must be able to start twice in that time.
const maxSettleTime = 600 * time.Millisecond

// Guards against a start that took effect, whose answer is lost, and that is stopped: the
// next list tells that the run has begun.
func TestUnansweredStartThatTookEffectIsKnownByTheNextList(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.register(1, false)
		r.grantLease(20 * time.Second)
		r.wait(10 * time.Millisecond) // the long poll lasts for longer than maxStartTimeout
		r.worker.set(func() { r.worker.delayStarts = true })
		r.start(run)
		r.wait(10 * time.Millisecond)
		if err := r.worker.executeStart(r.worker.delayedStarts[0]); err != nil {
			t.Fatal(err)
		}
		r.wait(3 * time.Second)
		r.wantOutcome(run, none)
		if !r.worker.isRunning(run) {
			t.Errorf("the run was stopped; calls %v", r.worker.calls)
		}
	})
}

// Guards against a start that is held back for seconds and keeps its task for the whole
// timeout, although the worker answers other calls.
func TestUnansweredStartThatNoListShowsIsSettledSoon(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.serve(20 * time.Second)
		r.worker.set(func() { r.worker.delayStarts = true })
		r.start(run)
		r.wait(maxSettleTime)
		r.wantOutcome(run, lost)
		if err := r.worker.executeStart(r.worker.delayedStarts[0]); !fault.Is(err, fault.Fenced) {
			t.Errorf("delayed start: %v, want kind fenced", err)
		}
	})
}

// Guards against a stop that is repeated only after the timeout that a slow worker needs:
// the run of an unanswered start kept its room and its task for another second.
func TestStopWithoutAnAnswerIsRepeatedSoon(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.serve(20 * time.Second)
		r.worker.set(func() { r.worker.lostStops = 1 })
		r.sendDirective(&api.WorkerDirective{Stops: []*api.RunRef{run.Ref()}})
		r.wait(maxSettleTime)
		r.wantOutcome(run, lost)
	})
}

// Guards against a list that is requested again only after the timeout of a long poll: each
// lost list kept the runs that it would have settled for another 700 ms.
func TestListWithoutAnAnswerIsRequestedAgainSoon(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.serve(20 * time.Second)
		r.worker.set(func() { r.worker.lostPolls = 1 })
		r.sendDirective(&api.WorkerDirective{Stops: []*api.RunRef{run.Ref()}})
		r.wait(maxSettleTime)
		r.wantOutcome(run, lost)
	})
}

// Guards against short timeouts that a slow worker never meets: it was taken for silent,
// its lease was not renewed, and its stops were never confirmed.
func TestSlowWorkerAnswersARepeatedCall(t *testing.T) {
	inBubble(t, func(r *rig) {
		slow, stoppedRun := testRun(1), jobs.RunID{Task: jobs.TaskID{Job: "k"}, Number: 1}
		r.worker.answerTime = 500 * time.Millisecond
		r.register(1, false)
		r.grantLease(30 * time.Second)
		r.wait(4 * time.Second)
		r.start(slow)
		r.sendDirective(&api.WorkerDirective{Stops: []*api.RunRef{stoppedRun.Ref()}})
		r.wait(4 * time.Second)
		r.wantOutcome(stoppedRun, lost)
		r.wantOutcome(slow, none)
		if !r.worker.isRunning(slow) {
			t.Error("a run that the worker accepted late was stopped")
		}
	})
}

// slowStarter needs a time to begin a run, and answers polls at once.
type slowStarter struct {
	*fakeWorker
	needs time.Duration
}

func (s slowStarter) Start(ctx context.Context, target Target, request StartRequest) (int64, error) {
	select {
	case <-time.After(s.needs):
		return s.fakeWorker.Start(ctx, target, request)
	case <-ctx.Done():
		go func() {
			time.Sleep(s.needs) // it goes on without its caller
			_, _ = s.fakeWorker.Start(context.Background(), target, request)
		}()
		return 0, fault.Wrap(fault.ConnectionLost, ctx.Err(), "no answer")
	}
}

// Guards against a worker on which no run begins: it answers polls sooner than starts, and
// each start was given up for a list without its run.
func TestWorkerThatIsSlowerAtStartsThanAtPollsIsUsed(t *testing.T) {
	for _, needs := range []time.Duration{130 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(needs.String(), func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.agent.config.Worker = slowStarter{r.worker, needs}
				r.serve(60 * time.Second)
				begun := 0
				for number := int32(1); number <= 20; number++ {
					r.start(testRun(number))
					r.wait(time.Second)
					if r.worker.isRunning(testRun(number)) {
						begun++
					}
				}
				// The time doubles from 120 ms to 800 ms, so that three starts are given up at most.
				if begun < 20-3 {
					t.Errorf("%d of 20 runs have begun", begun)
				}
			})
		})
	}
}

// Guards against starts that wait while all slots are held by calls that get no answer.
func TestCallsWithoutAnAnswerDoNotDelayOtherStarts(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.serve(20 * time.Second)
		r.worker.set(func() { r.worker.hang = true })
		for i := range MaxConcurrentCalls {
			r.start(jobs.RunID{Task: jobs.TaskID{Job: "unanswered", Index: int32(i)}, Number: 1})
		}
		r.wait(startTimeout + 10*time.Millisecond)
		r.worker.set(func() { r.worker.hang = false })
		r.start(testRun(1))
		r.wait(10 * time.Millisecond)
		if !r.worker.isRunning(testRun(1)) {
			t.Error("a start is still waiting for a slot")
		}
	})
}

// Guards against a time-out of starts that doubles with each start of a burst: the next
// start kept its room and its task for the longest time-out.
func TestUnansweredBurstOfStartsLengthensTheTimeoutOnce(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.serve(20 * time.Second)
		r.worker.set(func() { r.worker.delayStarts = true })
		for i := range MaxConcurrentCalls {
			r.start(jobs.RunID{Task: jobs.TaskID{Job: "burst", Index: int32(i)}, Number: 1})
		}
		r.wait(maxSettleTime)
		r.start(testRun(1))
		r.wait(maxSettleTime)
		r.wantOutcome(testRun(1), lost)
	})
}
