package jobcontrol

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
)

// Guards against reservations that are lost between plans, live for ever because their
// time does not pass, or stay lost after a change of leader.
func TestReservationsLastOverPlansAndAreMadeAgainByANewLeader(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.server.config.Policy.Reservations = 1
		r.configure()
		a := r.connect("a")
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 4, MilliCpu: 1000, EstimatedMs: 60_000}}}, accepted)
		r.wait(100 * time.Millisecond)
		spec := &api.JobSpec{Groups: []*api.TaskGroup{{Count: 1, MilliCpu: 4000, EstimatedMs: 1000}}}
		r.mustCall(submit, "/q/00000000000000bb", spec, accepted)
		due := func() time.Duration {
			t.Helper()
			a.report() // keeps the worker open
			r.wait(time.Second)
			var held []dispatch.Reservation
			r.withLeadership(func(l *leadership) { held = l.reservations.at(r.server.now()) })
			if len(held) != 1 || held[0].Group.Job != "00000000000000bb" {
				t.Fatalf("reservations %+v", held)
			}
			return held[0].Due
		}
		first := due()
		if passed := first - due(); passed < 900*time.Millisecond || passed > 1200*time.Millisecond {
			t.Errorf("the time of a reservation shrank by %v in a second", passed)
		}
		r.replica.lead(1, false)
		r.wait(100 * time.Millisecond)
		r.replica.lead(2, true)
		r.wait(100 * time.Millisecond)
		a.reconnect()
		due()
	})
}
