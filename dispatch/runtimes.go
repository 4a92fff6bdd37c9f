package dispatch

import (
	"math"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// RunTimes learns the durations of runs at full pace as distributions: by image
// where a group has one, shared by all queues that run it, and by queue otherwise.
// A distribution is relative to an estimate from the declared duration, as far as
// that is informative. RunTimes is not safe for concurrent use.
type RunTimes struct {
	durations *Durations // estimates by queue, while little is learnt
	learnt    map[runTimeKey]*runTime
	ends      int64 // learnt so far
	round     int64 // of saves
}

// runTimeKey names an image, or a queue for groups without an image.
type runTimeKey struct{ image, queue string }

// runTime is what is learnt of one key.
type runTime struct {
	estimates durationStats
	ratios    distribution // of observed durations to estimates
	lastEnd   int64        // number of the latest end

	unsaved    int64 // ends since the latest save
	savedRound int64 // of the latest save, 0 for none
}

const (
	// maxRunTimeKeys bounds the memory, at 600 bytes a key. The key that was learnt
	// longest ago gives way to a new one.
	maxRunTimeKeys = jobs.MaxRunTimeKeys
	// startLatency bounds the part of a run's age before it makes progress: the commit
	// on its way to the agent, and the call that starts the run.
	startLatency = 100 * time.Millisecond
	// minRateSpan is the shortest time of work from which a rate of progress is derived.
	// In a shorter one the unknown startLatency hides the rate.
	minRateSpan = 3 * startLatency
	// minIntervalShare is the share of observations between two bounds below which
	// their distribution there is not known.
	minIntervalShare = 0.001
	// narrowInterval is the ratio of two bounds up to which the distribution between them
	// does not matter: it moves a quantile by a tenth at most.
	narrowInterval = 1.2
	// maxRemaining keeps forecasts in the range of time.Duration.
	maxRemaining = 1000 * time.Hour
)

func newRunTimes(durations *Durations) *RunTimes {
	return &RunTimes{durations: durations, learnt: map[runTimeKey]*runTime{}}
}

func keyOf(queue string, group *api.TaskGroup) runTimeKey {
	if group.Image != "" {
		return runTimeKey{image: group.Image}
	}
	return runTimeKey{queue: queue}
}

// Learn adds the duration of a run that did all work of its task: its age when its
// end was committed, less the time lost to a lower pace.
func (t *RunTimes) Learn(queue string, group *api.TaskGroup, took time.Duration) {
	if group.EstimatedMs <= 0 || took <= 0 || group.LongRunning {
		return
	}
	key := keyOf(queue, group)
	known := t.learnt[key]
	if known == nil {
		if len(t.learnt) >= maxRunTimeKeys {
			t.dropOldest()
		}
		known = &runTime{ratios: priorDistribution}
		t.learnt[key] = known
	}
	t.ends++
	known.lastEnd = t.ends
	known.unsaved++
	x, y := logMS(group.EstimatedMs), math.Log(max(toMS(took), 1))
	known.ratios.learn(y - known.estimates.estimate(x, t.durations.logEstimate(queue, x)))
	known.estimates.learn(x, y)
}

func (t *RunTimes) dropOldest() {
	var oldest runTimeKey
	first := int64(math.MaxInt64)
	for key, known := range t.learnt {
		if known.lastEnd < first {
			oldest, first = key, known.lastEnd
		}
	}
	delete(t.learnt, oldest)
}

// expectedTimes is the distribution of the run times of a group.
type expectedTimes struct {
	ratios      *distribution
	estimate    float64 // milliseconds, that ratios are relative to
	logEstimate float64
}

// of returns the distribution for a group.
func (t *RunTimes) of(queue string, group *api.TaskGroup) expectedTimes {
	x := logMS(group.EstimatedMs)
	e := expectedTimes{ratios: &priorDistribution, logEstimate: t.durations.logEstimate(queue, x)}
	if known := t.learnt[keyOf(queue, group)]; known != nil {
		e.ratios, e.logEstimate = &known.ratios, known.estimates.estimate(x, e.logEstimate)
	}
	e.estimate = math.Exp(e.logEstimate)
	return e
}

// scaled returns the distribution for runs that take factor times as long.
func (e expectedTimes) scaled(factor float64) expectedTimes {
	e.estimate *= factor
	e.logEstimate += math.Log(factor)
	return e
}

// Remaining forecasts the time until a run ends, at its present pace. resumed tells
// that it began from a checkpoint.
func (t *RunTimes) Remaining(queue string, group *api.TaskGroup, status RunStatus, resumed bool) Band {
	return t.of(queue, group).remaining(status, resumed)
}

func (e expectedTimes) remaining(status RunStatus, resumed bool) Band {
	pace := float64(min(max(status.Pace, MinPace), FullPace)) / FullPace
	p := status.progress(resumed)
	low, high := p.bounds()
	likely, latest := e.quantiles(low, high)
	if p.span > 0 {
		latest = max(latest, p.total()) // short runs that started at once progress at this rate
	}
	remaining := func(total float64) time.Duration {
		return milliseconds(min(max(total*p.left-p.since, 0)/pace, toMS(maxRemaining)))
	}
	return Band{Likely: remaining(likely), Latest: remaining(latest)}
}

// observedProgress is what a status tells of the work of a run, with times at full
// pace in milliseconds.
type observedProgress struct {
	left    float64 // share of the work
	since   float64 // that is worked on since left was known
	least   float64 // duration of the whole run, as it has not ended yet
	span    float64 // of work, in which the run gained these percent; 0 if no rate is known
	gained  float64
	latency float64 // largest part of the span before the progress began
}

func (s RunStatus) progress(resumed bool) observedProgress {
	worked := toMS(max(s.Age-s.Lost, 0))
	if s.Percent <= 0 {
		return observedProgress{left: 1, since: worked, least: worked}
	}
	p := observedProgress{
		left:   float64(FullPace-min(s.Percent, FullPace)) / FullPace,
		since:  toMS(max(s.ListedAgo, 0)) * float64(min(max(s.Pace, 0), FullPace)) / FullPace,
		gained: float64(s.Percent - s.BasePercent),
	}
	p.span = worked - p.since - toMS(s.BaseAge)
	p.least = p.since
	fromStart := s.BasePercent == 0 && s.BaseAge == 0
	if fromStart && !resumed {
		p.least = worked
	}
	if p.span < toMS(minRateSpan) || p.gained <= 0 || fromStart && resumed {
		p.span = 0
	}
	if fromStart {
		p.latency = toMS(startLatency)
	}
	return p
}

// bounds returns the shortest and the longest duration of the whole run at full
// pace that its progress allows, in milliseconds. Percents are rounded, so each may
// be off by one.
func (p observedProgress) bounds() (low, high float64) {
	low, high = p.least, math.Inf(1)
	if p.left > 0 {
		low = max(low, p.since/p.left)
	}
	if p.span > 0 {
		low = max(low, FullPace*(p.span-p.latency)/(p.gained+1))
	}
	if p.span > 0 && p.gained > 1 {
		high = max(FullPace*p.span/(p.gained-1), low)
	}
	return low, high
}

// total returns the duration of the whole run at the rate of its progress.
func (p observedProgress) total() float64 { return FullPace * p.span / p.gained }

// quantiles returns the median and the ninth decile, in milliseconds, of durations
// between two bounds. Between close bounds, and where hardly any were seen, as on a
// worker that is slow, they are taken to be spread evenly.
func (e expectedTimes) quantiles(low, high float64) (median, decile float64) {
	if high <= narrowInterval*low {
		return evenQuantiles(low, high)
	}
	beyondLow, beyondHigh := 1.0, 0.0
	if low > 0 {
		beyondLow = e.shareBeyond(low)
	}
	if !math.IsInf(high, 1) {
		beyondHigh = e.shareBeyond(high)
		if beyondLow-beyondHigh < minIntervalShare {
			return evenQuantiles(max(low, high/2), high)
		}
	}
	within := beyondLow - beyondHigh
	at := func(quantile float64) float64 {
		return min(max(e.estimate*e.ratios.exceededBy(beyondLow-quantile*within), low), high)
	}
	return at(0.5), at(0.9)
}

func evenQuantiles(low, high float64) (median, decile float64) {
	return (low + high) / 2, low + 0.9*(high-low)
}

// shareBeyond returns the share of run times above a number of milliseconds.
func (e expectedTimes) shareBeyond(ms float64) float64 {
	return e.ratios.shareBeyond(math.Log(ms) - e.logEstimate)
}

// Parameters of the distinction between long tasks and stragglers.
const (
	minLearntTasks = 60   // before long tasks are known
	minLongShare   = 0.01 // of a key's tasks that take about as long; a third of the share of long tasks that was seen
	longTolerance  = 0.35 // of the logarithm, to either side
)

// InherentlyLong reports whether a run progresses at the usual rate of a long task
// of its kind, so that a copy of it would take as long. A run on a slow worker is at
// a rate that no task usually has.
func (t *RunTimes) InherentlyLong(queue string, group *api.TaskGroup, status RunStatus, resumed bool) bool {
	e := t.of(queue, group)
	p := status.progress(resumed)
	if p.span == 0 || e.ratios.weight < minLearntTasks {
		return false
	}
	ratio := math.Log(p.total()) - e.logEstimate
	return e.ratios.shareBeyond(ratio-longTolerance)-e.ratios.shareBeyond(ratio+longTolerance) >= minLongShare
}

func toMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
