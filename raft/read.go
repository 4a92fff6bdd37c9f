package raft

import (
	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// ReadState answers a ReadIndex call: a read is linearizable once the entry at
// Index is applied.
type ReadState struct {
	ID    uint64
	Index uint64
}

type pendingRead struct {
	id    uint64
	from  uint64
	round uint64 // heartbeat round that has to be answered by a majority
	index uint64
}

// readQueue holds the reads that await a heartbeat round.
type readQueue struct {
	round    uint64
	pending  []pendingRead
	deferred []pendingRead // asked before the leader committed an entry of its term
}

// ReadIndex asks for the index that a read has to wait for; the answer comes in
// Ready.Reads. The id must be unique over the replica's restarts. A lost request
// has no answer. Errors: fault.NotLeader when no leader is known.
func (r *Raft) ReadIndex(id uint64) error {
	if r.role == Leader {
		r.startRead(pendingRead{id: id, from: r.config.ID})
		return nil
	}
	if r.leader == 0 {
		return fault.New(fault.NotLeader, "no leader is known")
	}
	r.sendAfterSync(&api.RaftMessage{Type: msgReadIndex, To: r.leader, Read: id})
	return nil
}

func (r *Raft) handleReadIndex(m *api.RaftMessage) {
	if r.role == Leader {
		r.startRead(pendingRead{id: m.Read, from: m.From})
	}
}

// startRead starts a heartbeat round for a read: only answers to heartbeats sent
// after the read prove that no other leader existed when it was asked.
func (r *Raft) startRead(read pendingRead) {
	if !r.committedInTerm() {
		r.reads.deferred = append(r.reads.deferred, read)
		return
	}
	r.reads.round++
	read.round = r.reads.round
	read.index = r.log.commit
	r.reads.pending = append(r.reads.pending, read)
	r.broadcastHeartbeat()
	r.confirmReads()
}

// startDeferredReads admits the reads that came before the leader knew its commit index.
func (r *Raft) startDeferredReads() {
	deferred := r.reads.deferred
	r.reads.deferred = nil
	for _, read := range deferred {
		r.startRead(read)
	}
}

// confirmReads answers the reads whose round a majority of the voters answered.
func (r *Raft) confirmReads() {
	voters := Voters(r.membership())
	for len(r.reads.pending) > 0 {
		read := r.reads.pending[0]
		answered := 0
		for _, id := range voters {
			if id == r.config.ID || r.progress[id].readRound >= read.round {
				answered++
			}
		}
		if answered < quorum(len(voters)) {
			return
		}
		r.reads.pending = r.reads.pending[1:]
		r.answerRead(read)
	}
}

func (r *Raft) answerRead(read pendingRead) {
	if read.from == r.config.ID {
		r.readStates = append(r.readStates, ReadState{ID: read.id, Index: read.index})
		return
	}
	r.sendAfterSync(&api.RaftMessage{
		Type: msgReadIndexResponse, To: read.from,
		Read: read.id, LogIndex: read.index,
	})
}
