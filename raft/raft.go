// Package raft implements the Raft consensus protocol as a pure state machine:
// its inputs are messages, ticks and proposals, and Ready returns what to sync,
// send and apply. It does no I/O, reads no clock and starts no goroutine.
//
// The driver handles each Ready in this order: send Messages, make Snapshot,
// HardState and Entries durable, send SyncedMessages (delivering those addressed
// to the replica itself with Step), then call Advance.
package raft

import (
	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// Role is the role of a replica in its current term.
type Role int

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config holds the settings of one replica. A limit of zero selects its default.
type Config struct {
	ID                  uint64
	Incarnation         uint64          // identifies the data folder; never reused by another one
	ElectionTicks       int             // minimum election timeout
	HeartbeatTicks      int             // heartbeat interval
	MaxInflight         int             // unacknowledged appends per member
	MaxMessageBytes     uint64          // size limit of the entries in one append
	MaxUncommittedBytes uint64          // size limit of the leader's uncommitted entries
	SnapshotRetryTicks  int             // time until an unacknowledged snapshot is resent
	Intn                func(n int) int // random source for election timeouts
}

// Default limits.
const (
	DefaultMaxInflight         = 64
	DefaultMaxMessageBytes     = 256 << 10
	DefaultMaxUncommittedBytes = 32 << 20
	snapshotRetryElections     = 4 // in minimum election timeouts; long enough not to resend a snapshot still in transfer
)

// State is the persistent state that a replica restores at startup. The data of
// Snapshot may be empty.
type State struct {
	HardState *api.HardState
	Snapshot  *api.Snapshot
	Entries   []*api.LogEntry // after the snapshot
}

// Raft is the protocol state of one replica. It is not safe for concurrent use.
type Raft struct {
	config      Config
	role        Role
	term        uint64
	vote        uint64
	leader      uint64
	log         entryLog
	memberships []indexedMembership // in order of index; the last one is in effect

	electionElapsed  int // ticks since the last message from the leader or, as leader, since the last quorum check
	heartbeatElapsed int
	electionTimeout  int // randomized

	votes       map[uint64]bool
	progress    map[uint64]*progress
	uncommitted uint64 // as leader: bytes of the entries after the commit index
	transferTo  uint64
	reads       readQueue

	refused        bool
	prevHardState  api.HardState
	persisting     uint64 // last index returned in Ready.Entries
	snapshot       *api.Snapshot
	messages       []*api.RaftMessage
	syncedMessages []*api.RaftMessage
	readStates     []ReadState
}

// New returns a follower restored from state.
func New(config Config, state State) *Raft {
	config.setDefaults()
	r := &Raft{config: config, progress: map[uint64]*progress{}}
	if state.Snapshot != nil {
		r.log.reset(state.Snapshot.Index, state.Snapshot.Term)
		r.memberships = []indexedMembership{{index: state.Snapshot.Index, membership: state.Snapshot.Membership}}
	}
	for _, entry := range state.Entries {
		r.log.append(entry)
		if entry.Type == entryMembership {
			r.addMembership(entry)
		}
	}
	r.log.stable = r.log.lastIndex()
	r.persisting = r.log.lastIndex()
	if state.HardState != nil {
		r.term = state.HardState.Term
		r.vote = state.HardState.Vote
	}
	r.prevHardState.Term, r.prevHardState.Vote = r.term, r.vote
	r.becomeFollower(r.term, 0)
	// A replica that has just started follows no leader. Replicas with an active leader
	// ignore its PreVotes, and after a loss of power everywhere nobody waits longer.
	r.resetCampaignTimeout()
	return r
}

func (c *Config) setDefaults() {
	if c.MaxInflight == 0 {
		c.MaxInflight = DefaultMaxInflight
	}
	if c.SnapshotRetryTicks == 0 {
		c.SnapshotRetryTicks = snapshotRetryElections * c.ElectionTicks
	}
	if c.MaxMessageBytes == 0 {
		c.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if c.MaxUncommittedBytes == 0 {
		c.MaxUncommittedBytes = DefaultMaxUncommittedBytes
	}
}

// Status is a snapshot of the protocol state.
type Status struct {
	Role            Role
	Term            uint64
	Leader          uint64
	Commit          uint64
	LastIndex       uint64
	FirstIndex      uint64
	CommittedInTerm bool // an entry of this term is committed
}

// Status returns the current protocol state.
func (r *Raft) Status() Status {
	return Status{
		Role:            r.role,
		Term:            r.term,
		Leader:          r.leader,
		Commit:          r.log.commit,
		LastIndex:       r.log.lastIndex(),
		FirstIndex:      r.log.firstIndex(),
		CommittedInTerm: r.committedInTerm(),
	}
}

// TermAt returns the term of the entry at index, or false if the log does not
// contain it.
func (r *Raft) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }

// Tick advances the logical clock by one tick.
func (r *Raft) Tick() {
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.electionElapsed >= r.electionTimeout && r.isVoter() {
		r.campaign(PreCandidate, false)
	}
}

func (r *Raft) tickLeader() {
	r.heartbeatElapsed++
	for _, p := range r.progress {
		p.silentTicks++
	}
	r.retrySnapshots()
	if r.electionElapsed >= r.config.ElectionTicks {
		r.electionElapsed = 0
		r.transferTo = 0
		if !r.hasActiveQuorum(r.membership()) {
			r.becomeFollower(r.term, 0)
			return
		}
	}
	if r.heartbeatElapsed >= r.config.HeartbeatTicks {
		r.heartbeatElapsed = 0
		r.broadcastHeartbeat()
	}
}

// isActive reports whether a message from the member arrived within the minimum
// election timeout. The replica itself is always active.
func (r *Raft) isActive(id uint64) bool {
	p := r.progress[id]
	return id == r.config.ID || (p != nil && p.silentTicks <= r.config.ElectionTicks)
}

// Propose appends data as a new entry and returns its index and term. Errors:
// fault.NotLeader, also during a leadership transfer; fault.Overloaded when the
// uncommitted entries would exceed MaxUncommittedBytes.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader || r.transferTo != 0 {
		return 0, 0, fault.New(fault.NotLeader, "this replica does not lead")
	}
	if r.uncommitted > 0 && r.uncommitted+uint64(len(data)) > r.config.MaxUncommittedBytes {
		return 0, 0, fault.New(fault.Overloaded, "too much is uncommitted")
	}
	return r.appendEntry(entryData, data), r.term, nil
}

// Flush sends the entries appended since the last call to the other members.
func (r *Raft) Flush() {
	if r.role == Leader {
		r.broadcastAppend()
	}
}

// isVoter reports whether this replica is a voter under the incarnation of its
// data folder; only then may it campaign.
func (r *Raft) isVoter() bool {
	member := FindMember(r.membership(), r.config.ID)
	return member != nil && member.Role == roleVoter && member.Incarnation == r.config.Incarnation
}

// sendAfterSync queues a message that may be sent only after the pending state
// and entries are durable.
func (r *Raft) sendAfterSync(m *api.RaftMessage) {
	r.fillHeader(m)
	r.syncedMessages = append(r.syncedMessages, m)
}

// sendNow queues a leader's message that need not wait for a sync: the leader's
// term is already durable, and followers may store an entry before the leader does.
func (r *Raft) sendNow(m *api.RaftMessage) {
	r.fillHeader(m)
	r.messages = append(r.messages, m)
}

// fillHeader sets the sender, its incarnation and, if unset, the term.
func (r *Raft) fillHeader(m *api.RaftMessage) {
	m.From = r.config.ID
	m.Incarnation = r.config.Incarnation
	if m.Term == 0 {
		m.Term = r.term
	}
}
