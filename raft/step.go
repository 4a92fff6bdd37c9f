package raft

import (
	"slices"

	"amaranthpaddle/api"
)

// Step handles a message from another replica, or from the replica itself after
// a sync.
func (r *Raft) Step(m *api.RaftMessage) {
	if !r.Accepts(m) {
		r.refuse(m)
		return
	}
	if m.Type == msgRefused {
		r.refused = r.refused || m.Read == r.config.Incarnation
		return
	}
	switch {
	case m.Term > r.term:
		if !r.stepHigherTerm(m) {
			return
		}
	case m.Term < r.term:
		r.stepLowerTerm(m)
		return
	}
	r.stepCurrentTerm(m)
}

// Accepts reports whether m may be handled, given its sender. Messages from a
// removed member are dropped, so that it can't disrupt the group, and so are
// those of a member that lost its disk and runs under another incarnation. A
// removal takes effect once it is committed: until then it may be undone, by the
// very leader whose messages it would block. From an id that is not in this
// replica's log, leader messages and vote requests are accepted, since the
// log may lag behind, but responses are not.
func (r *Raft) Accepts(m *api.RaftMessage) bool {
	if m.To != r.config.ID {
		return false
	}
	latest, committed := r.membership(), r.MembershipAt(r.log.commit)
	if slices.Contains(committed.Removed, m.From) {
		return false
	}
	member := FindMember(latest, m.From)
	if member == nil {
		member = FindMember(committed, m.From)
	}
	if member == nil {
		return len(latest.Members) == 0 || isFromLeader(m.Type) || isVoteRequest(m.Type)
	}
	return member.Incarnation == 0 || member.Incarnation == m.Incarnation
}

// isFromLeader reports whether only a leader sends messages of this type.
func isFromLeader(t api.RaftMessageType) bool {
	switch t {
	case msgAppend,
		msgHeartbeat,
		msgSnapshot:
		return true
	}
	return false
}

// refuse tells a replica whose incarnation differs from the registered one,
// because it lost its disk, that it is no longer a member.
func (r *Raft) refuse(m *api.RaftMessage) {
	member := FindMember(r.MembershipAt(r.log.commit), m.From)
	if m.To != r.config.ID || member == nil || member.Incarnation == 0 || member.Incarnation == m.Incarnation {
		return
	}
	r.sendAfterSync(&api.RaftMessage{Type: msgRefused, To: m.From, Read: m.Incarnation})
}

// Refused reports whether another member refused this replica because its id is
// registered with another data folder. The group ignores such a replica.
func (r *Raft) Refused() bool { return r.refused }

func isVoteRequest(t api.RaftMessageType) bool {
	return t == msgPreVote || t == msgVote
}

// stepHigherTerm adopts the term of m where the protocol requires it, and
// reports whether to continue handling m.
func (r *Raft) stepHigherTerm(m *api.RaftMessage) bool {
	switch m.Type {
	case msgPreVote:
		return !r.hasActiveLeader()
	case msgVote:
		if r.hasActiveLeader() && !(m.Transfer && IsVoter(r.membership(), m.From)) {
			return false
		}
	case msgPreVoteResponse:
		if !m.Reject {
			return true // granted for the next term, which is adopted only as candidate
		}
	}
	leader := uint64(0)
	if isFromLeader(m.Type) {
		leader = m.From
	}
	r.becomeFollower(m.Term, leader)
	return true
}

// hasActiveLeader reports whether the leader sent a message within the minimum
// election timeout. If so, the replica ignores vote requests of a higher term
// other than those of a leadership transfer.
func (r *Raft) hasActiveLeader() bool {
	return r.leader != 0 && r.electionElapsed < r.config.ElectionTicks
}

// stepLowerTerm responds to a sender with an outdated term, so that it learns
// the current one.
func (r *Raft) stepLowerTerm(m *api.RaftMessage) {
	switch {
	case isFromLeader(m.Type):
		r.sendAfterSync(&api.RaftMessage{Type: msgAppendResponse, To: m.From, Reject: true})
	case m.Type == msgPreVote:
		r.sendAfterSync(&api.RaftMessage{Type: msgPreVoteResponse, To: m.From, Reject: true})
	}
}

func (r *Raft) stepCurrentTerm(m *api.RaftMessage) {
	switch m.Type {
	case msgPreVote, msgVote:
		r.handleVote(m)
	case msgPreVoteResponse, msgVoteResponse:
		r.handleVoteResponse(m)
	case msgAppend:
		r.followLeader(m.From)
		r.handleAppend(m)
	case msgHeartbeat:
		r.followLeader(m.From)
		r.handleHeartbeat(m)
	case msgSnapshot:
		r.followLeader(m.From)
		r.handleSnapshot(m)
	case msgAppendResponse:
		r.handleAppendResponse(m)
	case msgHeartbeatResponse:
		r.handleHeartbeatResponse(m)
	case msgTimeoutNow:
		r.handleTimeoutNow()
	case msgReadIndex:
		r.handleReadIndex(m)
	case msgReadIndexResponse:
		r.readStates = append(r.readStates, ReadState{ID: m.Read, Index: m.LogIndex})
	}
}
