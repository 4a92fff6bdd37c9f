package control

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/operatorapi"
)

func starts(d *api.Directive) bool { return len(d.Start) > 0 }

func TestAPlanIsPlacedStartedAndFinished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestServer(t, Config{})
		agent := s.connect(t, testVM("vm-1", "a"), 1, nil)
		agent.next(t)
		s.mustPost(t, operatorapi.PathPlan, "c1", encodePlan(t, testPlan(1, 1)))
		d := agent.until(t, starts)
		if len(d.Start) != 2 || !d.ZoneInService || d.LeaseMs == 0 || d.FreshMs == 0 {
			t.Fatalf("directive %v", d)
		}
		for _, start := range d.Start {
			key := runKey{start.Task, start.Generation}
			phase := api.TaskPhase_TASK_PHASE_RUNNING
			if start.Job == "sort" {
				phase = api.TaskPhase_TASK_PHASE_FINISHED
			}
			agent.report(inPhase(key, phase, ""))
		}
		synctest.Wait()
		var status operatorapi.Status
		s.request(t, http.MethodGet, operatorapi.PathStatus, "", nil, &status)
		if len(status.Jobs) != 1 || status.Jobs[0].State != "finished" {
			t.Fatalf("jobs %+v", status.Jobs)
		}
		agent.close()
		time.Sleep(time.Second)
	})
}
