package dispatch

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/jobs"
)

// ThrottledRun is a best-effort run that its agent slows down for the sake of
// services on the same worker.
type ThrottledRun struct {
	Run       jobs.RunID
	Since     time.Duration // for which it has been below relocationPace
	Pace      int32         // percent
	Remaining time.Duration // until it is done, at full pace
	Expected  time.Duration // duration of the whole task at full pace
}

// Parameters of relocation.
const (
	relocationPace  = 50              // percent; a run below it may be moved
	relocationDelay = time.Second     // below relocationPace, in which the load of a service may fall again
	relocationCost  = 2 * time.Second // until a moved run works again: stop, start and restoring its checkpoint
)

// Throttled reports whether a pace is low enough for a relocation.
func Throttled(pace int32) bool { return pace < relocationPace }

// Relocate returns the throttled runs to stop, so that they go on from their
// checkpoint on another worker.
//
// It handles groups whose last tasks crawl beside services while other workers
// have room: the job waits for its slowest task. A run is moved only if it is
// done earlier by that, and to room that no waiting task can use.
func Relocate(view jobs.View, in Input, throttled []ThrottledRun) []jobs.RunID {
	p := newPlanner(view, in, nil)
	if len(in.Reserved) > 0 {
		p.hold(candidates(view, in))
	}
	slices.SortFunc(throttled, func(a, b ThrottledRun) int {
		return cmp.Or(-cmp.Compare(a.gain(true), b.gain(true)), cmp.Compare(a.Run.String(), b.Run.String()))
	})
	var moved []jobs.RunID
	for _, run := range throttled {
		if p.relocate(run) {
			moved = append(moved, run.Run)
		}
	}
	return moved
}

// relocate reports whether a run is to be moved, and reserves the room for it.
func (p *planner) relocate(throttled ThrottledRun) bool {
	job, group, task := p.view.Run(throttled.Run)
	if group == nil || job.Phase.Ended() || task.Done || group.Spec.Gang || len(task.Runs) != 1 ||
		throttled.Since < relocationDelay || throttled.gain(group.Spec.Checkpointing) <= 0 {
		return false
	}
	id := throttled.Run.Task
	c := candidate{job: job, queue: p.view.QueueOf(job), occurrence: id.Occurrence, groupIndex: id.Group, group: group}
	if c.queue.Advice != nil {
		return false // each move would need another ticket
	}
	chosen, _ := p.choose(c, p.spreadOf(c), task.Runs, false)
	if chosen == nil {
		return false
	}
	p.fleet.add(chosen, group.Spec, 1)
	return true
}

// gain returns by how much earlier a run is done on another worker at full pace.
func (r ThrottledRun) gain(checkpointing bool) time.Duration {
	here := time.Duration(float64(r.Remaining) * FullPace / float64(max(r.Pace, 1)))
	there := r.Remaining
	if !checkpointing {
		there = r.Expected
	}
	return here - there - relocationCost
}
