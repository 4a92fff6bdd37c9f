package jobcontrol

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/dispatch"
	"amaranthpaddle/telemetry"
)

// reservations holds the reservations of the last plan. They are soft state: a new
// leader starts without any, and its plans make them again.
type reservations struct {
	held      []dispatch.Reservation
	plannedAt time.Time // from when the times in held count
}

// at returns the reservations with the times that remain.
func (r *reservations) at(now time.Time) []dispatch.Reservation {
	held := slices.Clone(r.held)
	elapsed := now.Sub(r.plannedAt)
	for i := range held {
		held[i].At.Likely = max(held[i].At.Likely-elapsed, 0)
		held[i].At.Latest = max(held[i].At.Latest-elapsed, 0)
		held[i].Due -= elapsed
	}
	return held
}

// update replaces the reservations by those of a plan, and logs and counts what has
// changed. The lines are bounded: a reservation lasts for half a second or more, and
// the setting bounds their number.
func (r *reservations) update(schedule dispatch.Schedule, now time.Time) {
	for _, missed := range schedule.Missed {
		klog.InfoS("Reservation missed", "job", missed.Group.Job, "group", missed.Group.Group, "worker", missed.Worker,
			"tasks", missed.Tasks, "misses", missed.Misses+1)
	}
	telemetry.JobReservations.Add(len(schedule.Missed), "missed")
	before := map[dispatch.ReservationKey]bool{}
	for _, held := range r.held {
		before[held.Key()] = true
	}
	for _, missed := range schedule.Missed {
		delete(before, missed.Key()) // one in its place is new
	}
	for _, held := range schedule.Reservations {
		if before[held.Key()] {
			continue
		}
		telemetry.JobReservations.Add(1, "made")
		klog.InfoS("Reservation made", "job", held.Group.Job, "group", held.Group.Group, "worker", held.Worker, "tasks", held.Tasks,
			"likely_ms", held.At.Likely.Milliseconds(), "latest_ms", held.At.Latest.Milliseconds())
	}
	telemetry.JobTasksBackfilled.Add(schedule.Backfilled)
	r.held, r.plannedAt = schedule.Reservations, now
}
