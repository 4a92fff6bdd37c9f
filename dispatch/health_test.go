package dispatch

import (
	"testing"
	"time"
)

// Load pattern: one worker fails all its runs within milliseconds while the
// others work, and one run in twenty fails on any worker.
func TestFailingWorkerIsExcludedAndRetried(t *testing.T) {
	h := NewHealth()
	now := time.Unix(1000, 0)
	workers := []string{"w0", "w1", "w2", "w3"}
	for i := range 60 {
		now = now.Add(30 * time.Millisecond)
		h.Learn(workers[1+i%3], i%20 == 0, now)
		if i%10 == 0 {
			h.Learn("w0", true, now)
		}
	}
	suspects := h.Suspects(now, workers)
	if len(suspects) != 1 || !suspects["w0"] {
		t.Errorf("suspects %v, want w0", suspects)
	}
	now = now.Add(3 * healthTimeConstant)
	if suspects := h.Suspects(now, workers); len(suspects) > 0 {
		t.Errorf("suspects %v after a while, want none", suspects)
	}
}

func TestFleetWideFailuresMakeNoSuspects(t *testing.T) {
	h := NewHealth()
	now := time.Unix(1000, 0)
	workers := []string{"w0", "w1", "w2"}
	for i := range 30 {
		h.Learn(workers[i%3], true, now)
	}
	if suspects := h.Suspects(now, workers); len(suspects) > 0 {
		t.Errorf("suspects %v", suspects)
	}
}

func TestAtMostAThirdOfWorkersIsExcluded(t *testing.T) {
	h := NewHealth()
	now := time.Unix(1000, 0)
	workers := []string{"w0", "w1", "w2", "w3"}
	for range 10 {
		h.Learn("w0", true, now)
		h.Learn("w1", true, now)
		h.Learn("w2", false, now)
		h.Learn("w3", false, now)
	}
	if suspects := h.Suspects(now, workers); len(suspects) > 0 {
		t.Errorf("half of the fleet is excluded: %v", suspects)
	}
}

// Load pattern: health answers are wrong in either direction.
func TestSelfReportIsOnlyAHint(t *testing.T) {
	now := time.Unix(1000, 0)
	workers := []string{"sound", "unhealthy", "well", "silent"}
	h := NewHealth()
	h.Note("unhealthy", true)
	for range 10 {
		for _, worker := range workers {
			h.Learn(worker, false, now)
		}
	}
	if d := h.Distrust("unhealthy", now); d > 0 {
		t.Errorf("penalty %.2f of a worker that reports itself unhealthy and whose runs succeed", d)
	}
	now = now.Add(10 * healthTimeConstant) // earlier ends have decayed
	if d := h.Distrust("unhealthy", now); d <= 0 || d >= suspectThreshold {
		t.Errorf("penalty %.2f of a worker that reports itself unhealthy and has no runs", d)
	}
	h.Learn("sound", false, now)
	h.Learn("unhealthy", true, now)
	h.Learn("well", true, now)
	if suspects := h.Suspects(now, workers); !suspects["unhealthy"] || suspects["well"] {
		t.Errorf("suspects %v after one failure each", suspects)
	}
	for range 5 {
		h.Learn("well", true, now)
		h.Learn("sound", false, now)
		h.Learn("silent", false, now)
	}
	h.Forget("unhealthy")
	if suspects := h.Suspects(now, workers); !suspects["well"] {
		t.Errorf("suspects %v, want the worker that reports itself healthy and whose runs fail", suspects)
	}
}
