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
			r.server.Stop()
			r.server = New(Config{Replica: r.replica, State: r.state, Lease: testLease, Clock: time.Now, UnixTime: time.Now, Policy: policy})
			r.server.Start()
			defer r.server.Stop()
			r.wait(100 * time.Millisecond)
			r.configure()
			a := r.connect("a")
			group := &api.TaskGroup{Count: 1, MilliCpu: 1000, EstimatedMs: 100, Image: "i"}
			likely := func() (band dispatch.Band) {
				lead, err := r.server.currentLeadership()
				if err != nil {
					t.Fatal(err)
				}
				lead.mu.Lock()
				defer lead.mu.Unlock()
				return lead.knowledge.Durations.RunTimes.Remaining("h /q/", group, dispatch.RunStatus{Pace: dispatch.FullPace}, false)
			}
			lead, _ := r.server.currentLeadership()
			lead.mu.Lock()
			for range 100 {
				lead.knowledge.Durations.RunTimes.Learn("h /q/", group, 3*time.Second)
			}
			lead.mu.Unlock()
			call := &api.JobCall{Host: "h", Path: testPath, Kind: submit, Spec: &api.JobSpec{Groups: []*api.TaskGroup{group}}, Zone: "za"}
			if _, err := r.server.Call(r.t.Context(), call); err != nil {
				t.Fatal(err)
			}
			for range 5 {
				a.report()
				r.wait(time.Second)
			}
			before := likely()
			r.replica.lead(2, false)
			r.wait(100 * time.Millisecond)
			r.replica.lead(3, true)
			r.wait(100 * time.Millisecond)
			if after := likely(); policy.Any() != ((after.Likely - before.Likely).Abs() < 10*time.Millisecond) {
				t.Errorf("%+v: forecast %v, by the last leader %v", policy, after, before)
			}
			lead, _ = r.server.currentLeadership()
			lead.assumed.Read(func(view jobs.View) {
				if zone := view.Job(testJob).Zone; zone != "za" {
					t.Errorf("zone %q", zone)
				}
			})
		})
	}
}
