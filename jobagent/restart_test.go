package jobagent

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
)

// restartWorker ends the worker and starts it again under its id, without a
// registration. The later incarnation has no runs, ends, fences or acknowledged
// positions, and its clock starts anew.
func (r *rig) restartWorker(down time.Duration) {
	if down > 0 {
		r.worker.set(func() { r.worker.pollErr = fault.New(fault.BackendUnavailable, "connection refused") })
		r.wait(down)
	}
	r.worker.set(func() {
		w := r.worker
		w.pollErr, w.born, w.startedAt, w.delayStarts = nil, w.born+1, time.Now(), false
		w.down = false
		w.running, w.fenced, w.ends = map[jobs.RunID]string{}, map[jobs.RunID]bool{}, nil
		w.acked, w.deadline = 0, 0
	})
}

// Guards against a start that crosses a restart of its worker, and of the agent, which
// then knows nothing of it: the worker's later incarnation has the same id and ran it
// although its task had been placed elsewhere (issue 36).
func TestStartForAnEarlierIncarnationIsRefusedOnceTheLaterOneHasListedItsRuns(t *testing.T) {
	for name, c := range map[string]struct {
		between func(*rig)
		reports int // of runs that may still begin
	}{
		"agent that runs on":     {func(*rig) {}, 1},
		"agent started anew too": {func(r *rig) { r.restartAgent() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.serve(20 * time.Second)
				r.worker.set(func() { r.worker.delayStarts = true })
				r.start(testRun(1))
				r.wait(100 * time.Millisecond)
				c.between(r)
				r.restartWorker(0)
				r.register(1, false)
				r.wait(50 * time.Millisecond)
				if runs := r.buildReport().Runs; len(runs) != c.reports || len(runs) > 0 && runs[0].Begun {
					t.Fatalf("the report names runs %v, want %d that have not begun", runs, c.reports)
				}
				err := r.worker.executeStart(r.worker.delayedStarts[0])
				if err == nil || fault.KindOf(err).Answer().Outcome != fault.OutcomeNotRun {
					t.Errorf("the held start: %v, want a refusal", err)
				}
			})
		})
	}
}

// Guards against a run that goes on after a restart without an order: the start reached
// the worker's later incarnation before that had registered, 8 ms after it had begun
// (issue 36). The agent stops it, and reports it until it has ended.
func TestRunThatALaterIncarnationStartedByAnEarlierOrderIsStopped(t *testing.T) {
	for name, answered := range map[string]bool{"start answered": true, "start unanswered": false} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				run := testRun(1)
				r.serve(20 * time.Second)
				r.worker.set(func() { r.worker.delayStarts = !answered })
				if answered {
					r.restartWorker(0)
				}
				r.start(run)
				r.wait(10 * time.Millisecond)
				if !answered {
					r.restartWorker(0)
					if err := r.worker.executeStart(r.worker.delayedStarts[0]); err != nil {
						t.Fatal(err)
					}
				}
				if !r.worker.isRunning(run) {
					t.Fatal("the worker's later incarnation did not start the run")
				}
				r.register(1, false)
				r.wait(5 * time.Millisecond)
				if report := r.buildReport(); len(report.Runs)+len(report.Ends) != 1 {
					t.Errorf("the first report names runs %v and ends %v, want the run in one of them", report.Runs, report.Ends)
				}
				r.wait(time.Second)
				r.wantOutcome(run, stopped)
			})
		})
	}
}

// Guards against a token that lets a call for an earlier incarnation pass at a later one:
// a restarted agent knows no term yet, while the earlier call bears that of a leader.
func TestFencingTokenRisesWithIncarnationBeforeTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		born := rapid.Int64Range(0, 1<<41).Draw(t, "born")
		later := born + rapid.Int64Range(1, 1<<30).Draw(t, "later by ms")
		term := rapid.Uint64Range(0, 1<<tokenTermBits-1).Draw(t, "term")
		other := rapid.Uint64Range(0, 1<<tokenTermBits-1).Draw(t, "other term")
		if fencingToken(later, other) <= fencingToken(born, term) {
			t.Errorf("a later incarnation has no higher token")
		}
		if term < other && fencingToken(born, term) >= fencingToken(born, other) {
			t.Errorf("a later term has no higher token at the same incarnation")
		}
	})
}

// Guards against a start that goes on although the list of the leader's runs, which
// arrives with it, does not contain it.
func TestStartThatTheLeaderDoesNotExpectIsStopped(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.serve(20 * time.Second)
		r.sendDirective(&api.WorkerDirective{Starts: []*api.RunOrder{{Run: testRun(1).Ref()}}, ExpectedListed: true})
		r.wait(2 * time.Second)
		if r.worker.isRunning(testRun(1)) {
			t.Error("the run goes on")
		}
	})
}

// Guards against a run that goes on after its end was reported: a confirmed stop and a
// fencing token are forgotten with the incarnation that had them, while the start is still
// held. The agent stops the run without being told so.
func TestHeldStartThatALaterIncarnationCarriesOutIsStopped(t *testing.T) {
	for name, before := range map[string]func(*rig){
		"end reported": func(r *rig) { r.wait(3 * time.Second) },
		"second restart": func(r *rig) {
			r.restartWorker(0)
			r.register(1, false)
			r.wait(100 * time.Millisecond)
		},
		"second restart, silent between": func(r *rig) {
			r.restartWorker(0)
			r.worker.set(func() { r.worker.hang = true })
			r.register(1, false)
			r.wait(100 * time.Millisecond)
			r.worker.set(func() { r.worker.hang = false })
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				run := testRun(1)
				r.serve(20 * time.Second)
				r.worker.set(func() { r.worker.delayStarts = true })
				r.start(run)
				r.wait(100 * time.Millisecond)
				before(r)
				r.restartWorker(0)
				if err := r.worker.executeStart(r.worker.delayedStarts[0]); err != nil {
					t.Fatal(err)
				}
				r.register(1, false)
				r.wait(2 * time.Second)
				if r.worker.isRunning(run) {
					t.Errorf("the run goes on, the agent reports %v", r.buildReport().Runs)
				}
			})
		})
	}
}
