package dispatch

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// preemptionRig plays a leader that preempts.
type preemptionRig struct {
	*fixture
	preemptedAt map[string]time.Duration
	before      map[jobs.TaskID]bool // tasks that were preempted
	leading     time.Duration
	lost        bool // the stops of runs that are of no use are lost
}

func newPreemptionRig(t testing.TB, workers int) *preemptionRig {
	r := &preemptionRig{newFixture(t, workers), map[string]time.Duration{}, map[jobs.TaskID]bool{}, time.Minute, false}
	r.policy.Preemption, r.pace = true, 10
	return r
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
			func(r *preemptionRig) { r.submit(batchQueue, bestEffort(2, 1000, 0)); r.plan(); r.now += expiredAt }, "", 0},
		"the last run of an old job": {bestEffort(1, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue,
			func(r *preemptionRig) { r.workers[1].Open = false }, "", 0},
		"tasks of an old job that were preempted before": {bestEffort(2, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue,
			func(r *preemptionRig) {
				r.before[jobs.TaskID{Job: "job1"}], r.before[jobs.TaskID{Job: "job1", Index: 1}] = true, true
			}, "", 0},
		"a gang":        {changed(counted(2, 8000, 0), func(g *api.TaskGroup) { g.Gang = true }), batchQueue, expiredAt, counted(1, 8000, 0), urgentQueue, nil, "", 0},
		"long-running":  {changed(counted(2, 8000, 0), func(g *api.TaskGroup) { g.LongRunning = true }), batchQueue, expiredAt, counted(1, 8000, 0), urgentQueue, nil, "", 0},
		"with a ticket": {counted(2, 8000, 0), urgentQueue, expiredAt, counted(1, 8000, 0), batchQueue, func(r *preemptionRig) { r.advised = true; r.planOnly() }, "", 0},
		"unknown runs":  {bestEffort(2, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue, func(r *preemptionRig) { clear(r.since) }, "", 0},
		"runs that end as soon as a stop would": {bestEffort(2, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue,
			func(r *preemptionRig) { r.percent, r.pace = 90, 100 }, "", 0},
		"the last copy that is nearly done": {changed(bestEffort(2, 8000, 0), func(g *api.TaskGroup) { g.Speculative = true }), batchQueue, expiredAt,
			bestEffort(1, 8000, 0), batchQueue, func(r *preemptionRig) { r.percent = nearlyDonePercent }, "", 0},
		"tasks on probation": {bestEffort(2, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue, func(r *preemptionRig) {
			for _, start := range maps.Clone(r.active) {
				r.crash(start)
				start.Run.Number++
				r.start(start)
				r.since[start.Run] = 0
			}
		}, "", 0},
		"runs of a job that panics": {bestEffort(2, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue, func(r *preemptionRig) { r.change = panicOn("job1") }, "", 0},
		"switched off":              {bestEffort(2, 8000, 0), batchQueue, expiredAt, bestEffort(1, 8000, 0), batchQueue, func(r *preemptionRig) { r.policy = Policy{} }, "", 0},
		"for a stop that comes too late": {bestEffort(2, 8000, 90_000), batchQueue, expiredAt, counted(1, 1000, 20_000), urgentQueue,
			func(r *preemptionRig) { r.now += 1200 * time.Millisecond }, "", 0},
		"for a task that waits for its rack beside room elsewhere": {counted(1, 8000, 0), batchQueue, lateAt,
			changed(counted(1, 8000, 0), func(g *api.TaskGroup) { g.DataRack = "r0" }), urgentQueue, func(r *preemptionRig) {
				r.policy.RemotePenalty, r.pace, r.percent = 3, FullPace, 84
				for i := range r.workers {
					if r.active[jobs.RunID{Task: jobs.TaskID{Job: "job1"}, Number: 1}].Worker != r.workers[i].Key {
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
			if len(r.plan()) == 0 {
				t.Fatal("nothing holds the workers")
			}
			r.now += c.age
			waiting := r.submit(c.queue, c.waits)
			if c.spoil != nil {
				c.spoil(r)
			}
			r.plan()
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
			if next := r.plan(); startsByWorker(next, waiting)[preempted[0].Worker] != 1 || next[0].Run.Task.Job != waiting {
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
			r.change = func(in *Input) {
				in.PerCore, in.Panicked = func(Pair) float64 { panic("cost") }, func(string, any) {}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newPreemptionRig(t, 4)
			r.workers[0].Labels, r.workers[1].Labels = []string{"held"}, []string{"held"}
			r.submit(urgentQueue, &api.TaskGroup{Count: 4, MilliCpu: 500, LongRunning: true, TargetLatencyMs: 10, MaxPerWorker: 1, Image: "s"})
			r.submit(urgentQueue, &api.TaskGroup{Count: 2, MilliCpu: 9000, MemoryMib: 90_000, LongRunning: true, RequiredLabel: "held"})
			r.submit(batchQueue, bestEffort(2, 100, 90_000), counted(2, 8000, 0))
			r.plan()
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
	r.plan()
	r.now += expiredAt
	r.submit(batchQueue, bestEffort(3, 8000, 0))
	r.plan()
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
	r.pace, r.takes = FullPace, declaredTime(1)
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
		r.endDue()
		r.plan()
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
		r.plan()
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
	r.plan()
	r.now += expiredAt
	for _, c := range []struct {
		after time.Duration
		stops int
	}{{0, 1}, {time.Second, 0}, {PreemptionPause - 2*time.Second, 0}, {time.Second, 2}} {
		r.now += c.after
		r.submit(batchQueue, bestEffort(1, 8000, 0)) // can wait for 3 s less preemptionStopTime
		r.plan()
		if n := len(r.preempt()); n != c.stops {
			t.Errorf("%d runs give way after %v, want %d", n, c.after, c.stops)
		}
		r.endStopped()
		r.plan()
	}
}
