// Package estimate estimates the CPU, memory and run time that tasks need
// from the observed use of earlier tasks of the same job. The declared sizes
// and run times are only initial values.
package estimate

import (
	"math"
	"time"
)

// Bucket bounds start at firstBucket and grow by bucketGrowth, in the unit of
// the caller.
const (
	firstBucket  = 10.0
	bucketGrowth = 1.05
	bucketCount  = 300 // up to about 2e6 times firstBucket
)

var logGrowth = math.Log(bucketGrowth)

// histogram counts values in exponential buckets. Weights halve every
// half-life, so that old values count less. The zero histogram is empty.
type histogram struct {
	weights   []float32 // allocated on first use, up to the highest bucket in use
	total     float64
	decayedAt time.Time // time up to which the weights are decayed
}

func bucketOf(value float64) int {
	if value <= firstBucket {
		return 0
	}
	return min(1+int(math.Log(value/firstBucket)/logGrowth), bucketCount-1)
}

// upperBound returns the upper bound of the bucket.
func upperBound(bucket int) float64 {
	return firstBucket * math.Pow(bucketGrowth, float64(bucket))
}

func (h *histogram) add(now time.Time, halfLife time.Duration, value, weight float64) {
	h.decay(now, halfLife)
	b := bucketOf(value)
	for len(h.weights) <= b {
		h.weights = append(h.weights, 0)
	}
	h.weights[b] += float32(weight)
	h.total += weight
}

// decayInterval is how often the weights are decayed; in between, new values
// are counted as if they had arrived at the last decay.
const decayInterval = time.Minute

func (h *histogram) decay(now time.Time, halfLife time.Duration) {
	if h.decayedAt.IsZero() {
		h.decayedAt = now
		return
	}
	age := now.Sub(h.decayedAt)
	if age < decayInterval {
		return
	}
	factor := math.Exp2(-float64(age) / float64(halfLife))
	h.total = 0
	for i := range h.weights {
		h.weights[i] *= float32(factor)
		h.total += float64(h.weights[i])
	}
	h.decayedAt = now
}

// quantile returns the upper bound of the bucket that contains the quantile,
// or 0 if the histogram is empty.
func (h *histogram) quantile(q float64) float64 {
	if h.total <= 0 {
		return 0
	}
	threshold := q * h.total
	sum := 0.0
	for i, w := range h.weights {
		sum += float64(w)
		if sum >= threshold && w > 0 {
			return upperBound(i)
		}
	}
	return upperBound(len(h.weights) - 1)
}
