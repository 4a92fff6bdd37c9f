package dispatch

import (
	"math"
	"time"
)

// decayClock dates sums of which old parts count less.
type decayClock struct {
	at time.Time // to which the sums are decayed
}

// advance moves the clock on and returns the factor for the sums: after the
// memory, a part counts a third.
func (c *decayClock) advance(now time.Time, memory time.Duration) float64 {
	if !now.After(c.at) {
		return 1
	}
	factor := 1.0
	if !c.at.IsZero() {
		factor = math.Exp(-float64(now.Sub(c.at)) / float64(memory))
	}
	c.at = now
	return factor
}
