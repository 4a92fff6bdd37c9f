package jobcontrol

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// Guards against a new leader that forecasts with declared durations, or knows no zones of
// jobs, until it has learnt them anew, and against saves of run times that no plan uses.
func TestNewLeaderKnowsRunTimesAndZones(t *testing.T) {
	for _, policy := range []dispatch.Policy{{}, {FairShares: true}} {
		inBubble(t, func(r *rig) {
			r.serve(policy)
			r.configure()
			a := r.connect("a")
			group := &api.TaskGroup{Count: 1, MilliCpu: 1000, EstimatedMs: 100, Image: "i"}
			forecast := func(learn int) (band dispatch.Band, zone string) {
				lead, err := r.server.currentLeadership()
				if err != nil {
					t.Fatal(err)
				}
				lead.mu.Lock()
				defer lead.mu.Unlock()
				for range learn {
					lead.knowledge.Durations.RunTimes.Learn("h /q/", group, 3*time.Second)
				}
				lead.assumed.Read(func(view jobs.View) { zone = view.Job(testJob).Zone })
				return lead.knowledge.Durations.RunTimes.Remaining("h /q/", group, dispatch.RunStatus{Pace: dispatch.FullPace}, false), zone
			}
			call := &api.JobCall{Host: "h", Path: testPath, Kind: submit, Spec: &api.JobSpec{Groups: []*api.TaskGroup{group}}, Zone: "za"}
			if _, err := r.server.Call(r.t.Context(), call); err != nil {
				t.Fatal(err)
			}
			before, _ := forecast(100)
			for range 5 {
				a.report()
				r.wait(time.Second)
			}
			r.replica.lead(2, false)
			r.wait(100 * time.Millisecond)
			r.replica.lead(3, true)
			r.wait(100 * time.Millisecond)
			after, zone := forecast(0)
			if same := (after.Likely - before.Likely).Abs() < 10*time.Millisecond; same != policy.Any() || zone != "za" {
				t.Errorf("%+v: forecast %v, by the last leader %v; zone %q", policy, after, before, zone)
			}
		})
	}
}
