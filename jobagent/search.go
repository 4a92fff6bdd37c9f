package jobagent

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/controlclient"
	"amaranthpaddle/timing"
)

// search looks for the leader at all replicas in parallel. One goroutine tries each
// replica, with at most one stream open, until the first session is established.
type search struct {
	agent *Agent
	ctx   context.Context
	lost  string // address of the leader whose session was lost, empty for none
	found chan *leaderSession
	wg    sync.WaitGroup

	mu    sync.Mutex
	hints map[string]chan struct{} // by address of a replica: another replica has named it as the leader
}

// findLeader returns a session with a replica that has answered as the leader, nil when
// ctx ends. If a replica is known to lead, the others are tried only after a delay, so
// that a change of leader does not bring the reports of all agents to all replicas.
func (a *Agent) findLeader(ctx context.Context, lost string) *leaderSession {
	searchCtx, cancel := context.WithCancel(ctx)
	s := &search{agent: a, ctx: searchCtx, lost: lost, found: make(chan *leaderSession), hints: map[string]chan struct{}{}}
	defer s.wg.Wait()
	defer cancel()
	leader := a.config.Control.Leader()
	for _, address := range a.config.Control.Addresses() {
		delay := time.Duration(0)
		if leader != "" && address != leader {
			delay = otherReplicaDelay
		}
		s.try(address, delay)
	}
	select {
	case session := <-s.found:
		session.detach()
		a.config.Control.Note(session.address, nil, nil)
		return session
	case <-ctx.Done():
		return nil
	}
}

// try begins to try a replica after a delay. One that is tried already is tried again
// at once, if it waits for its next attempt.
func (s *search) try(address string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hint := s.hints[address]; hint != nil {
		select {
		case hint <- struct{}{}:
		default:
		}
		return
	}
	hint := make(chan struct{}, 1)
	s.hints[address] = hint
	s.wg.Go(func() { s.run(address, delay, hint) })
}

// run opens sessions with a replica until one is established or the search ends.
func (s *search) run(address string, delay time.Duration, hint <-chan struct{}) {
	control := s.agent.config.Control
	backoff := timing.NewBackoff(minReconnectDelay, maxReconnectDelay)
	for s.wait(delay, hint) {
		session, trailer, err := s.agent.openSession(s.ctx, address, s.lost)
		if err == nil {
			select {
			case s.found <- session:
			case <-s.ctx.Done():
				session.close()
			}
			return
		}
		if s.ctx.Err() != nil {
			return
		}
		control.Note(address, trailer, err)
		for _, leader := range trailer.Get(controlclient.LeaderTrailer) {
			s.try(leader, 0)
		}
		delay = backoff.Next()
	}
}

// wait waits for a delay or until the replica is named as the leader, and reports
// whether the search goes on.
func (s *search) wait(delay time.Duration, hint <-chan struct{}) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-hint:
	case <-s.ctx.Done():
	}
	return s.ctx.Err() == nil
}
