package session

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/api"
)

func TestHolderNeverOutlivesTheGrant(t *testing.T) {
	rapid.Check(t, checkHolderNeverOutlivesTheGrant)
}

// checkHolderNeverOutlivesTheGrant simulates a grantor that counts each lease from
// its answer, with arbitrary delays in both directions and with late, lost and
// repeated directives. The holder's lease must never end after the grantor's.
func checkHolderNeverOutlivesTheGrant(t *rapid.T) {
	holder := NewHolder()
	start := time.Unix(1_000_000, 0)
	now := start
	workerClock := func() int64 { return now.Sub(start).Milliseconds() }
	granted := start // end of the longest lease granted so far
	var answers []*api.Directive
	for sequence := uint64(1); sequence <= 20; sequence++ {
		clock := workerClock()
		now = now.Add(delay(t))
		holder.RecordSent(sequence, now, clock)
		now = now.Add(delay(t))
		if rapid.Bool().Draw(t, "answered") {
			lease := rapid.Uint32Range(1, 10_000).Draw(t, "lease_ms")
			end := now.Add(time.Duration(lease) * time.Millisecond)
			if end.After(granted) {
				granted = end
			}
			answers = append(answers, &api.Directive{
				Acknowledged: sequence, LeaseMs: lease, FreshMs: lease, ZoneInService: true,
			})
		}
		if len(answers) > 0 && rapid.Bool().Draw(t, "received") {
			now = now.Add(delay(t))
			holder.ApplyDirective(answers[rapid.IntRange(0, len(answers)-1).Draw(t, "which")])
		}
		if holder.lease.Expiry().After(granted) {
			t.Fatalf("the holder's lease ends %v after the grant", holder.lease.Expiry().Sub(granted))
		}
		if end := start.Add(time.Duration(holder.WorkerLeaseUntil()) * time.Millisecond); end.After(granted) {
			t.Fatalf("the worker's lease ends %v after the grant", end.Sub(granted))
		}
		if holder.MayStart(granted) {
			t.Fatal("a start is allowed after the grant has ended")
		}
	}
}

func delay(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(0, 5000).Draw(t, "delay_ms")) * time.Millisecond
}

func TestHolderMayStart(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	granted := &api.Directive{Acknowledged: 1, LeaseMs: 10_000, FreshMs: 2_000, ZoneInService: true}
	cases := []struct {
		name      string
		directive *api.Directive
		after     time.Duration
		want      bool
	}{
		{"allows a start while the lease is valid and the zone is fresh", granted, time.Second, true},
		{"refuses once the freshness bound has passed", granted, 2 * time.Second, false},
		{"refuses when the zone is out of service", &api.Directive{Acknowledged: 1, LeaseMs: 10_000, FreshMs: 2_000}, 0, false},
		{"refuses when the VM drains", &api.Directive{Acknowledged: 1, LeaseMs: 10_000, FreshMs: 2_000, ZoneInService: true, Drain: true}, 0, false},
		{"refuses when the lease is shorter than the freshness bound", &api.Directive{Acknowledged: 1, LeaseMs: 500, FreshMs: 2_000, ZoneInService: true}, time.Second, false},
		{"grants nothing for a report that was not sent", &api.Directive{Acknowledged: 7, LeaseMs: 10_000, FreshMs: 2_000, ZoneInService: true}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			holder := NewHolder()
			holder.RecordSent(1, now, 0)
			holder.ApplyDirective(c.directive)
			if got := holder.MayStart(now.Add(c.after)); got != c.want {
				t.Errorf("MayStart = %v, want %v", got, c.want)
			}
		})
	}
}

func TestHolderDropsClockReadingsWhenWorkerRestarts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	holder := NewHolder()
	holder.RecordSent(1, now, 5_000_000)
	holder.WorkerRestarted()
	holder.ApplyDirective(&api.Directive{Acknowledged: 1, LeaseMs: 10_000, FreshMs: 2_000, ZoneInService: true})
	if holder.WorkerLeaseUntil() != 0 {
		t.Errorf("lease until %d on the restarted worker's clock", holder.WorkerLeaseUntil())
	}
}
