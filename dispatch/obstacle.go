package dispatch

import (
	"slices"

	"amaranthpaddle/jobs"
)

// Obstacle is why a worker takes no task of a waiting group, or why no worker does.
type Obstacle string

// The obstacles of pairs of a group and a worker, in the order in which they are checked.
const (
	ObstacleClosed       Obstacle = "closed"       // not open, of another service, region or label, or at the limit per worker
	ObstacleAdvice       Obstacle = "advice"       // no ticket of the queue's adviser
	ObstacleMemory       Obstacle = "memory"       // or accelerators
	ObstacleCPU          Obstacle = "cpu"          // not enough is left beside what runs there
	ObstacleInterference Obstacle = "interference" // services there cannot spare the headroom
	ObstacleReserved     Obstacle = "reserved"     // the room is held for tasks of another group
	// ObstacleHeld is for workers that have room and that the plan doesn't use: the room
	// is kept for other work by a reservation of this plan, or too little for a whole gang, the task waits for the rack
	// of its data, or it is on probation.
	ObstacleHeld Obstacle = "held"
)

// Details of ObstacleClosed that Worker.Closed tells of a worker that is not open.
const (
	ClosedSession     Obstacle = "session"     // its agent has none that reports on this incarnation
	ClosedLease       Obstacle = "lease"       // too little of its agent's lease remains
	ClosedDraining    Obstacle = "draining"    // by its own word
	ClosedLeaving     Obstacle = "leaving"     // its agent stops
	ClosedZone        Obstacle = "zone"        // its zone is out of service
	ClosedUnreachable Obstacle = "unreachable" // it refuses the calls of its agent
	ClosedUnanswered  Obstacle = "unanswered"  // it leaves calls of its agent unanswered
	ClosedSuspect     Obstacle = "suspect"     // its runs fail more often than those on other workers
	ClosedUnbooked    Obstacle = "unbooked"    // it lists a run that is not counted on it
	ClosedMaintenance Obstacle = "maintenance" // of its VM
)

// Details of ObstacleClosed for open workers.
const (
	ClosedService   Obstacle = "service"   // it belongs to another service
	ClosedLabel     Obstacle = "label"     // it lacks the required one
	ClosedRegion    Obstacle = "region"    // the queue allows others only
	ClosedProbation Obstacle = "probation" // it is starting a task on probation
	ClosedKept      Obstacle = "kept"      // runs there give way to a task of another group
	ClosedRuns      Obstacle = "runs"      // it, or the fleet, holds as many runs as it may
	ClosedLimit     Obstacle = "limit"     // it holds as many tasks of the group as it may
)

// Details of ObstacleHeld for tasks on probation.
const (
	HeldStarting       Obstacle = "starting"        // the worker is starting another run
	HeldProbationShare Obstacle = "probation-share" // enough other workers are starting tasks on probation
	HeldCrashed        Obstacle = "crashed"         // the worker has crashed under the task, and others may take it
)

// The obstacles of whole groups, with GroupBlocked and GroupScheduled.
const (
	WaitsForAdvice Obstacle = "advice"    // the queue's adviser has given no tickets
	WaitsPaused    Obstacle = "paused"    // all waiting tasks pause after crashes
	WaitsUnplanned Obstacle = "unplanned" // the plan of the job ends by a panic
	WaitsForRack   Obstacle = "rack"      // tasks wait for the rack of their data or peers
)

// class returns the obstacle that a detail belongs to, and the obstacle itself if it is
// no detail.
func (o Obstacle) class() Obstacle {
	switch o {
	case ClosedSession, ClosedLease, ClosedDraining, ClosedLeaving, ClosedZone, ClosedUnreachable, ClosedUnanswered,
		ClosedSuspect, ClosedUnbooked, ClosedMaintenance,
		ClosedService, ClosedLabel, ClosedRegion, ClosedProbation, ClosedKept, ClosedLimit:
		return ObstacleClosed
	case HeldStarting, HeldProbationShare, HeldCrashed:
		return ObstacleHeld
	}
	return o
}

// Obstacles counts the obstacles of pairs of a group and a worker.
type Obstacles struct {
	Workers map[Obstacle]int // by obstacle, without details
	Details map[Obstacle]int // of those that are closed or held, as far as known
}

func newObstacles() Obstacles {
	return Obstacles{Workers: map[Obstacle]int{}, Details: map[Obstacle]int{}}
}

// add counts an obstacle.
func (o Obstacles) add(obstacle Obstacle) {
	class := obstacle.class()
	if o.Workers[class]++; class != obstacle {
		o.Details[obstacle]++
	}
}

// apart tells how the waiting tasks of a group start if all of them are on probation.
type apart struct {
	all     bool       // the waiting tasks are on probation, all that are not paused
	avoided []jobs.Run // workers that have crashed under the first of them
}

func (p *planner) apartOf(c candidate, spread spread) (a apart) {
	first := -1
	for i := range c.group.Tasks {
		if !needsRun(c.group, i) || !c.startable(i, p.in) {
			continue
		}
		if !onProbation(c.group, i) {
			return apart{}
		}
		if first < 0 {
			first = i
		}
	}
	if first < 0 {
		return apart{}
	}
	return apart{all: true, avoided: p.avoidCrashed(c, first, spread, nil)}
}

// obstacle returns why a task of the candidate does not start on a worker, in detail,
// empty if it may.
func (p *planner) obstacle(c candidate, l *load, spread spread, a apart) Obstacle {
	if closed := p.closed(c, l, spread); closed != "" {
		return closed
	}
	group := c.group.Spec
	need, free := demand(group), l.free()
	switch {
	case c.queue.Advice != nil && c.tickets[l.worker.Key] == "":
		return ObstacleAdvice
	case need.MemoryMiB > free.MemoryMiB || need.Accelerators > free.Accelerators:
		return ObstacleMemory
	case need.MilliCPU > free.MilliCPU || group.BestEffort && !hasUnclaimedCPU(c, l) && !p.partialFits.allows(c, l, unusedMilliCPU(l)) && !p.allowsBestEffort(c, l):
		return ObstacleCPU
	case group.BestEffort && !p.allowsBestEffort(c, l):
		return ObstacleInterference
	case p.heldBack(c, l):
		return ObstacleReserved
	case a.all && l.starting > 0:
		return HeldStarting
	case a.all && !p.fleet.allowsProbation(l):
		return HeldProbationShare
	case slices.ContainsFunc(a.avoided, func(run jobs.Run) bool { return run.Worker == l.worker.Key }):
		return HeldCrashed
	}
	return ""
}

// closed returns why a worker is closed to the candidate, empty if it is not.
func (p *planner) closed(c candidate, l *load, spread spread) Obstacle {
	w, group := l.worker, c.group.Spec
	switch {
	case c.queue.Service != w.Service:
		return ClosedService
	case !w.Open && w.Closed != "":
		return w.Closed
	case !w.Open:
		return ObstacleClosed
	case group.RequiredLabel != "" && !slices.Contains(w.Labels, group.RequiredLabel):
		return ClosedLabel
	case !w.allows(c.queue, group):
		return ClosedRegion
	case l.probation:
		return ClosedProbation
	case p.isKept(c, l):
		return ClosedKept
	case p.atRunLimit(c, l):
		return ClosedRuns
	case group.MaxPerWorker > 0 && spread.workers[w.Key] >= int(group.MaxPerWorker):
		return ClosedLimit
	}
	return ""
}
