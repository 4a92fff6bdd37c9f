package dispatch

import "amaranthpaddle/jobs"

// clearing holds the ranks of the groups that wait for room that several runs are giving
// way to (Worker.ClearingFor).
type clearing map[jobs.GroupID]int

// newClearing returns the groups for which workers are being cleared and that still wait.
// Room is kept for no others.
func newClearing(workers []Worker, waiting []candidate) clearing {
	c, cleared := clearing{}, map[jobs.GroupID]bool{}
	for i := range workers {
		for _, group := range workers[i].ClearingFor {
			cleared[group] = true
		}
	}
	for i := 0; len(cleared) > 0 && i < len(waiting); i++ {
		if group := waiting[i].groupID(); cleared[group] {
			c[group] = waiting[i].rank()
		}
	}
	return c
}

// isKept reports whether a worker is being cleared for a task that is at least as urgent
// as the candidate's. Urgency is that of the queue, and expired jobs come last: by
// value density, small jobs of the same queue would take each room that is cleared for
// a large task. That task itself starts when the runs have ended. Outside of a plan,
// without ranks, the room is kept from all.
func (p *planner) isKept(c candidate, l *load) bool {
	for _, group := range l.worker.ClearingFor {
		rank, waits := p.clearing[group]
		if p.clearing == nil || waits && rank <= c.rank() {
			return true
		}
	}
	return false
}
