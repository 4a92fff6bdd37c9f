package dispatch

import (
	"math"

	"amaranthpaddle/api"
)

// Durations learns how long tasks take, by queue, from what is declared and
// what was seen. Declared durations are often far off, so for each queue it
// keeps a regression of the logarithms: where declarations say nothing, the
// queue's usual duration is expected. It is not safe for concurrent use.
type Durations struct {
	queues map[string]*durationStats
}

// durationStats are the moments of the logarithms, of declared (x) and seen (y)
// durations. Old ones count less.
type durationStats struct {
	weight       float64
	meanX, meanY float64
	varX, covXY  float64
}

// Parameters of the learning.
const (
	durationMemory = 400.0 // tasks, after which an old one counts a third
	priorTasks     = 6.0   // tasks as which the declaration itself counts
	shortestMS     = 10
)

// NewDurations returns Durations that know nothing.
func NewDurations() *Durations { return &Durations{queues: map[string]*durationStats{}} }

// Learn takes in the duration of a task that was done without interruption.
func (d *Durations) Learn(queue string, declaredMS, seenMS int64) {
	if declaredMS <= 0 || seenMS <= 0 {
		return
	}
	s := d.queues[queue]
	if s == nil {
		s = &durationStats{}
		d.queues[queue] = s
	}
	x, y := logMS(declaredMS), logMS(seenMS)
	s.weight = min(s.weight+1, durationMemory)
	rate := 1 / s.weight
	dx, dy := x-s.meanX, y-s.meanY
	s.meanX += rate * dx
	s.meanY += rate * dy
	s.varX += rate * (dx*dx*(1-rate) - s.varX)
	s.covXY += rate * (dx*dy*(1-rate) - s.covXY)
}

func logMS(ms int64) float64 { return math.Log(float64(max(ms, shortestMS))) }

// Expect returns the duration to expect of a task, in milliseconds.
func (d *Durations) Expect(queue string, declaredMS int64) float64 {
	x := logMS(declaredMS)
	s := d.queues[queue]
	if s == nil {
		return math.Exp(x)
	}
	slope := 0.0
	if s.varX > 0 {
		slope = min(max(s.covXY/s.varX, 0), 1)
	}
	learnt := s.meanY + slope*(x-s.meanX)
	trust := s.weight / (s.weight + priorTasks)
	return math.Exp(trust*learnt + (1-trust)*x)
}

// Of returns the duration to expect of a task of a group, in milliseconds, for
// jobs of one queue.
func (d *Durations) Of(queue string) func(*api.TaskGroup) float64 {
	return func(group *api.TaskGroup) float64 { return d.Expect(queue, group.EstimatedMs) }
}
