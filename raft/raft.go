// Package raft is the consensus protocol as a pure state machine: messages,
// ticks and proposals go in, and Ready hands out what to sync, send and apply.
// It does no I/O, reads no clock and starts no goroutine.
//
// The driver handles each Ready in this order: send Messages, make Snapshot,
// HardState and Entries durable, send SyncedMessages (delivering those addressed
// to the replica itself with Step), then call Advance.
package raft

import (
	"slices"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// Role is what a replica currently does in its term.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config holds the settings of one replica. Zero limits mean the defaults.
type Config struct {
	ID                  uint64
	Incarnation         uint64          // of the data folder; never used by another folder
	ElectionTicks       int             // shortest silence of a leader before an election
	HeartbeatTicks      int             // between heartbeats
	MaxInflight         int             // unanswered appends a member
	MaxMessageBytes     uint64          // entries of one append
	MaxUncommittedBytes uint64          // entries that the leader holds uncommitted
	SnapshotRetryTicks  int             // after which an unacknowledged snapshot is sent again
	Intn                func(n int) int // random source of the election timeout
}

// Default limits.
const (
	DefaultMaxInflight         = 64
	DefaultMaxMessageBytes     = 256 << 10
	DefaultMaxUncommittedBytes = 32 << 20
	snapshotRetryElections     = 40 // in shortest election timeouts
)

// State is what a replica restores from its disk. Snapshot needs no data.
type State struct {
	HardState *api.HardState
	Snapshot  *api.Snapshot
	Entries   []*api.LogEntry // after the snapshot
}

// Raft is the protocol state of one replica. It is not safe for concurrent use.
type Raft struct {
	config Config
	role   Role
	term   uint64
	vote   uint64
	leader uint64
	log    entryLog
	tables []membershipAt // in order of index; the last one is in force

	electionElapsed  int // ticks since the leader was heard, or since the last quorum check
	heartbeatElapsed int
	electionTimeout  int // randomized

	votes       map[uint64]bool
	progress    map[uint64]*progress
	uncommitted uint64 // bytes of entries after commit, as leader
	transferTo  uint64
	reads       readQueue

	refused        bool
	saved          api.HardState
	written        uint64 // last index handed out in Ready.Entries
	snapshot       *api.Snapshot
	messages       []*api.RaftMessage
	syncedMessages []*api.RaftMessage
	readStates     []ReadState
}

// New returns the protocol state restored from state.
func New(config Config, state State) *Raft {
	config.setDefaults()
	r := &Raft{config: config, progress: map[uint64]*progress{}}
	if state.Snapshot != nil {
		r.log.reset(state.Snapshot.Index, state.Snapshot.Term)
		r.tables = []membershipAt{{index: state.Snapshot.Index, table: state.Snapshot.Membership}}
	}
	for _, entry := range state.Entries {
		r.log.append(entry)
		if entry.Type == api.EntryType_ENTRY_TYPE_MEMBERSHIP {
			r.addTable(entry)
		}
	}
	r.log.stable = r.log.lastIndex()
	r.written = r.log.lastIndex()
	if state.HardState != nil {
		r.term = state.HardState.Term
		r.vote = state.HardState.Vote
	}
	r.saved.Term, r.saved.Vote = r.term, r.vote
	r.becomeFollower(r.term, 0)
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

// Status is a view of the protocol state.
type Status struct {
	Role        Role
	Term        uint64
	Leader      uint64
	Commit      uint64
	LastIndex   uint64
	FirstIndex  uint64
	CommittedIn bool // an entry of this term is committed
}

// Status returns the current view.
func (r *Raft) Status() Status {
	return Status{
		Role:        r.role,
		Term:        r.term,
		Leader:      r.leader,
		Commit:      r.log.commit,
		LastIndex:   r.log.lastIndex(),
		FirstIndex:  r.log.firstIndex(),
		CommittedIn: r.committedInTerm(),
	}
}

// TermAt returns the term of the entry at index, and false when the log does
// not hold it.
func (r *Raft) TermAt(index uint64) (uint64, bool) { return r.log.term(index) }

// Tick advances the replica's clock by one tick.
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

// isActive reports whether the member was heard within the shortest election timeout.
func (r *Raft) isActive(id uint64) bool {
	p := r.progress[id]
	return id == r.config.ID || (p != nil && p.silentTicks <= r.config.ElectionTicks)
}

// Propose appends data as a new entry and returns its index and term. Errors:
// fault.NotLeader; fault.Overloaded when too many bytes are uncommitted.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader || r.transferTo != 0 {
		return 0, 0, fault.New(fault.NotLeader, "this replica does not lead")
	}
	if r.uncommitted > 0 && r.uncommitted+uint64(len(data)) > r.config.MaxUncommittedBytes {
		return 0, 0, fault.New(fault.Overloaded, "too much is uncommitted")
	}
	return r.appendOwn(api.EntryType_ENTRY_TYPE_DATA, data), r.term, nil
}

// Flush sends the proposals appended since the last call to the members.
func (r *Raft) Flush() {
	if r.role == Leader {
		r.broadcastAppend()
	}
}

// Step takes in a message from another replica, or from itself after a sync.
func (r *Raft) Step(m *api.RaftMessage) {
	if !r.Accepts(m) {
		r.refuse(m)
		return
	}
	if m.Type == api.RaftMessageType_RAFT_MESSAGE_TYPE_REFUSED {
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
	table, committed := r.membership(), r.MembershipAt(r.log.commit)
	if slices.Contains(committed.Removed, m.From) {
		return false
	}
	member := FindMember(table, m.From)
	if member == nil {
		member = FindMember(committed, m.From)
	}
	if member == nil {
		return len(table.Members) == 0 || isFromLeader(m.Type) || isVoteRequest(m.Type)
	}
	return member.Incarnation == 0 || member.Incarnation == m.Incarnation
}

// isFromLeader reports whether only a leader sends messages of this type.
func isFromLeader(t api.RaftMessageType) bool {
	switch t {
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND,
		api.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT,
		api.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT:
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
	r.send(&api.RaftMessage{Type: api.RaftMessageType_RAFT_MESSAGE_TYPE_REFUSED, To: m.From, Read: m.Incarnation})
}

// Refused reports whether the group knows this replica's id with another data
// folder. Such a replica is never heard.
func (r *Raft) Refused() bool { return r.refused }

func isVoteRequest(t api.RaftMessageType) bool {
	return t == api.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE || t == api.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE
}

// stepHigherTerm adopts the term of m where the protocol says so, and reports
// whether m is to be handled further.
func (r *Raft) stepHigherTerm(m *api.RaftMessage) bool {
	switch m.Type {
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE:
		return !r.leaderIsFresh()
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE:
		if r.leaderIsFresh() && !(m.Transfer && IsVoter(r.membership(), m.From)) {
			return false
		}
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_RESPONSE:
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

// leaderIsFresh reports whether a leader was heard within the shortest election
// timeout; such a replica refuses to help anyone replace it.
func (r *Raft) leaderIsFresh() bool {
	return r.leader != 0 && r.electionElapsed < r.config.ElectionTicks
}

// stepLowerTerm answers a sender that has fallen behind, so that it learns the term.
func (r *Raft) stepLowerTerm(m *api.RaftMessage) {
	switch {
	case isFromLeader(m.Type):
		r.send(&api.RaftMessage{Type: api.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE, To: m.From, Reject: true})
	case m.Type == api.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE:
		r.send(&api.RaftMessage{Type: api.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_RESPONSE, To: m.From, Reject: true})
	}
}

func (r *Raft) stepCurrentTerm(m *api.RaftMessage) {
	switch m.Type {
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE, api.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE:
		r.handleVote(m)
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_RESPONSE, api.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_RESPONSE:
		r.handleVoteResponse(m)
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND:
		r.hearLeader(m.From)
		r.handleAppend(m)
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT:
		r.hearLeader(m.From)
		r.handleHeartbeat(m)
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT:
		r.hearLeader(m.From)
		r.handleSnapshot(m)
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_RESPONSE:
		r.handleAppendResponse(m)
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_RESPONSE:
		r.handleHeartbeatResponse(m)
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW:
		r.handleTimeoutNow()
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_READ_INDEX:
		r.handleReadIndex(m)
	case api.RaftMessageType_RAFT_MESSAGE_TYPE_READ_INDEX_RESPONSE:
		r.readStates = append(r.readStates, ReadState{ID: m.Read, Index: m.LogIndex})
	}
}

// isVoter reports whether this replica, with this data folder, may campaign.
func (r *Raft) isVoter() bool {
	member := FindMember(r.membership(), r.config.ID)
	return member != nil && member.Role == api.MemberRole_MEMBER_ROLE_VOTER && member.Incarnation == r.config.Incarnation
}

// send queues a message that must wait for the sync of what precedes it.
func (r *Raft) send(m *api.RaftMessage) {
	r.address(m)
	r.syncedMessages = append(r.syncedMessages, m)
}

// sendNow queues a leader's message. Its term is durable already, and followers
// may store an entry before the leader has.
func (r *Raft) sendNow(m *api.RaftMessage) {
	r.address(m)
	r.messages = append(r.messages, m)
}

func (r *Raft) address(m *api.RaftMessage) {
	m.From = r.config.ID
	m.Incarnation = r.config.Incarnation
	if m.Term == 0 {
		m.Term = r.term
	}
}
