package jobcontrol

import (
	"fmt"
	"testing"
	"time"

	"amaranthpaddle/api"
)

// Load pattern: a worker's capacity shrinks below what it holds while jobs wait, and
// grows again. What it holds counts until its end is known, also under a new leader.
func TestStartsFollowTheCapacityThatAWorkerReports(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		submitted := 0
		submitTask := func() {
			submitted++
			r.mustCall(submit, fmt.Sprintf("/q/%016x", submitted), &api.JobSpec{Groups: []*api.TaskGroup{{Count: 1, MilliCpu: 1000}}}, accepted)
			r.wait(100 * time.Millisecond)
		}
		wantStarts := func(when string, want int) {
			t.Helper()
			r.wait(100 * time.Millisecond)
			if starts, _, _, _ := a.drainDirectives(); len(starts) != want {
				t.Fatalf("%s: starts %v, want %d", when, starts, want)
			}
		}
		submitTask()
		submitTask()
		submitTask()
		wantStarts("at full capacity", 3)
		a.milliCPU = 2000
		a.report()
		submitTask()
		wantStarts("below what it holds", 0)
		r.replica.lead(1, false)
		r.wait(100 * time.Millisecond)
		r.replica.lead(2, true)
		r.wait(100 * time.Millisecond)
		a.reconnect()
		wantStarts("under a new leader", 0)
		for index := int32(1); index <= 2; index++ {
			run := testRun
			run.Task.Job = fmt.Sprintf("%016x", index)
			a.end(run, api.RunOutcome_RUN_OUTCOME_DONE)
		}
		wantStarts("once one more fits", 1)
		submitTask()
		a.milliCPU = 4000
		a.report()
		wantStarts("after it has grown", 1)
	})
}
