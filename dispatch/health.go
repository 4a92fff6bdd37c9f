package dispatch

import "time"

// Health judges workers by how their runs end, against their peers. The load
// pattern that it answers: a worker that fails whatever it starts is free again
// at once, and so draws ever more work. A job that fails everywhere, or a fault
// of the whole fleet, speaks against no worker. It is not safe for concurrent use.
//
// What a worker says of itself is weighed only: one that says that it is unhealthy is
// shut out after fewer bad ends, and comes after the others until then. One that
// says so and works is used; one that says that it is healthy and fails is not.
type Health struct {
	workers   map[string]*endRate
	fleet     endRate
	unhealthy map[string]bool // that say that they are unhealthy
}

// endRate is the share of bad ends, of which old ones count less.
type endRate struct {
	bad, all float64
	clock    decayClock
}

// Parameters of the judgement.
const (
	healthMemory       = 4 * time.Second // after which an end counts a third; a worker is tried again after some of these
	leastEnds          = 2.5             // weighed ends before a worker is judged
	leastEndsUnhealthy = 0.7             // of one that says that it is unhealthy
	unhealthyDistrust  = 0.2             // of such a worker before it is judged
	suspiciousGap      = 0.45            // share of bad ends above the fleet's, at which a worker gets nothing
	mostSuspects       = 0.34            // share of the workers that may be shut out at a time
)

// NewHealth returns a Health that knows nothing.
func NewHealth() *Health {
	return &Health{workers: map[string]*endRate{}, unhealthy: map[string]bool{}}
}

// Note takes in what a worker says of itself.
func (h *Health) Note(worker string, unhealthy bool) {
	if unhealthy {
		h.unhealthy[worker] = true
	} else {
		delete(h.unhealthy, worker)
	}
}

// Learn takes in how a run ended on a worker.
func (h *Health) Learn(worker string, bad bool, now time.Time) {
	rate := h.workers[worker]
	if rate == nil {
		rate = &endRate{}
		h.workers[worker] = rate
	}
	rate.add(bad, now)
	h.fleet.add(bad, now)
}

func (r *endRate) add(bad bool, now time.Time) {
	r.age(now)
	r.all++
	if bad {
		r.bad++
	}
}

func (r *endRate) age(now time.Time) {
	factor := r.clock.advance(now, healthMemory)
	r.bad *= factor
	r.all *= factor
}

// Distrust returns by how much more often than elsewhere runs end badly on a
// worker, from 0 to 1.
func (h *Health) Distrust(worker string, now time.Time) float64 {
	rate, least, unjudged := h.workers[worker], leastEnds, 0.0
	if h.unhealthy[worker] {
		least, unjudged = leastEndsUnhealthy, unhealthyDistrust
	}
	if rate == nil {
		return unjudged
	}
	rate.age(now)
	h.fleet.age(now)
	if rate.all < least {
		return unjudged
	}
	elsewhere := 0.0
	if all := h.fleet.all - rate.all; all > 0 {
		elsewhere = max(h.fleet.bad-rate.bad, 0) / all
	}
	return min(max(rate.bad/rate.all-elsewhere, 0), 1)
}

// Suspects returns the workers that should get nothing for now, the worst ones
// when there are too many: then the fault is rather elsewhere.
func (h *Health) Suspects(now time.Time, workers []string) map[string]bool {
	suspects := map[string]bool{}
	for _, worker := range workers {
		if h.Distrust(worker, now) >= suspiciousGap {
			suspects[worker] = true
		}
	}
	if float64(len(suspects)) > mostSuspects*float64(len(workers)) {
		return nil
	}
	return suspects
}

// Forget drops a worker that is gone.
func (h *Health) Forget(worker string) {
	delete(h.workers, worker)
	delete(h.unhealthy, worker)
}
