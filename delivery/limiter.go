package delivery

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
	"amaranthpaddle/routing"
)

// standingQuarters is the share of an instance's connections, in quarters, that
// standing streams may hold.
const standingQuarters = 3

// limiter grants the slots and connections of one backend server. A request in
// progress holds a slot and a connection, a standing stream only a connection.
// Requests without a slot wait in a queue with room for as many requests as
// there are slots; interactive callers are served before batch callers.
type limiter struct {
	slots       int
	connections int

	mu       sync.Mutex
	running  int
	standing int
	waiters  routing.ClassQueue[*waiter]
	draining bool
}

type waiter struct {
	class   request.Class
	decided chan struct{} // closed once the slot is granted or refused
	refused error
}

func newLimiter(slots, connections int) *limiter {
	return &limiter{slots: max(slots, 1), connections: max(connections, 2)}
}

// acquire takes a slot, waiting no longer than wait. Errors: fault.Overloaded,
// fault.Draining, and fault.DeadlineNotRun or fault.Fenced when the context ends first.
func (l *limiter) acquire(ctx context.Context, class request.Class, wait time.Duration) error {
	w, err := l.enqueue(class)
	if err != nil || w == nil {
		return err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.decided:
		return w.refused
	case <-timer.C:
		err = fault.New(fault.Overloaded, "no slot became free in time")
	case <-ctx.Done():
		err = contextError(ctx)
	}
	if l.remove(w) {
		return err
	}
	if w.refused == nil {
		l.release()
	}
	return err
}

// contextError returns the error of an attempt whose context ended while it
// waited: its deadline passed, or it was canceled.
func contextError(ctx context.Context) error {
	if cause := context.Cause(ctx); fault.Is(cause, fault.DeadlineNotRun) {
		return cause
	}
	return fault.New(fault.Fenced, "the attempt was given up before it started")
}

// enqueue takes a free slot and returns a nil waiter, or adds a waiter to the queue.
func (l *limiter) enqueue(class request.Class) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return nil, fault.New(fault.Draining, "the backend server takes no new work")
	}
	if l.running < l.slots && l.running+l.standing < l.connections {
		l.running++
		return nil, nil
	}
	w := &waiter{class: class, decided: make(chan struct{})}
	displaced, queued := l.waiters.Push(class, w, l.slots)
	if !queued {
		return nil, fault.New(fault.Overloaded, "all slots are taken and the queue is full")
	}
	if displaced != nil {
		displaced.refuse(fault.New(fault.Overloaded, "displaced by an interactive caller"))
	}
	return w, nil
}

func (w *waiter) refuse(err error) {
	w.refused = err
	close(w.decided)
}

// remove takes w out of the queue and reports whether it was still queued.
func (l *limiter) remove(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiters.Remove(w.class, w)
}

// release frees a slot and grants it to the next waiter if there is one.
func (l *limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.grantWaiters()
}

func (l *limiter) grantWaiters() {
	for l.running < l.slots && l.running+l.standing < l.connections {
		w, ok := l.waiters.Pop()
		if !ok {
			return
		}
		l.running++
		close(w.decided)
	}
}

// acquireStanding takes a connection for a standing stream. Errors:
// fault.Overloaded, fault.Draining.
func (l *limiter) acquireStanding() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return fault.New(fault.Draining, "the backend server takes no new work")
	}
	if !l.standingFits() {
		return fault.New(fault.Overloaded, "standing streams hold all the connections they may")
	}
	l.standing++
	return nil
}

func (l *limiter) standingFits() bool {
	limit := min(l.connections*standingQuarters/4, l.connections-l.slots)
	return l.standing < max(limit, 1)
}

// releaseStanding frees a standing stream's connection.
func (l *limiter) releaseStanding() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.standing--
	l.grantWaiters()
}

// convertToStanding turns a held slot into a standing stream's connection. It
// returns false and keeps the slot when standing streams are at their limit.
func (l *limiter) convertToStanding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.standingFits() {
		return false
	}
	l.running--
	l.standing++
	l.grantWaiters()
	return true
}

// setDraining stops or resumes new work. Stopping refuses all waiters.
func (l *limiter) setDraining(draining bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = draining
	if !draining {
		return
	}
	for w, ok := l.waiters.Pop(); ok; w, ok = l.waiters.Pop() {
		w.refuse(fault.New(fault.Draining, "the backend server is leaving"))
	}
}

func (l *limiter) load() *api.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &api.Load{
		Running:     uint32(l.running),
		Waiting:     uint32(l.waiters.Len()),
		Standing:    uint32(l.standing),
		Slots:       uint32(l.slots),
		Connections: uint32(l.connections),
		Leaving:     l.draining,
	}
}
