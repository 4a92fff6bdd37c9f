package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// preemptionRig plays a leader that preempts.
type preemptionRig struct {
	*fixture
	starts      map[jobs.RunID]Start
	startedAt   map[jobs.RunID]time.Duration
	pace        int32 // of all runs, in percent
	stopping    map[jobs.RunID]bool
	preemptedAt map[string]time.Duration
	before      map[jobs.TaskID]bool // tasks that were preempted
	policy      Policy
	leading     time.Duration
	slowdown    int64              // of runs, as a multiple of their declared time
	everyRunAt  bool               // every run has started at 0
	percent     int32              // of their work that all runs have done
	lost        bool               // the stops of runs that are of no use are lost
	broken      bool               // the first job panics
	perCore     func(Pair) float64 // nil for what is learnt
}

func newPreemptionRig(t testing.TB, workers int) *preemptionRig {
	return &preemptionRig{
		fixture: newFixture(t, workers), starts: map[jobs.RunID]Start{}, startedAt: map[jobs.RunID]time.Duration{}, pace: 10,
		stopping: map[jobs.RunID]bool{}, preemptedAt: map[string]time.Duration{}, before: map[jobs.TaskID]bool{}, policy: Policy{Preemption: true}, leading: time.Minute, slowdown: 1,
	}
}

// place plans with the rig's policy, and applies and notes the starts.
func (r *preemptionRig) place() (starts []Start) {
	r.state.Read(func(view jobs.View) {
		view.Queue(urgentQueue).Advice = nil
		if r.advised {
			view.Queue(urgentQueue).Advice = &api.PlacementAdvice{ValidityMs: 1000}
		}
		schedule := MakeSchedule(view, r.input())
		starts, r.reserved = schedule.Starts, schedule.Reservations
	})
	for _, start := range starts {
		r.apply(&api.JobChange{Body: &api.JobChange_Start{Start: &api.StartRun{Run: start.Run.Ref(), Worker: start.Worker}}})
		r.starts[start.Run], r.startedAt[start.Run] = start, r.now
	}
	return starts
}

func (r *preemptionRig) input() Input {
	in := r.fixture.input()
	in.Policy = r.policy
	if r.perCore != nil {
		in.PerCore, in.Panicked = r.perCore, func(string, any) {}
	}
	if r.broken {
		in.Panicked = func(string, any) {}
		in.Age = func(job *jobs.Job) time.Duration {
			if job.ID == "job1" {
				panic("age")
			}
			return r.now - r.submitted[job.ID]
		}
	}
	in.Run = func(run jobs.RunID) (RunStatus, bool) {
		at, known := r.startedAt[run]
		return RunStatus{Age: r.now - at, Pace: r.pace, Percent: r.percent, Stopping: r.stopping[run]}, known || r.everyRunAt
	}
	return in
}

// victims returns what a leader of a minute would stop.
func (r *preemptionRig) victims() (preempted []Preemption) {
	r.state.Read(func(view jobs.View) {
		stopping := maps.Clone(r.stopping)
		if !r.lost {
			EachStopped(view, func(run jobs.RunID) { stopping[run] = true })
		}
		preempted = Preempt(view, r.input(), PreemptionState{Leading: r.leading, Stopping: stopping, Recently: func(job string) bool {
			at, known := r.preemptedAt[job]
			return known && r.now-at < PreemptionPause
		}, Before: func(task jobs.TaskID) bool { return r.before[task] }})
	})
	return preempted
}

func (r *preemptionRig) preempt() []Preemption {
	preempted := r.victims()
	for _, p := range preempted {
		r.stopping[p.Run], r.preemptedAt[p.Run.Task.Job], r.before[p.Run.Task] = true, r.now, true
	}
	return preempted
}

// endDone ends the runs that have worked for their actual time.
func (r *preemptionRig) endDone() {
	for run, start := range r.starts {
		var group *jobs.Group
		r.state.Read(func(view jobs.View) { _, group, _ = view.Run(run) })
		if group != nil && r.now-r.startedAt[run] >= time.Duration(r.slowdown*group.Spec.EstimatedMs)*time.Millisecond {
			r.end(start, api.RunOutcome_RUN_OUTCOME_DONE)
			group = nil
		}
		if group == nil {
			delete(r.starts, run)
			delete(r.stopping, run)
		}
	}
}

func (r *preemptionRig) ended(job string) (ended bool) {
	r.state.Read(func(view jobs.View) { ended = view.Job(job).Phase.Ended() })
	return ended
}

// endStopped ends the runs that are being stopped.
func (r *preemptionRig) endStopped() {
	for run := range r.stopping {
		r.end(r.starts[run], api.RunOutcome_RUN_OUTCOME_STOPPED)
	}
	clear(r.stopping)
}

func bestEffort(count int32, milliCPU, memory int64) *api.TaskGroup {
	return &api.TaskGroup{Count: count, MilliCpu: milliCPU, MemoryMib: memory, EstimatedMs: 2000, BestEffort: true, Checkpointing: true, Image: "f"}
}

func counted(count int32, milliCPU, memory int64) *api.TaskGroup {
	return &api.TaskGroup{Count: count, MilliCpu: milliCPU, MemoryMib: memory, EstimatedMs: 2000}
}

// The objective of one group of 2 s is 5 s in the batch queue, and 3.4 s in the urgent one.
const (
	lateAt    = 6 * time.Second
	expiredAt = 16 * time.Second
)

// Each case guards against the failure that its name denies. A job holds the workers
// for a while, then another one is submitted. The runs that give way end, and the next
// plan must start the waiting tasks in their room: a victim that comes back ahead of
// them would be stopped again and again.
func TestRunsOfLittleValueGiveWay(t *testing.T) {
	changed := func(group *api.TaskGroup, change func(*api.TaskGroup)) *api.TaskGroup {
		change(group)
		return group
	}
	for name, c := range map[string]struct {
		holds  *api.TaskGroup
		held   string // queue
		age    time.Duration
		waits  *api.TaskGroup
		queue  string
		spoil  func(*preemptionRig)
		reason PreemptionReason // empty if nothing gives way
		stops  int
	}{
		"expired best-effort runs hold the unused CPU": {bestEffort(2, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue, nil, PreemptedExpired, 1},
		"late best-effort runs hold memory":            {bestEffort(2, 8000, 90_000), batchQueue, lateAt, counted(1, 1000, 20_000), urgentQueue, nil, PreemptedLate, 1},
		"several runs give way to one":                 {bestEffort(4, 4000, 45_000), batchQueue, lateAt, counted(1, 1000, 60_000), urgentQueue, nil, PreemptedLate, 2},
		"runs of a less urgent queue": {changed(bestEffort(2, 8000, 90_000), func(g *api.TaskGroup) { g.EstimatedMs = 20_000 }),
			batchQueue, time.Second, counted(1, 1000, 20_000), urgentQueue, nil, PreemptedLessUrgent, 1},
		"expired counted runs of an urgent queue": {counted(2, 8000, 0), urgentQueue, expiredAt, counted(2, 8000, 0), batchQueue, nil, PreemptedExpired, 1},

		"a larger loss than the gain": {changed(bestEffort(2, 8000, 90_000), func(g *api.TaskGroup) { g.EstimatedMs, g.Checkpointing = 20_000, false }),
			batchQueue, 5 * time.Second, counted(40, 100, 20_000), urgentQueue, func(r *preemptionRig) { r.pace = 90 }, "", 0},
		"runs of the same queue in time":   {bestEffort(2, 8000, 0), batchQueue, time.Second, bestEffort(1, 8000, 0), batchQueue, nil, "", 0},
		"late runs of a more urgent queue": {counted(2, 8000, 0), urgentQueue, lateAt, counted(1, 8000, 0), batchQueue, nil, "", 0},
		"best-effort runs, for CPU that they do not count": {counted(2, 8000, 0), urgentQueue, 0, counted(1, 8000, 0), urgentQueue,
			func(r *preemptionRig) { r.submit(batchQueue, bestEffort(2, 1000, 0)); r.place(); r.now += expiredAt }, "", 0},
		"the last run of an old job": {bestEffort(1, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue,
			func(r *preemptionRig) { r.workers[1].Open = false }, "", 0},
		"tasks of an old job that were preempted before": {bestEffort(2, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue,
			func(r *preemptionRig) {
				r.before[jobs.TaskID{Job: "job1"}], r.before[jobs.TaskID{Job: "job1", Index: 1}] = true, true
			}, "", 0},
		"a gang":        {changed(counted(2, 8000, 0), func(g *api.TaskGroup) { g.Gang = true }), batchQueue, expiredAt, counted(1, 8000, 0), urgentQueue, nil, "", 0},
		"long-running":  {changed(counted(2, 8000, 0), func(g *api.TaskGroup) { g.LongRunning = true }), batchQueue, expiredAt, counted(1, 8000, 0), urgentQueue, nil, "", 0},
		"with a ticket": {counted(2, 8000, 0), urgentQueue, expiredAt, counted(1, 8000, 0), batchQueue, func(r *preemptionRig) { r.advised = true; r.planOnly() }, "", 0},
		"unknown runs":  {bestEffort(2, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue, func(r *preemptionRig) { clear(r.startedAt) }, "", 0},
		"runs that end as soon as a stop would": {bestEffort(2, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue,
			func(r *preemptionRig) { r.percent, r.pace = 90, 100 }, "", 0},
		"the last copy that is nearly done": {changed(bestEffort(2, 8000, 0), func(g *api.TaskGroup) { g.Speculative = true }), batchQueue, expiredAt,
			bestEffort(1, 8000, 0), batchQueue, func(r *preemptionRig) { r.percent = nearlyDonePercent }, "", 0},
		"tasks on probation": {bestEffort(2, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue, func(r *preemptionRig) {
			for _, start := range maps.Clone(r.starts) {
				r.crash(start)
				start.Run.Number++
				r.apply(&api.JobChange{Body: &api.JobChange_Start{Start: &api.StartRun{Run: start.Run.Ref(), Worker: start.Worker}}})
				r.startedAt[start.Run] = 0
			}
		}, "", 0},
		"runs of a job that panics": {bestEffort(2, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue, func(r *preemptionRig) { r.broken = true }, "", 0},
		"switched off":              {bestEffort(2, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue, func(r *preemptionRig) { r.policy = Policy{} }, "", 0},
		"for a stop that comes too late": {bestEffort(2, 8000, 90_000), batchQueue, expiredAt, counted(1, 1000, 20_000), urgentQueue,
			func(r *preemptionRig) { r.now += 1200 * time.Millisecond }, "", 0},
		"for a task that waits for its rack beside room elsewhere": {counted(1, 8000, 0), batchQueue, lateAt,
			changed(counted(1, 8000, 0), func(g *api.TaskGroup) { g.DataRack = "r0" }), urgentQueue, func(r *preemptionRig) {
				r.policy.RemotePenalty, r.pace, r.percent = 3, FullPace, 84
				for i := range r.workers {
					if r.starts[jobs.RunID{Task: jobs.TaskID{Job: "job1"}, Number: 1}].Worker != r.workers[i].Key {
						r.workers[i].Rack = "r1"
					}
				}
			}, "", 0},
		"to a waiting task that another one precedes": {bestEffort(2, 8000, 90_000), batchQueue, lateAt, counted(1, 1000, 30_000), batchQueue,
			func(r *preemptionRig) { r.jobs++; r.submitted[r.submit(urgentQueue, counted(1, 1000, 20_000))] = 0 }, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newPreemptionRig(t, 2)
			r.submit(c.held, c.holds)
			if len(r.place()) == 0 {
				t.Fatal("nothing holds the workers")
			}
			r.now += c.age
			waiting := r.submit(c.queue, c.waits)
			if c.spoil != nil {
				c.spoil(r)
			}
			r.place()
			preempted := r.preempt()
			if len(preempted) != c.stops {
				t.Fatalf("%+v give way, want %d", preempted, c.stops)
			}
			for _, p := range preempted {
				if p.Reason != c.reason || p.For.Job != waiting || p.Set != c.stops {
					t.Errorf("%+v, want the reason %s", p, c.reason)
				}
			}
			if c.stops == 0 {
				return
			}
			r.endStopped()
			if next := r.place(); startsByWorker(next, waiting)[preempted[0].Worker] != 1 || next[0].Run.Task.Job != waiting {
				t.Errorf("the next plan starts %v, want the waiting task on %s first", next, preempted[0].Worker)
			}
		})
	}
}

// Each case is a task that finds no victims, and a less urgent one that does. Guards
// against a failed search that hides victims from tasks that it says nothing of, and
// against room that counts as there after a search that panicked.
func TestFailedSearchHidesNoVictimsFromOtherTasks(t *testing.T) {
	for name, c := range map[string]struct {
		first, second *api.TaskGroup
		spoil         func(*preemptionRig)
	}{
		"bound to another rack": {&api.TaskGroup{Count: 1, MilliCpu: 7000, EstimatedMs: 2000, DataRack: "r0"}, counted(1, 8000, 0), func(*preemptionRig) {}},
		"a panic": {bestEffort(1, 100, 20_000), counted(1, 500, 20_000), func(r *preemptionRig) {
			r.perCore = func(Pair) float64 { panic("cost") }
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newPreemptionRig(t, 4)
			r.workers[0].Labels, r.workers[1].Labels = []string{"held"}, []string{"held"}
			r.submit(urgentQueue, &api.TaskGroup{Count: 4, MilliCpu: 500, LongRunning: true, TargetLatencyMs: 10, MaxPerWorker: 1, Image: "s"})
			r.submit(urgentQueue, &api.TaskGroup{Count: 2, MilliCpu: 9000, MemoryMib: 90_000, LongRunning: true, RequiredLabel: "held"})
			r.submit(batchQueue, bestEffort(2, 100, 90_000), counted(2, 8000, 0))
			r.place()
			r.now += expiredAt
			r.submit(urgentQueue, c.first)
			second := r.submit(urgentQueue, c.second)
			c.spoil(r)
			preempted := r.preempt()
			if len(preempted) == 0 || preempted[0].For.Job != second {
				t.Errorf("%v give way, want runs for %s", preempted, second)
			}
		})
	}
}

// Guards against rounds that stop ever more runs for the same waiting task while a stop
// is under way, a round that stops too many, a job that is hit again and again, and a
// new leader that preempts before it knows what an earlier one did.
func TestPreemptionIsBounded(t *testing.T) {
	r := newPreemptionRig(t, 30)
	for range 15 {
		r.submit(batchQueue, bestEffort(2, 8000, 0))
	}
	r.place()
	r.now += expiredAt
	r.submit(batchQueue, bestEffort(3, 8000, 0))
	r.place()
	if n := len(r.preempt()); n != 3 {
		t.Fatalf("%d runs give way to 3 tasks", n)
	}
	for range 3 {
		r.now += 50 * time.Millisecond
		if again := r.preempt(); len(again) > 0 {
			t.Fatalf("%v give way while the room for all waiting tasks is coming", again)
		}
	}
	r.submit(batchQueue, bestEffort(20, 8000, 0))
	if n := len(r.preempt()); n != maxPreemptions {
		t.Errorf("%d runs give way in a round, want %d", n, maxPreemptions)
	}
	r.leading = PreemptionPause - 1
	clear(r.preemptedAt)
	if early := r.preempt(); len(early) > 0 {
		t.Errorf("a new leader preempts %v", early)
	}
}

// Guards against an old job whose runs are stopped in turn, as urgent tasks come on one
// worker and then on the other, so that none of them gets to its end.
func TestJobCompletesThoughItIsPreemptedAgainAndAgain(t *testing.T) {
	r := newPreemptionRig(t, 2)
	r.pace = FullPace
	r.workers[0].Labels, r.workers[1].Labels = []string{"l0"}, []string{"l1"}
	group := counted(2, 8000, 0)
	group.EstimatedMs = 20_000
	old := r.submit(batchQueue, group)
	r.now = 200 * time.Second // it has expired
	begin, stops, urgent := r.now, 0, 0
	for ; !r.ended(old) && r.now-begin < 300*time.Second; r.now += 100 * time.Millisecond {
		if at := r.now - begin; at%(6*time.Second) == 3*time.Second {
			group := counted(1, 8000, 0)
			group.RequiredLabel = fmt.Sprintf("l%d", urgent%2)
			r.submit(urgentQueue, group)
			urgent++
		}
		r.endStopped()
		r.endDone()
		r.place()
		stops += len(r.preempt())
	}
	if r.now-begin >= 300*time.Second || stops == 0 {
		t.Errorf("the job is not done after %v; %d preemptions", r.now-begin, stops)
	}
}

// Guards against a task that waits for the room of a run whose stop is lost.
func TestLostStopIsNoRoom(t *testing.T) {
	for lost, stops := range map[bool]int{false: 0, true: 1} {
		r := newPreemptionRig(t, 3)
		r.submit(batchQueue, counted(2, 8000, 0))
		ended := r.submit(batchQueue, counted(1, 8000, 0))
		r.place()
		r.apply(&api.JobChange{Body: &api.JobChange_Cancel{Cancel: &api.JobKey{Queue: batchQueue, Job: ended}}})
		r.now += expiredAt
		r.submit(urgentQueue, counted(1, 8000, 0))
		r.lost = lost
		if preempted := r.preempt(); len(preempted) != stops || stops > 0 && preempted[0].Run.Task.Job == ended {
			t.Errorf("with the stop of a cancelled run lost: %v, %v give way, want %d", lost, preempted, stops)
		}
	}
}

func TestJobIsSparedAfterPreemption(t *testing.T) {
	r := newPreemptionRig(t, 8)
	r.submit(batchQueue, bestEffort(8, 8000, 0))
	r.place()
	r.now += expiredAt
	for _, c := range []struct {
		after time.Duration
		stops int
	}{{0, 1}, {time.Second, 0}, {PreemptionPause - 2*time.Second, 0}, {time.Second, 2}} {
		r.now += c.after
		r.submit(batchQueue, bestEffort(1, 8000, 0)) // can wait for 3 s less preemptionStopTime
		r.place()
		if n := len(r.preempt()); n != c.stops {
			t.Errorf("%d runs give way after %v, want %d", n, c.after, c.stops)
		}
		r.endStopped()
		r.place()
	}
}

// Guards against preempted runs that must not be touched, and against stops that don't
// make the room that they are for.
func TestPreemptionSparesProtectedRunsAndMakesRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newPreemptionRig(t, rapid.IntRange(1, 5).Draw(rt, "workers"))
		for range 2 {
			for i := range rapid.IntRange(1, 6).Draw(rt, "jobs") {
				label := fmt.Sprint("job", i)
				group := bestEffort(rapid.Int32Range(1, 5).Draw(rt, label), rapid.Int64Range(500, 9000).Draw(rt, label), rapid.Int64Range(0, 60_000).Draw(rt, label))
				group.BestEffort, group.Checkpointing = rapid.Bool().Draw(rt, label), rapid.Bool().Draw(rt, label)
				kind := rapid.IntRange(0, 5).Draw(rt, label)
				group.Gang, group.LongRunning, group.Speculative = kind == 0, kind == 1, kind == 2
				r.submit(rapid.SampledFrom([]string{urgentQueue, batchQueue}).Draw(rt, label), group)
			}
			r.place()
			r.now += time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "age")) * time.Millisecond
		}
		with, without := []Start(nil), r.planOnly() // the latter by the zero Policy
		r.state.Read(func(view jobs.View) { with = Plan(view, r.input()) })
		if !slices.Equal(with, without) {
			rt.Fatalf("starts %v, without preemption %v", with, without)
		}
		r.pace = rapid.Int32Range(1, 100).Draw(rt, "pace")
		r.place()
		room := map[string]resource.Vector{} // that the waiting tasks need, by worker
		preempted := r.preempt()
		r.state.Read(func(view jobs.View) {
			for _, p := range preempted {
				if _, group, _ := view.Run(p.Run); group == nil || group.Spec.Gang || group.Spec.LongRunning {
					rt.Fatalf("%+v is protected", p)
				}
				need := demand(view.Job(p.For.Job).Occurrences[p.For.Occurrence].Groups[p.For.Group].Spec)
				need.MilliCPU, need.MemoryMiB = need.MilliCPU/int64(p.Set), need.MemoryMiB/int64(p.Set)
				room[p.Worker] = room[p.Worker].Add(need)
			}
		})
		r.endStopped()
		r.state.Read(func(view jobs.View) {
			fleet := newFleetLoad(view, r.workers)
			for worker, need := range room {
				if l := fleet.byKey[worker]; !need.Fits(l.free()) {
					rt.Fatalf("%v is free on %s, want %v, after %+v", l.free(), worker, need, preempted)
				}
			}
		})
	})
}

// pass moves the clock and lets the reservations age.
func (r *preemptionRig) pass(d time.Duration) {
	r.now += d
	for i := range r.reserved {
		h := &r.reserved[i]
		h.At.Likely, h.At.Latest, h.Due = max(h.At.Likely-d, 0), max(h.At.Latest-d, 0), h.Due-d
	}
}

// Plays a load with all features on that meet in a plan. Guards against room that is
// given away twice, against protected runs that are stopped, and against a task in
// time that waits beside runs without value.
func TestPreemptionTogetherWithReservationsAndRemotePenalty(t *testing.T) {
	stops, held := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		r := newPreemptionRig(t, rapid.IntRange(1, 5).Draw(rt, "workers"))
		r.policy.Reservations, r.policy.RemotePenalty, r.pace, r.slowdown = 2, 3, FullPace, 6
		for step := range 60 {
			for range rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(rt, "jobs") {
				group := counted(rapid.Int32Range(1, 4).Draw(rt, "count"), rapid.Int64Range(1500, 10_000).Draw(rt, "cpu"), rapid.Int64Range(15_000, 90_000).Draw(rt, "memory"))
				group.EstimatedMs = rapid.Int64Range(500, 2000).Draw(rt, "estimate")
				group.DataRack = rapid.SampledFrom([]string{"", "", "r0", "r1"}).Draw(rt, "rack")
				kind := rapid.IntRange(0, 9).Draw(rt, "kind")
				group.Gang, group.LongRunning, group.BestEffort = kind == 0, kind == 1 && step < 5, kind == 2
				r.submit(rapid.SampledFrom([]string{urgentQueue, batchQueue}).Draw(rt, "queue"), group)
			}
			r.endDone()
			if step%4 == 0 {
				r.endStopped()
			}
			r.place()
			held += len(r.reserved)
			before := maps.Clone(r.before)
			recent := maps.Clone(r.preemptedAt)
			preempted := r.preempt()
			stops += len(preempted)
			r.state.Read(func(view jobs.View) { r.checkPreempted(rt, view, preempted, before, recent) })
			r.pass(300 * time.Millisecond)
		}
	})
	if stops == 0 || held == 0 {
		t.Errorf("%d stops, %d reservations: the load tests nothing", stops, held)
	}
}

// checkPreempted checks that no worker is overcommitted, that the preempted runs are
// not protected, and that the first waiting task finds no room in that of its own and of runs without
// value, unless runs are being stopped.
func (r *preemptionRig) checkPreempted(
	t *rapid.T, view jobs.View, preempted []Preemption, before map[jobs.TaskID]bool, recent map[string]time.Duration,
) {
	fleet := newFleetLoad(view, r.workers)
	for _, l := range fleet.workers {
		if !l.used.Fits(l.worker.Capacity) {
			t.Fatalf("%v is used on %s", l.used, l.worker.Key)
		}
	}
	justChosen := map[jobs.RunID]bool{}
	for _, p := range preempted {
		justChosen[p.Run] = true
	}
	spared := func(run jobs.RunID) bool {
		job, group, _ := view.Run(run)
		at, known := recent[run.Task.Job]
		old := r.now-r.submitted[job.ID] > starvationTimeout
		furthest := true // the runs of a job, which has one group, progress at the same rate
		for i := range group.Tasks {
			for _, other := range group.Tasks[i].Runs {
				id := jobs.RunID{Task: run.Task, Number: other.Number}
				id.Task.Index = int32(i)
				furthest = furthest && (r.stopping[id] && !justChosen[id] || r.startedAt[run] <= r.startedAt[id])
			}
		}
		return group.Spec.Gang || group.Spec.LongRunning || known && r.now-at < PreemptionPause || old && before[run.Task] || old && furthest && (!justChosen[run] || job.ActiveRuns() == 1)
	}
	for _, p := range preempted {
		if spared(p.Run) {
			t.Fatalf("%+v is protected", p)
		}
	}
	all := candidates(view, r.input())
	if len(r.stopping) > 0 || len(all) == 0 || all[0].lateness != inTime || all[0].slack < preemptionStopTime {
		return
	}
	c := all[0]
	if group := c.group.Spec; group.Gang || group.BestEffort || group.LongRunning || group.DataRack != "" {
		return
	}
	if slices.ContainsFunc(fleet.workers, func(l *load) bool { return demand(c.group.Spec).Fits(l.free()) }) {
		return // a reservation holds the room
	}
	for _, l := range fleet.workers {
		free := l.free()
		view.RunsOn(l.worker.Key, func(run jobs.RunID, group *jobs.Group) {
			job, _, _ := view.Run(run)
			objective := Objective(view.QueueOf(job), job.Spec, r.learned.Durations.ForQueue(job.QueueKey))
			if !spared(run) && !r.stopping[run] && r.now-r.submitted[job.ID] > expiryFactor*objective {
				free = free.Add(demand(group.Spec))
			}
		})
		if demand(c.group.Spec).Fits(free) {
			t.Fatalf("%v waits beside %s with %v free without the runs that have no value", c.groupID(), l.worker.Key, free)
		}
	}
}

// BenchmarkPreemptBacklog measures a search for victims over a backlog on a full fleet:
// nothing may give way, or the runs of expired jobs.
func BenchmarkPreemptBacklog(b *testing.B) {
	for _, workers := range benchmarkSizes {
		for name, age := range map[string]time.Duration{"none": 0, "expired": expiredAt} {
			b.Run(fmt.Sprintf("workers=%d/%s", workers, name), func(b *testing.B) {
				r := newPreemptionRig(b, 0)
				r.fixture, r.everyRunAt = fullFleet(b, workers), true
				r.now = age
				r.state.Read(func(view jobs.View) {
					for job := range r.submitted {
						if view.Job(job).ActiveRuns() == 0 {
							r.submitted[job] = age
						}
					}
				})
				b.ReportAllocs()
				for b.Loop() {
					r.victims()
				}
			})
		}
	}
}
