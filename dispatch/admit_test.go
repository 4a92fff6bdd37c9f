package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

func TestAdmission(t *testing.T) {
	const needed, objective = 2 * time.Second, 4 * time.Second // worth nothing after 12 s
	cases := []struct {
		name    string
		backlog Backlog
		refuse  bool
		retry   time.Duration
	}{
		{"nothing waits", Backlog{Fits: true, Rate: 10}, false, 0},
		{"all that is ahead has its place", Backlog{Fits: true, Rate: 10, Ahead: 1000}, false, 0},
		{"late, but of some worth", Backlog{Fits: true, Rate: 10, Ahead: 80, Waiting: 9}, false, 0},
		{"too late by a rough estimate only", Backlog{Fits: true, Rate: 10, Ahead: 150, Waiting: 9}, false, 0},
		{"too late by any", Backlog{Fits: true, Rate: 10, Ahead: 250, Waiting: 9}, true, 23 * time.Second},
		{"the rate is not known", Backlog{Fits: true, Ahead: 250, Waiting: 9}, false, 0},
		{"larger than any worker", Backlog{Rate: 10}, true, unplaceableTry},
		{"a backlog of hours", Backlog{Fits: true, Rate: 1, Ahead: 9999, Waiting: 9}, true, largestRetry},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			verdict := Admit(c.backlog, needed, objective)
			if verdict.Refuse != c.refuse || verdict.RetryAfter != c.retry {
				t.Errorf("%+v", verdict)
			}
		})
	}
}

// judge returns the verdict on a job with one group.
func (w *world) judge(queue string, rate float64, group *api.TaskGroup) (verdict Verdict) {
	w.state.Read(func(view jobs.View) {
		s := Submission{QueueKey: queue, Queue: view.Queue(queue), Spec: &api.JobSpec{Groups: []*api.TaskGroup{group}}}
		verdict = Judge(view, w.input(), s, rate)
	})
	return verdict
}

// Load pattern: a burst of large batch jobs, twenty times what the workers do in
// the time that such a job counts.
func TestInABurstWhatComesTooLateIsRefusedAndTheRestIsNot(t *testing.T) {
	w := newWorld(t, 2)
	large := func() *api.TaskGroup { return &api.TaskGroup{Count: 20, MilliCpu: 2000, EstimatedMs: 1000} } // 40 core-seconds
	const rate = 20.0
	w.knowledge.Works.Learn(batchQueue, 40)
	taken := 0
	var last Verdict
	for range 100 {
		if last = w.judge(batchQueue, rate, large()); last.Refuse {
			break
		}
		w.submit(batchQueue, large())
		w.plan()
		taken++
	}
	// A job counts for 9 s, which is 180 core-seconds; twice that is doubt, and 20 cores work.
	if taken < 5 || taken > 14 || last.RetryAfter < time.Second || last.RetryAfter > 30*time.Second {
		t.Errorf("%d jobs were taken, the next one got %+v", taken, last)
	}
	if v := w.judge(urgentQueue, rate, &api.TaskGroup{Count: 2, MilliCpu: 500, EstimatedMs: 300}); v.Refuse {
		t.Errorf("an urgent job, which goes first, got %+v", v)
	}
	if v := w.judge(batchQueue, rate, &api.TaskGroup{Count: 1, MilliCpu: 500, EstimatedMs: 100}); v.Refuse {
		t.Errorf("a small job, which goes first, got %+v", v)
	}
	if v := w.judge(batchQueue, rate, &api.TaskGroup{Count: 1, MilliCpu: 500, LongRunning: true}); v.Refuse {
		t.Errorf("a job without an end got %+v", v)
	}
	if v := w.judge(batchQueue, rate, &api.TaskGroup{Count: 1, MilliCpu: 10_001, EstimatedMs: 100}); !v.Refuse {
		t.Error("a task larger than any worker was taken")
	}
}

func TestTheDrainRateForgets(t *testing.T) {
	var d DrainRate
	now := time.Unix(1000, 0)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		d.Learn(2, now)
	}
	if rate := d.PerSecond(now); rate < 18 || rate > 22 {
		t.Errorf("rate %.1f, want about 20", rate)
	}
	if rate := d.PerSecond(now.Add(3 * healthMemory)); rate > 2 {
		t.Errorf("rate %.1f after a pause", rate)
	}
}
