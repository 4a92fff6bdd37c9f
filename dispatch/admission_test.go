package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

func admissionLoads() []replayedLoad {
	check := &api.TaskGroup{Count: 10, MilliCpu: 1000, MemoryMib: 1000, EstimatedMs: 500}
	batch := &api.TaskGroup{Count: 20, MilliCpu: 2000, MemoryMib: 1000, EstimatedMs: 1000}
	return []replayedLoad{
		{name: "half of the room", workers: 10, kinds: []jobKind{{batchQueue, 0.8, 1, batch, 0}, {urgentQueue, 3, 1, check, 0}}},
		{name: "burst on a full fleet", refuses: true, workers: 10, kinds: []jobKind{{batchQueue, 2, 2.6, batch, 0}, {urgentQueue, 4, 2.6, check, 0}}},
		{name: "steady overload", refuses: true, workers: 10, kinds: []jobKind{{batchQueue, 4, 1, batch, 0}, {urgentQueue, 8, 1, check, 0}}},
		{name: "burst of one queue beside a steady one", refuses: true, workers: 10, kinds: []jobKind{{batchQueue, 1.5, 5, batch, 0}, {urgentQueue, 8, 1, check, 0}}},
		{name: "fair shares of three zones", refuses: true, workers: 10, policy: Policy{FairShares: true},
			kinds: []jobKind{{batchQueue, 1.5, 5, batch, 0}, {urgentQueue, 8, 1, check, 0}},
			zone:  func(_ int, _ time.Duration, draw float64) string { return []string{"za", "zb", "zc"}[int(3*draw)] }},
		{name: "urgent burst beside steady batch", workers: 10, kinds: []jobKind{{batchQueue, 1.5, 1, batch, 0}, {urgentQueue, 6, 5, check, 0}}},
		{name: "memory binds before cores", refuses: true, workers: 10, kinds: []jobKind{
			{batchQueue, 2.2, 2.6, &api.TaskGroup{Count: 20, MilliCpu: 500, MemoryMib: 20_000, EstimatedMs: 1000}, 0},
			{urgentQueue, 4, 2.6, &api.TaskGroup{Count: 10, MilliCpu: 300, MemoryMib: 10_000, EstimatedMs: 500}, 0},
		}},
		{name: "one task fills more than half of a worker", workers: 10, kinds: []jobKind{
			{batchQueue, 1.2, 2.6, &api.TaskGroup{Count: 6, MilliCpu: 6000, MemoryMib: 1000, EstimatedMs: 1000}, 0},
			{urgentQueue, 4, 2.6, check, 0},
		}},
		{name: "best-effort work beside services", refuses: true, workers: 20,
			services: &api.TaskGroup{Count: 20, MilliCpu: 6000, MemoryMib: 1000, LongRunning: true, TargetLatencyMs: 100, Image: "serving"},
			kinds: []jobKind{
				{batchQueue, 2.5, 2.6, &api.TaskGroup{Count: 20, MilliCpu: 2500, MemoryMib: 1000, EstimatedMs: 1000, BestEffort: true}, 0},
				{urgentQueue, 4, 2.6, check, 0},
			}},
	}
}

// Guards against refusals of jobs that could have been served: of the refused jobs, under
// 5 % would have been in time without refusals, and none is refused under a load that
// leaves every job some value. Guards also against a rule that refuses nothing.
func TestRefusedJobsCouldNotHaveBeenInTime(t *testing.T) {
	for _, load := range admissionLoads() {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			refused, inTime := 0, 0
			for seed := range uint64(2) {
				with, without := load.replay(t, 1+seed, true).jobs, load.replay(t, 1+seed, false).jobs
				before, lost := refused, 0
				for i, job := range with {
					if !without[i].useful() {
						lost++
					}
					if !job.verdict.Refuse {
						continue
					}
					refused++
					if job.verdict.RetryAfter < time.Second || job.verdict.RetryAfter > maxRetryAfter {
						t.Errorf("retry after %v", job.verdict.RetryAfter)
					}
					if without[i].inTime() {
						inTime++
					}
				}
				if lost == 0 && refused > before {
					t.Errorf("seed %d: %d jobs refused while all could be served", seed, refused-before)
				}
			}
			t.Logf("%d refused, %d of them could have been in time", refused, inTime)
			if 100*inTime > 5*refused {
				t.Errorf("%d of %d refused jobs could have been in time", inTime, refused)
			}
			if load.refuses && refused == 0 {
				t.Error("nothing refused")
			}
		})
	}
}

// filled returns a fleet of two workers of 10 cores with tasks of one core that take the
// given time, as many as have room of which run.
func filled(t *testing.T, tasks int32, took time.Duration) *fixture {
	w := newFixture(t, 2)
	w.learned.Durations.Learn(urgentQueue, took.Milliseconds(), took.Milliseconds())
	w.learned.Durations.Learn(batchQueue, 1000, 1000)
	w.submit(urgentQueue, &api.TaskGroup{Count: tasks, MilliCpu: 1000, MemoryMib: 1000, EstimatedMs: took.Milliseconds()})
	w.listing, w.takes = true, declaredTime(1)
	w.plan()
	return w
}

// Guards against refusals for lack of knowledge or for a wait that does not exist, and
// against a forecast that leaves out what runs or the later groups of the jobs ahead: a
// task of 60 s that has run for 55 s sets its room free before the job loses its value.
func TestForecastRefusesOnlyForAKnownWait(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*fixture, *api.TaskGroup)
		refuse bool
	}{
		{"runs of 60 s", func(*fixture, *api.TaskGroup) {}, true},
		{"runs of 60 s end soon", func(w *fixture, _ *api.TaskGroup) { w.now = 55 * time.Second }, false},
		{"late, but of some value", func(w *fixture, _ *api.TaskGroup) { w.now = 27 * time.Second }, false},
		{"no durations learnt", func(w *fixture, _ *api.TaskGroup) { delete(w.learned.Durations.queues, batchQueue) }, false},
		{"no run seen", func(w *fixture, _ *api.TaskGroup) {
			learned := w.learned
			*w = *newFixture(t, 2)
			w.learned, w.workers[0].Open, w.workers[1].Open = learned, false, false
			w.submit(urgentQueue, &api.TaskGroup{Count: 500, MilliCpu: 1000, EstimatedMs: 60_000})
		}, false},
		{"nothing waits", func(w *fixture, _ *api.TaskGroup) { *w = *filled(t, 20, time.Minute) }, false},
		{"short runs", func(w *fixture, _ *api.TaskGroup) { *w = *filled(t, 21, time.Second) }, false},
		{"short runs before a large later group", func(w *fixture, _ *api.TaskGroup) {
			*w = *filled(t, 21, time.Second)
			first := &api.TaskGroup{Count: 1, MilliCpu: 1000, EstimatedMs: 1000}
			w.submit(urgentQueue, first, &api.TaskGroup{Count: 400, MilliCpu: 1000, EstimatedMs: 1000, DependsOn: []int32{0}})
		}, true},
		{"long-running", func(_ *fixture, group *api.TaskGroup) { group.LongRunning = true }, false},
		{"larger than any worker", func(_ *fixture, group *api.TaskGroup) { group.MilliCpu = 10_001 }, true},
		{"preemption makes room for no less urgent work", func(w *fixture, _ *api.TaskGroup) { w.policy.Preemption = true }, true},
		{"memory is taken, CPU is not", func(w *fixture, group *api.TaskGroup) {
			more := resource.Vector{MilliCPU: 90_000, MemoryMiB: 10_000}
			w.workers[0].Capacity, w.workers[1].Capacity = more, more
		}, true},
		{"another rack has the label", func(w *fixture, group *api.TaskGroup) {
			w.workers = append(w.workers, newFixture(t, 3).workers[2])
			w.workers[2].Labels, group.RequiredLabel = []string{"b"}, "b"
			w.submit(urgentQueue, &api.TaskGroup{Count: 90, MilliCpu: 1000, EstimatedMs: 60_000, RequiredLabel: "a"})
			w.plan()
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, group := filled(t, 21, time.Minute), &api.TaskGroup{Count: 2, MilliCpu: 1000, MemoryMib: 1000, EstimatedMs: 1000}
			test.change(w, group)
			if v := w.admitForecast(batchQueue, NewArrivals(), group); v.Refuse != test.refuse {
				t.Errorf("%+v", v)
			}
		})
	}
}

// Guards against callers that return together, in another order than they were refused
// in, or later than the bound.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	r, random, now, last := NewReturns(), rand.New(rand.NewPCG(1, 1)), time.Unix(0, 0), time.Duration(0)
	for i := range 400 {
		after := r.Book(batchQueue, "", 5*time.Second, 200*time.Millisecond, random.Float64(), now)
		if after < 5*time.Second || after > maxRetryAfter {
			t.Fatalf("caller %d returns after %v", i, after)
		}
		if after <= last && after < maxRetryAfter-time.Second {
			t.Errorf("caller %d returns after %v, the one before after %v", i, after, last)
		}
		last = after
	}
	if after := r.Book(urgentQueue, "", time.Second, time.Second, 0, now); after != time.Second {
		t.Errorf("caller of another queue returns after %v", after)
	}
}

// Guards against a zone whose callers all return after those of a zone that were refused
// before, against callers of several zones that return together, and against a zone that
// gets more turns than another. The turns are 200 ms apart.
func TestRefusedCallersReturnInTurnByZone(t *testing.T) {
	r, now := NewReturns(), time.Unix(0, 0)
	turn := func(zone string) int {
		after := r.Book(batchQueue, zone, 5*time.Second, 200*time.Millisecond, 0, now)
		return int((after - 5*time.Second) / (200 * time.Millisecond))
	}
	for range 100 {
		turn("za")
	}
	for i := range 10 {
		if n := turn("zb"); n > 2*i+2 {
			t.Errorf("caller %d of the zone that came second has turn %d", i, n)
		}
	}
	r = NewReturns()
	for i := range 60 {
		if n := turn([]string{"za", "zb", "zc"}[i%3]); n != i {
			t.Errorf("caller %d has turn %d", i, n)
		}
	}
	if now = now.Add(time.Hour); turn("zd") != 0 || len(r.next) != 1 || len(r.booked[batchQueue]) != 1 {
		t.Errorf("%d zones and %d returns are kept after an hour", len(r.next), len(r.booked[batchQueue]))
	}
}

// Guards against a burst, or a load that has ended, that counts as steady.
func TestOnlySteadyArrivalsCount(t *testing.T) {
	w := newFixture(t, 1)
	arrivals, now := NewArrivals(), time.Unix(0, 0)
	spec := &api.JobSpec{Groups: []*api.TaskGroup{{Count: 10, MilliCpu: 1000, MemoryMib: 1000, EstimatedMs: 1000}}}
	rate := func() (before arrivalRate) {
		w.state.Read(func(view jobs.View) { before, _ = arrivals.rates(view, "s", 2, now) })
		return before
	}
	for second := range 60 {
		arrivals.Learn(urgentQueue, spec, w.learned.Durations.ForQueue(urgentQueue), now)
		now = now.Add(time.Second)
		if cores := rate().counted / 1000; second == 3 && cores > 3 || second == 59 && (cores < 7 || cores > 11) {
			t.Errorf("%.1f cores after %d s", cores, second+1)
		}
	}
	if now = now.Add(12 * time.Second); rate().counted/1000 > 1 {
		t.Errorf("%+v after the load has ended", rate())
	}
}

// admitForecast returns the decision on a job with the given groups.
func (w *fixture) admitForecast(queue string, arrivals *Arrivals, groups ...*api.TaskGroup) (verdict Verdict) {
	w.state.Read(func(view jobs.View) {
		s := Submission{QueueKey: queue, Queue: view.Queue(queue), Spec: &api.JobSpec{Groups: groups}}
		verdict = AdmitForecast(view, w.input(), s, arrivals, time.Unix(0, 0).Add(w.now))
	})
	return verdict
}

// equalPriorities gives both queues of the fixture the same priority.
func (w *fixture) equalPriorities() {
	var next *api.JobConfiguration
	w.state.Read(func(view jobs.View) { next = proto.CloneOf(view.Configuration()) })
	next.Version = 2
	for _, queue := range next.Queues {
		queue.Priority = 0
	}
	w.apply(&api.JobChange{Body: &api.JobChange_Configure{Configure: next}})
}
