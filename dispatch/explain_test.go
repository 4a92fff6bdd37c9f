package dispatch

import (
	"testing"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

func TestExplainCountsWhatKeepsTasksWaiting(t *testing.T) {
	w := newFixture(t, 4)
	w.workers[0].Open = false
	w.workers[1].Capacity.MemoryMiB = 100
	w.serve(2, "s", 1.5)
	w.learned.Interference.Set(PairCost{Pair{"s", "f"}, 1})
	full := w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: 10_000, EstimatedMs: 1000, BestEffort: true, Image: "g"})
	w.startOn(3, full, 0)
	w.submit(batchQueue, &api.TaskGroup{Count: 3, MilliCpu: 2000, MemoryMib: 1000, EstimatedMs: 1000, BestEffort: true, Image: "f"})
	var obstacles map[Obstacle]int
	w.state.Read(func(view jobs.View) { obstacles = Explain(view, w.input()) })
	for _, obstacle := range []Obstacle{ObstacleClosed, ObstacleMemory, ObstacleCPU, ObstacleInterference} {
		if obstacles[obstacle] != 1 {
			t.Errorf("%s: %d workers, want 1", obstacle, obstacles[obstacle])
		}
	}
}
