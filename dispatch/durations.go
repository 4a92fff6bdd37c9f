package dispatch

import (
	"math"

	"amaranthpaddle/api"
)

// Durations estimates task durations by queue from declared and observed
// durations. Declared durations are often far off, so it keeps a linear
// regression of the logarithms for each queue: where declared and observed
// durations do not correlate, the estimate is the queue's typical duration. It
// is not safe for concurrent use.
type Durations struct {
	RunTimes *RunTimes // distributions around the estimates, for forecasts
	queues   map[string]*durationStats
}

// durationStats holds exponentially weighted moments of the logarithms of
// declared (x) and observed (y) durations in milliseconds.
type durationStats struct {
	weight       float64
	meanX, meanY float64
	varX, covXY  float64
}

// Learning parameters.
const (
	maxDurationWeight = 400.0 // tasks; after as many more, the weight of a task has dropped to about a third
	priorTasks        = 6.0   // weight of the declared duration itself, in tasks
	minDurationMS     = 10
)

// NewDurations returns Durations without observations.
func NewDurations() *Durations {
	d := &Durations{queues: map[string]*durationStats{}}
	d.RunTimes = newRunTimes(d)
	return d
}

// Learn updates the regression of a queue with a task that completed without
// interruption.
func (d *Durations) Learn(queue string, declaredMS, observedMS int64) {
	if declaredMS <= 0 || observedMS <= 0 {
		return
	}
	s := d.queues[queue]
	if s == nil {
		s = &durationStats{}
		d.queues[queue] = s
	}
	s.learn(logMS(declaredMS), logMS(observedMS))
}

// learn updates the moments with the logarithms of a declared and an observed
// duration.
func (s *durationStats) learn(x, y float64) {
	s.weight = min(s.weight+1, maxDurationWeight)
	rate := 1 / s.weight
	dx, dy := x-s.meanX, y-s.meanY
	s.meanX += rate * dx
	s.meanY += rate * dy
	s.varX += rate * (dx*dx*(1-rate) - s.varX)
	s.covXY += rate * (dx*dy*(1-rate) - s.covXY)
}

func logMS(ms int64) float64 { return math.Log(float64(max(ms, minDurationMS))) }

// Estimate returns the estimated duration of a task, in milliseconds.
func (d *Durations) Estimate(queue string, declaredMS int64) float64 {
	return math.Exp(d.logEstimate(queue, logMS(declaredMS)))
}

// logEstimate returns the logarithm of the estimate for that of a declared duration.
func (d *Durations) logEstimate(queue string, x float64) float64 {
	if s := d.queues[queue]; s != nil {
		return s.estimate(x, x)
	}
	return x
}

// estimate returns the estimate for x. prior takes the place of what is learnt as
// long as there are few observations.
func (s *durationStats) estimate(x, prior float64) float64 {
	slope := 0.0
	if s.varX > 0 {
		slope = min(max(s.covXY/s.varX, 0), 1)
	}
	learnt := s.meanY + slope*(x-s.meanX)
	confidence := s.weight / (s.weight + priorTasks)
	return confidence*learnt + (1-confidence)*prior
}

// ForQueue returns a function that estimates the duration of a task of a group,
// in milliseconds, for jobs of the queue.
func (d *Durations) ForQueue(queue string) func(*api.TaskGroup) float64 {
	return func(group *api.TaskGroup) float64 { return d.Estimate(queue, group.EstimatedMs) }
}
