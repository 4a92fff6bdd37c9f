package dispatch

import "math"

// Parameters of distributions of durations relative to their estimates.
const (
	distributionBuckets = 64
	bucketWidth         = 0.1                                    // of the logarithm; about 10 percent of a duration
	lowestEdge          = -bucketWidth * distributionBuckets / 2 // a duration of 1/25 of the estimate; the highest edge is 25 times
	// priorDeviation is the standard deviation of the logarithm before anything is
	// learnt: the ninth decile is 2.5 times the median, as with declared durations
	// that are off by 0.7, the middle of what was seen.
	priorDeviation = 0.715
	// maxDistributionWeight bounds the memory in tasks. The rare long tasks, 3 of 100,
	// are 30 of them. With 400 tasks the ninth decile was off by up to 7 percent of the
	// ends, from chance alone.
	maxDistributionWeight = 1000.0
	// A small share of each observation goes to a Pareto tail, so that a run that has
	// outlived everything learnt is expected to last in proportion to its age.
	tailShare    = 0.002
	tailExponent = 2.0
)

// distribution is a decaying histogram of the logarithms of ratios, kept as the
// share of observations beyond the lower edge of each bucket.
type distribution struct {
	weight float64 // number of observations, the prior included
	beyond [distributionBuckets + 1]float64
}

func bucketEdge(i int) float64 { return lowestEdge + bucketWidth*float64(i) }

// priorDistribution is a log-normal one with median 1; tailBeyond is the tail.
var priorDistribution, tailBeyond = func() (d distribution, tail [distributionBuckets + 1]float64) {
	d.weight = priorTasks
	for i := range d.beyond {
		d.beyond[i] = math.Erfc(bucketEdge(i)/priorDeviation/math.Sqrt2) / 2
		tail[i] = math.Exp(-tailExponent * max(bucketEdge(i), 0))
	}
	d.beyond[0] = 1
	d.beyond[distributionBuckets/2] = 0.5
	return d, tail
}()

// learn adds an observation, spread over the width of a bucket around it.
func (d *distribution) learn(x float64) {
	d.weight = min(d.weight+1, maxDistributionWeight)
	rate := 1 / d.weight
	position := min(max((x-lowestEdge)/bucketWidth, 0.5), distributionBuckets-0.5) + 0.5
	for i := range d.beyond {
		beyond := min(max(position-float64(i), 0), 1)
		d.beyond[i] += rate * (max(beyond, tailShare*tailBeyond[i]) - d.beyond[i])
	}
}

// shareBeyond returns the share of observations that are larger than x.
func (d *distribution) shareBeyond(x float64) float64 {
	position := (x - lowestEdge) / bucketWidth
	if position <= 0 {
		return 1
	}
	i := int(min(position, distributionBuckets))
	if i >= distributionBuckets {
		return d.beyond[distributionBuckets] * math.Exp(-tailExponent*(x-bucketEdge(distributionBuckets)))
	}
	return d.beyond[i] + (position-float64(i))*(d.beyond[i+1]-d.beyond[i])
}

// edgeRatio is the ratio at each bucket's lower edge.
var edgeRatio = func() (ratios [distributionBuckets + 1]float64) {
	for i := range ratios {
		ratios[i] = math.Exp(bucketEdge(i))
	}
	return ratios
}()

// exceededBy returns the ratio that a share of the observations exceeds.
func (d *distribution) exceededBy(share float64) float64 {
	if last := d.beyond[distributionBuckets]; share <= last {
		return edgeRatio[distributionBuckets] * math.Pow(last/max(share, math.SmallestNonzeroFloat64), 1/tailExponent)
	}
	low, high := 0, distributionBuckets // beyond[low] >= share > beyond[high]
	for high-low > 1 {
		if middle := (low + high) / 2; d.beyond[middle] >= share {
			low = middle
		} else {
			high = middle
		}
	}
	part := (d.beyond[low] - share) / (d.beyond[low] - d.beyond[high])
	return edgeRatio[low] + part*(edgeRatio[high]-edgeRatio[low])
}
