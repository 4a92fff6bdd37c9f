package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against jobs that wait for CPU that paused runs do not use, and against starts
// beside them that disturb services longer than until the next sample.
func TestEachJobStartsInTimeBesideThrottledRuns(t *testing.T) {
	const round = 500 * time.Millisecond
	for _, headroom := range []Headroom{1.2, 1.4, 1.5, 2} {
		r := replayInterferingBacklog(t, func(time.Duration) Headroom { return headroom })
		if r.longestWait > starvationTimeout+round || r.started < 91 || r.lowest < min(headroom, reservedHeadroom) {
			t.Errorf("headroom %v: %+v", headroom, r)
		}
	}
	const falls, workers = 3, 4
	r := replayInterferingBacklog(t, func(at time.Duration) Headroom { return []Headroom{1.2, 3}[at/(10*time.Second)%2] })
	if r.overTarget > falls*workers {
		t.Errorf("services are over their target for %d steps, want one for each fall of their headroom", r.overTarget)
	}
}

// Two of five unused cores are claimed by each of two runs, which are paused. Guards against
// a claim that is dropped for good, or for tasks that may as well wait.
func TestPausedRunsLeaveTheirCPUToJobsThatStarve(t *testing.T) {
	for _, c := range []struct {
		name, image string
		headroom    Headroom
		used        map[string]float64
		memory      int64
		fullPace    func(jobs.RunID) bool
		waited      time.Duration
		starts      int
	}{
		{"starves", "f", 1.2, map[string]float64{"f": 0}, 100_000, nil, starvationTimeout + 1, 1},
		{"starves beside a service over its target", "g", 0.9, map[string]float64{"f": 0}, 100_000, nil, starvationTimeout + 1, 1},
		{"harmless by itself", "g", 1.2, map[string]float64{"f": 0}, 100_000, nil, 0, 0},
		{"interferes", "f", 1.2, map[string]float64{"f": 0}, 100_000, nil, 0, 0},
		{"memory is taken", "g", 1.2, map[string]float64{"f": 0}, 2000, nil, starvationTimeout + 1, 0},
		{"not throttled", "g", 1.2, map[string]float64{"f": 0}, 100_000, func(jobs.RunID) bool { return true }, starvationTimeout + 1, 0},
		{"work again", "g", 1.2, map[string]float64{"f": 4}, 100_000, nil, starvationTimeout + 1, 0},
		{"no sample", "g", 1.2, nil, 100_000, nil, starvationTimeout + 1, 0},
	} {
		w := newFixture(t, 1)
		w.serve(0, "s", 6)
		w.learned.Interference.Set(PairCost{Pair{"s", "f"}, 0.25})
		w.learned.Interference.Set(PairCost{Pair{"s", "g"}, 0})
		startsOf := func(image string, waited time.Duration) int {
			w.submit(batchQueue, &api.TaskGroup{Count: 2, MilliCpu: 2000, MemoryMib: 1000, EstimatedMs: 2000, BestEffort: true, Image: image})
			w.now += waited
			return len(w.plan())
		}
		paused := startsOf("f", 0)
		worker := &w.workers[0]
		for run := range worker.Sample.Services {
			worker.Sample.Services[run] = ServiceSample{"s", c.headroom}
		}
		worker.Sample.Cores, worker.Capacity.MemoryMiB, worker.AtFullPace = c.used, c.memory, c.fullPace
		if n := startsOf(c.image, c.waited); paused != 2 || n != c.starts {
			t.Errorf("%s: %d starts, want %d, beside %d", c.name, n, c.starts, paused)
		}
	}
}

// Guards against a worker that starving jobs fill without limit, as none of their runs works.
func TestPausedRunsOnAWorkerAreBounded(t *testing.T) {
	w := newFixture(t, 1)
	w.serve(0, "s", 1.2)
	w.workers[0].Sample.Cores = map[string]float64{"f": 0}
	for range 60 {
		w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: 2000, EstimatedMs: 2000, BestEffort: true, Image: "f"})
	}
	runs := 0
	for w.now = starvationTimeout + 1; w.now < 3*starvationTimeout; w.now += time.Second / 2 {
		runs += len(w.plan())
	}
	if most := 1 + int((5.6-2)/(2*minClaimShare)); runs != most {
		t.Errorf("%d runs are active beside a service that leaves 5.6 cores, want %d", runs, most)
	}
}
