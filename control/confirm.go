package control

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/replica"
)

// confirmer keeps a recent proof that this replica leads and that its state is
// current: the time at which the latest successful quorum confirmation began.
type confirmer struct {
	node     replica.Node
	interval time.Duration

	mu      sync.Mutex
	began   time.Time
	changed chan struct{} // closed at the next confirmation
	demand  chan struct{} // a newer confirmation is waited for
}

func newConfirmer(node replica.Node, interval time.Duration) *confirmer {
	return &confirmer{node: node, interval: interval, changed: make(chan struct{}), demand: make(chan struct{}, 1)}
}

// run confirms on demand, no closer than confirmSpacing, and at least every
// interval, until ctx ends.
func (c *confirmer) run(ctx context.Context, term uint64) {
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
func (c *confirmer) confirm(ctx context.Context, term uint64) {
	began := time.Now()
	if !leads(c.node, term) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if _, err := c.node.ConfirmRead(ctx); err != nil || !leads(c.node, term) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began = began
	close(c.changed)
	c.changed = make(chan struct{})
}

func leads(node replica.Node, term uint64) bool {
	status := node.Status()
	return status.LeaderReady && status.Term == term
}

// reset forgets the confirmations of an earlier leadership.
func (c *confirmer) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began = time.Time{}
}

// wait returns the beginning of a confirmation that began after the time.
// It returns fault.NoQuorum when none comes.
func (c *confirmer) wait(ctx context.Context, notBefore time.Time) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		c.mu.Lock()
		began, changed := c.began, c.changed
		c.mu.Unlock()
		if began.After(notBefore) {
			return began, nil
		}
		signal(c.demand)
		select {
		case <-changed:
		case <-ctx.Done():
			return time.Time{}, fault.New(fault.NoQuorum, "leadership was not confirmed in time")
		}
	}
}
