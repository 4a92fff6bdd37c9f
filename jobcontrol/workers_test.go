package jobcontrol

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against tasks that stand still while a worker that has started anew answers
// nothing: the leader kept the lease of the earlier incarnation and placed runs there,
// whose starts the agent drops (issue 47).
func TestRunsOfAWorkerAreLostWhileItsLaterIncarnationIsSilent(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.mustCall(submit, testPath, oneTask(), accepted)
		r.wait(100 * time.Millisecond)
		a.drainDirectives()
		a.unregistered = true // its agent reports no worker that has not listed its runs
		a.report()
		r.mustCall(submit, "/q/"+otherJob, oneTask(), accepted)
		b := r.connect("b")
		r.reportFor(time.Second, a, b)
		if starts, _, _, _ := b.drainDirectives(); len(starts) != 1 || starts[0].Task.Job != otherJob {
			t.Errorf("starts %v on the other worker, want that of the job that waits", starts)
		}
		r.reportFor(testLease, a, b)
		if starts, _, _, lease := a.drainDirectives(); len(starts) > 0 || lease > 0 {
			t.Errorf("starts %v and a lease of %v for a worker that is gone", starts, lease)
		}
		again := jobs.RunID{Task: testRun.Task, Number: 2}
		if starts, _, _, _ := b.drainDirectives(); len(starts) != 1 || starts[0] != again {
			t.Errorf("starts %v on the other worker, want %v", starts, again)
		}
	})
}

// Guards against a worker that stays closed: its agent holds a run that the log does not
// have, and is not told so for as long as its session lasts (issue 47).
func TestRunThatTheLogDoesNotHaveIsStopped(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.mustCall(submit, testPath, oneTask(), accepted)
		r.wait(100 * time.Millisecond)
		a.drainDirectives()
		r.wait(testLease + time.Second) // no report is sent, and the run is lost
		a.list(testRun, 0)
		r.reportFor(2*time.Second, a)
		if starts, stops, _, _ := a.drainDirectives(); len(starts) > 0 || len(stops) == 0 || stops[0] != testRun {
			r.t.Fatalf("starts %v and stops %v while the worker lists a run that is lost, want a stop of it", starts, stops)
		}
		a.listed = []*api.RunStatus{}
		a.end(testRun, api.RunOutcome_RUN_OUTCOME_STOPPED)
		r.reportFor(time.Second, a)
		if starts, _, recorded, _ := a.drainDirectives(); len(starts) != 1 || len(recorded) != 1 {
			t.Errorf("starts %v and recorded ends %v once the run has ended, want one each", starts, recorded)
		}
	})
}
