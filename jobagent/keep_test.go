package jobagent

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// Guards against a job of which all runs stay paused beside a service that is over its
// target for good, such as by its own load, and against one that keeps the service over it
// without a pause (issue 47).
func TestARunThatIsKeptAtWorkIsNotPausedBesideAServiceOverItsTarget(t *testing.T) {
	inBubble(t, func(r *rig) {
		service, kept, other := testRun(1), jobs.RunID{Task: jobs.TaskID{Job: "k"}, Number: 1}, jobs.RunID{Task: jobs.TaskID{Job: "l"}, Number: 1}
		r.register(1, false)
		r.grantLease(20 * time.Second)
		r.wait(100 * time.Millisecond)
		r.agent.costs.Set(pairCost("s", "heavy", 0.5))
		r.worker.set(func() { r.worker.usage[service] = 600 })
		r.sendDirective(&api.WorkerDirective{Starts: []*api.RunOrder{
			{Run: service.Ref(), TargetLatencyMs: 150, Image: "s", MilliCpu: 6000},
			{Run: kept.Ref(), BestEffort: true, Image: "heavy", MilliCpu: 3000},
			{Run: other.Ref(), BestEffort: true, Image: "heavy", MilliCpu: 3000},
		}})
		r.wait(4 * time.Second)
		paces := func() (int, int) {
			r.worker.mu.Lock()
			defer r.worker.mu.Unlock()
			return r.worker.paces[kept], r.worker.paces[other]
		}
		if a, b := paces(); a != 0 || b != 0 {
			t.Fatalf("paces %d and %d beside a service over its target, want 0", a, b)
		}
		r.sendDirective(&api.WorkerDirective{KeptListed: true, KeptAtWork: []*api.RunRef{kept.Ref()}})
		worked, paused, longest := 0, time.Duration(0), time.Duration(0)
		for range 100 { // 10 s
			r.wait(100 * time.Millisecond)
			switch a, b := paces(); {
			case b != 0 || a != 0 && a != dispatch.MinPace:
				t.Fatalf("paces %d and %d, want %d at most for the run that is kept at work", a, b, dispatch.MinPace)
			case a == 0:
				paused += 100 * time.Millisecond
				longest = max(longest, paused)
			default:
				worked, paused = worked+1, 0
			}
		}
		if worked < 20 || longest == 0 || longest > 2700*time.Millisecond {
			t.Errorf("the run works for %d of 100 looks and pauses for up to %v, want turns of both, and pauses below 2.7s", worked, longest)
		}
		r.sendDirective(&api.WorkerDirective{KeptListed: true})
		for range 40 {
			r.wait(100 * time.Millisecond)
			if a, _ := paces(); a != 0 {
				t.Fatalf("pace %d of a run that is released, want 0", a)
			}
		}
	})
}
