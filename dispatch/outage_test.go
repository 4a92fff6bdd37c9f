package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Load pattern: after an outage, a job of an urgent queue holds a run and has another
// task to start, but can only complete when it has lost all value. Guards against giving
// it the room in which a job of a less urgent queue would be in time.
func TestJobThatWillHaveLostItsValueGoesLast(t *testing.T) {
	w := newFixture(t, 1)
	w.workers[0].Capacity.MilliCPU = 2000
	old := w.submit(urgentQueue, &api.TaskGroup{Count: 2, MilliCpu: 1000, EstimatedMs: 2000, MaxPerWorker: 2})
	first := Start{Run: jobs.RunID{Task: jobs.TaskID{Job: old}, Number: 1}, Worker: "w0"}
	w.apply(&api.JobChange{Body: &api.JobChange_Start{Start: &api.StartRun{Run: first.Run.Ref(), Worker: first.Worker}}})
	// The objective is 3.4 s, so the job has no value after 10.2 s.
	for age, want := range map[time.Duration]string{8 * time.Second: old, 9 * time.Second: "fresh"} {
		w.now = age
		fresh := w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: 1000, EstimatedMs: 2000})
		if want != old {
			want = fresh
		}
		if starts := w.planOnly(); len(starts) != 1 || starts[0].Run.Task.Job != want {
			t.Errorf("at the age of %v: starts %v, want one of %s", age, starts, want)
		}
	}
}
