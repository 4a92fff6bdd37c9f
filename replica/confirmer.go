package replica

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/fault"
)

// Times of confirmations.
const (
	confirmSpacing = 50 * time.Millisecond // at least, between confirmations; a fifth of the shortest bound that rests on one
	confirmTimeout = 2 * time.Second       // of one; longer than an election
)

// Confirmer keeps a recent proof that this replica leads and that its state is
// current: the time at which the latest successful quorum confirmation began.
type Confirmer struct {
	node     Node
	interval time.Duration
	clock    func() time.Time

	mu      sync.Mutex
	began   time.Time
	changed chan struct{} // closed at the next confirmation
	demand  chan struct{} // a newer confirmation is waited for
}

// NewConfirmer returns a Confirmer that confirms at least every interval and
// reads the time from clock.
func NewConfirmer(node Node, interval time.Duration, clock func() time.Time) *Confirmer {
	return &Confirmer{node: node, interval: interval, clock: clock, changed: make(chan struct{}), demand: make(chan struct{}, 1)}
}

// Run confirms on demand, no closer than confirmSpacing, and at least every
// interval, until ctx ends.
func (c *Confirmer) Run(ctx context.Context, term uint64) {
	idle := time.NewTicker(c.interval)
	defer idle.Stop()
	spacing := time.NewTicker(confirmSpacing)
	defer spacing.Stop()
	for {
		c.confirm(ctx, term)
		select {
		case <-ctx.Done():
			return
		case <-spacing.C:
		}
		select {
		case <-ctx.Done():
			return
		case <-c.demand:
		case <-idle.C:
		}
	}
}

// confirm counts a confirmation only if this replica led in the term before
// and after it: the node may have asked another leader otherwise.
func (c *Confirmer) confirm(ctx context.Context, term uint64) {
	began := c.clock()
	if !Leads(c.node, term) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if _, err := c.node.ConfirmRead(ctx); err != nil || !Leads(c.node, term) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began = began
	close(c.changed)
	c.changed = make(chan struct{})
}

// Leads reports whether the node leads in the term, with everything of earlier
// terms applied.
func Leads(node Node, term uint64) bool {
	status := node.Status()
	return status.LeaderReady && status.Term == term
}

// Began returns when the latest confirmation began, the zero time for none.
func (c *Confirmer) Began() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.began
}

// Reset forgets the confirmations of an earlier leadership.
func (c *Confirmer) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began = time.Time{}
}

// Wait returns the beginning of a confirmation that began after the time.
// It returns fault.NoQuorum when none comes.
func (c *Confirmer) Wait(ctx context.Context, notBefore time.Time) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		c.mu.Lock()
		began, changed := c.began, c.changed
		c.mu.Unlock()
		if began.After(notBefore) {
			return began, nil
		}
		select {
		case c.demand <- struct{}{}:
		default: // one is asked for already
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return time.Time{}, fault.New(fault.NoQuorum, "leadership was not confirmed in time")
		}
	}
}
