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
		h.Record(workers[1+i%3], i%20 == 0, now)
		if i%10 == 0 {
			h.Record("w0", true, now)
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

// Guards against the exclusion of so many workers that the others can't do their work.
func TestAtMostAThirdOfWorkersIsExcluded(t *testing.T) {
	for _, fails := range [][]bool{{true, true, true}, {true, true, false, false}} {
		h, now, workers := NewHealth(), time.Unix(1000, 0), []string{"w0", "w1", "w2", "w3"}[:len(fails)]
		for range 10 {
			for i, worker := range workers {
				h.Record(worker, fails[i], now)
			}
		}
		if suspects := h.Suspects(now, workers); len(suspects) > 0 {
			t.Errorf("suspects %v of %v", suspects, fails)
		}
	}
}

// Load pattern: health answers are wrong in either direction.
func TestSelfReportIsOnlyAHint(t *testing.T) {
	now := time.Unix(1000, 0)
	workers := []string{"sound", "unhealthy", "well", "silent"}
	h := NewHealth()
	h.SetSelfReport("unhealthy", true)
	for range 10 {
		for _, worker := range workers {
			h.Record(worker, false, now)
		}
	}
	if d := h.Penalty("unhealthy", now); d > 0 {
		t.Errorf("penalty %.2f of a worker that reports itself unhealthy and whose runs succeed", d)
	}
	now = now.Add(10 * healthTimeConstant) // earlier ends have decayed
	if d := h.Penalty("unhealthy", now); d <= 0 || d >= suspectThreshold {
		t.Errorf("penalty %.2f of a worker that reports itself unhealthy and has no runs", d)
	}
	h.Record("sound", false, now)
	h.Record("unhealthy", true, now)
	h.Record("well", true, now)
	if suspects := h.Suspects(now, workers); !suspects["unhealthy"] || suspects["well"] {
		t.Errorf("suspects %v after one failure each", suspects)
	}
	for range 5 {
		h.Record("well", true, now)
		h.Record("sound", false, now)
		h.Record("silent", false, now)
	}
	h.Forget("unhealthy")
	if suspects := h.Suspects(now, workers); !suspects["well"] {
		t.Errorf("suspects %v, want the worker that reports itself healthy and whose runs fail", suspects)
	}
}
