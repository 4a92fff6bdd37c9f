package estimate

import "time"

// Baseline tracks the latency of one service when nothing disturbs it, as a
// low quantile of what is measured, apart for each band of own load. The zero
// Baseline knows nothing.
type Baseline struct {
	bands [loadBands]band
}

type band struct {
	latency float64 // milliseconds
	samples int
}

const (
	loadBands        = 4
	baselineQuantile = 0.10
	baselineStep     = 0.02 // relative change by one sample
	firstSamples     = 10   // of which the lowest is taken
)

// Observe records a latency in milliseconds, measured while the instance used
// the share of its granted processor time, and returns the slowdown above
// the baseline: 0.2 is 20% slower.
func (b *Baseline) Observe(latency time.Duration, ownLoad float64) float64 {
	ms := float64(latency) / float64(time.Millisecond)
	d := &b.bands[min(max(int(ownLoad*loadBands), 0), loadBands-1)]
	d.observe(ms)
	return max(ms/d.latency-1, 0)
}

func (d *band) observe(ms float64) {
	d.samples++
	switch {
	case d.samples == 1:
		d.latency = ms
	case d.samples <= firstSamples:
		d.latency = min(d.latency, ms)
	case ms < d.latency:
		d.latency *= 1 - baselineStep*(1-baselineQuantile)
	default:
		d.latency *= 1 + baselineStep*baselineQuantile
	}
}
