package dispatch

import (
	"math"
	"time"
)

// decayClock tracks the time up to which exponentially decayed sums are
// current.
type decayClock struct {
	at time.Time // up to which the sums are decayed
}

// advance moves the clock forward to now and returns the factor by which to
// multiply the sums: 1/e (about a third) for each time constant that has
// passed. It returns 1 if now is not later than the clock.
func (c *decayClock) advance(now time.Time, timeConstant time.Duration) float64 {
	if !now.After(c.at) {
		return 1
	}
	factor := 1.0
	if !c.at.IsZero() {
		factor = math.Exp(-float64(now.Sub(c.at)) / float64(timeConstant))
	}
	c.at = now
	return factor
}
