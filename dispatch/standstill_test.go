package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
)

// Guards against jobs that stand still while most of the fleet's CPU is unused (issue 47): services
// declare most of the CPU and use about half of that, and each of them can spare less headroom
// than a task of the job costs.
func TestAJobWithNothingRunningStartsWithinThreeSecondsOnAMostlyUnusedFleet(t *testing.T) {
	const step, bound = 250 * time.Millisecond, 3 * time.Second
	for name, headroom := range map[string]Headroom{"little headroom": 1.4, "over the target": 0.8} {
		w := newFixture(t, 4)
		pair := Pair{"s", "f"}
		for i := range w.workers {
			w.serve(i, pair.Service, headroom)
		}
		w.learned.Interference.Set(PairCost{pair, 0.25})
		id := w.submit(batchQueue, &api.TaskGroup{Count: 8, MilliCpu: 3500, MemoryMib: 6400, EstimatedMs: 1700, BestEffort: true, Image: pair.BestEffort})
		started := 0
		for w.now < bound && started == 0 {
			w.pass(step)
			started = total(startsByWorker(w.plan(), id))
		}
		if started == 0 {
			t.Errorf("%s: no task has started after %v", name, w.now)
		}
	}
}
