package jobagent

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// Guards against a job of which all runs stay paused beside a service that is over its
// target for good, such as by its own load (issue 47).
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
		for range 3 {
			r.wait(time.Second)
			if a, b := paces(); a != dispatch.MinPace || b != 0 {
				t.Errorf("paces %d and %d, want %d for the run that is kept at work", a, b, dispatch.MinPace)
			}
		}
		r.sendDirective(&api.WorkerDirective{KeptListed: true})
		r.wait(100 * time.Millisecond)
		if a, _ := paces(); a != 0 {
			t.Errorf("pace %d of a run that is released, want 0", a)
		}
	})
}
