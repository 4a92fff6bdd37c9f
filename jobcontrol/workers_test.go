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
		a.listRuns(testRun)
		a.report()
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
		a.listRuns(testRun)
		a.report()
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

// Guards against a job that is shown as completed with a member of its gang stopped: the
// members of a gang end at about the same time, and the end of the first one completes
// the gang in the log.
func TestMemberOfACompletedGangEndsByItself(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a, b := r.connect("a"), r.connect("b")
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 2, MilliCpu: 3000, Gang: true}}}, accepted)
		r.wait(100 * time.Millisecond)
		first, _, _, _ := a.drainDirectives()
		second, _, _, _ := b.drainDirectives()
		a.end(first[0], api.RunOutcome_RUN_OUTCOME_DONE)
		for range 5 {
			b.list(second[0], 100)
			b.report()
		}
		if _, stops, _, _ := b.drainDirectives(); len(stops) > 0 {
			t.Errorf("stops %v right after the end of the first member", stops)
		}
		r.reportFor(time.Second, b)
		if _, stops, _, _ := b.drainDirectives(); len(stops) != 1 || stops[0] != second[0] {
			t.Errorf("stops %v of a member that runs on, want one of %v", stops, second[0])
		}
	})
}
