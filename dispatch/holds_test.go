package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// The operators' bound: a job with nothing running, or a task of a long-running group,
// waits for less than maxStandstill while workers have room for its task twice over and
// less than half of the capacity is in use, whatever keeps it from the workers.
// CPU of best-effort runs does not count as in use.
const (
	maxStandstill = 3 * time.Second
	holdStep      = 100 * time.Millisecond // between plans
	holdReplay    = 20 * time.Second
)

// holdReplayer plans at intervals and measures how long jobs stand still.
type holdReplayer struct {
	*fixture
	each func() // before each plan, may be nil
}

// firstStart returns the time until a task starts, false if it does not within holdReplay.
func (r holdReplayer) firstStart(job string, index int32) (time.Duration, bool) {
	r.t.Helper()
	for began := r.now; r.now-began < holdReplay; r.pass(holdStep) {
		r.endDue()
		if r.each != nil {
			r.each()
		}
		for _, start := range r.plan() {
			if start.Run.Task == (jobs.TaskID{Job: job, Index: index}) {
				return r.now - began, true
			}
		}
	}
	return holdReplay, false
}

// expectStart checks that a task starts within the bound.
func (r holdReplayer) expectStart(name, job string, index int32) {
	r.t.Helper()
	r.checkPremise(name)
	if waited, started := r.firstStart(job, index); !started {
		r.t.Errorf("%s: the task has not started in %v, want under %v", name, holdReplay, maxStandstill)
	} else if waited >= maxStandstill {
		r.t.Errorf("%s: the task started after %v, want under %v", name, waited, maxStandstill)
	}
}

// checkPremise checks that services, at what they use on average, and counted tasks take
// less than half of the CPU of the open workers and of those that are not.
func (r holdReplayer) checkPremise(name string) {
	r.t.Helper()
	used, capacity := int64(0), int64(0)
	r.state.Read(func(view jobs.View) {
		for _, l := range newFleetLoad(view, r.workers).workers {
			used += expectedMilliCPU(l) - l.bestEffortMilliCPU
			capacity += l.worker.Capacity.MilliCPU
		}
	})
	if 2*used >= capacity {
		r.t.Fatalf("%s: %d of %d milli-cores are in use, the bound does not apply", name, used, capacity)
	}
}

// serveWith is as serve, for a service that declares an amount of CPU.
func (w *fixture) serveWith(worker int, milliCPU int64, headroom Headroom) {
	w.t.Helper()
	w.jobs++
	id := w.submitSpec(urgentQueue, &api.JobSpec{Groups: []*api.TaskGroup{
		{Count: 1, MilliCpu: milliCPU, LongRunning: true, Image: "s", TargetLatencyMs: 150},
	}})
	start := w.startOn(worker, id, 0)
	w.workers[worker].Sample = Sample{Services: map[jobs.RunID]ServiceSample{start.Run: {Image: "s", Headroom: headroom}}}
}

// interfering returns a group of best-effort tasks of image f, each of 2 cores.
func interfering(count int32) *api.TaskGroup {
	return &api.TaskGroup{Count: count, MilliCpu: 2000, MemoryMib: 100, EstimatedMs: 2000, BestEffort: true, Image: "f"}
}

// newInterfering returns four workers of 10 cores with a service on each, to which image f
// costs 0.25 headroom per core.
func newInterfering(t testing.TB, serviceMilliCPU int64, headroom Headroom) *fixture {
	w := newFixture(t, 4)
	for i := range w.workers {
		w.serveWith(i, serviceMilliCPU, headroom)
	}
	w.learned.Interference.Set(PairCost{Pair{"s", "f"}, 0.25})
	return w
}

// Guards against best-effort jobs that wait until starvationTimeout for services whose
// headroom never allows them, though their agents would slow them down. The services
// declare more than half of the CPU and use less.
func TestAJobStartsInTimeBesideServicesThatCanSpareNothing(t *testing.T) {
	for _, c := range []struct {
		name     string
		declared int64 // milli-cores of the service on each worker of 10 cores
		claimed  int64 // by a best-effort run on each worker
		headroom Headroom
	}{
		{"little headroom, 40% declared, 20% claimed", 4000, 2000, 1.4},
		{"little headroom, 70% declared", 7000, 0, 1.4},
		{"over the target for good, 70% declared", 7000, 0, 0.8},
		{"little headroom, 85% declared", 8500, 0, 1.4},
	} {
		w := newInterfering(t, c.declared, c.headroom)
		if c.claimed > 0 {
			beside := w.submit(batchQueue, &api.TaskGroup{Count: 4, MilliCpu: c.claimed, EstimatedMs: 60_000, BestEffort: true, Image: "g"})
			for i := range w.workers {
				w.startOn(i, beside, int32(i))
			}
		}
		job := w.submit(batchQueue, interfering(4))
		holdReplayer{w, nil}.expectStart(c.name, job, 0)
	}
}

// Guards against best-effort jobs that wait for the CPU that paused runs claim. An agent
// that tells nothing of what its runs use leaves these claims standing.
func TestAJobStartsInTimeBesidePausedRuns(t *testing.T) {
	for _, c := range []struct {
		name     string
		declared int64
		cores    map[string]float64 // in use by the paused runs
	}{
		{"services declare 40%", 4000, map[string]float64{"f": 0}},
		{"services declare 70%", 7000, map[string]float64{"f": 0}},
		{"services declare 70%, use not reported", 7000, nil},
	} {
		w := newInterfering(t, c.declared, 1.2)
		w.pace = 0
		paused := w.submit(batchQueue, interfering(20))
		for i := range int32(20) {
			w.startOn(int(i)%4, paused, i)
		}
		for i := range w.workers {
			w.workers[i].Sample.Cores = c.cores
			w.workers[i].AtFullPace = func(jobs.RunID) bool { return false }
		}
		job := w.submit(batchQueue, interfering(1))
		holdReplayer{w, nil}.expectStart(c.name, job, 0)
	}
}

// Guards against best-effort jobs that wait for the CPU of other best-effort runs, which
// does not count as in use: no service and no counted task is on the workers.
func TestAJobStartsInTimeBesideABacklogOfBestEffortWork(t *testing.T) {
	w := newFixture(t, 4)
	w.takes = declaredTime(1)
	long := func(count int32) *api.TaskGroup {
		group := interfering(count)
		group.EstimatedMs = 8000
		return group
	}
	w.submit(batchQueue, long(20))
	w.plan()
	job := w.submit(batchQueue, long(1))
	holdReplayer{w, nil}.expectStart("all CPU is claimed for 8 s", job, 0)
}

// Guards against tasks of a long-running best-effort group that wait for as long as
// another task of their job runs: then the job does not count as waiting at all.
func TestEachTaskOfALongRunningBestEffortGroupStartsInTime(t *testing.T) {
	w := newInterfering(t, 7000, 1.4)
	group := interfering(2)
	group.LongRunning = true
	job := w.submit(batchQueue, group)
	w.startOn(0, job, 0)
	holdReplayer{w, nil}.expectStart("one of two tasks runs", job, 1)
}

// Guards against a task on probation that finds no worker without another starting run:
// urgent tasks start on each worker, and survive their start after 400 ms.
func TestATaskOnProbationStartsInTimeBesideSteadyStarts(t *testing.T) {
	const survival = 400 * time.Millisecond
	w := newFixture(t, 4)
	w.takes = declaredTime(1)
	for i := range w.workers {
		w.workers[i].Starting = func(run jobs.RunID) bool { return w.now-w.since[run] < survival }
	}
	suspect := w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: 1000, EstimatedMs: 1000})
	w.crash(w.plan()...)
	steady := func() {
		if w.now%(3*holdStep) == 0 {
			w.submit(urgentQueue, &api.TaskGroup{Count: 4, MilliCpu: 1000, EstimatedMs: 1000, MaxPerWorker: 1})
		}
	}
	holdReplayer{w, steady}.expectStart("starts every 300 ms", suspect, 0)
}

// Guards against tasks on probation that wait for one another: each of 60 jobs was starting
// its only task when a worker crashed, and half of four workers may start such tasks.
func TestTasksOnProbationStartInTimeAfterACrashUnderMany(t *testing.T) {
	const survival = 400 * time.Millisecond
	w := newFixture(t, 4)
	w.takes = declaredTime(1)
	for i := range w.workers {
		w.workers[i].Starting = func(run jobs.RunID) bool { return w.now-w.since[run] < survival }
	}
	for range 60 {
		w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: 100, EstimatedMs: 1000})
	}
	w.crash(w.plan()...)
	r := holdReplayer{w, nil}
	r.checkPremise("60 suspects")
	started := map[string]bool{}
	for began := w.now; w.now-began < maxStandstill; w.pass(holdStep) {
		w.endDue()
		for _, start := range w.plan() {
			started[start.Run.Task.Job] = true
		}
	}
	if len(started) < w.jobs {
		t.Errorf("%d of %d jobs have started in %v", len(started), w.jobs, maxStandstill)
	}
}

// Guards against a worker that is closed to all tasks as long as a task on probation is
// shown as starting there.
func TestATaskStartsInTimeBesideAProbationWithoutEnd(t *testing.T) {
	w := newFixture(t, 4)
	w.trackStarting(map[jobs.RunID]bool{})
	for i := range w.workers[1:] {
		w.workers[i+1].Labels = nil
	}
	labelled := func() *api.TaskGroup {
		return &api.TaskGroup{Count: 1, MilliCpu: 1000, EstimatedMs: 1000, RequiredLabel: "a"}
	}
	w.submit(batchQueue, labelled())
	w.crash(w.plan()...)
	w.plan()
	job := w.submit(batchQueue, labelled())
	holdReplayer{w, nil}.expectStart("the only worker with the label", job, 0)
}

// Guards against a task that keeps away from the VMs that have crashed under it, for 10 s,
// as long as another worker exists that could take it if it were free.
func TestATaskAvoidsCrashedWorkersOnlyIfAnotherTakesItNow(t *testing.T) {
	w := newFixture(t, 4)
	suspect := w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: 1000, EstimatedMs: 1000})
	w.crash(w.plan()...)
	w.change = func(in *Input) {
		in.CrashedUnder = func(jobs.TaskID) []string {
			if w.now >= 10*time.Second {
				return nil
			}
			return []string{"w0", "w1", "w2"}
		}
	}
	full := w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 10_000, EstimatedMs: 60_000})
	w.startOn(3, full, 0)
	holdReplayer{w, nil}.expectStart("the fourth worker is full", suspect, 0)
}

// Guards against tasks that wait for the rack of their data or peers for as long as the
// objective of their job allows, which is longer than the bound: the runs there seem to
// end soon and do not.
func TestATaskWaitsForItsRackForLessThanTheBound(t *testing.T) {
	for _, c := range []struct {
		name  string
		group *api.TaskGroup
	}{
		{"data", &api.TaskGroup{DataRack: "r0"}},
		{"gang", &api.TaskGroup{RackLocal: true, Gang: true}},
	} {
		w := newFixture(t, 8)
		for i := range 3 {
			full := w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 8000, EstimatedMs: 1000})
			w.startOn([]int{0, 1, 2}[i], full, 0)
		}
		for i := 4; i < 8 && c.group.Gang; i++ {
			w.workers[i].Rack = w.workers[i].Key // no rack but r0 and r1 has room for two tasks
		}
		w.policy.RemotePenalty = 3
		w.change = func(in *Input) {
			in.Run = func(jobs.RunID) (RunStatus, bool) {
				return RunStatus{Age: 950 * time.Millisecond, Percent: 95, Pace: FullPace}, true
			}
		}
		c.group.Count, c.group.MilliCpu, c.group.EstimatedMs = 2, 9000, 5000
		job := w.submit(batchQueue, c.group)
		holdReplayer{w, nil}.expectStart(c.name, job, 0)
	}
}

// Guards against tasks whose only workers are suspects for their failed runs: the share of
// workers that may be suspects is that of all services, labels and regions together.
func TestATaskStartsInTimeThoughAllItsWorkersAreSuspects(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit func(*Worker) // what makes the first two of eight workers the only ones
		group *api.TaskGroup
	}{
		{"label", func(w *Worker) { w.Labels = []string{"b"} }, &api.TaskGroup{Count: 1, MilliCpu: 1000, RequiredLabel: "b"}},
		{"accelerators", func(w *Worker) { w.Capacity.Accelerators = 4 }, &api.TaskGroup{Count: 1, MilliCpu: 1000, Accelerators: 1}},
		{"service", nil, &api.TaskGroup{Count: 1, MilliCpu: 1000}},
	} {
		w := newFixture(t, 8)
		var keys []string
		health := NewHealth()
		for i := range w.workers {
			keys = append(keys, w.workers[i].Key)
			switch {
			case i < 2 && c.limit != nil:
				c.limit(&w.workers[i])
			case i >= 2 && c.limit == nil:
				w.workers[i].Service = "other"
			}
			for range 20 { // a job whose tasks fail on the two workers, and tasks that are done on the others
				health.Record(keys[i], i < 2, time.Unix(0, 0))
			}
		}
		judge := func() {
			suspects := health.Suspects(time.Unix(0, 0).Add(w.now), keys)
			for i := range w.workers {
				w.workers[i].Open = !suspects[keys[i]]
			}
		}
		job := w.submit(batchQueue, c.group)
		holdReplayer{w, judge}.expectStart(c.name, job, 0)
	}
}
