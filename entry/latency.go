package entry

import (
	"slices"
	"time"
)

// latencyWindowSize is the number of recent answers that a percentile is taken of.
const latencyWindowSize = 256

// latencyWindow holds the latencies of recent answers.
type latencyWindow struct {
	samples [latencyWindowSize]time.Duration
	count   int
	cached  time.Duration
}

// add records one latency.
func (w *latencyWindow) add(d time.Duration) {
	w.samples[w.count%latencyWindowSize] = d
	w.count++
	if w.count%(latencyWindowSize/8) == 0 {
		w.cached = w.percentile95()
	}
}

// p95 returns a recent 95th percentile, 0 until there are latencyWindowSize/8 samples.
func (w *latencyWindow) p95() time.Duration { return w.cached }

func (w *latencyWindow) percentile95() time.Duration {
	n := min(w.count, latencyWindowSize)
	sorted := slices.Clone(w.samples[:n])
	slices.Sort(sorted)
	return sorted[n*95/100]
}
