package raft

import (
	"slices"

	"amaranthpaddle/api"
)

// reconcileProgress makes the leader track exactly the members of the membership
// in effect.
func (r *Raft) reconcileProgress() {
	if r.role != Leader {
		return
	}
	membership := r.membership()
	for _, member := range membership.Members {
		if r.progress[member.Id] == nil {
			r.progress[member.Id] = &progress{
				next: r.log.lastIndex() + 1, incarnation: member.Incarnation,
				silentTicks: r.config.ElectionTicks + 1,
			}
		}
	}
	for id := range r.progress {
		if FindMember(membership, id) == nil {
			delete(r.progress, id)
		}
	}
}

// appendEntry appends an entry in the leader's term and returns its index. The
// leader counts it toward the quorum only once it is synced; see selfAck.
func (r *Raft) appendEntry(entryType api.EntryType, data []byte) uint64 {
	entry := &api.LogEntry{Term: r.term, Index: r.log.lastIndex() + 1, Type: entryType, Data: data}
	r.log.append(entry)
	r.uncommitted += entryBytes(entry)
	if entryType == entryMembership {
		r.addMembership(entry)
	}
	return entry.Index
}

// peers returns the ids of all members but this replica.
func (r *Raft) peers() []uint64 {
	ids := make([]uint64, 0, len(r.progress))
	for _, member := range r.membership().Members {
		if member.Id != r.config.ID {
			ids = append(ids, member.Id)
		}
	}
	return ids
}

func (r *Raft) broadcastAppend() {
	for _, id := range r.peers() {
		r.sendAppend(id)
	}
}

// sendAppend sends the entries that the member lacks, up to its inflight limit.
func (r *Raft) sendAppend(to uint64) {
	p := r.progress[to]
	for r.canSend(p) && p.next <= r.log.lastIndex() {
		if !r.sendOneAppend(to, p) {
			return
		}
	}
}

func (r *Raft) canSend(p *progress) bool {
	switch p.state {
	case probing:
		return !p.paused
	case replicating:
		return len(p.inflight) < r.config.MaxInflight
	default:
		return false
	}
}

// sendOneAppend sends one append starting at p.next, or a snapshot if the log is
// compacted past it. It reports whether more appends may follow.
func (r *Raft) sendOneAppend(to uint64, p *progress) bool {
	prevTerm, held := r.log.term(p.next - 1)
	if !held {
		r.sendSnapshot(to, p)
		return false
	}
	entries := r.log.slice(p.next, r.log.lastIndex(), r.config.MaxMessageBytes)
	r.sendNow(&api.RaftMessage{
		Type: msgAppend, To: to,
		LogIndex: p.next - 1, LogTerm: prevTerm, Commit: r.log.commit, Entries: entries,
	})
	if p.state == probing {
		p.paused = true
		return false
	}
	if len(entries) == 0 {
		return false
	}
	p.next += uint64(len(entries))
	p.inflight = append(p.inflight, p.next-1)
	return true
}

// sendSnapshot queues a snapshot message with index and term only; the driver
// fills in the latest snapshot that it holds.
func (r *Raft) sendSnapshot(to uint64, p *progress) {
	p.becomeSnapshotting(r.log.compactIndex)
	r.sendNow(&api.RaftMessage{
		Type: msgSnapshot, To: to,
		Snapshot: &api.Snapshot{Index: r.log.compactIndex, Term: r.log.compactTerm},
	})
}

// SnapshotFailed reports that a snapshot could not be delivered to a member.
func (r *Raft) SnapshotFailed(to uint64) {
	p := r.progress[to]
	if r.role == Leader && p != nil && p.state == snapshotting {
		p.becomeProbing()
		p.paused = true // until the next heartbeat response
	}
}

func (r *Raft) broadcastHeartbeat() {
	for _, id := range r.peers() {
		index := min(r.progress[id].match, r.log.commit)
		term, held := r.log.term(index)
		if !held {
			index = 0
		}
		r.sendNow(&api.RaftMessage{
			Type: msgHeartbeat, To: id,
			LogIndex: index, LogTerm: term, Read: r.reads.round,
		})
	}
}

// handleHeartbeat advances the commit index to that of the heartbeat only if the
// log matches there: a learner that lost its disk may have a different entry.
func (r *Raft) handleHeartbeat(m *api.RaftMessage) {
	if r.log.matches(m.LogIndex, m.LogTerm) {
		r.commitTo(m.LogIndex)
	}
	r.sendAfterSync(&api.RaftMessage{Type: msgHeartbeatResponse, To: m.From, Read: m.Read})
}

// handleAppend stores the entries that follow a matching one. Entries that the
// log already contains are kept: a delayed append must not truncate newer ones.
func (r *Raft) handleAppend(m *api.RaftMessage) {
	response := &api.RaftMessage{Type: msgAppendResponse, To: m.From, LogIndex: m.LogIndex}
	if m.LogIndex < r.log.commit {
		response.LogIndex = r.log.commit
		r.sendAfterSync(response)
		return
	}
	if !r.log.matches(m.LogIndex, m.LogTerm) {
		response.Reject = true
		response.HintIndex, response.HintTerm = r.log.lastIndexUpToTerm(m.LogIndex, m.LogTerm)
		r.sendAfterSync(response)
		return
	}
	for _, entry := range m.Entries {
		r.storeEntry(entry)
	}
	response.LogIndex = m.LogIndex + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, response.LogIndex))
	r.sendAfterSync(response)
}

func (r *Raft) storeEntry(entry *api.LogEntry) {
	if r.log.matches(entry.Index, entry.Term) {
		return
	}
	if entry.Index <= r.log.lastIndex() {
		r.log.truncateFrom(entry.Index)
		r.truncateMemberships(entry.Index)
		r.persisting = min(r.persisting, entry.Index-1)
	}
	r.log.append(entry)
	if entry.Type == entryMembership {
		r.addMembership(entry)
	}
}

func (r *Raft) commitTo(index uint64) { r.log.commit = max(r.log.commit, index) }

// handleSnapshot replaces the log by a snapshot, unless the log already contains
// the snapshot's last entry.
func (r *Raft) handleSnapshot(m *api.RaftMessage) {
	snapshot := m.Snapshot
	response := &api.RaftMessage{Type: msgAppendResponse, To: m.From}
	if snapshot.Index <= r.log.commit {
		response.LogIndex = r.log.commit
		r.sendAfterSync(response)
		return
	}
	if r.log.matches(snapshot.Index, snapshot.Term) {
		r.commitTo(snapshot.Index)
		response.LogIndex = snapshot.Index
		r.sendAfterSync(response)
		return
	}
	r.log.reset(snapshot.Index, snapshot.Term)
	r.memberships = []indexedMembership{{index: snapshot.Index, membership: snapshot.Membership}}
	r.persisting = snapshot.Index
	r.snapshot = snapshot
	response.LogIndex = snapshot.Index
	r.sendAfterSync(response)
}

// markActive records that the sender is active and returns its progress, or nil
// if this replica is not the leader or doesn't track the sender.
func (r *Raft) markActive(m *api.RaftMessage) *progress {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return nil
	}
	p.setIncarnation(m.Incarnation)
	p.silentTicks = 0
	return p
}

func (r *Raft) handleAppendResponse(m *api.RaftMessage) {
	p := r.markActive(m)
	if p == nil {
		return
	}
	if m.Reject {
		r.handleRejection(m, p)
		return
	}
	advanced := p.ack(m.LogIndex)
	switch {
	case p.state == probing && (advanced || p.match == m.LogIndex):
		p.becomeReplicating()
	case p.state == snapshotting && p.match >= p.snapshotIndex:
		p.becomeReplicating()
	}
	if advanced && r.maybeCommit() {
		r.broadcastAppend()
	} else if m.From != r.config.ID {
		r.sendAppend(m.From)
	}
	if m.From == r.transferTo && p.match == r.log.lastIndex() {
		r.sendTimeoutNow(m.From)
	}
}

// handleRejection moves p.next back to where the member's log may match.
func (r *Raft) handleRejection(m *api.RaftMessage, p *progress) {
	if m.LogIndex <= p.match || p.state == snapshotting {
		return
	}
	if p.state == probing && m.LogIndex != p.next-1 {
		return
	}
	hint, _ := r.log.lastIndexUpToTerm(m.HintIndex, m.HintTerm)
	p.becomeProbing()
	p.next = max(min(m.LogIndex, hint+1), p.match+1)
	r.sendAppend(m.From)
}

func (r *Raft) handleHeartbeatResponse(m *api.RaftMessage) {
	p := r.markActive(m)
	if p == nil {
		return
	}
	p.paused = false
	if p.match < r.log.lastIndex() {
		r.resendMissing(m.From, p)
	}
	if m.Read > p.readRound {
		p.readRound = m.Read
		r.confirmReads()
	}
}

// resendMissing sends to a member that lacks entries. If all of them were sent
// already or the inflight limit is reached, it sends an empty append: the member
// rejects it if earlier appends were lost, which shows what to resend.
func (r *Raft) resendMissing(to uint64, p *progress) {
	switch {
	case p.state == snapshotting:
	case p.next > r.log.lastIndex():
		r.sendOneAppend(to, p)
	case r.canSend(p):
		r.sendAppend(to)
	default:
		r.sendEmptyAppend(to, p)
	}
}

func (r *Raft) sendEmptyAppend(to uint64, p *progress) {
	prevTerm, held := r.log.term(p.next - 1)
	if !held {
		p.becomeProbing() // the log is compacted past the inflight appends: a snapshot is needed
		r.sendAppend(to)
		return
	}
	r.sendNow(&api.RaftMessage{
		Type: msgAppend, To: to,
		LogIndex: p.next - 1, LogTerm: prevTerm, Commit: r.log.commit,
	})
}

// retrySnapshots returns members to probing whose snapshot is not acknowledged
// within SnapshotRetryTicks.
func (r *Raft) retrySnapshots() {
	for _, p := range r.progress {
		if p.state != snapshotting {
			continue
		}
		p.snapshotAge++
		if p.snapshotAge >= r.config.SnapshotRetryTicks {
			p.becomeProbing() // sends the snapshot again if the member still needs it
		}
	}
}

// maybeCommit advances the commit index to the last index synced by a majority of
// the voters, if that entry is of the current term. It reports whether it advanced.
func (r *Raft) maybeCommit() bool {
	voters := Voters(r.membership())
	matches := make([]uint64, 0, len(voters))
	for _, id := range voters {
		matches = append(matches, r.progress[id].match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-quorum(len(matches))]
	if index <= r.log.commit || !r.log.matches(index, r.term) {
		return false
	}
	for _, entry := range r.log.slice(r.log.commit+1, index, ^uint64(0)) {
		r.uncommitted -= min(r.uncommitted, entryBytes(entry))
	}
	r.log.commit = index
	r.startDeferredReads()
	return true
}

// committedInTerm reports whether an entry of the current term is committed.
func (r *Raft) committedInTerm() bool {
	return r.log.matches(r.log.commit, r.term)
}
