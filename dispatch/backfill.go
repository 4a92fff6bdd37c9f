package dispatch

import (
	"slices"
	"time"

	"amaranthpaddle/resource"
)

// heldBack reports whether a reservation keeps a task of the candidate off a worker on
// which it fits. It does not if the owner is less urgent, if the task certainly ends
// before the room is needed, or if it leaves enough room.
func (p *planner) heldBack(c candidate, l *load) bool {
	h := l.hold
	if h == nil || c.rank() < h.owner.rank() || h.Group == c.groupID() || p.passes(c, h) || h.yieldsTo(c) {
		return false
	}
	room := h.need.Add(demand(c.group.Spec)).Sub(h.passing)
	at, foreseen := p.reserver.forecast.roomAt(l, room)
	return !foreseen || at.Latest > h.At.Latest
}

// yieldsTo reports whether a reservation of a long-running task gives way to a task that
// can still be in time. The service loses the share of its time that it waits for, the
// job most of its value; a short task's room is also free again soon.
func (h *hold) yieldsTo(c candidate) bool {
	return h.owner.group.Spec.LongRunning && !c.group.Spec.LongRunning && c.lateness == inTime && c.rank() == h.owner.rank()
}

// passes reports whether a task of the candidate, started now, certainly ends before
// the room is needed.
func (p *planner) passes(c candidate, h *hold) bool {
	return !c.group.Spec.LongRunning && p.latestEnd(c) <= h.At.Latest
}

// latestEnd returns the time that a task of the candidate, started now, takes at most
// in nine of ten cases.
func (p *planner) latestEnd(c candidate) time.Duration {
	return p.in.Durations.RunTimes.Remaining(c.job.QueueKey, c.group.Spec, RunStatus{Pace: FullPace}, false).Latest
}

// countBackfill counts starts of a candidate on a worker that has a reservation of
// another group. A negative number reverts starts.
func (p *planner) countBackfill(c candidate, l *load, runs int) {
	h := l.hold
	if h == nil || h.Group == c.groupID() {
		return
	}
	if c.rank() >= h.owner.rank() {
		p.reserver.backfills += runs
	}
	if p.passes(c, h) {
		h.passing = h.passing.Add(times(demand(c.group.Spec), runs))
	}
}

// refusal is a demand that reservations keep from all workers with room.
type refusal struct {
	need   resource.Vector
	rank   int
	latest time.Duration
}

// noteRefused records that a demand fits only into reserved room.
func (r *reserver) noteRefused(c candidate, class placementClass, need resource.Vector, latest time.Duration) {
	if c.queue.Advice == nil && c.group.Spec.MaxPerWorker == 0 {
		r.refused[class] = append(r.refused[class], refusal{need, c.rank(), latest})
	}
}

// refuses reports whether reservations certainly keep a candidate from all workers with
// room: they keep off one that is no less urgent, demands no more and ends no later.
func (p *planner) refuses(c candidate, class placementClass, need resource.Vector) bool {
	r := p.reserver
	if r == nil || len(r.refused[class]) == 0 || len(r.of(c.groupID())) > 0 {
		return false
	}
	latest := p.refusalTime(c)
	return slices.ContainsFunc(r.refused[class], func(f refusal) bool {
		return f.need.Fits(need) && f.rank <= c.rank() && f.latest <= latest
	})
}

// refusalTime returns the latest end of a candidate's task, for the comparison of
// refusals. That of a long-running task is later than any other.
func (p *planner) refusalTime(c candidate) time.Duration {
	if c.group.Spec.LongRunning {
		return 1<<63 - 1
	}
	return p.latestEnd(c)
}
