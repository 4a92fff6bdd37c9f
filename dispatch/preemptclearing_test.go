package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Load pattern: two runs give way to a task that needs the whole worker. While the second
// one is still being stopped, a smaller task of the same queue and an urgent one come.
// Guards against an urgent task that waits for a stop that it does not need, against room that
// goes to a less urgent task meanwhile, and against room that is kept for a task that waits no longer.
func TestOnlyMoreUrgentTasksTakeRoomThatIsBeingCleared(t *testing.T) {
	w := newFixture(t, 1)
	task := func(queue string, milliCPU int64) string {
		return w.submit(queue, &api.TaskGroup{Count: 1, MilliCpu: milliCPU, EstimatedMs: 1000})
	}
	task(batchQueue, 5000) // the second victim
	w.plan()
	w.now = 9500 * time.Millisecond // its job has expired
	wide := task(batchQueue, 10_000)
	w.workers[0].ClearingFor = []jobs.GroupID{{Job: wide}}
	task(batchQueue, 4000)
	if starts := w.plan(); len(starts) > 0 {
		t.Fatalf("%v took the room", starts)
	}
	urgent := task(urgentQueue, 3000)
	if starts := w.plan(); len(starts) != 1 || starts[0].Run.Task.Job != urgent {
		t.Fatalf("starts %v, want the urgent task", starts)
	}
	w.workers[0].Capacity.MilliCPU = 12_000
	w.workers[0].ClearingFor[0].Job = "cancelled"
	if starts := w.plan(); len(starts) == 0 {
		t.Error("room is kept for a task that waits no longer")
	}
}
