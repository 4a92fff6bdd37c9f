package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// throttled returns a run at a tenth of its pace, of which half is left.
func throttled(start Start) ThrottledRun {
	return ThrottledRun{Run: start.Run, Since: 2 * time.Second, Pace: 10, Remaining: time.Second, Expected: 2 * time.Second}
}

func (w *fixture) relocate(runs ...ThrottledRun) (moved []jobs.RunID) {
	w.state.Read(func(view jobs.View) { moved = Relocate(view, w.input(), runs) })
	return moved
}

// Load pattern: a best-effort job starts while a service is idle, then the load of
// the service rises. Seen on nilefeather-loft-grown, quiet-1: half of the tasks of a
// group were done after 2.5 s, the last one after 11 s, with workers free beside it.
func TestThrottledRunMovesToWorkerWithRoom(t *testing.T) {
	w := newFixture(t, 2)
	w.learned.Interference.Set(PairCost{Pair{"s", "f"}, 0.5})
	w.serve(0, "s", 6)
	w.serve(1, "quiet", 6)
	w.learned.Interference.Set(PairCost{Pair{"quiet", "f"}, 0})
	w.jobs++
	job := w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: 2000, EstimatedMs: 2000, BestEffort: true, Image: "f", Checkpointing: true})
	run := w.startOn(0, job, 0)
	if moved := w.relocate(throttled(run)); len(moved) != 1 || moved[0] != run.Run {
		t.Errorf("moved %v, want the throttled run", moved)
	}
	for _, c := range []struct {
		name  string
		spoil func(*ThrottledRun)
	}{
		{"throttled just now", func(r *ThrottledRun) { r.Since = 0 }},
		{"done soon anyway", func(r *ThrottledRun) { r.Remaining = 100 * time.Millisecond }},
		{"nearly at full pace", func(r *ThrottledRun) { r.Pace = 90 }},
	} {
		spoilt := throttled(run)
		c.spoil(&spoilt)
		if moved := w.relocate(spoilt); len(moved) > 0 {
			t.Errorf("%s: moved %v", c.name, moved)
		}
	}
	w.learned.Interference.Set(PairCost{Pair{"quiet", "f"}, 5})
	if moved := w.relocate(throttled(run)); len(moved) > 0 {
		t.Errorf("moved %v beside a service that it disturbs as well", moved)
	}
}

// Guards against several runs that are moved to room for one of them.
func TestRelocationReservesRoom(t *testing.T) {
	w := newFixture(t, 2)
	w.learned.Interference.Set(PairCost{Pair{"s", "f"}, 0.5})
	w.serve(0, "s", 6)
	w.jobs++
	job := w.submit(batchQueue, &api.TaskGroup{Count: 4, MilliCpu: 8000, EstimatedMs: 2000, BestEffort: true, Image: "f", Checkpointing: true})
	var runs []ThrottledRun
	for i := range int32(4) {
		runs = append(runs, throttled(w.startOn(0, job, i)))
	}
	if moved := w.relocate(runs...); len(moved) != 1 {
		t.Errorf("%d runs moved, want one", len(moved))
	}
}
