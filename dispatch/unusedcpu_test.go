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
// a claim that is dropped for good, or for tasks that disturb a service as well.
func TestPausedRunsLeaveTheirCPUToTasksThatDisturbNoService(t *testing.T) {
	fullPace := func(jobs.RunID) bool { return true }
	for _, c := range []struct {
		name, image string
		spoil       func(w *fixture)
		starts      int
	}{
		{"harmless", "g", func(*fixture) {}, 2},
		{"interferes", "f", func(*fixture) {}, 0},
		{"memory is taken", "g", func(w *fixture) { w.workers[0].Capacity.MemoryMiB = 2 * 1000 }, 0},
		{"service over its target", "g", func(w *fixture) { w.setHeadroom(0.9) }, 0},
		{"not throttled", "g", func(w *fixture) { w.workers[0].AtFullPace = fullPace }, 0},
		{"work again", "g", func(w *fixture) { w.workers[0].Sample.Cores["f"] = 4 }, 0},
		{"no sample", "g", func(w *fixture) { w.workers[0].Sample.Cores = nil }, 0},
	} {
		w := newFixture(t, 1)
		w.serve(0, "s", 6)
		w.learned.Interference.Set(PairCost{Pair{"s", "f"}, 0.25})
		w.learned.Interference.Set(PairCost{Pair{"s", "g"}, 0})
		task := func(image string) *api.TaskGroup {
			return &api.TaskGroup{Count: 2, MilliCpu: 2000, MemoryMib: 1000, EstimatedMs: 2000, BestEffort: true, Image: image}
		}
		w.submit(batchQueue, task("f"))
		if n := len(w.plan()); n != 2 {
			t.Fatalf("%d runs started", n)
		}
		w.setHeadroom(1.2)
		w.workers[0].Sample.Cores = map[string]float64{"f": 0, "other": 0}
		c.spoil(w)
		w.submit(batchQueue, task(c.image))
		if n := len(w.plan()); n != c.starts {
			t.Errorf("%s: %d starts, want %d", c.name, n, c.starts)
		}
	}
}

func (w *fixture) setHeadroom(headroom Headroom) {
	for run, service := range w.workers[0].Sample.Services {
		service.Headroom = headroom
		w.workers[0].Sample.Services[run] = service
	}
}
