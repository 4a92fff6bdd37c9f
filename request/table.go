package request

import (
	"container/heap"
	"time"

	"amaranthpaddle/fault"
)

// State is the state of an attempt at its agent.
type State int

// The states of an attempt.
const (
	Unknown  State = iota // never seen by this incarnation, or no longer retained
	Waiting               // admitted, not started; may still be fenced
	Running               // started; may have run
	Finished              // ran to its end
	Fenced                // did not run and never will
)

// String returns the name of s.
func (s State) String() string {
	names := [...]string{"unknown", "waiting", "running", "finished", "fenced"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Limits bound a Table.
type Limits struct {
	Attempts  int           // attempts kept at a time
	Bytes     int64         // answer bytes kept at a time
	Reserve   int64         // bytes set aside when an attempt with a kept answer is admitted
	Retention time.Duration // how long a kept attempt or a fence is remembered at least after its deadline or its end, whichever is later
}

// Parts of a table, as divisors, that are held free.
const (
	fenceShare = 8 // of the attempts, for fences
	smallShare = 4 // of the bytes, for the reservations of new attempts
)

// Table is an agent's memory of attempts. A is what the agent keeps of an
// answer. Times are on the agent's clock, counted from the start of its process.
type Table[A any] struct {
	limits  Limits
	records map[string]*record[A]
	expiry  expiryHeap[A]
	bytes   int64
}

type record[A any] struct {
	id       string
	state    State
	deadline time.Duration
	expires  time.Duration // valid once the state is final
	bytes    int64
	keep     time.Duration // how long the attempt is remembered, 0 when it is dropped at its end
	dropped  bool          // the answer did not fit
	answer   A
}

// NewTable returns an empty table.
func NewTable[A any](limits Limits) *Table[A] {
	return &Table[A]{limits: limits, records: make(map[string]*record[A])}
}

// Begin admits an attempt as Waiting. It is remembered, with its answer, for
// keep after its deadline or its end, and at least for the table's retention.
// With a keep of 0 it is dropped at its end: its outcome can't be looked up, which
// suits idempotent requests only. Errors: fault.Fenced when the attempt was
// fenced before it arrived, fault.Conflict when it arrives twice,
// fault.DeadlineNotRun after its deadline, and fault.Overloaded when the table is full.
func (t *Table[A]) Begin(now time.Duration, id string, deadline, keep time.Duration, answer A) error {
	t.expire(now)
	if r, known := t.records[id]; known {
		if r.state == Fenced {
			return fault.New(fault.Fenced, "the attempt was fenced")
		}
		return fault.New(fault.Conflict, "the attempt arrived twice")
	}
	if now >= deadline {
		return fault.New(fault.DeadlineNotRun, "the deadline passed before the attempt arrived")
	}
	reserve := int64(0)
	if keep > 0 {
		reserve = t.limits.Reserve
		keep = max(keep, t.limits.Retention)
	}
	if len(t.records) >= t.limits.Attempts-t.limits.Attempts/fenceShare || t.bytes+reserve > t.limits.Bytes {
		return fault.New(fault.Overloaded, "the table of attempts is full")
	}
	t.bytes += reserve
	t.records[id] = &record[A]{id: id, state: Waiting, deadline: deadline, bytes: reserve, keep: keep, answer: answer}
	return nil
}

// Start moves a waiting attempt to Running. It is called right before the first
// byte goes to the backend server; after it returns nil the attempt counts as
// run. Errors: fault.Fenced, and fault.DeadlineNotRun when now is at or past the deadline.
func (t *Table[A]) Start(now time.Duration, id string) error {
	r, known := t.records[id]
	if !known || r.state != Waiting {
		return fault.New(fault.Fenced, "the attempt may not start")
	}
	if now >= r.deadline {
		t.end(now, r, Fenced)
		return fault.New(fault.DeadlineNotRun, "the deadline passed before the attempt started")
	}
	r.state = Running
	return nil
}

// Abandon fences a waiting attempt, after which it never starts. It has no
// effect on an attempt in another state.
func (t *Table[A]) Abandon(now time.Duration, id string) {
	if r, known := t.records[id]; known && r.state == Waiting {
		t.end(now, r, Fenced)
	}
}

// Grow accounts for size bytes of a kept answer in total, and reports whether
// they fit; if not, the attempt's reservation is released and its answer is not kept.
func (t *Table[A]) Grow(id string, size int64) bool {
	r, known := t.records[id]
	if !known || r.keep == 0 || r.dropped {
		return false
	}
	more := size - r.bytes
	if more <= 0 {
		return true
	}
	if t.bytes+more > t.limits.Bytes-t.limits.Bytes/smallShare {
		t.bytes -= r.bytes
		r.bytes = 0
		r.dropped = true
		return false
	}
	t.bytes += more
	r.bytes = size
	return true
}

// Finish moves a running attempt to Finished, its answer being size bytes.
func (t *Table[A]) Finish(now time.Duration, id string, size int64) {
	r, known := t.records[id]
	if !known || r.state != Running {
		return
	}
	if size < r.bytes {
		t.bytes -= r.bytes - size
		r.bytes = size
	}
	t.end(now, r, Finished)
}

// Lookup returns the state of an attempt and what is kept of its answer. With
// fence, a waiting or absent attempt becomes Fenced, deadline being the
// attempt's own. An absent attempt is Unknown once its record may have expired.
func (t *Table[A]) Lookup(now time.Duration, id string, deadline time.Duration, fence bool) (State, A, bool) {
	t.expire(now)
	var none A
	r, known := t.records[id]
	if known {
		if fence && r.state == Waiting {
			t.end(now, r, Fenced)
		}
		return r.state, r.answer, r.keep > 0 && !r.dropped
	}
	if !fence || now >= deadline+t.limits.Retention || len(t.records) >= t.limits.Attempts {
		return Unknown, none, false
	}
	r = &record[A]{id: id, deadline: deadline, keep: t.limits.Retention}
	t.records[id] = r
	t.end(now, r, Fenced)
	return Fenced, none, false
}

// Len returns the number of attempts kept.
func (t *Table[A]) Len() int { return len(t.records) }

// Bytes returns the answer bytes kept or reserved.
func (t *Table[A]) Bytes() int64 { return t.bytes }

// end makes state final and schedules the record's removal.
func (t *Table[A]) end(now time.Duration, r *record[A], state State) {
	r.state = state
	if state == Fenced {
		t.bytes -= r.bytes
		r.bytes = 0
	}
	if r.keep == 0 {
		delete(t.records, r.id)
		return
	}
	r.expires = max(now, r.deadline) + r.keep
	heap.Push(&t.expiry, r)
}

func (t *Table[A]) expire(now time.Duration) {
	for len(t.expiry) > 0 && t.expiry[0].expires <= now {
		r := heap.Pop(&t.expiry).(*record[A])
		t.bytes -= r.bytes
		delete(t.records, r.id)
	}
}

// expiryHeap orders final records by the end of their retention.
type expiryHeap[A any] []*record[A]

func (h expiryHeap[A]) Len() int           { return len(h) }
func (h expiryHeap[A]) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap[A]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
}

// Push implements heap.Interface.
func (h *expiryHeap[A]) Push(x any) {
	r := x.(*record[A])
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap[A]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
