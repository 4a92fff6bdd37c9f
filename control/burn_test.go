package control

import (
	"context"
	"net/http"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/burn"
	"amaranthpaddle/operatorapi"
)

// entryReport returns a report of requests that were all answered in time, now.
func entryReport(incarnation, sequence, requests uint64) *api.EntryReport {
	return &api.EntryReport{Entry: "entry-1", Incarnation: incarnation, Sequence: sequence, Counts: []*api.ServiceCounts{{
		Service: "ledger", MinuteUnix: time.Now().Unix(), Requests: requests, WithinObjective: requests,
	}}}
}

// lastRequests returns the requests that the burn report counts for the last six hours.
func (s *testServer) lastRequests(t *testing.T) uint64 {
	t.Helper()
	var report burn.Report
	if status, failure := s.request(t, http.MethodGet, operatorapi.PathBurn, "", nil, &report); status != http.StatusOK {
		t.Fatalf("%d %+v", status, failure)
	}
	return report.Services[0].Windows[2].Requests
}

func (s *testServer) mustReport(t *testing.T, report *api.EntryReport, want uint64) {
	t.Helper()
	ack, err := s.Report(context.Background(), report)
	if err != nil || ack.Sequence != want {
		t.Fatalf("acknowledged %v, %v; want %d", ack, err, want)
	}
}

func TestEntryReportsCountOnceAndLastOverASnapshot(t *testing.T) {
	s := newTestServer(t, Config{})
	s.mustPost(t, operatorapi.PathPlan, "c1", encodePlan(t, testPlan(1, 1)))
	s.mustReport(t, entryReport(9, 1, 5), 1)
	s.mustReport(t, entryReport(9, 1, 5), 1)
	s.mustReport(t, entryReport(9, 2, 3), 2)
	s.mustReport(t, entryReport(4, 1, 2), 1) // restarted; entries draw their incarnation at random
	damaged := entryReport(4, 2, 100)
	damaged.Counts[0].LatencyHistogram = []byte("damaged")
	s.mustReport(t, damaged, 2) // dropped, so that the entry can go on
	s.mustReport(t, entryReport(4, 3, 1), 3)
	if got := s.lastRequests(t); got != 11 {
		t.Errorf("%d requests, want 11", got)
	}
	snapshot, err := s.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.state.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	s.mustReport(t, entryReport(4, 3, 1), 3)
	if got := s.lastRequests(t); got != 11 {
		t.Errorf("%d requests after a restore, want 11", got)
	}
}

func TestTheBurnReportShowsTheJobsOfThePlan(t *testing.T) {
	s := newTestServer(t, Config{})
	s.mustPost(t, operatorapi.PathPlan, "c1", encodePlan(t, testPlan(1, 3)))
	report, err := s.BurnReport(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Jobs) != 1 || report.Jobs[0].Tasks != 3 || report.Jobs[0].State != burn.JobNoDeadline {
		t.Errorf("jobs %+v", report.Jobs)
	}
	s.mustPost(t, operatorapi.PathJobs+"sort/cancel", "c2", nil)
	if report, err = s.BurnReport(context.Background()); err != nil || report.Jobs[0].State != burn.JobStopped {
		t.Errorf("after cancel: %+v, %v", report, err)
	}
}
