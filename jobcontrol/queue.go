package jobcontrol

import (
	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// changeQueue holds the changes that wait for a batch, in order, and an index of
// the ends among them. It is guarded by leadership.mu.
type changeQueue struct {
	changes []*pendingChange
	ends    map[queuedEnd]struct{}
}

// queuedEnd identifies the end of a run on a worker's incarnation.
type queuedEnd struct {
	run    jobs.RunID
	worker string // key
}

func (q *changeQueue) add(p *pendingChange) {
	q.changes = append(q.changes, p)
	if end := p.change.GetEnd(); end != nil {
		if q.ends == nil {
			q.ends = map[queuedEnd]struct{}{}
		}
		q.ends[keyOfEnd(end)] = struct{}{}
	}
}

// take removes and returns at most limit changes from the front.
func (q *changeQueue) take(limit int) []*pendingChange {
	n := min(len(q.changes), limit)
	taken := q.changes[:n:n]
	q.changes = q.changes[n:]
	for _, p := range taken {
		if end := p.change.GetEnd(); end != nil {
			delete(q.ends, keyOfEnd(end))
		}
	}
	return taken
}

func (q *changeQueue) len() int { return len(q.changes) }

// hasEnd reports whether the end of a run on a worker's incarnation waits.
func (q *changeQueue) hasEnd(run jobs.RunID, worker string) bool {
	_, queued := q.ends[queuedEnd{run, worker}]
	return queued
}

func keyOfEnd(end *api.EndRun) queuedEnd { return queuedEnd{jobs.RunIDOf(end.Run), end.Worker} }
