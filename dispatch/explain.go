package dispatch

import (
	"amaranthpaddle/jobs"
)

// Obstacle is why a worker takes no task of a waiting group.
type Obstacle string

// The obstacles, in the order in which they are checked.
const (
	ObstacleClosed       Obstacle = "closed"       // not open, of another service, region or label, or at the limit per worker
	ObstacleMemory       Obstacle = "memory"       // or accelerators
	ObstacleCPU          Obstacle = "cpu"          // not enough is left beside what runs there
	ObstacleInterference Obstacle = "interference" // services there cannot spare the headroom
	ObstacleReserved     Obstacle = "reserved"     // the room is held for tasks of another group
)

// Explain counts the obstacles that keep waiting tasks from the workers, over all
// pairs of a waiting group and a worker.
func Explain(view jobs.View, in Input) map[Obstacle]int {
	p := newPlanner(view, in, nil)
	all := candidates(view, in)
	p.hold(all)
	obstacles := map[Obstacle]int{}
	for _, c := range all {
		if c.queue.Advice != nil || CountWaiting(c.group) == 0 {
			continue
		}
		spread := p.spreadOf(c)
		for _, l := range p.fleet.workers {
			if obstacle := p.obstacle(c, l, spread); obstacle != "" {
				obstacles[obstacle]++
			}
		}
	}
	return obstacles
}

// obstacle returns why a task of the candidate does not start on a worker, empty
// if it may.
func (p *planner) obstacle(c candidate, l *load, spread spread) Obstacle {
	group := c.group.Spec
	need, free := demand(group), l.free()
	switch {
	case !l.worker.Open || l.probation || p.isKept(c, l) || !l.worker.allows(c.queue, group) ||
		group.MaxPerWorker > 0 && spread.workers[l.worker.Key] >= int(group.MaxPerWorker):
		return ObstacleClosed
	case need.MemoryMiB > free.MemoryMiB || need.Accelerators > free.Accelerators:
		return ObstacleMemory
	case need.MilliCPU > free.MilliCPU || group.BestEffort && !hasUnclaimedCPU(c, l) && !p.partialFits.allows(c, l, unusedMilliCPU(l)) && !p.allowsBestEffort(c, l):
		return ObstacleCPU
	case group.BestEffort && !p.allowsBestEffort(c, l):
		return ObstacleInterference
	case p.heldBack(c, l):
		return ObstacleReserved
	}
	return ""
}
