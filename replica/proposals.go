package replica

import (
	"context"
	"sync"
	"sync/atomic"

	"amaranthpaddle/fault"
)

// proposal is one Propose call.
type proposal struct {
	data  []byte
	state atomic.Int32
	done  chan proposalResult // has room for the result
}

// States of a proposal: whoever moves it from proposalQueued decides whether it
// is appended.
const (
	proposalQueued = iota
	proposalTaken
	proposalAbandoned
)

type proposalResult struct {
	data []byte
	err  error
}

func (p *proposal) finish(data []byte, err error) { p.done <- proposalResult{data, err} }

// Propose replicates data and returns the state machine's result once it is
// applied here. Errors: fault.NotLeader, fault.NoQuorum, fault.Overloaded and
// fault.TooLarge when the entry was not appended, fault.CommitUnknown when it
// may still be committed.
func (r *Replica) Propose(ctx context.Context, data []byte) ([]byte, error) {
	wait, err := r.Enqueue(data)
	if err != nil {
		return nil, err
	}
	return wait(ctx)
}

// Enqueue queues data as the next entry and returns a function that waits for
// its result. Entries of calls that follow each other are appended in that
// order. Errors of both are those of Propose.
func (r *Replica) Enqueue(data []byte) (wait func(context.Context) ([]byte, error), err error) {
	if len(data) > MaxProposalBytes {
		return nil, fault.Newf(fault.TooLarge, "a proposal of %d bytes exceeds %d", len(data), MaxProposalBytes)
	}
	if status := r.Status(); status.Leader != r.config.ID {
		return nil, fault.Newf(fault.NotLeader, "replica %d leads", status.Leader)
	}
	if r.apply.isFull() {
		return nil, fault.New(fault.Overloaded, "too much is committed and not applied")
	}
	p := &proposal{data: data, done: make(chan proposalResult, 1)}
	select {
	case r.proposals <- p:
	default:
		return nil, fault.New(fault.Overloaded, "too many proposals wait")
	}
	return func(ctx context.Context) ([]byte, error) { return r.await(ctx, p) }, nil
}

func (r *Replica) await(ctx context.Context, p *proposal) ([]byte, error) {
	select {
	case result := <-p.done:
		return result.data, result.err
	case <-ctx.Done():
	case <-r.ctx.Done():
	}
	return p.abandon()
}

// abandon returns the error of a call that stops waiting.
func (p *proposal) abandon() ([]byte, error) {
	if p.state.CompareAndSwap(proposalQueued, proposalAbandoned) {
		return nil, fault.New(fault.NoQuorum, "the call ended before the entry was appended")
	}
	select {
	case result := <-p.done:
		return result.data, result.err
	default:
		return nil, fault.New(fault.CommitUnknown, "the call ended before the commit was known")
	}
}

// propose appends a proposal in the loop.
func (r *Replica) propose(p *proposal) {
	if !p.state.CompareAndSwap(proposalQueued, proposalTaken) {
		return
	}
	if r.engine.failed != nil {
		p.finish(nil, fault.Wrap(fault.NotLeader, r.engine.failed, "storage failed"))
		return
	}
	index, term, err := r.engine.raft.Propose(p.data)
	if err != nil {
		p.finish(nil, err)
		return
	}
	r.waiting.add(index, term, p)
}

// proposalTable holds the appended proposals that wait to be applied, by index.
type proposalTable struct {
	mu      sync.Mutex
	waiting map[uint64]waitingProposal
}

type waitingProposal struct {
	term     uint64
	proposal *proposal
}

func (t *proposalTable) init() { t.waiting = map[uint64]waitingProposal{} }

func (t *proposalTable) empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting) == 0
}

func (t *proposalTable) add(index, term uint64, p *proposal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.waiting[index]; ok {
		// Another replica may still hold the older entry and commit it.
		old.proposal.finish(nil, fault.New(fault.CommitUnknown, "the entry was replaced in this replica's log"))
	}
	t.waiting[index] = waitingProposal{term: term, proposal: p}
}

// applied ends the proposal at index with the result, or with fault.NotLeader
// when another entry was committed there: then this one never will be.
func (t *proposalTable) applied(index, term uint64, result []byte) {
	t.mu.Lock()
	w, ok := t.waiting[index]
	delete(t.waiting, index)
	t.mu.Unlock()
	if !ok {
		return
	}
	if w.term != term {
		w.proposal.finish(nil, fault.New(fault.NotLeader, "another leader's entry was committed instead"))
		return
	}
	w.proposal.finish(result, nil)
}

// forgetUpTo ends the proposals whose entries a snapshot covers.
func (t *proposalTable) forgetUpTo(index uint64) {
	t.failWhere(fault.New(fault.CommitUnknown, "a snapshot replaced the log"), func(i uint64) bool { return i <= index })
}

func (t *proposalTable) failAll(err error) {
	t.failWhere(err, func(uint64) bool { return true })
}

func (t *proposalTable) failWhere(err error, matches func(index uint64) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for index, w := range t.waiting {
		if matches(index) {
			delete(t.waiting, index)
			w.proposal.finish(nil, err)
		}
	}
}
