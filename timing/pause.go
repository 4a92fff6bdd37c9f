package timing

import (
	"context"
	"sync"
	"time"
)

const (
	pauseTick = 50 * time.Millisecond
	minPause  = 500 * time.Millisecond // busy machines run a process again sooner
)

// PauseWatch notices pauses of the process, in which neither it nor perhaps its VM ran.
// It is safe for concurrent use.
type PauseWatch struct {
	clock func() time.Time

	mu      sync.Mutex
	seen    time.Time // latest reading of the clock, zero while Run is not running
	resumed time.Time // end of the latest pause, zero before the first
	length  time.Duration
}

// NewPauseWatch returns a PauseWatch that notices nothing until Run is called. clock must
// advance during a pause.
func NewPauseWatch(clock func() time.Time) *PauseWatch { return &PauseWatch{clock: clock} }

// Run watches for pauses until ctx ends.
func (w *PauseWatch) Run(ctx context.Context) {
	w.mu.Lock()
	w.seen = w.clock()
	w.mu.Unlock()
	for Sleep(ctx, pauseTick) {
		w.mu.Lock()
		w.observe()
		w.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen = time.Time{}
}

// observe reads the clock. The lock is held.
func (w *PauseWatch) observe() {
	if w.seen.IsZero() {
		return
	}
	now := w.clock()
	if gap := now.Sub(w.seen); gap >= minPause {
		w.resumed, w.length = now, gap
	}
	w.seen = now
}

// Latest returns the end and the length of the latest pause, zero values before the
// first. A pause that ends right before the call is included.
func (w *PauseWatch) Latest() (resumed time.Time, length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observe()
	return w.resumed, w.length
}
