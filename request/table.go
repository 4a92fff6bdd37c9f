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
	Unknown  State = iota // never seen by this incarnation of the agent, or no longer retained
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

// Limits are the limits of a Table.
type Limits struct {
	Attempts  int           // attempts kept at a time
	Bytes     int64         // answer bytes kept at a time
	Reserve   int64         // bytes reserved when an attempt whose answer is kept is admitted
	Retention time.Duration // minimum time that a kept attempt or a fence is retained after its deadline or its end, whichever is later
}

// Headroom of a table, each as a divisor of its limit.
const (
	fenceDivisor       = 8 // of the attempts, which only fences may use
	reservationDivisor = 4 // of the bytes, which only reservations of new attempts may use
)

// Table holds an agent's attempts, their states and their answers. A is the type
// of what the agent keeps of an answer. Times are on the agent's clock, measured
// from the start of its process.
type Table[A any] struct {
	limits  Limits
	records map[string]*record[A]
	expiry  expiryHeap[A]
	bytes   int64
}

type record[A any] struct {
	id            string
	state         State
	deadline      time.Duration
	expires       time.Duration // set once the state is final
	bytes         int64
	retention     time.Duration // how long the attempt is retained, 0 if it is removed at its end
	answerDropped bool          // the answer exceeded the byte limit and is not kept
	answer        A
}

// NewTable returns an empty table.
func NewTable[A any](limits Limits) *Table[A] {
	return &Table[A]{limits: limits, records: make(map[string]*record[A])}
}

// Begin admits an attempt as Waiting. The attempt and its answer are kept for
// retention, and at least for the table's minimum retention, after its deadline or
// its end, whichever is later. With a retention of 0 the attempt is removed at its
// end: its outcome can't be looked up, which suits idempotent requests only.
// Errors: fault.Fenced when the attempt was fenced before it arrived,
// fault.Conflict when it arrives twice, fault.DeadlineNotRun at or after its
// deadline, and fault.Overloaded when the table is full.
func (t *Table[A]) Begin(now time.Duration, id string, deadline, retention time.Duration, answer A) error {
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
	if retention > 0 {
		reserve = t.limits.Reserve
		retention = max(retention, t.limits.Retention)
	}
	if len(t.records) >= t.limits.Attempts-t.limits.Attempts/fenceDivisor || t.bytes+reserve > t.limits.Bytes {
		return fault.New(fault.Overloaded, "the table of attempts is full")
	}
	t.bytes += reserve
	t.records[id] = &record[A]{id: id, state: Waiting, deadline: deadline, bytes: reserve, retention: retention, answer: answer}
	return nil
}

// Start moves a waiting attempt to Running. It is called right before the first
// byte is sent to the backend server; once it returns nil, the attempt counts as
// run. Errors: fault.Fenced when the attempt is not waiting, and
// fault.DeadlineNotRun at or after its deadline, which fences it.
func (t *Table[A]) Start(now time.Duration, id string) error {
	r, known := t.records[id]
	if !known || r.state != Waiting {
		return fault.New(fault.Fenced, "the attempt may not start")
	}
	if now >= r.deadline {
		t.finalize(now, r, Fenced)
		return fault.New(fault.DeadlineNotRun, "the deadline passed before the attempt started")
	}
	r.state = Running
	return nil
}

// Abandon fences a waiting attempt, so that it never starts. It has no effect on an
// attempt in another state.
func (t *Table[A]) Abandon(now time.Duration, id string) {
	if r, known := t.records[id]; known && r.state == Waiting {
		t.finalize(now, r, Fenced)
	}
}

// Grow raises the bytes accounted for a kept answer to size in total and reports
// whether they fit. If they do not, the attempt's bytes are released and its answer
// is not kept.
func (t *Table[A]) Grow(id string, size int64) bool {
	r, known := t.records[id]
	if !known || r.retention == 0 || r.answerDropped {
		return false
	}
	extra := size - r.bytes
	if extra <= 0 {
		return true
	}
	if t.bytes+extra > t.limits.Bytes-t.limits.Bytes/reservationDivisor {
		t.bytes -= r.bytes
		r.bytes = 0
		r.answerDropped = true
		return false
	}
	t.bytes += extra
	r.bytes = size
	return true
}

// Finish moves a running attempt to Finished; its answer has size bytes. It has no
// effect on an attempt in another state.
func (t *Table[A]) Finish(now time.Duration, id string, size int64) {
	r, known := t.records[id]
	if !known || r.state != Running {
		return
	}
	if size < r.bytes {
		t.bytes -= r.bytes - size
		r.bytes = size
	}
	t.finalize(now, r, Finished)
}

// Lookup returns the state of an attempt, its answer, and whether the answer is
// kept. deadline is the attempt's own. With fence, a waiting or absent attempt
// becomes Fenced. An absent attempt is Unknown without fence, once its record may
// have expired, or when the table has no space for a fence.
func (t *Table[A]) Lookup(now time.Duration, id string, deadline time.Duration, fence bool) (State, A, bool) {
	t.expire(now)
	var none A
	r, known := t.records[id]
	if known {
		if fence && r.state == Waiting {
			t.finalize(now, r, Fenced)
		}
		return r.state, r.answer, r.retention > 0 && !r.answerDropped
	}
	if !fence || now >= deadline+t.limits.Retention || len(t.records) >= t.limits.Attempts {
		return Unknown, none, false
	}
	r = &record[A]{id: id, deadline: deadline, retention: t.limits.Retention}
	t.records[id] = r
	t.finalize(now, r, Fenced)
	return Fenced, none, false
}

// Len returns the number of attempts in the table, fences included.
func (t *Table[A]) Len() int { return len(t.records) }

// Bytes returns the number of answer bytes kept or reserved.
func (t *Table[A]) Bytes() int64 { return t.bytes }

// finalize makes state final and, unless the attempt is removed at once, schedules
// its removal.
func (t *Table[A]) finalize(now time.Duration, r *record[A], state State) {
	r.state = state
	if state == Fenced {
		t.bytes -= r.bytes
		r.bytes = 0
	}
	if r.retention == 0 {
		delete(t.records, r.id)
		return
	}
	r.expires = max(now, r.deadline) + r.retention
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
