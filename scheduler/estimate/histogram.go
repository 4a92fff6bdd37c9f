// Package estimate learns what tasks really need from what earlier tasks of
// the same job were seen to use: processor time, memory and run time. The
// declared sizes are a first guess only.
package estimate

import (
	"math"
	"time"
)

// Buckets grow by bucketGrowth from firstBucket, in the caller's unit.
const (
	firstBucket  = 10.0
	bucketGrowth = 1.05
	bucketCount  = 300 // up to about 2e6 times firstBucket
)

var logGrowth = math.Log(bucketGrowth)

// histogram counts values in exponential buckets. Weights halve every half-life, so
// old values count less. The zero histogram is empty.
type histogram struct {
	weights []float32 // allocated with the first value, up to the highest bucket in use
	total   float64
	decayed time.Time // up to which the weights are decayed
}

func bucketOf(value float64) int {
	if value <= firstBucket {
		return 0
	}
	return min(1+int(math.Log(value/firstBucket)/logGrowth), bucketCount-1)
}

// upperBound returns the largest value of the bucket.
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

// decayStep is how often the weights are decayed; between, new values are
// counted as if they had come at the last step.
const decayStep = time.Minute

func (h *histogram) decay(now time.Time, halfLife time.Duration) {
	if h.decayed.IsZero() {
		h.decayed = now
		return
	}
	age := now.Sub(h.decayed)
	if age < decayStep {
		return
	}
	factor := math.Exp2(-float64(age) / float64(halfLife))
	h.total = 0
	for i := range h.weights {
		h.weights[i] *= float32(factor)
		h.total += float64(h.weights[i])
	}
	h.decayed = now
}

// quantile returns the upper bound of the bucket that holds the quantile, or
// 0 when the histogram is empty.
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
