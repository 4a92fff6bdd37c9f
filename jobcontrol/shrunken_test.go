package jobcontrol

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// A worker shrinks below its counted run. Guards against a best-effort run that is not
// stopped there, or while the setting is off, against one that a new leader stops at once, and against
// a counted run that is stopped.
func TestBestEffortRunLeavesAShrunkenWorker(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		led := time.Now()
		a := r.connect("a")
		run := jobs.RunID{Task: jobs.TaskID{Job: "00000000000000b2"}, Number: 1}
		for job, group := range map[string]*api.TaskGroup{
			testJob:      {Count: 1, MilliCpu: 3000, EstimatedMs: 60_000},
			run.Task.Job: {Count: 1, MilliCpu: 500, EstimatedMs: 60_000, BestEffort: true, Checkpointing: true, Image: "f"},
		} {
			r.mustCall(submit, "/q/"+job, &api.JobSpec{Groups: []*api.TaskGroup{group}}, accepted)
		}
		r.wait(100 * time.Millisecond)
		a.listed, a.milliCPU = []*api.RunStatus{{Run: run.Ref(), Percent: 10, Pace: 100, Checkpoint: "c"}}, 2000
		b := r.connect("b")
		var stops []jobs.RunID
		for ; len(stops) == 0 && time.Since(led) < 12*time.Second; r.wait(400 * time.Millisecond) {
			r.withLeadership(func(l *leadership) {
				l.server.config.Policy.MoveFromShrunk = time.Since(led) < 2*time.Second || time.Since(led) > 8*time.Second
			})
			a.lists++
			a.report()
			b.report()
			_, stops, _, _ = a.drainDirectives()
		}
		if len(stops) != 1 || stops[0] != run || time.Since(led) < 8*time.Second {
			r.t.Fatalf("stops %v after %v, want the best-effort run", stops, time.Since(led))
		}
		status := dispatch.RunStatus{}
		r.withLeadership(func(l *leadership) {
			r.state.Read(func(view jobs.View) { status, _ = l.runStatus(view, run, time.Now()) })
		})
		if status.SavedPercent != 10 || !status.Stopping {
			r.t.Errorf("status %+v, want a checkpoint at 10 percent", status)
		}
		b.drainDirectives()
		a.report(&api.WorkerEnd{Run: run.Ref(), Outcome: api.RunOutcome_RUN_OUTCOME_STOPPED, Checkpoint: "c"})
		r.wait(100 * time.Millisecond)
		if starts, _, _, _ := b.drainDirectives(); len(starts) != 1 || starts[0].Task != run.Task {
			r.t.Errorf("starts %v on the other worker", starts)
		}
	})
}
