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

// standingShare is the part of an instance's connections, of 4, that standing
// streams may hold.
const standingShare = 3

// gate is the authority over the slots and connections of one backend server.
// A request in progress holds a slot and a connection, a standing stream only
// a connection. Requests wait for a slot in a queue as long as the slots,
// interactive callers before batch.
type gate struct {
	slots       int
	connections int

	mu       sync.Mutex
	running  int
	standing int
	waiters  routing.ClassQueue[*waiter]
	leaving  bool
}

type waiter struct {
	class   request.Class
	granted chan struct{} // closed once decided
	refused error
}

func newGate(slots, connections int) *gate {
	return &gate{slots: max(slots, 1), connections: max(connections, 2)}
}

// acquire takes a slot within the wait. Errors: fault.Overloaded, fault.Draining, and
// fault.DeadlineNotRun or fault.Fenced when the context ends first.
func (g *gate) acquire(ctx context.Context, class request.Class, wait time.Duration) error {
	w, err := g.enqueue(class)
	if err != nil || w == nil {
		return err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.granted:
		return w.refused
	case <-timer.C:
		err = fault.New(fault.Overloaded, "no slot became free in time")
	case <-ctx.Done():
		err = contextError(ctx)
	}
	if g.remove(w) {
		return err
	}
	if w.refused == nil {
		g.release()
	}
	return err
}

// contextError says why a waiting attempt ended with its context: its deadline
// passed, or nobody waits for it any more.
func contextError(ctx context.Context) error {
	if cause := context.Cause(ctx); fault.Is(cause, fault.DeadlineNotRun) {
		return cause
	}
	return fault.New(fault.Fenced, "the attempt was given up before it started")
}

// enqueue takes a slot at once, and then returns no waiter, or joins the queue.
func (g *gate) enqueue(class request.Class) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return nil, fault.New(fault.Draining, "the backend server takes no new work")
	}
	if g.running < g.slots && g.running+g.standing < g.connections {
		g.running++
		return nil, nil
	}
	w := &waiter{class: class, granted: make(chan struct{})}
	displaced, queued := g.waiters.Push(class, w, g.slots)
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
	close(w.granted)
}

// remove takes w out of the queue and reports whether it was still undecided.
func (g *gate) remove(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiters.Remove(w.class, w)
}

// release gives a slot back, to the next waiter if there is one.
func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.grantNext()
}

func (g *gate) grantNext() {
	for g.running < g.slots && g.running+g.standing < g.connections {
		w, ok := g.waiters.Pop()
		if !ok {
			return
		}
		g.running++
		close(w.granted)
	}
}

// acquireStanding takes a connection for a standing stream. Errors:
// fault.Overloaded, fault.Draining.
func (g *gate) acquireStanding() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return fault.New(fault.Draining, "the backend server takes no new work")
	}
	if !g.standingFits() {
		return fault.New(fault.Overloaded, "standing streams hold all the connections they may")
	}
	g.standing++
	return nil
}

func (g *gate) standingFits() bool {
	limit := min(g.connections*standingShare/4, g.connections-g.slots)
	return g.standing < max(limit, 1)
}

// releaseStanding gives a standing stream's connection back.
func (g *gate) releaseStanding() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.standing--
	g.grantNext()
}

// convertToStanding turns a held slot into a standing stream's connection. It
// reports false, and keeps the slot, when standing streams hold all they may.
func (g *gate) convertToStanding() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.standingFits() {
		return false
	}
	g.running--
	g.standing++
	g.grantNext()
	return true
}

// setLeaving stops or resumes new work. Those who wait for a slot are refused.
func (g *gate) setLeaving(leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = leaving
	if !leaving {
		return
	}
	for w, ok := g.waiters.Pop(); ok; w, ok = g.waiters.Pop() {
		w.refuse(fault.New(fault.Draining, "the backend server is leaving"))
	}
}

func (g *gate) load() *api.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &api.Load{
		Running:     uint32(g.running),
		Waiting:     uint32(g.waiters.Len()),
		Standing:    uint32(g.standing),
		Slots:       uint32(g.slots),
		Connections: uint32(g.connections),
		Leaving:     g.leaving,
	}
}
