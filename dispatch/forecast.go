package dispatch

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// Band is a forecast of a time from now.
type Band struct {
	Likely time.Duration // median
	Latest time.Duration // not exceeded in nine of ten cases
}

// latestFactor is the ratio of the ninth decile of a task's duration to its median.
const latestFactor = 2.5

// runEnd returns the time until an active run ends. It returns false for a
// long-running task, which ends only when its job is cancelled.
func runEnd(view jobs.View, in Input, run jobs.RunID) (Band, bool) {
	job, group, _ := view.Run(run)
	if group == nil || group.Spec.LongRunning {
		return Band{}, false
	}
	expected := milliseconds(in.Durations.Estimate(job.QueueKey, group.Spec.EstimatedMs))
	status, _ := in.runStatus(run)
	return Band{
		Likely: max(expected-status.Age, 0),
		Latest: max(time.Duration(latestFactor*float64(expected))-status.Age, 0),
	}, true
}

// forecast predicts when workers have room, from the ends of the runs on them. It
// describes one view and is used within one plan.
type forecast struct {
	view jobs.View
	in   Input
	ends map[string][]roomEnd // by worker key, in order of Latest; filled on first use
}

// roomEnd is the room that the end of a run sets free.
type roomEnd struct {
	end  Band
	room resource.Vector
}

func newForecast(view jobs.View, in Input) *forecast {
	return &forecast{view: view, in: in, ends: map[string][]roomEnd{}}
}

// endsOn returns the foreseeable ends of the runs on a worker, the earliest first.
func (f *forecast) endsOn(worker string) []roomEnd {
	if ends, known := f.ends[worker]; known {
		return ends
	}
	var ends []roomEnd
	f.view.RunsOn(worker, func(run jobs.RunID, group *jobs.Group) {
		if end, foreseeable := runEnd(f.view, f.in, run); foreseeable {
			ends = append(ends, roomEnd{end, demand(group.Spec)})
		}
	})
	slices.SortFunc(ends, func(a, b roomEnd) int { return cmp.Compare(a.end.Latest, b.end.Latest) })
	f.ends[worker] = ends
	return ends
}

// roomAt returns when a worker has room for a demand, by the ends of the runs on
// it. It returns false if their ends do not free enough.
func (f *forecast) roomAt(l *load, need resource.Vector) (Band, bool) {
	free := l.free()
	var at Band
	for _, next := range f.endsOn(l.worker.Key) {
		if need.Fits(free) {
			return at, true
		}
		free = free.Add(next.room)
		at = Band{Likely: max(at.Likely, next.end.Likely), Latest: max(at.Latest, next.end.Latest)}
	}
	return at, need.Fits(free)
}
