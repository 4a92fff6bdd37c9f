package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Load pattern: two runs of an expired job give way to a task that needs the whole worker. While the
// second one is still being stopped, a smaller task of the same queue and an urgent one come. Guards against an urgent task that waits
// for a stop that it does not need, against room that goes to a less urgent task meanwhile,
// and against room that is kept for a task that waits no longer.
func TestOnlyMoreUrgentTasksTakeRoomThatIsBeingCleared(t *testing.T) {
	w := newFixture(t, 1)
	w.policy.Preemption, w.since = true, map[jobs.RunID]time.Duration{}
	task := func(queue string, milliCPU int64) string {
		return w.submit(queue, &api.TaskGroup{Count: 1, MilliCpu: milliCPU, EstimatedMs: 1000})
	}
	w.submit(batchQueue, &api.TaskGroup{Count: 2, MilliCpu: 5000, EstimatedMs: 1000})
	victims := w.plan()
	for _, victim := range victims {
		w.since[victim.Run] = w.now
	}
	w.now = 9500 * time.Millisecond
	wide := task(batchQueue, 10_000)
	var preempted []Preemption
	w.state.Read(func(view jobs.View) {
		preempted = Preempt(view, w.input(), PreemptionState{
			Leading: time.Minute, Recently: func(string) bool { return false }, Before: func(jobs.TaskID) bool { return false },
		})
	})
	if len(preempted) != 2 || preempted[0].For.Job != wide {
		t.Fatalf("preempted %v, want both runs for the wide task", preempted)
	}
	w.workers[0].ClearingFor = []jobs.GroupID{preempted[0].For}
	w.end(victims[0], api.RunOutcome_RUN_OUTCOME_STOPPED)
	task(batchQueue, 4000)
	if starts := w.plan(); len(starts) > 0 {
		t.Fatalf("%v took the room", starts)
	}
	urgent := task(urgentQueue, 3000)
	starts := w.plan()
	if len(starts) != 1 || starts[0].Run.Task.Job != urgent {
		t.Fatalf("starts %v, want the urgent task", starts)
	}
	w.end(victims[1], api.RunOutcome_RUN_OUTCOME_STOPPED)
	w.workers[0].ClearingFor[0].Job = "cancelled"
	if starts := w.plan(); len(starts) == 0 {
		t.Error("room is kept for a task that waits no longer")
	}
}
