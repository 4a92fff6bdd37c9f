package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

func TestAdmission(t *testing.T) {
	const needed, objective = 2 * time.Second, 4 * time.Second // no value left after 12 s
	cases := []struct {
		name    string
		backlog Backlog
		refuse  bool
		retry   time.Duration
	}{
		{"nothing waits", Backlog{Fits: true, Rate: 10}, false, 0},
		{"no task of the work ahead waits", Backlog{Fits: true, Rate: 10, Ahead: 1000}, false, 0},
		{"late but not expired", Backlog{Fits: true, Rate: 10, Ahead: 80, Waiting: 9}, false, 0},
		{"too late, within the tolerance", Backlog{Fits: true, Rate: 10, Ahead: 150, Waiting: 9}, false, 0},
		{"too late, beyond the tolerance", Backlog{Fits: true, Rate: 10, Ahead: 250, Waiting: 9}, true, 23 * time.Second},
		{"unknown drain rate", Backlog{Fits: true, Ahead: 250, Waiting: 9}, false, 0},
		{"larger than any worker", Backlog{Rate: 10}, true, unplaceableRetryAfter},
		{"backlog of hours", Backlog{Fits: true, Rate: 1, Ahead: 9999, Waiting: 9}, true, maxRetryAfter},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			admission := AdmitBacklog(c.backlog, needed, objective)
			if admission.Refuse != c.refuse || admission.RetryAfter != c.retry {
				t.Errorf("%+v", admission)
			}
		})
	}
}

// admit returns the admission decision on a job with one group.
func (w *fixture) admit(queue string, rate float64, group *api.TaskGroup) (admission Verdict) {
	w.state.Read(func(view jobs.View) {
		s := Submission{QueueKey: queue, Queue: view.Queue(queue), Spec: &api.JobSpec{Groups: []*api.TaskGroup{group}}}
		admission = Admit(view, w.input(), s, rate)
	})
	return admission
}

// Load pattern: a burst of large batch jobs with twenty times the work that the
// workers can complete before such a job expires.
func TestBurstRefusesOnlyJobsThatWouldExpire(t *testing.T) {
	w := newFixture(t, 2)
	large := func() *api.TaskGroup { return &api.TaskGroup{Count: 20, MilliCpu: 2000, EstimatedMs: 1000} } // 40 core-seconds
	const rate = 20.0
	w.learned.QueueWork.Learn(batchQueue, 40)
	accepted := 0
	var last Verdict
	for range 100 {
		if last = w.admit(batchQueue, rate, large()); last.Refuse {
			break
		}
		w.submit(batchQueue, large())
		w.plan()
		accepted++
	}
	// A job expires after 9 s, which is 180 core-seconds at 20 cores; the tolerance doubles that.
	if accepted < 5 || accepted > 14 || last.RetryAfter < time.Second || last.RetryAfter > 30*time.Second {
		t.Errorf("%d jobs accepted, next one got %+v", accepted, last)
	}
	if v := w.admit(urgentQueue, rate, &api.TaskGroup{Count: 2, MilliCpu: 500, EstimatedMs: 300}); v.Refuse {
		t.Errorf("urgent job, which is placed first, got %+v", v)
	}
	if v := w.admit(batchQueue, rate, &api.TaskGroup{Count: 1, MilliCpu: 500, EstimatedMs: 100}); v.Refuse {
		t.Errorf("small job, which is placed first, got %+v", v)
	}
	if v := w.admit(batchQueue, rate, &api.TaskGroup{Count: 1, MilliCpu: 500, LongRunning: true}); v.Refuse {
		t.Errorf("long-running job got %+v", v)
	}
	if v := w.admit(batchQueue, rate, &api.TaskGroup{Count: 1, MilliCpu: 10_001, EstimatedMs: 100}); !v.Refuse {
		t.Error("task larger than any worker was accepted")
	}
}

func TestDrainRateDecays(t *testing.T) {
	var d DrainRate
	now := time.Unix(1000, 0)
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		d.Learn(2, now)
	}
	if rate := d.PerSecond(now); rate < 18 || rate > 22 {
		t.Errorf("rate %.1f, want about 20", rate)
	}
	if rate := d.PerSecond(now.Add(3 * healthTimeConstant)); rate > 2 {
		t.Errorf("rate %.1f after a pause", rate)
	}
}
