package jobcontrol

import (
	"testing"
	"time"

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
