// Package timing holds waits that end with their context, and the random
// spread of periods and retries: many processes that wait for the same event
// would otherwise all act at once.
package timing

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d or until ctx ends, and reports whether ctx is still open.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// Jitter returns a random duration within the fraction of d, from 0 to 1, to
// either side of d.
func Jitter(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * (1 - fraction + 2*fraction*rand.Float64()))
}

// Backoff is the exponential backoff between retries. The pauses double from
// min to max. It is not safe for concurrent use.
type Backoff struct {
	min, max, pause time.Duration
}

// NewBackoff returns a Backoff whose first pause is up to min, and no pause
// longer than max.
func NewBackoff(min, max time.Duration) *Backoff {
	return &Backoff{min: min, max: max, pause: min}
}

// Next returns the time to wait before the next retry: a random one from half
// of the pause to the whole.
func (b *Backoff) Next() time.Duration {
	pause := b.pause
	b.pause = min(2*pause, b.max)
	return pause/2 + rand.N(pause/2+1)
}

// Reset begins again with the shortest pause, after a success.
func (b *Backoff) Reset() { b.pause = b.min }
