package jobagent

import (
	"context"
	"sync"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// recordingWorker is a fakeWorker that keeps the polls it receives, so that a test can
// carry one out again at a later incarnation.
type recordingWorker struct {
	*fakeWorker
	pollsMu sync.Mutex
	polls   []PollRequest
}

func (w *recordingWorker) Poll(ctx context.Context, target Target, request PollRequest) (*PollResponse, error) {
	w.pollsMu.Lock()
	w.polls = append(w.polls, request)
	w.pollsMu.Unlock()
	return w.fakeWorker.Poll(ctx, target, request)
}

// Guards against work that is done being done again: a poll of the earlier incarnation is
// held across a restart and is carried out before the later one has answered a call. Its
// cursor acknowledges the first ends of the later one, which the worker then never lists.
func TestHeldPollDoesNotAcknowledgeEndsOfTheNextIncarnation(t *testing.T) {
	inBubble(t, func(r *rig) {
		worker := &recordingWorker{fakeWorker: r.worker}
		r.agent.config.Worker = worker
		first, second := testRun(1), jobs.RunID{Task: jobs.TaskID{Job: "k"}, Number: 1}
		r.serve(30 * time.Second)
		r.start(first)
		r.wait(100 * time.Millisecond)
		r.worker.end(first, done)
		r.wait(10 * time.Millisecond)
		r.sendDirective(&api.WorkerDirective{Recorded: []*api.RunRef{first.Ref()}})
		r.wait(3 * time.Second)
		if r.worker.acked != 1 {
			t.Fatalf("acknowledged up to %d, want 1", r.worker.acked)
		}
		held := worker.polls[len(worker.polls)-1]
		r.restartWorker(0)
		if _, err := r.worker.Poll(context.Background(), Target{}, PollRequest{Fence: held.Fence, Cursor: held.Cursor}); err != nil {
			t.Fatalf("a worker that has answered no call refused one for its earlier incarnation: %v", err)
		}
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

// Guards against an acknowledgement that gets lost with its poll: the worker would list the
// end for ever.
func TestCursorIsSentUntilAPollWithItIsAnswered(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.serve(30 * time.Second)
		r.start(run)
		r.wait(100 * time.Millisecond)
		r.worker.end(run, done)
		r.worker.set(func() { r.worker.lostPolls, r.worker.answerTime = 2, time.Millisecond })
		r.wait(10 * time.Millisecond)
		r.sendDirective(&api.WorkerDirective{Recorded: []*api.RunRef{run.Ref()}})
		r.wait(6 * time.Second)
		if r.worker.acked != 1 {
			t.Errorf("acknowledged up to %d, want 1", r.worker.acked)
		}
	})
}

// slowWorker is a fakeWorker that answers starts and paces late, if it still runs or runs
// again by then: a call can outlast a short restart of the worker.
type slowWorker struct {
	*fakeWorker
	delay time.Duration // guarded by the lock of the fakeWorker
}

func (w *slowWorker) waitDelay() {
	w.mu.Lock()
	delay := w.delay
	w.mu.Unlock()
	time.Sleep(delay)
}

func (w *slowWorker) Start(ctx context.Context, target Target, request StartRequest) (int64, error) {
	w.waitDelay()
	return w.fakeWorker.Start(ctx, target, request)
}

func (w *slowWorker) Pace(ctx context.Context, target Target, run jobs.RunID, percent int, fence uint64) (int64, error) {
	w.waitDelay()
	return w.fakeWorker.Pace(ctx, target, run, percent, fence)
}

// Guards against a run that crashes its workers and is cleared of it: a call that was sent
// while the worker was down is answered by the later incarnation, which counted as a sign
// that the earlier one had survived the start of the run.
func TestAnswerOfALaterIncarnationDoesNotClearTheSuspectsOfACrash(t *testing.T) {
	crashing, other := testRun(2), jobs.RunID{Task: jobs.TaskID{Job: "k"}, Number: 1}
	for name, call := range map[string]func(*rig){
		"answer to a start":          func(r *rig) { r.start(other) },
		"answer to the confirmation": func(*rig) {},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				slow := &slowWorker{fakeWorker: r.worker}
				r.agent.config.Worker = slow
				r.runBeside(testRun(1))
				r.sendDirective(&api.WorkerDirective{Starts: []*api.RunOrder{{Run: crashing.Ref(), Probation: true}}})
				r.wait(50 * time.Millisecond)
				r.worker.set(func() { slow.delay, r.worker.hang = 550*time.Millisecond, true })
				r.wait(60 * time.Millisecond)
				call(r)
				r.wait(440 * time.Millisecond)
				r.restartWorker(0)
				r.worker.set(func() { r.worker.hang = false })
				r.wait(200 * time.Millisecond)
				r.register(1, false)
				r.wait(100 * time.Millisecond)
				r.wantCrash(sole, crashing)
			})
		})
	}
}

// Guards against work that is done being done again: the earlier incarnation had listed the
// end of a run, and the worker started anew before the leader had recorded it, as while the
// leader changes. The position of such an end is one of the later incarnation's ends too.
func TestListedEndIsReportedAfterARestartOfTheWorker(t *testing.T) {
	inBubble(t, func(r *rig) {
		former, own := testRun(1), jobs.RunID{Task: jobs.TaskID{Job: "k"}, Number: 1}
		r.serve(30 * time.Second)
		r.start(former)
		r.wait(100 * time.Millisecond)
		r.worker.end(former, done)
		r.wait(10 * time.Millisecond)
		for range 2 {
			r.restartWorker(0)
			r.register(1, false)
			r.grantLease(30 * time.Second)
			r.wait(100 * time.Millisecond)
			r.wantOutcome(former, done)
		}
		r.start(own)
		r.wait(100 * time.Millisecond)
		r.worker.end(own, done)
		r.wait(10 * time.Millisecond)
		if ends := r.buildReport().Ends; len(ends) != 2 {
			t.Errorf("ends %v in the report, want those of %v and %v", ends, former, own)
		}
		r.sendDirective(&api.WorkerDirective{Recorded: []*api.RunRef{former.Ref()}})
		r.wait(3 * time.Second)
		r.wantOutcome(former, none)
		r.wantOutcome(own, done)
		if r.worker.acked != 0 {
			t.Errorf("acknowledged up to %d although the end is not recorded", r.worker.acked)
		}
		r.sendDirective(&api.WorkerDirective{Recorded: []*api.RunRef{own.Ref()}})
		r.wait(3 * time.Second)
		if r.worker.acked != 1 {
			t.Errorf("acknowledged up to %d, want 1", r.worker.acked)
		}
	})
}

// Guards against two runs of one task for longer than need be: a run was reported lost with
// its worker's lease, and a list shows that it runs on, as after a lease that an incarnation
// took from a call for the one before. It went on until the leader had recorded its loss and
// another list had arrived.
func TestRunThatOutlivedItsReportedLossIsStoppedAtOnce(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.serve(4 * time.Second)
		r.start(run)
		r.wait(100 * time.Millisecond)
		r.worker.set(func() { r.worker.hang = true })
		for r.outcome(run) == none {
			r.wait(50 * time.Millisecond)
		}
		r.worker.set(func() { r.worker.hang = false })
		r.wait(700 * time.Millisecond)
		if r.worker.isRunning(run) {
			t.Error("the run goes on although it was reported lost")
		}
	})
}

// Guards against two runs of one task: an incarnation that has answered no call carries out an
// unanswered start of the one before at any time, and takes a lease from then on. The agent
// counted the longest lease from the registration, reported the run lost with the first list,
// which shows that it runs, and did not report it as running.
func TestRunIsNotLostWhileTheNextIncarnationHasAnsweredNothing(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.serve(30 * time.Second)
		r.worker.set(func() { r.worker.delayStarts = true })
		r.start(run)
		r.wait(50 * time.Millisecond)
		held := r.worker.delayedStarts[0]
		r.restartWorker(0)
		r.worker.set(func() { r.worker.hang = true })
		r.register(1, false)
		r.wait(5 * time.Second)
		if err := r.worker.executeStart(held); err != nil {
			t.Fatalf("a worker that has answered no call refused one for its earlier incarnation: %v", err)
		}
		r.wait(3 * time.Second)
		r.worker.set(func() { r.worker.hang = false })
		for len(r.buildReport().Runs) == 0 && r.outcome(run) == none {
			r.wait(10 * time.Millisecond)
		}
		if r.outcome(run) == lost {
			t.Error("the run was reported lost 3 s after the worker had begun it")
		}
	})
}
