package jobcontrol

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against two runs of a task: a call for a worker's earlier incarnation has given the
// later one the longest lease that it grants, the worker is cut off with its agent, and the
// leader waits only for the lease that it has granted itself.
func TestRunIsNotPlacedElsewhereWhileALeaseOfTheFormerLifeLasts(t *testing.T) {
	for name, changeLeader := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.configure()
				a := r.connect("a")
				a.born++
				a.listed = []*api.RunStatus{}
				a.formerUntil = time.Now().Add(defaultLimit)
				a.report()
				r.mustCall(submit, testPath, oneTask(), accepted)
				r.wait(time.Second)
				if starts, _, _, _ := a.drainDirectives(); len(starts) != 1 {
					t.Fatalf("starts %v on a, want one", starts)
				}
				a.listRuns(testRun)
				a.report()
				a.stream.cancel()
				if changeLeader {
					r.changeLeader()
				}
				b := r.connect("b")
				for time.Now().Before(a.formerUntil) {
					r.reportFor(time.Second, b)
					if starts, _, _, _ := b.drainDirectives(); len(starts) > 0 {
						t.Fatalf("starts %v on b while the lease on a lasts for another %v", starts, time.Until(a.formerUntil))
					}
				}
				r.reportFor(2*time.Second, b)
				if starts, _, _, _ := b.drainDirectives(); len(starts) != 1 {
					t.Errorf("starts %v on b once the lease is over, want one", starts)
				}
			})
		})
	}
}

// Guards against two runs of a task: its start is refused by the worker's second incarnation,
// which then ends, and carried out by the third one. Guards too against a worker that is kept
// closed for a run that it refuses.
func TestTaskWaitsForAStartThatAThirdIncarnationMayCarryOut(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.mustCall(submit, testPath, oneTask(), accepted)
		r.wait(100 * time.Millisecond)
		held, _, _, _ := a.drainDirectives()
		a.born = 2
		a.listed = []*api.RunStatus{{Run: held[0].Ref()}} // refused, and not certain to stay so
		a.report()
		r.mustCall(submit, "/q/"+otherJob, oneTask(), accepted)
		r.reportFor(time.Second, a)
		if starts, _, _, _ := a.drainDirectives(); len(starts) != 1 || starts[0].Task.Job != otherJob {
			t.Fatalf("starts %v on the second incarnation, want one of another job alone", starts)
		}
		a.born, a.milliCPU = 3, 0
		a.listRuns(held...)
		a.report()
		b := r.connect("b")
		r.reportFor(3*time.Second, a, b)
		if starts, _, _, _ := b.drainDirectives(); len(starts) != 1 || starts[0].Task.Job != otherJob {
			t.Fatalf("starts %v on b while the third incarnation runs %v", starts, held)
		}
		a.listed = []*api.RunStatus{}
		a.end(held[0], api.RunOutcome_RUN_OUTCOME_STOPPED)
		r.reportFor(time.Second, a, b)
		if starts, _, _, _ := b.drainDirectives(); len(starts) != 1 || starts[0].Task != held[0].Task {
			t.Errorf("starts %v on b once the run has ended, want the next run of its task", starts)
		}
	})
}

// Guards against two runs of a task: its start is still held when the lease of its silent
// worker is over, and carried out afterwards.
func TestUnansweredStartIsNotLostWithTheLease(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 2, MilliCpu: 1000}}}, accepted)
		placed := time.Now()
		r.wait(100 * time.Millisecond)
		starts, _, _, _ := a.drainDirectives()
		a.listRuns(starts[0])
		a.report()
		a.stream.cancel()
		b := r.connect("b")
		r.reportFor(testLease+time.Second, b)
		if again, _, _, _ := b.drainDirectives(); len(again) != 1 || again[0].Task != starts[0].Task {
			t.Fatalf("starts %v on b after the lease, want that of the task of %v alone", again, starts[0])
		}
		r.reportFor(jobs.StartDelayLimit+r.server.config.longestLease()+time.Second-time.Since(placed), b)
		if again, _, _, _ := b.drainDirectives(); len(again) != 1 || again[0].Task != starts[1].Task {
			t.Errorf("starts %v on b once the start can no longer be carried out, want that of the task of %v", again, starts[1])
		}
	})
}

// Guards against two runs of a task: an agent that was paused for longer than its lease goes
// on with its session, and is not told that the leader has lost its worker's runs.
func TestAgentThatWasPausedIsToldWhichRunsAreLeft(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.mustCall(submit, testPath, oneTask(), accepted)
		r.wait(100 * time.Millisecond)
		a.listRuns(testRun)
		a.report()
		b := r.connect("b")
		a.drainDirectives()
		r.reportFor(testLease+time.Second, b)
		a.report()
		var told bool
		for len(a.stream.directives) > 0 {
			d := <-a.stream.directives
			told = told || d.ExpectedListed && len(d.Expected) == 0
		}
		if !told {
			t.Error("no directive since the pause tells that no run is expected")
		}
	})
}
