package replica

import (
	"context"
	"math/rand/v2"

	"amaranthpaddle/fault"
	"amaranthpaddle/raft"
)

// readRequest is one ConfirmRead call.
type readRequest struct {
	done chan readResult // has room for the result
}

type readResult struct {
	index uint64
	err   error
}

func (r *readRequest) finish(index uint64, err error) { r.done <- readResult{index, err} }

// ConfirmRead returns once the local state includes every change that was
// acknowledged before the call, as confirmed by a quorum, on leader and
// followers alike. Errors: fault.NotLeader, fault.NoQuorum.
func (r *Replica) ConfirmRead(ctx context.Context) (index uint64, err error) {
	if r.view.group() == 0 {
		return 0, fault.New(fault.NotLeader, "the replica is in no group yet")
	}
	request := &readRequest{done: make(chan readResult, 1)}
	select {
	case r.reads <- request:
	default:
		return 0, fault.New(fault.Overloaded, "too many reads wait")
	}
	select {
	case result := <-request.done:
		return result.index, result.err
	case <-ctx.Done():
		return 0, fault.Wrap(fault.NoQuorum, ctx.Err(), "confirm read")
	case <-r.ctx.Done():
		return 0, fault.New(fault.NotLeader, "the replica stopped")
	}
}

// readRound is a set of reads confirmed together.
type readRound struct {
	requests []*readRequest
	age      int // ticks
}

// maxReadRounds bounds the rounds under way; later reads gather for the next.
const maxReadRounds = 4

// readLoop groups reads into rounds. It belongs to the loop.
type readLoop struct {
	lastID uint64
	next   []*readRequest
	rounds map[uint64]*readRound
}

// init starts the ids at a random number: an answer to a request of an earlier
// run must not match one of this run.
func (l *readLoop) init(random rand.Source) {
	l.lastID = random.Uint64()
	l.rounds = map[uint64]*readRound{}
}

func (l *readLoop) add(request *readRequest) { l.next = append(l.next, request) }

// issue starts a round for the gathered reads.
func (l *readLoop) issue(r *Replica) {
	if len(l.next) == 0 || len(l.rounds) >= maxReadRounds {
		return
	}
	l.lastID++
	l.rounds[l.lastID] = &readRound{requests: l.next}
	l.next = nil
	// Without a leader the round is asked again at a later tick.
	_ = r.engine.raft.ReadIndex(l.lastID)
}

// tick asks again for rounds whose request or answer may be lost, and gives up
// those that are too old.
func (l *readLoop) tick(r *Replica) {
	retry := max(1, int(2*r.config.Heartbeat/r.config.Tick))
	limit := int(r.electionTimeouts(2) / r.config.Tick)
	for id, round := range l.rounds {
		round.age++
		if round.age >= limit {
			delete(l.rounds, id)
			finishReads(round.requests, readFailure(r))
			continue
		}
		if round.age%retry == 0 && r.engine.failed == nil {
			_ = r.engine.raft.ReadIndex(id)
		}
	}
}

func readFailure(r *Replica) error {
	if r.engine.raft.Status().Leader == 0 {
		return fault.New(fault.NotLeader, "no leader is known")
	}
	return fault.New(fault.NoQuorum, "no quorum confirmed the read in time")
}

func (l *readLoop) failAll(err error) {
	for id, round := range l.rounds {
		delete(l.rounds, id)
		finishReads(round.requests, err)
	}
	finishReads(l.next, err)
	l.next = nil
}

func finishReads(requests []*readRequest, err error) {
	for _, request := range requests {
		request.finish(0, err)
	}
}

// confirmRead passes a confirmed round on to the applier.
func (r *Replica) confirmRead(state raft.ReadState) {
	round := r.readLoop.rounds[state.ID]
	if round == nil {
		return
	}
	delete(r.readLoop.rounds, state.ID)
	r.apply.add(applyItem{reads: round.requests, index: state.Index}, 0)
}
