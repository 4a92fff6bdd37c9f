package dispatch

import "time"

// Health rates workers by how often runs fail on them, compared with the rest
// of the fleet. It handles a worker that fails every run quickly: such a worker
// is free again at once and would attract ever more work. A job that fails on
// all workers, or a failure of the whole fleet, counts against no worker. It is
// not safe for concurrent use.
//
// A worker's own health report is only a hint. A worker that reports itself
// unhealthy has a fixed penalty until enough runs have ended on it, and needs
// fewer failures to become a suspect. If its runs succeed it is used in spite
// of the report; a worker whose runs fail is excluded even if it reports itself
// healthy.
type Health struct {
	workers   map[string]*failureRate
	fleet     failureRate
	unhealthy map[string]bool // workers that report themselves unhealthy
}

// failureRate is the exponentially weighted share of runs that failed.
type failureRate struct {
	failures, total float64
	clock           decayClock
}

// Health parameters.
const (
	healthTimeConstant = 4 * time.Second // weight of an old end drops to a third; an excluded worker is retried after a few of these
	minEnds            = 2.5             // weighted ends before the failure rate of a worker counts
	minEndsUnhealthy   = 0.7             // the same for a worker that reports itself unhealthy
	unhealthyPenalty   = 0.2             // of such a worker before its failure rate counts
	suspectThreshold   = 0.45            // excess of the failure rate over the rest of the fleet's, at which a worker gets no runs
	maxSuspectShare    = 0.34            // of the workers
)

// NewHealth returns a Health without observations.
func NewHealth() *Health {
	return &Health{workers: map[string]*failureRate{}, unhealthy: map[string]bool{}}
}

// SetSelfReport records whether a worker reports itself unhealthy.
func (h *Health) SetSelfReport(worker string, unhealthy bool) {
	if unhealthy {
		h.unhealthy[worker] = true
	} else {
		delete(h.unhealthy, worker)
	}
}

// Record records how a run ended on a worker.
func (h *Health) Record(worker string, failed bool, now time.Time) {
	rate := h.workers[worker]
	if rate == nil {
		rate = &failureRate{}
		h.workers[worker] = rate
	}
	rate.add(failed, now)
	h.fleet.add(failed, now)
}

func (r *failureRate) add(failed bool, now time.Time) {
	r.decay(now)
	r.total++
	if failed {
		r.failures++
	}
}

func (r *failureRate) decay(now time.Time) {
	factor := r.clock.advance(now, healthTimeConstant)
	r.failures *= factor
	r.total *= factor
}

// Penalty returns, from 0 to 1, by how much the failure rate of a worker
// exceeds that of the other workers.
func (h *Health) Penalty(worker string, now time.Time) float64 {
	rate, required, prior := h.workers[worker], minEnds, 0.0
	if h.unhealthy[worker] {
		required, prior = minEndsUnhealthy, unhealthyPenalty
	}
	if rate == nil {
		return prior
	}
	rate.decay(now)
	h.fleet.decay(now)
	if rate.total < required {
		return prior
	}
	elsewhere := 0.0
	if total := h.fleet.total - rate.total; total > 0 {
		elsewhere = max(h.fleet.failures-rate.failures, 0) / total
	}
	return min(max(rate.failures/rate.total-elsewhere, 0), 1)
}

// Suspects returns the workers that should get no runs for now. It returns none
// if they would exceed maxSuspectShare of the workers, since the cause is then
// probably not the workers.
func (h *Health) Suspects(now time.Time, workers []string) map[string]bool {
	suspects := map[string]bool{}
	for _, worker := range workers {
		if h.Penalty(worker, now) >= suspectThreshold {
			suspects[worker] = true
		}
	}
	if float64(len(suspects)) > maxSuspectShare*float64(len(workers)) {
		return nil
	}
	return suspects
}

// Forget drops the records of a worker that is gone.
func (h *Health) Forget(worker string) {
	delete(h.workers, worker)
	delete(h.unhealthy, worker)
}
