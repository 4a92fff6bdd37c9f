package control

import (
	"context"
	"sync"

	"amaranthpaddle/fault"
	"amaranthpaddle/replica"
)

// fakeNode is an in-memory group of one replica, whose leadership and quorum tests
// can take away.
type fakeNode struct {
	mu      sync.Mutex
	state   replica.StateMachine
	status  replica.Status
	changed chan struct{}
	noRead  bool // ConfirmRead finds no quorum
	log     [][]byte
	earlier []byte // command of another proposer, applied before the next one
}

func newFakeNode(state replica.StateMachine) *fakeNode {
	return &fakeNode{
		state:   state,
		status:  replica.Status{ID: 1, Leader: 1, Term: 1, LeaderReady: true, LeaderSince: 1},
		changed: make(chan struct{}),
	}
}

func (n *fakeNode) Propose(_ context.Context, data []byte) ([]byte, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.status.LeaderReady {
		return nil, fault.New(fault.NotLeader, "fake")
	}
	if earlier := n.earlier; earlier != nil {
		n.earlier = nil
		n.state.Apply(n.status.Applied, earlier)
	}
	n.log = append(n.log, data)
	n.status.Applied++
	n.status.Commit++
	return n.state.Apply(n.status.Applied, data), nil
}

func (n *fakeNode) ConfirmRead(context.Context) (uint64, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.noRead {
		return 0, fault.New(fault.NoQuorum, "fake")
	}
	if !n.status.LeaderReady {
		return 0, fault.New(fault.NotLeader, "fake")
	}
	return n.status.Applied, nil
}

func (n *fakeNode) Status() replica.Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status
}

func (n *fakeNode) StatusChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// setLeader makes this replica the leader of a new term, or a follower.
func (n *fakeNode) setLeader(leads bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.status.LeaderReady = leads
	if leads {
		n.status.Term++
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *fakeNode) setQuorum(has bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noRead = !has
}
