package raft

import (
	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// ReadState is the result of a ReadIndex call: a read is linearizable once the
// entry at Index is applied.
type ReadState struct {
	ID    uint64
	Index uint64
}

type pendingRead struct {
	id    uint64
	from  uint64
	round uint64 // heartbeat round that a majority must confirm
	index uint64
}

// readQueue holds the reads that wait for the leader's confirmation by a quorum.
type readQueue struct {
	round    uint64
	pending  []pendingRead
	deferred []pendingRead // requested before the leader committed an entry of its term
}

// ReadIndex requests the index that a read has to wait for; the result is
// returned in Ready.Reads. The id must be unique across restarts of the replica.
// A lost request gets no result. Errors: fault.NotLeader when no leader is known.
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

// startRead starts a heartbeat round for a read: only responses to heartbeats
// sent after the request prove that there was no newer leader when it arrived.
// Until an entry of the current term is committed, the read is deferred.
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

// startDeferredReads starts the reads that arrived before the leader knew its
// commit index.
func (r *Raft) startDeferredReads() {
	deferred := r.reads.deferred
	r.reads.deferred = nil
	for _, read := range deferred {
		r.startRead(read)
	}
}

// confirmReads answers the reads whose round a majority of the voters confirmed.
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
