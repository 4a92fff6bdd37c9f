package raft

import "amaranthpaddle/api"

func (r *Raft) becomeFollower(term, leader uint64) {
	if term > r.term {
		r.term = term
		r.vote = 0
	}
	r.role = Follower
	r.leader = leader
	r.transferTo = 0
	r.votes = nil
	r.reads = readQueue{}
	r.resetElectionTimeout()
	clear(r.progress)
}

// resetElectionTimeout starts a new randomized timeout. It exceeds the window of
// hasActiveLeader by at least one heartbeat interval, so that the window has
// ended at the other replicas too.
func (r *Raft) resetElectionTimeout() {
	r.resetCampaignTimeout()
	r.electionTimeout += r.config.ElectionTicks
}

// resetCampaignTimeout starts the shorter timeout of a campaign: after a split
// vote there is no leader whose hasActiveLeader window has to end first.
func (r *Raft) resetCampaignTimeout() {
	r.electionElapsed = 0
	r.electionTimeout = r.config.HeartbeatTicks + r.config.Intn(r.config.ElectionTicks)
}

// followLeader records a message from the leader of this term, and follows it
// if the replica did not yet.
func (r *Raft) followLeader(leader uint64) {
	if r.role != Follower || r.leader != leader {
		r.becomeFollower(r.term, leader)
	}
	r.electionElapsed = 0
}

// campaign requests votes, as PreCandidate without changing the term or as
// Candidate in a new term. transfer marks a campaign requested by the leader.
func (r *Raft) campaign(role Role, transfer bool) {
	r.role = role
	r.leader = 0
	r.votes = map[uint64]bool{}
	r.resetCampaignTimeout()
	request := api.RaftMessage{Type: msgPreVote, Term: r.term + 1}
	if role == Candidate {
		r.term++
		r.vote = r.config.ID
		request.Type = msgVote
		request.Term = r.term
		request.Transfer = transfer
	}
	for _, id := range Voters(r.membership()) {
		if id == r.config.ID {
			r.voteForSelf(role)
			continue
		}
		r.sendAfterSync(&api.RaftMessage{
			Type: request.Type, To: id, Term: request.Term, Transfer: request.Transfer,
			LogIndex: r.log.lastIndex(), LogTerm: r.log.lastTerm(),
		})
	}
}

// voteForSelf sends the replica's own vote to itself after the sync, so that it
// counts only once it is durable.
func (r *Raft) voteForSelf(role Role) {
	vote := &api.RaftMessage{Type: msgVoteResponse, To: r.config.ID}
	if role == PreCandidate {
		vote.Type = msgPreVoteResponse
		vote.Term = r.term + 1
	}
	r.sendAfterSync(vote)
}

// handleVote responds to a vote request. The response to a PreVote carries the
// requested term if granted, and a PreVote changes no state.
func (r *Raft) handleVote(m *api.RaftMessage) {
	preVote := m.Type == msgPreVote
	canVote := r.vote == m.From || (r.vote == 0 && r.leader == 0)
	if preVote {
		canVote = m.Term > r.term
	}
	granted := canVote && r.log.isUpToDate(m.LogIndex, m.LogTerm)
	response := &api.RaftMessage{Type: msgVoteResponse, To: m.From, Reject: !granted}
	if preVote {
		response.Type = msgPreVoteResponse
	}
	if granted {
		response.Term = m.Term
	}
	if granted && !preVote {
		r.vote = m.From
		r.electionElapsed = 0
	}
	r.sendAfterSync(response)
}

func (r *Raft) handleVoteResponse(m *api.RaftMessage) {
	preVote := m.Type == msgPreVoteResponse
	if preVote && (r.role != PreCandidate || (!m.Reject && m.Term != r.term+1)) {
		return
	}
	if !preVote && r.role != Candidate {
		return
	}
	r.votes[m.From] = !m.Reject
	granted, rejected := 0, 0
	voters := Voters(r.membership())
	for _, id := range voters {
		vote, answered := r.votes[id]
		if answered && vote {
			granted++
		}
		if answered && !vote {
			rejected++
		}
	}
	needed := quorum(len(voters))
	switch {
	case granted >= needed && preVote:
		r.campaign(Candidate, false)
	case granted >= needed:
		r.becomeLeader()
	case rejected >= needed:
		r.becomeFollower(r.term, 0)
		r.resetCampaignTimeout()
	}
}

// becomeLeader appends an empty entry in the new term: entries of earlier terms
// are committed only indirectly, by committing an entry of the leader's own term.
func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.config.ID
	r.votes = nil
	r.electionElapsed = 0
	r.heartbeatElapsed = 0
	r.reads = readQueue{}
	r.uncommitted = 0
	clear(r.progress)
	r.reconcileProgress()
	for _, p := range r.progress {
		p.silentTicks = 0 // each member has a full minimum election timeout to respond
	}
	r.appendEntry(entryNoop, nil)
	r.broadcastAppend()
}

// TransferLeadership starts a transfer of the leadership to a voter, or to the
// active voter with the most complete log if to is 0. It reports whether a
// transfer started.
func (r *Raft) TransferLeadership(to uint64) bool {
	if r.role != Leader {
		return false
	}
	if to == 0 {
		to = r.mostAdvancedVoter()
	}
	if to == 0 || to == r.config.ID || !IsVoter(r.membership(), to) {
		return false
	}
	r.transferTo = to
	r.electionElapsed = 0
	if r.progress[to].match == r.log.lastIndex() {
		r.sendTimeoutNow(to)
	} else {
		r.sendAppend(to)
	}
	return true
}

func (r *Raft) mostAdvancedVoter() uint64 {
	best := uint64(0)
	for _, id := range Voters(r.membership()) {
		if id == r.config.ID || !r.isActive(id) {
			continue
		}
		if best == 0 || r.progress[id].match > r.progress[best].match {
			best = id
		}
	}
	return best
}

func (r *Raft) sendTimeoutNow(to uint64) {
	r.sendNow(&api.RaftMessage{Type: msgTimeoutNow, To: to})
}

func (r *Raft) handleTimeoutNow() {
	if r.role != Leader && r.isVoter() {
		r.campaign(Candidate, true)
	}
}
