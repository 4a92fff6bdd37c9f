package jobagent

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against a run that stays paused while its agent takes it to work at full pace:
// two calls that set its pace were under way at once, and the later one overtook the
// earlier one (issue 47).
func TestPaceThatOvertakesAnEarlierOneHolds(t *testing.T) {
	inBubble(t, func(r *rig) {
		service, heavy := testRun(1), jobs.RunID{Task: jobs.TaskID{Job: "k"}, Number: 1}
		r.register(1, false)
		r.grantLease(20 * time.Second)
		r.wait(100 * time.Millisecond)
		r.agent.costs.Set(pairCost("s", "heavy", 0.5))
		r.worker.set(func() { r.worker.usage[service], r.worker.usage[heavy] = 20, 3000 })
		r.sendDirective(&api.WorkerDirective{Starts: []*api.RunOrder{
			{Run: service.Ref(), TargetLatencyMs: 150, Image: "s", MilliCpu: 6000},
			{Run: heavy.Ref(), BestEffort: true, Image: "heavy", MilliCpu: 3000},
		}})
		r.wait(2 * time.Second)
		r.worker.set(func() { r.worker.usage[service], r.worker.paceDelays = 600, []time.Duration{700 * time.Millisecond} })
		r.wait(450 * time.Millisecond)
		r.worker.end(service, api.RunOutcome_RUN_OUTCOME_STOPPED)
		r.wait(4 * time.Second)
		r.agent.mu.Lock()
		known := r.agent.current.runs[heavy].pace
		r.agent.mu.Unlock()
		r.worker.mu.Lock()
		defer r.worker.mu.Unlock()
		if pace := r.worker.paces[heavy]; pace != known {
			t.Errorf("the run works at a pace of %d %%, its agent takes it to work at %d %%", pace, known)
		}
	})
}
