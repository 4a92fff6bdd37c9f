// Package lease holds the arithmetic of VM leases. Holder and grantor each
// use their own monotonic clock; no clock reading crosses the network.
//
// The holder counts a lease from when it sent the renewal, the grantor from
// when it answered, which is later. The grantor adds a margin for the drift
// between the clocks. So at the moment the grantor takes a lease for expired,
// the holder has taken it for expired already.
package lease

import "time"

// Terms are the durations that grantor and holder agree on.
type Terms struct {
	Duration time.Duration // of one lease
	Margin   time.Duration // most that the holder's clock may fall behind the grantor's over one Duration
}

// NewLeaderWait returns how long a new leader waits before it takes a VM for
// lost of which it has heard nothing: leases that the former leader granted
// last at most so long. The former leader must not grant once another one can
// be elected.
func (t Terms) NewLeaderWait() time.Duration { return t.Duration + t.Margin }

// Holder is the agent's side of a lease. The zero Holder holds none.
type Holder struct {
	expiry time.Time
}

// Renew records an answer to the renewal that was sent at the time. Answers
// may arrive in any order.
func (h *Holder) Renew(t Terms, sent time.Time) {
	if e := sent.Add(t.Duration); e.After(h.expiry) {
		h.expiry = e
	}
}

// Expiry returns when the lease ends; it is passed down to the worker.
func (h *Holder) Expiry() time.Time { return h.expiry }

// Valid reports whether the lease is held at now. It must be asked right
// before each start, since the process may have been paused.
func (h *Holder) Valid(now time.Time) bool { return now.Before(h.expiry) }

// Grantor is the leader's side of a VM's lease.
type Grantor struct {
	expiry time.Time
}

// NewGrantor returns the grantor of a VM as a leader elected at the time must
// assume it: a lease was granted just before.
func NewGrantor(t Terms, elected time.Time) Grantor {
	return Grantor{expiry: elected.Add(t.NewLeaderWait())}
}

// Grant records that a renewal is answered at now. It must be called before
// the answer is sent.
func (g *Grantor) Grant(t Terms, now time.Time) {
	if e := now.Add(t.Duration + t.Margin); e.After(g.expiry) {
		g.expiry = e
	}
}

// Expired reports whether no holder can still hold the lease at now.
func (g *Grantor) Expired(now time.Time) bool { return !now.Before(g.expiry) }

// Expiry returns the time from which Expired is true.
func (g *Grantor) Expiry() time.Time { return g.expiry }
