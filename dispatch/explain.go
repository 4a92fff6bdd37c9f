package dispatch

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/jobs"
)

// ObstacleNone counts the workers that have room for a group that an explanation was
// asked for, and against which nothing is known.
const ObstacleNone Obstacle = "none"

// Question is what to explain besides the sums.
type Question struct {
	Groups    []jobs.GroupID // that are explained one by one
	RackWaits []jobs.GroupID // groups with tasks that waited for a rack in the latest plan
}

// Waits tells what keeps waiting groups from starting.
type Waits struct {
	Obstacles                  // over all pairs of a waiting group and a worker
	Groups    map[Obstacle]int // groups by what keeps all workers from them
	Of        map[jobs.GroupID]GroupWait
}

// GroupWait tells what keeps one group from starting.
type GroupWait struct {
	Obstacles // by worker, empty unless the group is in the order of the plan
	// State is GroupReady for a group whose tasks may start now, GroupRunning if none
	// waits, and otherwise what keeps all workers from it.
	State Obstacle

	// The values that decide on the order and on what is ignored for the group's sake.
	Lateness            string
	Waited              time.Duration // 0 while a run of the job is active
	Starves             bool          // one task may start whatever it interferes with
	IgnoresInterference bool

	OnProbation, Paused int // waiting tasks
}

// Explain explains why waiting groups do not start. It compares each of them with each
// worker once and makes no plan: workers that the next plan fills count as they are now.
func Explain(view jobs.View, in Input, q Question) Waits {
	p := newPlanner(view, in, nil)
	all := candidates(view, in)
	p.hold(all)
	p.clearing = newClearing(in.Workers, all)
	w := Waits{Obstacles: newObstacles(), Groups: map[Obstacle]int{}, Of: map[jobs.GroupID]GroupWait{}}
	ordered := make(map[jobs.GroupID]bool, len(all))
	for _, c := range all {
		ordered[c.groupID()] = true
		if CountWaiting(c.group) > 0 {
			w.explain(p, c, q)
		} else if slices.Contains(q.Groups, c.groupID()) {
			w.Of[c.groupID()] = GroupWait{State: GroupRunning} // with a straggler to copy
		}
	}
	view.ActiveJobs(func(job *jobs.Job) {
		if !job.Phase.Ended() {
			w.countOutside(job, in, ordered, q)
		}
	})
	return w
}

// explain adds a candidate with waiting tasks.
func (w *Waits) explain(p *planner, c candidate, q Question) {
	id, state, advised := c.groupID(), Obstacle(GroupReady), true
	if slices.Contains(q.RackWaits, id) {
		state = WaitsForRack
	}
	if c.queue.Advice != nil {
		if c.tickets, advised = p.in.Tickets(c.queue, id); !advised {
			state = WaitsForAdvice
		}
	}
	if state != GroupReady {
		w.Groups[state]++
	}
	asked := slices.Contains(q.Groups, id)
	var found []Obstacle
	if advised {
		spread := p.spreadOf(c)
		apart := p.apartOf(c, spread)
		for _, l := range p.fleet.workers {
			obstacle := p.obstacle(c, l, spread, apart)
			if obstacle != "" {
				w.add(obstacle)
			}
			if asked {
				found = append(found, cmp.Or(obstacle, ObstacleNone))
			}
		}
	}
	if asked {
		w.Of[id] = p.waitOf(c, state, found)
	}
}

// waitOf returns the wait of a candidate from the obstacles of all workers.
func (p *planner) waitOf(c candidate, state Obstacle, found []Obstacle) GroupWait {
	wait := GroupWait{
		Obstacles: newObstacles(), State: state, Lateness: c.lateness.String(), Waited: c.waited,
		Starves: p.starves(c), IgnoresInterference: p.ignoresInterference(c),
	}
	wait.countHeld(c, p.in)
	for _, obstacle := range found {
		wait.add(obstacle)
	}
	return wait
}

// countHeld counts the waiting tasks that start apart or not yet.
func (w *GroupWait) countHeld(c candidate, in Input) {
	for i := range c.group.Tasks {
		if !needsRun(c.group, i) {
			continue
		}
		if onProbation(c.group, i) {
			w.OnProbation++
		}
		if in.Paused != nil && in.Paused(c.taskID(i)) {
			w.Paused++
		}
	}
}

// countOutside adds the groups of a job that are not in the order of the plan: those that
// are not ready, up to the first occurrence that is not due, and those with paused tasks only.
func (w *Waits) countOutside(job *jobs.Job, in Input, ordered map[jobs.GroupID]bool, q Question) {
	job.Unfinished(func(k int32, occurrence *jobs.Occurrence) bool {
		due, scheduled := job.DueMS(k)
		early := scheduled && in.UnixMS < due
		for g, group := range occurrence.Groups {
			c := candidate{job: job, occurrence: k, groupIndex: int32(g), group: group}
			if id := c.groupID(); !group.Done() && !ordered[id] {
				wait := GroupWait{State: c.stateOutside(occurrence, early, in)}
				if wait.State != GroupRunning {
					w.Groups[wait.State]++
				}
				if slices.Contains(q.Groups, id) {
					wait.countHeld(c, in)
					w.Of[id] = wait
				}
			}
		}
		return !early
	})
}

// stateOutside returns the state of a group that is not in the order of the plan.
func (c *candidate) stateOutside(occurrence *jobs.Occurrence, early bool, in Input) Obstacle {
	switch {
	case early:
		return GroupScheduled
	case !occurrence.Ready(c.group):
		return GroupBlocked
	case CountWaiting(c.group) == 0:
		return GroupRunning
	case c.anyStartable(in):
		return WaitsUnplanned
	}
	return WaitsPaused
}
