// Package lease computes the expiry of VM leases. Holder and grantor each use
// their own monotonic clock; no clock reading crosses the network.
//
// The holder counts a lease from when it sent the renewal. The grantor counts it
// from when it answered, which is later, and adds a margin for the drift between
// the clocks. So when a lease has expired at the grantor, it has already expired
// at the holder.
package lease

import "time"

// Terms are the durations that grantor and holder agree on.
type Terms struct {
	Duration time.Duration // of one lease
	Margin   time.Duration // maximum by which the holder's clock may fall behind the grantor's during one Duration
}

// NewLeaderWait returns how long a new leader waits before it declares a VM lost
// from which it has received no report. A lease that the previous leader granted
// lasts at most this long, provided that a leader grants nothing once another one
// can be elected.
func (t Terms) NewLeaderWait() time.Duration { return t.Duration + t.Margin }

// Holder is the agent's side of a lease. The zero Holder holds no lease.
type Holder struct {
	expiry time.Time
}

// Renew records the answer to a renewal sent at sent. Answers may arrive in any
// order.
func (h *Holder) Renew(t Terms, sent time.Time) {
	if e := sent.Add(t.Duration); e.After(h.expiry) {
		h.expiry = e
	}
}

// Expiry returns when the lease ends. The agent passes it on to the worker.
func (h *Holder) Expiry() time.Time { return h.expiry }

// Valid reports whether the lease is held at now. It must be called immediately
// before each start, because the process may have been paused.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.expiry) }

// Grantor is the leader's side of a VM's lease.
type Grantor struct {
	expiry time.Time
}

// NewGrantor returns the initial Grantor of a VM for a leader elected at elected,
// which must assume that a lease was granted just before.
func NewGrantor(t Terms, elected time.Time) Grantor {
	return Grantor{expiry: elected.Add(t.NewLeaderWait())}
}

// Grant records that a renewal is answered at now. It must be called before the
// answer is sent.
func (g *Grantor) Grant(t Terms, now time.Time) {
	if e := now.Add(t.Duration + t.Margin); e.After(g.expiry) {
		g.expiry = e
	}
}

// Expired reports whether no holder can still hold the lease at now.
func (g *Grantor) Expired(now time.Time) bool { return !now.Before(g.expiry) }

// Expiry returns the time from which Expired is true.
func (g *Grantor) Expiry() time.Time { return g.expiry }
