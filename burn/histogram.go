package burn

import (
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthpaddle/fault"
)

// Latency buckets: each is a tenth wider than the one before. The bounds are
// whole numbers, so that every replica counts alike.
const (
	bucketCount      = 160
	firstBoundMicros = 100
)

// maxHistogramBytes limits an encoded histogram.
const maxHistogramBytes = 64 << 10

// maxSignificantDigits limits the memory that a decoded histogram takes.
const maxSignificantDigits = 3

// bounds holds the upper bound of each bucket, microseconds; the last bucket has none.
var bounds = latencyBounds()

func latencyBounds() [bucketCount]int64 {
	var b [bucketCount]int64
	b[0] = firstBoundMicros
	for i := 1; i < bucketCount; i++ {
		b[i] = b[i-1] + b[i-1]/10
	}
	return b
}

// histogram counts latencies by bucket, without the empty buckets.
type histogram map[uint8]uint64

// add counts n latencies of micros.
func (h histogram) add(micros int64, n uint64) {
	bucket := sort.Search(bucketCount-1, func(i int) bool { return micros <= bounds[i] })
	h[uint8(bucket)] += n
}

// merge adds the counts of other.
func (h histogram) merge(other histogram) {
	for bucket, n := range other {
		h[bucket] += n
	}
}

// quantile returns the upper bound, in milliseconds, of the bucket that holds
// the q quantile, at most a tenth above the true one; 0 when h is empty.
func (h histogram) quantile(q float64) float64 {
	const microsPerMilli = 1000
	var total uint64
	for _, n := range h {
		total += n
	}
	if total == 0 {
		return 0
	}
	var seen uint64
	for bucket := range bucketCount {
		seen += h[uint8(bucket)]
		if float64(seen) >= q*float64(total) {
			return float64(bounds[bucket]) / microsPerMilli
		}
	}
	return float64(bounds[bucketCount-1]) / microsPerMilli
}

// decodeHistogram reads an HDR histogram of microseconds in the V2 compressed
// encoding. Empty data is an empty histogram.
func decodeHistogram(data []byte) (histogram, error) {
	h := histogram{}
	if len(data) == 0 {
		return h, nil
	}
	if len(data) > maxHistogramBytes {
		return nil, fault.New(fault.TooLarge, "latency histogram")
	}
	decoded, err := hdrhistogram.Decode(data)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidArgument, err, "latency histogram")
	}
	if decoded.SignificantFigures() > maxSignificantDigits {
		return nil, fault.New(fault.InvalidArgument, "latency histogram is finer than it may be")
	}
	for _, bar := range decoded.Distribution() {
		if bar.Count > 0 {
			h.add(bar.To, uint64(bar.Count))
		}
	}
	return h, nil
}
