package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

var testRun = jobs.RunID{Task: jobs.TaskID{Job: "j"}, Number: 1}

// recordListings records listings of a run with these percents, one every half
// second.
func recordListings(p *Progress, now time.Time, fullPace bool, percents ...int32) time.Time {
	for _, percent := range percents {
		now = now.Add(500 * time.Millisecond)
		pace := int32(FullPace)
		if !fullPace {
			pace = 10
		}
		p.Record(testRun, percent, pace, now)
	}
	return now
}

// Load pattern: tasks on some workers make no progress for seconds.
func TestStalledRunIsDetected(t *testing.T) {
	start := time.Unix(1000, 0)
	cases := []struct {
		name     string
		expected time.Duration
		fullPace bool
		percents []int32
		stalled  bool
	}{
		{"works", time.Second, true, []int32{0, 10, 20, 30, 40, 50, 60}, false},
		{"crawls", time.Second, true, []int32{0, 1, 2, 3, 4, 5, 6}, false},
		{"makes no progress", time.Second, true, []int32{20, 20, 20, 20, 20, 20}, true},
		{"never makes progress", time.Second, true, []int32{0, 0, 0, 0, 0, 0}, true},
		{"no progress, but not for long", time.Second, true, []int32{20, 20, 20, 20}, false},
		{"is paused", time.Second, false, []int32{20, 20, 20, 20, 20, 20}, false},
		{"a percent of a long task takes a while", time.Minute, true, []int32{1, 1, 1, 1, 1, 1}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewProgress()
			now := recordListings(p, start, c.fullPace, c.percents...)
			if got := p.Stalled(testRun, c.expected, now); got != c.stalled {
				t.Errorf("stalled %v", got)
			}
		})
	}
}

func TestRunWithoutNewListingsIsNotStalled(t *testing.T) {
	p := NewProgress()
	now := recordListings(p, time.Unix(1000, 0), true, 20)
	if p.Stalled(testRun, time.Second, now.Add(time.Minute)) {
		t.Error("a run without new listings counts as stalled")
	}
}

// Load pattern: one worker is ten times slower than the others, and the callers
// allow copies.
func TestStragglerGetsOneCopyElsewhere(t *testing.T) {
	w := newFixture(t, 2)
	w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 1000, EstimatedMs: 500, Speculative: true})
	first := w.plan()
	if len(first) != 1 {
		t.Fatalf("starts %v", first)
	}
	if again := w.plan(); len(again) > 0 {
		t.Fatalf("a copy of a run that is no straggler: %v", again)
	}
	w.stragglers = map[jobs.RunID]bool{first[0].Run: true}
	copies := w.plan()
	if len(copies) != 1 || copies[0].Worker == first[0].Worker || copies[0].Run.Number != 2 {
		t.Fatalf("copies %v of %v", copies, first)
	}
	w.stragglers[copies[0].Run] = true
	if more := w.plan(); len(more) > 0 {
		t.Errorf("a third run: %v", more)
	}
}

func TestStragglerIsARunThatACopyWouldOvertake(t *testing.T) {
	cases := []struct {
		name     string
		percents []int32
		behind   bool
	}{
		{"as expected", []int32{0, 50, 99}, false},
		{"slow but nearly done", []int32{0, 15, 30, 45, 60, 75, 90}, false},
		{"ten times slower", []int32{0, 5, 10, 15, 20, 25, 30}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewProgress()
			now := recordListings(p, time.Unix(1000, 0), true, c.percents...)
			if got := p.Behind(testRun, 500*time.Millisecond, now); got != c.behind {
				t.Errorf("behind %v", got)
			}
		})
	}
}
