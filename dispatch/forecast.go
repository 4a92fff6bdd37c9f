package dispatch

import (
	"cmp"
	"math"
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

// stopBand is the time from the order to stop a run to the commit of its end. An
// agent's call to stop a run times out after 800 ms.
var stopBand = Band{Likely: 200 * time.Millisecond, Latest: time.Second}

// RunEnd returns the time until an active run on a worker of the given rack ends. It
// returns false for a long-running task, which ends only when it is stopped.
func RunEnd(view jobs.View, in Input, run jobs.RunID, rack string) (Band, bool) {
	job, group, task := view.Run(run)
	if group == nil {
		return Band{}, false
	}
	times := in.Durations.RunTimes.of(job.QueueKey, group.Spec)
	return endOf(in, run, job, group, task, times.scaled(in.Policy.RemoteFactor(group.Spec, rack)))
}

func endOf(in Input, run jobs.RunID, job *jobs.Job, group *jobs.Group, task *jobs.Task, times expectedTimes) (Band, bool) {
	status, known := in.runStatus(run)
	if !known {
		status.Pace = FullPace
	}
	stopping := status.Stopping || task.Done || job.Phase.Ended() || group.Broken(run.Number)
	if group.Spec.LongRunning {
		return stopBand, stopping
	}
	end := times.remaining(status, Resumed(task, run))
	if stopping {
		end = Band{Likely: min(end.Likely, stopBand.Likely), Latest: min(end.Latest, stopBand.Latest)}
	}
	return end, true
}

// Resumed reports whether a run began from a checkpoint.
func Resumed(task *jobs.Task, run jobs.RunID) bool { return run.Number > 1 && task.Checkpoint != "" }

// forecast predicts when workers have room, from the ends of the runs on them. It
// describes one view and is used within one plan.
type forecast struct {
	view   jobs.View
	in     Input
	ends   map[string]workerEnds // by worker key, filled on first use
	groups map[*jobs.Group]groupTimes
}

// groupTimes is what the forecasts for all runs of a group share.
type groupTimes struct {
	job   *jobs.Job
	times expectedTimes
}

// workerEnds are the foreseeable ends of the runs on a worker.
type workerEnds struct {
	byLikely, byLatest []roomEnd // the earliest first
}

// roomEnd is the room that the end of a run sets free.
type roomEnd struct {
	end  Band
	room resource.Vector
}

// compareRoom orders ends at the same time, so that a forecast does not depend on the
// order in which the runs are listed.
func (e roomEnd) compareRoom(other roomEnd) int {
	return cmp.Or(
		cmp.Compare(e.room.MilliCPU, other.room.MilliCPU),
		cmp.Compare(e.room.MemoryMiB, other.room.MemoryMiB),
		cmp.Compare(e.room.Accelerators, other.room.Accelerators),
	)
}

func newForecast(view jobs.View, in Input) *forecast {
	return &forecast{view: view, in: in, ends: map[string]workerEnds{}, groups: map[*jobs.Group]groupTimes{}}
}

// runEnd is as RunEnd, for a run of a group that is looked up already.
func (f *forecast) runEnd(run jobs.RunID, group *jobs.Group, rack string) (Band, bool) {
	shared, known := f.groups[group]
	if !known {
		shared.job = f.view.Job(run.Task.Job)
		if shared.job == nil {
			return Band{}, false
		}
		shared.times = f.in.Durations.RunTimes.of(shared.job.QueueKey, group.Spec)
		f.groups[group] = shared
	}
	return endOf(f.in, run, shared.job, group, group.Tasks[run.Task.Index],
		shared.times.scaled(f.in.Policy.RemoteFactor(group.Spec, rack)))
}

// endsOn returns the foreseeable ends of the runs on a worker.
func (f *forecast) endsOn(l *load) workerEnds {
	if ends, known := f.ends[l.worker.Key]; known {
		return ends
	}
	both := make([]roomEnd, 0, 2*l.runs)
	f.view.RunsOn(l.worker.Key, func(run jobs.RunID, group *jobs.Group) {
		if end, foreseeable := f.runEnd(run, group, l.worker.Rack); foreseeable {
			both = append(both, roomEnd{end, demand(group.Spec)})
		}
	})
	n := len(both)
	slices.SortFunc(both, func(a, b roomEnd) int {
		if a.end.Likely != b.end.Likely {
			return cmp.Compare(a.end.Likely, b.end.Likely)
		}
		return cmp.Or(cmp.Compare(a.end.Latest, b.end.Latest), a.compareRoom(b))
	})
	both = append(both, both...)
	slices.SortFunc(both[n:], func(a, b roomEnd) int {
		if a.end.Latest != b.end.Latest {
			return cmp.Compare(a.end.Latest, b.end.Latest)
		}
		return cmp.Or(cmp.Compare(a.end.Likely, b.end.Likely), a.compareRoom(b))
	})
	ends := workerEnds{byLikely: both[:n], byLatest: both[n:]}
	f.ends[l.worker.Key] = ends
	return ends
}

// roomAt returns when a worker has room for a demand, by the ends of the runs on
// it. It returns false if their ends do not free enough, and for a worker that is
// draining or out of service. On a worker whose capacity has shrunk, the runs beyond
// the capacity have to end first.
func (f *forecast) roomAt(l *load, need resource.Vector) (Band, bool) {
	if !l.worker.Open || !need.Fits(l.worker.Capacity) {
		return Band{}, false
	}
	free := l.free()
	if need.Fits(free) {
		return Band{}, true
	}
	ends := f.endsOn(l)
	latest, enough := fitsAfter(ends.byLatest, free, need)
	if !enough {
		return Band{}, false
	}
	likely, _ := fitsAfter(ends.byLikely, free, need)
	return Band{
		Likely: ends.byLikely[likely].end.Likely,
		Latest: ends.byLatest[latest].end.Latest + delayOfAll(ends.byLatest, latest),
	}, true
}

// The number of ends of n that come after their ninth deciles is about Poisson. With
// these means, nine of ten times none comes late, and no more than the spare ends.
const (
	lateIfNone    = 0.105
	lateIfSpare   = 0.55  // for each spare end
	lateByDecile  = 0.1   // share of the ends
	lnDecileDecay = 1.609 // logarithm of 5
)

// delayOfAll returns how much later several ends, up to the index last, are all
// there in nine of ten cases than the last of them is by itself. Other ends that are
// likely by then are spare. From Likely to Latest the share of runs that have not
// ended falls by a factor of 5, and on like that. Stops are bounded and have no delay.
func delayOfAll(ends []roomEnd, last int) time.Duration {
	end, spare := ends[last].end, 0
	if end.Latest == stopBand.Latest {
		return 0
	}
	for i := last + 1; i < len(ends); i++ {
		if ends[i].end.Likely <= end.Latest {
			spare++
		}
	}
	tolerated := (lateIfNone + lateIfSpare*float64(spare)) / float64(last+1+spare)
	if tolerated >= lateByDecile {
		return 0
	}
	return time.Duration(float64(end.Latest-end.Likely) * math.Log(lateByDecile/tolerated) / lnDecileDecay)
}

// fitsAfter returns the index of the end after which a demand fits, false if there
// is none.
func fitsAfter(ends []roomEnd, free, need resource.Vector) (int, bool) {
	for i := range ends {
		if free = free.Add(ends[i].room); need.Fits(free) {
			return i, true
		}
	}
	return 0, false
}
