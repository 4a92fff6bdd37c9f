package delivery

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"amaranthpaddle/api"
)

// readAhead is how far, in bytes, an answer that isn't kept is read ahead of
// the stream that takes it.
const readAhead = 256 << 10

// answer is the answer of one attempt while it is read from the backend server
// and, if it is kept, until its retention ends. One writer fills it. Any number of
// readers may read a kept answer; one reads an answer that isn't kept.
type answer struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	kept    bool
	head    *api.AnswerHead
	base    uint64 // offset of data[0]; above 0 only when not kept
	data    []byte
	done    bool
	end     *api.AnswerEnd // set when done and whole
	refusal *api.Refusal   // set when done and not whole
}

func newAnswer(kept bool) *answer {
	return &answer{kept: kept, changed: make(chan struct{})}
}

// notify wakes everyone who waits. The caller holds mu.
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

// write appends p. For an answer that isn't kept it waits until the reader is
// less than readAhead behind; it reports false when the context ends first.
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

// drop stops keeping the answer: what its reader has taken is freed.
func (a *answer) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kept = false
	a.notify()
}

// finish marks the answer as whole. moved says that a standing stream is to be
// opened elsewhere.
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

// refuse ends the answer with a reason.
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

// piece is what a reader takes at a time.
type piece struct {
	head    *api.AnswerHead
	data    []byte
	end     *api.AnswerEnd
	refusal *api.Refusal
	gap     bool // bytes before this offset are no longer there
}

// next returns the head, up to limit bytes at offset, and the end when it
// follows on them. It waits for that many bytes or the end, and for any byte of a
// standing stream; a nil piece means that the context ended.
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
		a.forget(offset + uint64(n))
	}
	if a.done && len(p.data) == len(available) {
		p.end, p.refusal = a.end, a.refusal
	}
	if p.head == nil && p.data == nil && p.end == nil && p.refusal == nil {
		return nil
	}
	return p
}

// forget frees what the one reader of an answer that isn't kept has taken.
func (a *answer) forget(offset uint64) {
	if a.kept {
		return
	}
	n := copy(a.data, a.data[offset-a.base:])
	a.data = a.data[:n]
	a.base = offset
	a.notify()
}

// wait returns once the answer is done or the context ends, and reports which.
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

// meter counts and checksums an answer's bytes as they are read.
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
