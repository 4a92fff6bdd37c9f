package dispatch

import (
	"time"

	"amaranthpaddle/jobs"
)

// partialFits decides which best-effort tasks start where less CPU is unused than they
// declare. It handles gaps that small tasks leave and large ones cannot use: best-effort
// runs share what is unused, so a large task that starts in a gap works more slowly, and
// at full speed once runs beside it have ended.
type partialFits struct {
	least    float64 // share of its CPU that a task gets on average
	forecast *forecast
	ends     map[*load][]bestEffortEnd // filled on first use
}

// bestEffortEnd is the CPU that the end of a best-effort run leaves to others.
type bestEffortEnd struct {
	likely   time.Duration // from now
	milliCPU int64
}

const (
	// minUnusedNow is the share of its CPU that a task finds unused when it starts. It
	// bounds by how much the task slows down the runs beside it.
	minUnusedNow = 0.25
	// runTimeStep is the precision of the run time over which the CPU is averaged. Tasks
	// of one step are compared with the workers once in a plan.
	runTimeStep = 500 * time.Millisecond
)

// newPartialFits returns nil if the policy asks for whole fits.
func newPartialFits(view jobs.View, in Input) *partialFits {
	if in.Policy.PartialFit <= 0 || in.Policy.PartialFit >= 1 {
		return nil
	}
	return &partialFits{
		least: in.Policy.PartialFit, forecast: newForecast(view, in), ends: map[*load][]bestEffortEnd{},
	}
}

// runTime returns the time over which the CPU of a candidate's tasks is averaged, 0 for
// candidates that need a whole fit: what has lost its value slows down nothing.
func (f *partialFits) runTime(c candidate) time.Duration {
	if f == nil || c.lateness == expired {
		return 0
	}
	likely := milliseconds(f.forecast.in.Durations.Estimate(c.job.QueueKey, c.group.Spec.EstimatedMs))
	return likely.Truncate(runTimeStep) + runTimeStep
}

// allows reports whether a task of the candidate may start on a worker that has less
// unused CPU, in milli-cores, than it declares.
func (f *partialFits) allows(c candidate, l *load, unusedMilliCPU int64) bool {
	runTime := f.runTime(c)
	if runTime == 0 {
		return false
	}
	need, unused := float64(c.group.Spec.MilliCpu), float64(unusedMilliCPU)
	if unused < minUnusedNow*need {
		return false
	}
	return unused >= f.least*need || unused+f.freed(l, runTime) >= f.least*need
}

// freed returns the CPU, in milli-cores, that ends of best-effort runs on a worker add to
// its unused CPU, averaged over a time from now.
func (f *partialFits) freed(l *load, within time.Duration) (milliCPU float64) {
	for _, run := range f.endsOn(l) {
		if run.likely < within {
			milliCPU += float64(run.milliCPU) * float64(within-run.likely) / float64(within)
		}
	}
	return milliCPU
}

// endsOn returns the foreseeable ends of the best-effort runs on a worker. Runs that
// start in this plan have none.
func (f *partialFits) endsOn(l *load) []bestEffortEnd {
	ends, known := f.ends[l]
	if known {
		return ends
	}
	f.forecast.view.RunsOn(l.worker.Key, func(run jobs.RunID, group *jobs.Group) {
		if !group.Spec.BestEffort {
			return
		}
		if end, foreseeable := f.forecast.runEnd(run, group, l.worker.Rack); foreseeable {
			ends = append(ends, bestEffortEnd{end.Likely, group.Spec.MilliCpu})
		}
	})
	f.ends[l] = ends
	return ends
}
