package jobcontrol

import (
	"math"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// changeQueue holds the changes that wait for a batch, in order, and an index of
// the ends and of the begun jobs among them. It is guarded by leadership.mu.
type changeQueue struct {
	changes []*pendingChange
	ends    map[queuedEnd]struct{}
	begun   map[string]struct{} // ids of the jobs
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
	if begun := p.change.GetBegun(); begun != nil {
		if q.begun == nil {
			q.begun = map[string]struct{}{}
		}
		q.begun[begun.Run.Task.Job] = struct{}{}
	}
}

// takeAll removes and returns all changes.
func (q *changeQueue) takeAll() []*pendingChange { return q.take(len(q.changes), math.MaxInt) }

// take removes and returns changes from the front: at most limit, which together encode
// to at most maxBytes, but always the first one, even if it is larger.
func (q *changeQueue) take(limit, maxBytes int) []*pendingChange {
	n, size := 0, 0
	for n < min(len(q.changes), limit) {
		size += proto.Size(q.changes[n].change)
		if n > 0 && size > maxBytes {
			break
		}
		n++
	}
	taken := q.changes[:n:n]
	q.changes = q.changes[n:]
	for _, p := range taken {
		if end := p.change.GetEnd(); end != nil {
			delete(q.ends, keyOfEnd(end))
		}
		if begun := p.change.GetBegun(); begun != nil {
			delete(q.begun, begun.Run.Task.Job)
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

// hasBegun reports whether the news waits that a job has begun.
func (q *changeQueue) hasBegun(job string) bool {
	_, queued := q.begun[job]
	return queued
}

func keyOfEnd(end *api.EndRun) queuedEnd { return queuedEnd{jobs.RunIDOf(end.Run), end.Worker} }
