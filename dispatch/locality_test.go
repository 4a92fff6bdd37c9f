package dispatch

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
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

// Guards against groups that begin on a rack with room for a part of their tasks only, so
// that the rest runs elsewhere for several times as long, and against waiting for a rack
// that comes too late, or that the job has no time for. The group has 4 tasks; racks r0
// and r1 have room for 4 each, some of which other runs take.
func TestRackLocalGroupStaysTogetherOnlyWhileThatIsFaster(t *testing.T) {
	const penalty = 3
	ms := time.Millisecond
	for _, c := range []struct {
		name    string
		taken   [2]int32 // by rack, of runs that have worked for a second or less
		percent int32    // of these runs
		gang    bool
		running int32 // tasks of the group that run on r0 already
		penalty float64
		age     time.Duration // of the job
		held    time.Duration // for which its tasks have waited
		want    map[string]int
		waits   bool
	}{
		{"a rack has room for all", [2]int32{1, 0}, 0, false, 0, penalty, 0, 0, map[string]int{"r1": 4}, false},
		{"a rack has room for a gang", [2]int32{1, 0}, 0, true, 0, penalty, 0, 0, map[string]int{"r1": 4}, false},
		{"without a penalty, the first rack is that of the best worker", [2]int32{1, 0}, 0, false, 0, 0, 0, 0, map[string]int{"r0": 3, "r1": 1}, false},
		{"room for all comes soon", [2]int32{2, 3}, 95, false, 0, penalty, 0, 0, map[string]int{"r0": 2}, true},
		{"room for a gang comes soon", [2]int32{2, 2}, 95, true, 0, penalty, 0, 0, nil, true},
		{"room for all comes too late", [2]int32{2, 3}, 0, false, 0, penalty, 0, 0, map[string]int{"r0": 2, "r1": 1}, false},
		{"room for a gang comes too late", [2]int32{2, 2}, 0, true, 0, penalty, 0, 0, map[string]int{"r0": 2, "r1": 2}, false},
		{"the job has no time left", [2]int32{2, 3}, 95, false, 0, penalty, 1800 * ms, 0, map[string]int{"r0": 2, "r1": 1}, false},
		{"held for as long as a remote run takes", [2]int32{2, 3}, 95, false, 0, penalty, 0, 3000 * ms, map[string]int{"r0": 2, "r1": 1}, false},
		{"a penalty smaller than the wait", [2]int32{2, 3}, 95, false, 0, 1.05, 0, 0, map[string]int{"r0": 2, "r1": 1}, false},
		{"peers run on a rack that has room soon", [2]int32{2, 0}, 95, false, 2, penalty, 0, 0, nil, true},
		{"peers run on a rack that has no room for long", [2]int32{2, 0}, 0, false, 2, penalty, 0, 0, map[string]int{"r1": 2}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, 4)
			for i, rack := range []string{"r0", "r1"} {
				if taken := counted(c.taken[i], 5000, 0); taken.Count > 0 {
					taken.DataRack = rack
					w.submit(urgentQueue, taken)
					w.plan()
				}
			}
			group := counted(4, 5000, 0)
			group.RackLocal, group.Gang, group.EstimatedMs = true, c.gang, 1000
			id := w.submit(urgentQueue, group)
			for i := range c.running {
				w.startOn(1, id, i)
			}
			w.now, w.percent, w.policy.RemotePenalty = c.age, c.percent, c.penalty
			w.change = func(in *Input) {
				in.HeldForRack = func(jobs.GroupID) time.Duration { return c.held }
				for i := range w.since {
					w.since[i] = w.now - time.Duration(c.percent)*10*ms
				}
			}
			s, racks := w.schedule(), map[string]int{}
			for _, start := range s.Starts {
				racks[w.rackOf(start)]++
			}
			if !maps.Equal(racks, c.want) || (len(s.HeldForRack) == 1) != c.waits {
				t.Errorf("started on %v, want %v; groups held %v", racks, c.want, s.HeldForRack)
			}
		})
	}
}

func (w *fixture) rackOf(start Start) string {
	return w.workers[slices.IndexFunc(w.workers, func(worker Worker) bool { return worker.Key == start.Worker })].Rack
}

// hasPeersElsewhere reports whether runs of the same job are active on another rack.
func (w *fixture) hasPeersElsewhere(start Start) bool {
	for run, other := range w.active {
		if run.Task.Job == start.Run.Task.Job && w.rackOf(other) != w.rackOf(start) {
			return true
		}
	}
	return false
}

// Load pattern: jobs of 6 rack_local tasks, of which a rack holds 8, and short tasks in
// between. Beside peers on another rack, tasks take three times as long. Guards against
// jobs that begin in the gaps of a rack and are late because of their remote tasks.
func TestRackLocalJobsAreInTimeMoreOften(t *testing.T) {
	const penalty, step = 3, 20 * time.Millisecond
	for _, rate := range []float64{1.2, 2} { // jobs per second
		late, remote := map[float64]int{}, map[float64]int{}
		for _, setting := range []float64{0, penalty} {
			w, arriving, noise := newFixture(t, 6), rand.New(rand.NewPCG(5, 6)), rand.New(rand.NewPCG(7, 8))
			w.policy.RemotePenalty, w.listing = setting, true
			local := map[string]*api.TaskGroup{}
			for w.now < 40*time.Second {
				if arriving.Float64() < rate*step.Seconds() && w.now < 30*time.Second {
					group := &api.TaskGroup{Count: 6, MilliCpu: 2500, EstimatedMs: 1000, RackLocal: true}
					local[w.submit(urgentQueue, group)] = group
				}
				if arriving.Float64() < 4*step.Seconds() && w.now < 30*time.Second {
					w.submit(urgentQueue, &api.TaskGroup{Count: 3, MilliCpu: 1000, EstimatedMs: 400})
				}
				for _, start := range w.plan() {
					took := 400 * time.Millisecond
					if group := local[start.Run.Task.Job]; group != nil {
						took = time.Duration(float64(time.Second) * math.Exp(0.1*noise.NormFloat64()))
						w.learned.Durations.RunTimes.Learn(urgentQueue, group, took)
						if w.hasPeersElsewhere(start) {
							took *= penalty
							remote[setting]++
						}
					}
					w.due[start.Run] = w.now + took
				}
				w.pass(step)
				for _, done := range w.endDue() {
					if local[done] != nil && w.now-w.submitted[done] > 1900*time.Millisecond { // the objective
						late[setting]++
					}
					delete(local, done)
				}
			}
			late[setting] += len(local)
		}
		t.Logf("%.1f jobs/s: %d late without, %d with the setting; remote tasks: %d and %d", rate, late[0], late[penalty], remote[0], remote[penalty])
		if late[0] == 0 || 2*late[penalty] > late[0] || 2*remote[penalty] > remote[0] {
			t.Errorf("the setting does not halve the jobs that are late and the remote tasks")
		}
	}
}
