package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against both ways to lose time on a rack that many tasks want: starting away
// from the data although room there is about to be free, and waiting for room that
// comes too late, that is not enough for all, or that the job has no time for.
func TestTasksWaitForTheRackOfTheirDataOnlyWhileThatIsFaster(t *testing.T) {
	type load struct {
		penalty  float64
		percent  int32         // of the runs that take the rack, which have worked for a second or less
		declared int64         // duration of the tasks, in milliseconds
		age      time.Duration // of their job
		held     time.Duration // for which they have waited for the rack
		sick     bool          // the rack has room for all, on workers whose runs fail
	}
	for _, test := range []struct {
		name    string
		load    load
		started int // of 8 tasks; all on the other rack, which holds 6, unless the rack is sick
	}{
		{"without a penalty all start at once", load{penalty: 0, percent: 95, declared: 1000}, 6},
		{"room for six comes soon", load{penalty: 3, percent: 95, declared: 1000}, 2},
		{"room comes too late", load{penalty: 3, percent: 0, declared: 1000}, 6},
		{"a penalty smaller than the wait", load{penalty: 1.05, percent: 95, declared: 1000}, 6},
		{"the job has no time left", load{penalty: 3, percent: 95, declared: 1000, age: 1800 * time.Millisecond}, 6},
		{"tasks that are short wherever they run", load{penalty: 3, percent: 95, declared: 10}, 6},
		{"held for as long as a remote run takes", load{penalty: 3, percent: 95, declared: 1000, held: 3 * time.Second}, 6},
		{"workers with room that were passed over", load{penalty: 3, percent: 95, declared: 1000, sick: true}, 8},
	} {
		w := newFixture(t, 4) // racks r0 and r1 with two workers each
		w.submit(urgentQueue, &api.TaskGroup{Count: 4, MilliCpu: 5000, EstimatedMs: 1000, DataRack: "r0"})
		w.plan()
		w.submit(urgentQueue, &api.TaskGroup{Count: 8, MilliCpu: 3000, EstimatedMs: test.load.declared, DataRack: "r0"})
		w.now = test.load.age
		for i := range 2 {
			if test.load.sick {
				w.workers[i].Capacity.MilliCPU, w.workers[i].HealthPenalty = 100_000, 0.9
			}
		}
		w.policy.RemotePenalty = test.load.penalty
		w.change = func(in *Input) {
			in.HeldForRack = func(jobs.GroupID) time.Duration { return test.load.held }
			in.Run = func(jobs.RunID) (RunStatus, bool) {
				return RunStatus{Age: time.Duration(test.load.percent) * 10 * time.Millisecond, Percent: test.load.percent, Pace: FullPace}, true
			}
		}
		schedule := w.schedule()
		for _, start := range schedule.Starts {
			if !test.load.sick && (start.Worker == "w0" || start.Worker == "w1") {
				t.Errorf("%s: started on a full worker: %v", test.name, start)
			}
		}
		if waits := test.started == 2; len(schedule.Starts) != test.started || (len(schedule.HeldForRack) == 1) != waits {
			t.Errorf("%s: %d tasks started, want %d; groups held %v", test.name, len(schedule.Starts), test.started, schedule.HeldForRack)
		}
	}
}

// Guards against forecasts that are too early by the penalty: a run away from its data
// ends later than one near it, so the room that it takes comes later.
func TestRemoteRunsAreExpectedToEndLater(t *testing.T) {
	w := newFixture(t, 4)
	w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 5000, EstimatedMs: 1000, DataRack: "r1"})
	start := w.plan()[0]
	in := w.input()
	in.Policy.RemotePenalty = 3
	w.state.Read(func(view jobs.View) {
		near, _ := RunEnd(view, in, start.Run, "r1")
		remote, _ := RunEnd(view, in, start.Run, "r0")
		if ratio := float64(remote.Likely) / float64(near.Likely); ratio < 2.9 || ratio > 3.1 {
			t.Errorf("near %v, remote %v", near, remote)
		}
	})
}
