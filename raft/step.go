package raft

import (
	"slices"

	"amaranthpaddle/api"
)

// Step takes in a message from another replica, or from itself after a sync.
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

// Accepts reports whether the sender may be heard. A member that lost its disk
// answers under another incarnation, and a removed one must not disturb. A
// removal counts once it is committed: one that is not may be undone by the
// very leader that it would silence. An id that this replica's log does not know
// yet may lead or ask for votes, since the replica may be the one that lags, but
// it can't answer.
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

// refuse tells a replica that lost its disk that it is not the member it was.
func (r *Raft) refuse(m *api.RaftMessage) {
	member := FindMember(r.MembershipAt(r.log.commit), m.From)
	if m.To != r.config.ID || member == nil || member.Incarnation == 0 || member.Incarnation == m.Incarnation {
		return
	}
	r.sendAfterSync(&api.RaftMessage{Type: msgRefused, To: m.From, Read: m.Incarnation})
}

// Refused reports whether the group knows this replica's id with another data
// folder. Such a replica is never heard.
func (r *Raft) Refused() bool { return r.refused }

func isVoteRequest(t api.RaftMessageType) bool {
	return t == msgPreVote || t == msgVote
}

// stepHigherTerm adopts the term of m where the protocol says so, and reports
// whether m is to be handled further.
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
			return true // granted for the term after ours
		}
	}
	leader := uint64(0)
	if isFromLeader(m.Type) {
		leader = m.From
	}
	r.becomeFollower(m.Term, leader)
	return true
}

// hasActiveLeader reports whether a leader was heard within the shortest election
// timeout; such a replica refuses to help anyone replace it.
func (r *Raft) hasActiveLeader() bool {
	return r.leader != 0 && r.electionElapsed < r.config.ElectionTicks
}

// stepLowerTerm answers a sender that has fallen behind, so that it learns the term.
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
