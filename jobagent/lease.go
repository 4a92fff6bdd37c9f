package jobagent

import "time"

// lease returns the end of the incarnation's lease and whether it is held now. Agent.mu
// must be held.
func (w *incarnation) lease() (time.Time, bool) {
	return w.leaseUntil, w.agent.config.Clock().Before(w.leaseUntil)
}

// deadlineMS returns the end of the lease on the worker's clock, 0 when no lease
// is held or the worker's clock is not known. With any permitted clock drift, the
// worker reaches the deadline before the agent's lease ends. Agent.mu must be
// held.
func (w *incarnation) deadlineMS() int64 {
	until, held := w.lease()
	if !held || w.clockReadAt.IsZero() {
		return 0
	}
	remaining := min(until.Sub(w.agent.config.Clock()), w.agent.config.LeaseLimit)
	sinceRead := w.agent.config.Clock().Sub(w.clockReadAt)
	return w.clockMS + int64(minClockRate*float64((sinceRead+remaining).Milliseconds()))
}

// longestLease returns the longest time for which a worker's lease lasts on the agent's
// clock, whoever has sent it.
func (a *Agent) longestLease() time.Duration {
	return time.Duration(float64(a.config.LeaseLimit) / minClockRate)
}

// updateClock applies a reading of the worker's clock; earlier and missing
// readings are ignored. Until the first reading, which answers the first call, the worker
// carries out calls to earlier incarnations. The leases in them end on another clock, so
// it may hold the longest one that it grants. Agent.mu must be held.
func (w *incarnation) updateClock(clockMS int64) {
	if clockMS > 0 && w.clockReadAt.IsZero() {
		w.formerLeaseUntil = w.agent.config.Clock().Add(w.agent.longestLease())
		w.sentLeaseUntil = later(w.sentLeaseUntil, w.formerLeaseUntil)
	}
	if clockMS > 0 && (w.clockReadAt.IsZero() || clockMS >= w.clockMS) {
		w.clockMS, w.clockReadAt = clockMS, w.agent.config.Clock()
	}
}
