package control

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/operatorapi"
)

// entryReport returns a report of requests in the current minute, all within the
// objective.
func entryReport(incarnation, sequence, requests uint64) *api.EntryReport {
	return &api.EntryReport{Entry: "e", Incarnation: incarnation, Sequence: sequence, Counts: []*api.ServiceCounts{{
		Service: "ledger", MinuteUnix: time.Now().Unix(), Requests: requests, WithinObjective: requests,
	}}}
}

func TestCountsSurviveRestartsSnapshotsAndDamagedReports(t *testing.T) {
	s := newTestServer(t, Config{})
	s.mustPost(t, operatorapi.PathPlan, "plan", encodePlan(t, testPlan(1, 1)))
	report := func(e *api.EntryReport) {
		t.Helper()
		if ack, err := s.Report(t.Context(), e); err != nil || ack.Sequence != e.Sequence {
			t.Fatalf("%v, %v", ack, err)
		}
	}
	check := func(want uint64) {
		t.Helper()
		answer, err := s.burnSource(t.Context())
		if err != nil || answer.Services[0].Windows[2].Requests != want {
			t.Fatalf("%+v, %v; want %d requests", answer, err, want)
		}
	}
	report(entryReport(9, 1, 5))
	report(entryReport(4, 1, 2)) // after a restart: an entry chooses its incarnation at random
	damaged := entryReport(4, 2, 100)
	damaged.Counts[0].LatencyHistogram = []byte("damaged")
	report(damaged)
	report(entryReport(4, 3, 1))
	check(8)
	snapshot, err := s.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.state.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	report(entryReport(4, 3, 1))
	check(8)
}
