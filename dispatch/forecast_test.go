package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/resource"
)

// Guards against room that is foreseen too early: it is there once enough of the runs on
// a worker have ended, and never if the rest is taken by a long-running task, on a worker
// that takes no starts, or below a capacity that has shrunk. Guards as well against runs
// that are being stopped but count as running for long.
func TestRoomIsForeseenWhenEnoughRunsHaveEnded(t *testing.T) {
	const never, runTime = -1, 10 * time.Second
	for _, c := range []struct {
		name     string
		open     bool
		capacity int64
		stopping int32 // runs
		need     int64
		within   time.Duration // median
	}{
		{"one end suffices", true, 10_000, 0, 2000, runTime},
		{"all ends suffice", true, 10_000, 0, 6000, runTime},
		{"more than all ends", true, 10_000, 0, 7000, never},
		{"draining", false, 10_000, 0, 2000, never},
		{"shrunk below the demand", true, 1500, 0, 2000, never},
		{"shrunk, and one run is being stopped", true, 8000, 1, 2000, runTime},
		{"shrunk, and two runs are being stopped", true, 8000, 2, 2000, stopBand.Likely},
	} {
		w := newFixture(t, 1)
		w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 4000, LongRunning: true})
		w.submit(urgentQueue, &api.TaskGroup{Count: 3, MilliCpu: 2000, EstimatedMs: runTime.Milliseconds()})
		for _, start := range w.plan() {
			w.stopping[start.Run] = start.Run.Task.Job == "job2" && start.Run.Task.Index < c.stopping
		}
		w.workers[0].Open, w.workers[0].Capacity.MilliCPU = c.open, c.capacity
		latest := map[time.Duration]time.Duration{runTime: time.Minute, stopBand.Likely: stopBand.Latest}[c.within]
		at, known := w.roomAt(0, resource.Vector{MilliCPU: c.need})
		if known != (c.within != never) || known && (at.Likely.Round(time.Millisecond) != c.within || at.Latest <= at.Likely || at.Latest > latest) {
			t.Errorf("%s: %v, %v", c.name, at, known)
		}
	}
}
