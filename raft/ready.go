package raft

import "amaranthpaddle/api"

// Ready is the pending work for the driver; the package comment gives the order.
type Ready struct {
	Messages       []*api.RaftMessage // may be sent before anything is synced
	Snapshot       *api.Snapshot      // replaces log and state; make durable first
	HardState      *api.HardState     // nil when unchanged
	Entries        []*api.LogEntry    // make durable; they replace all entries from the first one's index onward
	SyncedMessages []*api.RaftMessage // send once all of the above is durable
	Committed      []*api.LogEntry    // durable on this replica; apply in order
	Reads          []ReadState
}

// HasReady reports whether Ready would return work.
func (r *Raft) HasReady() bool {
	return len(r.messages) > 0 || len(r.syncedMessages) > 0 || r.snapshot != nil ||
		r.term != r.prevHardState.Term || r.vote != r.prevHardState.Vote || r.persisting < r.log.lastIndex() ||
		r.log.applying < r.applicable() || len(r.readStates) > 0
}

// applicable returns the last index that may be applied: committed, and synced
// on this replica.
func (r *Raft) applicable() uint64 { return min(r.log.commit, r.log.stable) }

// Ready returns the pending work. Advance must be called before the next Ready.
func (r *Raft) Ready() Ready {
	ready := Ready{
		Messages:       r.messages,
		Snapshot:       r.snapshot,
		Entries:        r.log.slice(r.persisting+1, r.log.lastIndex(), ^uint64(0)),
		SyncedMessages: r.syncedMessages,
		Committed:      r.log.slice(r.log.applying+1, r.applicable(), ^uint64(0)),
		Reads:          r.readStates,
	}
	if r.term != r.prevHardState.Term || r.vote != r.prevHardState.Vote {
		r.prevHardState.Term, r.prevHardState.Vote = r.term, r.vote
		ready.HardState = &api.HardState{Term: r.term, Vote: r.vote}
	}
	if r.role == Leader && len(ready.Entries) > 0 {
		ready.SyncedMessages = append(ready.SyncedMessages, r.selfAck())
	}
	r.persisting = r.log.lastIndex()
	r.log.applying = max(r.log.applying, r.applicable())
	r.messages, r.syncedMessages, r.readStates, r.snapshot = nil, nil, nil, nil
	return ready
}

// selfAck returns the leader's append response to itself. It is sent after the
// sync, so that the leader counts its own entries only once they are durable.
func (r *Raft) selfAck() *api.RaftMessage {
	ack := &api.RaftMessage{
		Type: msgAppendResponse,
		To:   r.config.ID, LogIndex: r.log.lastIndex(),
	}
	r.fillHeader(ack)
	return ack
}

// Advance reports that the entries of ready are durable.
func (r *Raft) Advance(ready Ready) {
	if n := len(ready.Entries); n > 0 {
		last := ready.Entries[n-1]
		if r.log.matches(last.Index, last.Term) {
			r.log.stable = max(r.log.stable, last.Index)
		}
	}
}

// Compact removes the entries up to index from memory, except for the last
// keepEntries of them as far as they fit in keepBytes. The caller must hold a
// durable snapshot that covers the removed entries.
func (r *Raft) Compact(index, keepEntries, keepBytes uint64) {
	index = min(index, r.log.applying)
	for ; keepEntries > 0 && index >= r.log.firstIndex(); keepEntries-- {
		size := entryBytes(r.log.entries[index-r.log.firstIndex()])
		if size > keepBytes {
			break
		}
		keepBytes -= size
		index--
	}
	r.log.compact(index)
	r.compactMemberships(index)
}
