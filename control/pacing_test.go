package control

import (
	"testing"
	"testing/synctest"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/resource"
)

func TestHeartbeatIntervalGrowsWithFleetAndStaysBelowLease(t *testing.T) {
	cases := []struct {
		sessions int
		want     time.Duration
	}{
		{0, 2 * time.Second}, {11, 2 * time.Second}, {276, 2 * time.Second}, {414, 3 * time.Second}, {550, 3985 * time.Millisecond}, {5000, 4 * time.Second},
	}
	for _, c := range cases {
		if got := heartbeatInterval(c.sessions).Truncate(time.Millisecond); got != c.want {
			t.Errorf("%d sessions: every %v, want %v", c.sessions, got, c.want)
		}
	}
	if late := time.Duration(float64(maxHeartbeatInterval) * (1 + heartbeatJitter)); late >= defaultLease {
		t.Errorf("a report may come %v after the last one, a lease lasts %v", late, defaultLease)
	}
}

func TestUsageSampleRateStaysBounded(t *testing.T) {
	for _, tasks := range []int{0, 100, 330, 9900, 50_000} {
		interval := usageInterval(tasks)
		if rate := float64(tasks) / interval.Seconds(); rate > samplesPerSecond || interval < minUsageInterval {
			t.Errorf("%d tasks: a sample every %v, %.0f a second", tasks, interval, rate)
		}
	}
}

func TestUsageIntervalFollowsTasksHoldingGrants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		agent := s.connect(t, testVM("vm", "a"), 1, nil)
		agent.next(t)
		p := batchPlan(1, 300, resource.Vector{MilliCPU: 10, MemoryMiB: 10})
		s.mustPost(t, operatorapi.PathPlan, "c1", encodePlan(t, p))
		time.Sleep(2 * idleInterval)
		agent.report()
		want := uint32(usageInterval(300).Milliseconds())
		agent.until(t, func(d *api.Directive) bool { return d.UsageMs == want })
	})
}
