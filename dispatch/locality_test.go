package dispatch

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against both ways to lose time on a rack that many tasks want: starting away from
// data or peers although room there is about to be free, and waiting for room that comes
// too late, that is not enough for all, or that the job has no time for. Guards as well
// against groups that begin on a rack with room for a part of their tasks only. Racks r0
// and r1 have two workers of 10 cores each.
func TestTasksWaitForTheirRackOnlyWhileThatIsFaster(t *testing.T) {
	const penalty = 3
	ms := time.Millisecond
	data := func(declared int64) *api.TaskGroup {
		return &api.TaskGroup{Count: 8, MilliCpu: 3000, EstimatedMs: declared, DataRack: "r0"}
	}
	local := &api.TaskGroup{Count: 4, MilliCpu: 5000, EstimatedMs: 1000, RackLocal: true}
	gang := &api.TaskGroup{Count: 4, MilliCpu: 5000, EstimatedMs: 1000, RackLocal: true, Gang: true}
	type racks = map[string]int
	for _, c := range []struct {
		name    string
		group   *api.TaskGroup
		taken   [2]int32 // by rack: runs of 5 cores that have worked for a second or less
		percent int32    // of these runs
		penalty float64
		age     time.Duration // of the job
		held    time.Duration // for which its tasks have waited
		want    racks         // starts
		waits   bool
	}{
		{"without a penalty all start at once", data(1000), [2]int32{4, 0}, 95, 0, 0, 0, racks{"r1": 6}, false},
		{"room for six comes soon", data(1000), [2]int32{4, 0}, 95, penalty, 0, 0, racks{"r1": 2}, true},
		{"room comes too late", data(1000), [2]int32{4, 0}, 0, penalty, 0, 0, racks{"r1": 6}, false},
		{"a penalty smaller than the wait", data(1000), [2]int32{4, 0}, 95, 1.05, 0, 0, racks{"r1": 6}, false},
		{"the job has no time left", data(1000), [2]int32{4, 0}, 95, penalty, 1800 * ms, 0, racks{"r1": 6}, false},
		{"tasks that are short wherever they run", data(10), [2]int32{4, 0}, 95, penalty, 0, 0, racks{"r1": 6}, false},
		{"held for as long as a remote run takes", data(1000), [2]int32{4, 0}, 95, penalty, 0, 3000 * ms, racks{"r1": 6}, false},
		{"workers with room that were passed over", data(1000), [2]int32{4, 0}, 95, penalty, 0, 0, racks{"r0": 2, "r1": 6}, false},

		{"a rack has room for all", local, [2]int32{1, 0}, 0, penalty, 0, 0, racks{"r1": 4}, false},
		{"a rack has room for a gang", gang, [2]int32{1, 0}, 0, penalty, 0, 0, racks{"r1": 4}, false},
		{"without a penalty peers begin beside the best worker", local, [2]int32{1, 0}, 0, 0, 0, 0, racks{"r0": 3, "r1": 1}, false},
		{"room for all peers comes soon", local, [2]int32{2, 3}, 95, penalty, 0, 0, racks{"r0": 2}, true},
		{"room for a gang comes soon", gang, [2]int32{2, 2}, 95, penalty, 0, 0, racks{}, true},
		{"room for all peers comes too late", local, [2]int32{2, 3}, 0, penalty, 0, 0, racks{"r0": 2, "r1": 1}, false},
		{"room for a gang comes too late", gang, [2]int32{2, 2}, 0, penalty, 0, 0, racks{"r0": 2, "r1": 2}, false},
		{"a job with peers has no time left", local, [2]int32{2, 3}, 95, penalty, 1800 * ms, 0, racks{"r0": 2, "r1": 1}, false},
		{"peers held for as long as a remote run takes", local, [2]int32{2, 3}, 95, penalty, 0, 3000 * ms, racks{"r0": 2, "r1": 1}, false},
		{"a penalty smaller than the wait for peers", local, [2]int32{2, 3}, 95, 1.05, 0, 0, racks{"r0": 2, "r1": 1}, false},
		{"two peers run on a rack that has room soon", local, [2]int32{2, 0}, 95, penalty, 0, 0, racks{}, true},
		{"two peers run on a rack that has no room for long", local, [2]int32{2, 0}, 0, penalty, 0, 0, racks{"r1": 2}, false},
	} {
		w := newFixture(t, 4)
		for i, rack := range []string{"r0", "r1"} {
			if c.taken[i] > 0 {
				w.submit(urgentQueue, &api.TaskGroup{Count: c.taken[i], MilliCpu: 5000, EstimatedMs: 1000, DataRack: rack})
				w.plan()
			}
		}
		id := w.submit(urgentQueue, c.group)
		if strings.HasPrefix(c.name, "two peers run") {
			w.startOn(1, id, 0)
			w.startOn(1, id, 1)
		}
		for i := 0; i < 2 && c.name == "workers with room that were passed over"; i++ {
			w.workers[i].Capacity.MilliCPU, w.workers[i].HealthPenalty = 100_000, 0.9
		}
		w.now, w.policy.RemotePenalty = c.age, c.penalty
		w.change = func(in *Input) {
			in.HeldForRack = func(jobs.GroupID) time.Duration { return c.held }
			in.Run = func(jobs.RunID) (RunStatus, bool) {
				return RunStatus{Age: time.Duration(c.percent) * 10 * ms, Percent: c.percent, Pace: FullPace}, true
			}
		}
		s, started := w.schedule(), racks{}
		for _, start := range s.Starts {
			started[w.rackOf(start)]++
		}
		if !maps.Equal(started, c.want) || (len(s.HeldForRack) == 1) != c.waits {
			t.Errorf("%s: started on %v, want %v; groups held %v", c.name, started, c.want, s.HeldForRack)
		}
	}
}

// Guards against tasks that wait for a rack for ever, since the forecast is wrong again and
// again: the runs there seem to end soon and never do.
func TestWaitForARackIsBoundedByTheRemoteRun(t *testing.T) {
	for _, group := range []*api.TaskGroup{{DataRack: "r0"}, {RackLocal: true}, {RackLocal: true, Gang: true}} {
		w := newFixture(t, 4)
		w.submit(urgentQueue, &api.TaskGroup{Count: 3, MilliCpu: 5000, EstimatedMs: 1000, DataRack: "r0"})
		w.plan()
		w.submit(urgentQueue, &api.TaskGroup{Count: 2, MilliCpu: 5000, EstimatedMs: 1000, DataRack: "r1"})
		w.plan()
		w.policy.RemotePenalty = 3 // a remote run takes 600 ms, and the job can wait for longer
		w.change = func(in *Input) {
			in.Run = func(jobs.RunID) (RunStatus, bool) {
				return RunStatus{Age: 950 * time.Millisecond, Percent: 95, Pace: FullPace}, true
			}
		}
		group.Count, group.MilliCpu, group.EstimatedMs = 4, 3000, 200
		job, started := w.submit(batchQueue, group), 0
		for ; started < 4 && w.now < time.Minute; w.pass(50 * time.Millisecond) {
			started += total(startsByWorker(w.plan(), job))
		}
		if began := len(w.waits) == 1; !began || w.now > 650*time.Millisecond {
			t.Errorf("%v: waited until %v, want 600 ms and a step at most; waits noted: %v", group, w.now, w.waits)
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
