package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Load pattern: small best-effort tasks keep coming and take most of each worker, and
// every two seconds a job of three large tasks comes. No worker has the whole CPU of a large
// task unused until small tasks end together, so that large jobs wait and CPU is idle.
// Guards against both.
func TestLargeBestEffortTasksStartInGaps(t *testing.T) {
	waits, used := map[float64][]time.Duration{}, map[float64]float64{}
	for _, partial := range []float64{0, 0.5} {
		waits[partial], used[partial] = replayGaps(t, partial)
		t.Logf("partial fit %v: last starts of large jobs after %v (median), %v (95 of 100); %.0f%% of the CPU in use",
			partial, quantile(waits[partial], 0.5), quantile(waits[partial], 0.95), 100*used[partial])
	}
	if before, after := quantile(waits[0], 0.95), quantile(waits[0.5], 0.95); after > before/2 {
		t.Errorf("the last task of a large job starts after %v with partial fits, %v without", after, before)
	}
	if used[0.5] <= used[0] {
		t.Errorf("%.2f of the CPU is in use with partial fits, %.2f without", used[0.5], used[0])
	}
}

func quantile(waits []time.Duration, share float64) time.Duration {
	slices.Sort(waits)
	return waits[int(share*float64(len(waits)-1))]
}

// replayGaps returns how long large jobs wait for the start of their last task, and the
// share of the CPU in use.
func replayGaps(t *testing.T, partial float64) (waits []time.Duration, used float64) {
	const step, duration, cores = 100 * time.Millisecond, time.Minute, 10.0
	w := newFixture(t, 4)
	w.policy.PartialFit = partial
	w.since = map[jobs.RunID]time.Duration{}
	left, large := map[Start]float64{}, map[string]int{} // seconds of work; tasks to start
	speed := func(worker string) float64 {
		wanted := 0.0
		for start := range left {
			if start.Worker == worker {
				wanted += taskCores(large, start)
			}
		}
		used += min(wanted, cores) / cores
		return min(1, cores/max(wanted, 1))
	}
	rounds := 0
	for ; w.now < duration; w.now += step {
		if rounds%5 == 0 {
			w.submit(batchQueue, &api.TaskGroup{Count: 4, MilliCpu: 3000, EstimatedMs: 1000, BestEffort: true, Image: "small"})
		}
		if rounds%20 == 0 {
			large[w.submit(batchQueue, &api.TaskGroup{Count: 3, MilliCpu: 7000, EstimatedMs: 1000, BestEffort: true, Image: "large"})] = 3
		}
		rounds++
		speeds := map[string]float64{}
		for i := range w.workers {
			speeds[w.workers[i].Key] = speed(w.workers[i].Key)
		}
		for start := range left {
			if left[start] -= step.Seconds() * speeds[start.Worker]; left[start] <= 0 {
				w.end(start, api.RunOutcome_RUN_OUTCOME_DONE)
				delete(left, start)
			}
		}
		for _, start := range w.plan() {
			left[start], w.since[start.Run] = 1, w.now
			if job := start.Run.Task.Job; large[job] > 0 {
				if large[job]--; large[job] == 0 {
					waits = append(waits, w.now-w.submitted[job])
				}
			}
		}
	}
	for job, waiting := range large {
		if waiting > 0 {
			waits = append(waits, w.now-w.submitted[job])
		}
	}
	return waits, used / float64(rounds*len(w.workers))
}

func taskCores(large map[string]int, start Start) float64 {
	if _, isLarge := large[start.Run.Task.Job]; isLarge {
		return 7
	}
	return 3
}

// A task that would find too little CPU, or whose job has lost its value, starts only
// where its whole CPU is unused. Guards against workers on which all runs crawl.
func TestPartialFitIsBounded(t *testing.T) {
	for _, test := range []struct {
		running   int32 // tasks of 1 core, which have run for ran of a second
		ran, age  time.Duration
		partial   float64
		wantStart bool
	}{
		{running: 5, partial: 0.5, wantStart: true},                                // 5 of 8 cores are unused
		{running: 5, partial: 0, wantStart: false},                                 // switched off
		{running: 7, partial: 0.5, wantStart: false},                               // 3 of 8, and the runs have just begun
		{running: 7, ran: 900 * time.Millisecond, partial: 0.5, wantStart: true},   // 3 of 8, and the runs end soon
		{running: 9, ran: 900 * time.Millisecond, partial: 0.5, wantStart: false},  // 1 of 8: it would slow down the others too much
		{running: 5, age: 9500 * time.Millisecond, partial: 0.5, wantStart: false}, // it has lost its value
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			w := newFixture(t, 1)
			w.policy.PartialFit, w.since = test.partial, map[jobs.RunID]time.Duration{}
			w.submit(batchQueue, &api.TaskGroup{Count: test.running, MilliCpu: 1000, EstimatedMs: 1000, BestEffort: true, Image: "small"})
			for _, start := range w.plan() {
				w.since[start.Run] = w.now
			}
			w.now += test.ran
			waiting := w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: 8000, EstimatedMs: 1000, BestEffort: true, Image: "large"})
			w.submitted[waiting] -= test.age
			s := w.schedule()
			if starts := s.Starts; (total(startsByWorker(starts, waiting)) == 1) != test.wantStart || !slices.Equal(starts, s.Partial) {
				t.Errorf("starts %v", starts)
			}
		})
	}
}
