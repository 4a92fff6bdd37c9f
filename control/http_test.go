package control

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/burn"
	"amaranthpaddle/fault"
	"amaranthpaddle/operatorapi"
)

func TestFirstPlanWithANumberIsKept(t *testing.T) {
	s := newTestServer(t, Config{})
	first, other := encodePlan(t, testPlan(7, 1)), encodePlan(t, testPlan(7, 2))
	var answer, again operatorapi.PlanResult
	if status, failure := s.request(t, http.MethodPost, operatorapi.PathPlan, "c1", first, &answer); status != http.StatusOK {
		t.Fatalf("%d %+v", status, failure)
	}
	if status, failure := s.request(t, http.MethodPost, operatorapi.PathPlan, "c2", other, nil); status != http.StatusConflict || failure.Outcome != string(fault.OutcomeNotRun) {
		t.Fatalf("%d %+v", status, failure)
	}
	s.mustPost(t, operatorapi.PathPlan, "c3", encodePlan(t, testPlan(8, 1)))
	s.request(t, http.MethodPost, operatorapi.PathPlan, "c1", first, &again)
	if !again.Repeated || again.Digest != answer.Digest || again.Revision != answer.Revision || again.Number != 7 {
		t.Fatalf("first %+v, again %+v", answer, again)
	}
	if status, failure := s.request(t, http.MethodPost, operatorapi.PathPlan, "c4", encodePlan(t, testPlan(6, 1)), nil); status != http.StatusPreconditionFailed || failure.Kind != "stale" {
		t.Fatalf("%d %+v", status, failure)
	}
	var inForce operatorapi.PlanInForce
	if s.request(t, http.MethodGet, operatorapi.PathPlan, "", nil, &inForce); inForce.Number != 8 {
		t.Fatalf("in force %+v", inForce)
	}
}

func TestOneOfConcurrentPlansWithOneNumberIsAccepted(t *testing.T) {
	s := newTestServer(t, Config{})
	const operators = 8
	statuses := make([]int, operators)
	var wait sync.WaitGroup
	for i := range operators {
		body := encodePlan(t, testPlan(1, i+1))
		wait.Go(func() {
			var answer map[string]any
			statuses[i], _ = s.request(t, http.MethodPost, operatorapi.PathPlan, vmName(i), body, &answer)
		})
	}
	wait.Wait()
	won := 0
	for _, status := range statuses {
		switch status {
		case http.StatusOK:
			won++
		case http.StatusConflict:
		default:
			t.Errorf("status %d", status)
		}
	}
	if won != 1 {
		t.Fatalf("%d plans with one number were accepted", won)
	}
}

func TestResentChangeTakesEffectOnce(t *testing.T) {
	s := newTestServer(t, Config{})
	s.mustPost(t, operatorapi.PathPlan, "plan", encodePlan(t, testPlan(1, 1)))
	var first, again operatorapi.ChangeResult
	s.request(t, http.MethodPost, operatorapi.PathZones+"a/out", "c1", nil, &first)
	s.mustPost(t, operatorapi.PathZones+"a/in", "c2", nil)
	s.request(t, http.MethodPost, operatorapi.PathZones+"a/out", "c1", nil, &again)
	if !again.Repeated || again.Revision != first.Revision || !s.state.inService("a") {
		t.Fatalf("first %+v, again %+v, in service %v", first, again, s.state.inService("a"))
	}
	if status, failure := s.request(t, http.MethodPost, operatorapi.PathZones+"b/out", "c1", nil, nil); status != http.StatusConflict {
		t.Fatalf("%d %+v", status, failure)
	}
}

func TestFollowerReturnsLeaderAddress(t *testing.T) {
	s := newTestServer(t, Config{Peers: func(uint64) Peer { return Peer{OperatorAddress: "127.0.0.1:8"} }})
	s.node.setLeader(false)
	for _, path := range []string{operatorapi.PathStatus, operatorapi.PathPlan, operatorapi.PathTasks} {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		if w.Code != http.StatusMisdirectedRequest || w.Header().Get(operatorapi.HeaderLeader) != "127.0.0.1:8" {
			t.Errorf("%s: %d, leader %q", path, w.Code, w.Header().Get(operatorapi.HeaderLeader))
		}
	}
}

func TestReadsNeedAQuorum(t *testing.T) {
	s := newTestServer(t, Config{})
	s.node.setQuorum(false)
	for _, path := range []string{operatorapi.PathStatus, operatorapi.PathPlan, operatorapi.PathTasks} {
		if status, failure := s.request(t, http.MethodGet, path, "", nil, nil); failure.Kind != "no-quorum" {
			t.Errorf("%s: %d %+v", path, status, failure)
		}
	}
}

func TestInvalidChangesAreRefused(t *testing.T) {
	s := newTestServer(t, Config{})
	for _, call := range []struct {
		path, change, body string
		want               int
	}{
		{operatorapi.PathPlan, "", "{}", http.StatusBadRequest},
		{operatorapi.PathPlan, "c1", "not a plan", http.StatusBadRequest},
		{operatorapi.PathZones + "nowhere/out", "c2", "", http.StatusNotFound},
		{operatorapi.PathVMs + "nowhere/drain", "c3", "", http.StatusNotFound},
		{operatorapi.PathJobs + "nothing/cancel", "c4", "", http.StatusNotFound},
	} {
		if status, failure := s.request(t, http.MethodPost, call.path, call.change, []byte(call.body), nil); status != call.want {
			t.Errorf("%+v: %d %+v", call, status, failure)
		}
	}
}

func TestAnOperatorWithoutACredentialIsRefused(t *testing.T) {
	s := newTestServer(t, Config{Authorize: func(token string) error {
		if token == "secret" {
			return nil
		}
		return fault.New(fault.Unauthenticated, "token")
	}})
	r := httptest.NewRequest(http.MethodGet, operatorapi.PathStatus, nil)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	if w.Code != http.StatusUnauthorized {
		t.Errorf("status %d", w.Code)
	}
	r.Header.Set("Authorization", "Bearer secret")
	w = httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		t.Errorf("status %d", w.Code)
	}
}

func TestResentReportCountsOnce(t *testing.T) {
	s := newTestServer(t, Config{})
	s.mustPost(t, operatorapi.PathPlan, "plan", encodePlan(t, testPlan(1, 1)))
	report := &api.EntryReport{Entry: "e", Incarnation: 1, Sequence: 1, Revision: 1, Counts: []*api.ServiceCounts{{
		Service: "ledger", MinuteUnix: time.Now().Unix() / 60 * 60, Requests: 10, WithinObjective: 9,
	}}}
	for range 2 {
		if ack, err := s.Report(t.Context(), report); err != nil || ack.Sequence != 1 {
			t.Fatalf("%v, %v", ack, err)
		}
	}
	var answer burn.Report
	if status, failure := s.request(t, http.MethodGet, operatorapi.PathBurn, "", nil, &answer); status != http.StatusOK {
		t.Fatalf("%d %+v", status, failure)
	}
	if windows := answer.Services[0].Windows; windows[0].Requests != 10 {
		t.Fatalf("windows %+v", windows)
	}
}
