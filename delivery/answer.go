package delivery

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"amaranthpaddle/api"
)

// readAhead is how many bytes of an answer that is not kept are buffered ahead
// of its reader.
const readAhead = 256 << 10

// answer buffers the answer of one attempt while it is read from the backend
// server and, if it is kept, until its retention ends. It has one writer. A kept
// answer may have any number of readers, an answer that is not kept only one.
type answer struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	kept    bool
	head    *api.AnswerHead
	base    uint64 // offset of data[0]; above 0 only when not kept
	data    []byte
	done    bool
	end     *api.AnswerEnd // set when done and complete
	refusal *api.Refusal   // set when done and incomplete
}

func newAnswer(kept bool) *answer {
	return &answer{kept: kept, changed: make(chan struct{})}
}

// notify wakes all waiting goroutines. The caller holds mu.
func (a *answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *answer) setHead(head *api.AnswerHead) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = head
	a.notify()
}

// write appends p. For an answer that is not kept it first waits until the reader
// is less than readAhead behind, and returns false when the context ends first.
func (a *answer) write(ctx context.Context, p []byte) bool {
	a.mu.Lock()
	for !a.kept && len(a.data) >= readAhead {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
		a.mu.Lock()
	}
	a.data = append(a.data, p...)
	a.notify()
	a.mu.Unlock()
	return true
}

// stopKeeping marks the answer as not kept: from now on, bytes are freed once read.
func (a *answer) stopKeeping() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kept = false
	a.notify()
}

// finish marks the answer as complete. end.Moved tells the entry to reopen a
// standing stream at another backend server.
func (a *answer) finish(end *api.AnswerEnd) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	a.end = end
	a.notify()
}

// refuse ends the answer with a refusal.
func (a *answer) refuse(refusal *api.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	a.refusal = refusal
	a.notify()
}

// piece is the result of one read of an answer.
type piece struct {
	head    *api.AnswerHead
	data    []byte
	end     *api.AnswerEnd
	refusal *api.Refusal
	gap     bool // the bytes at the requested offset were already freed
}

// next returns the head, up to limit bytes at offset, and the end if no bytes
// follow. It waits for limit bytes or the end; for a standing stream, any byte
// suffices. It returns nil when the context ends.
func (a *answer) next(ctx context.Context, needHead bool, offset uint64, limit int) *piece {
	for {
		a.mu.Lock()
		p := a.take(needHead, offset, limit)
		changed := a.changed
		a.mu.Unlock()
		if p != nil {
			return p
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *answer) take(needHead bool, offset uint64, limit int) *piece {
	if offset < a.base {
		return &piece{gap: true}
	}
	available := a.data[offset-a.base:]
	standing := a.head != nil && a.head.Standing
	if !a.done && len(available) < limit && !standing {
		return nil
	}
	p := &piece{}
	if needHead {
		p.head = a.head
	}
	if n := min(limit, len(available)); n > 0 {
		p.data = append([]byte(nil), available[:n]...)
		a.discard(offset + uint64(n))
	}
	if a.done && len(p.data) == len(available) {
		p.end, p.refusal = a.end, a.refusal
	}
	if p.head == nil && p.data == nil && p.end == nil && p.refusal == nil {
		return nil
	}
	return p
}

// discard frees the bytes before offset if the answer is not kept.
func (a *answer) discard(offset uint64) {
	if a.kept {
		return
	}
	n := copy(a.data, a.data[offset-a.base:])
	a.data = a.data[:n]
	a.base = offset
	a.notify()
}

// wait returns true once the answer is done, or false when the context ends first.
func (a *answer) wait(ctx context.Context) bool {
	for {
		a.mu.Lock()
		done, changed := a.done, a.changed
		a.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// meter computes the length and checksum of an answer as it is read.
type meter struct {
	length uint64
	hash   *xxhash.Digest
}

func newMeter() *meter { return &meter{hash: xxhash.New()} }

func (m *meter) add(p []byte) {
	m.length += uint64(len(p))
	_, _ = m.hash.Write(p)
}

func (m *meter) end() *api.AnswerEnd {
	return &api.AnswerEnd{Length: m.length, Checksum: m.hash.Sum(nil)}
}
