package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// Guards against room that is foreseen too early: it is there once enough of the runs
// on a worker have ended, and never if the rest is taken by a long-running task.
func TestRoomIsForeseenWhenEnoughRunsHaveEnded(t *testing.T) {
	w := newFixture(t, 1)
	w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 4000, LongRunning: true})
	w.submit(urgentQueue, &api.TaskGroup{Count: 3, MilliCpu: 2000, EstimatedMs: 1000})
	w.plan()
	for _, test := range []struct {
		need   int64
		within time.Duration // of the median, negative for never
	}{{2000, time.Second}, {6000, time.Second}, {7000, -1}} {
		w.state.Read(func(view jobs.View) {
			fleet := newFleetLoad(view, w.workers)
			at, known := newForecast(view, w.input()).roomAt(fleet.workers[0], resource.Vector{MilliCPU: test.need})
			if known != (test.within >= 0) || known && (at.Likely.Round(time.Millisecond) != test.within || at.Latest <= at.Likely) {
				t.Errorf("%d milli-cores: %v, %v", test.need, at, known)
			}
		})
	}
}
