package raft

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// membershipAt is the member table that an entry or snapshot brought in.
type membershipAt struct {
	index uint64
	table *api.Membership
}

// FindMember returns the member with the id, or nil.
func FindMember(table *api.Membership, id uint64) *api.Member {
	for _, member := range table.GetMembers() {
		if member.Id == id {
			return member
		}
	}
	return nil
}

// IsVoter reports whether id is a voter of table.
func IsVoter(table *api.Membership, id uint64) bool {
	member := FindMember(table, id)
	return member != nil && member.Role == roleVoter
}

// Voters returns the ids of the voters of table.
func Voters(table *api.Membership) []uint64 {
	var ids []uint64
	for _, member := range table.GetMembers() {
		if member.Role == roleVoter {
			ids = append(ids, member.Id)
		}
	}
	return ids
}

// quorum returns the smallest number of voters that is a majority.
func quorum(voters int) int { return voters/2 + 1 }

// membership returns the latest table in the log, committed or not.
func (r *Raft) membership() *api.Membership {
	if len(r.tables) == 0 {
		return &api.Membership{}
	}
	return r.tables[len(r.tables)-1].table
}

// MembershipAt returns the member table in force at index.
func (r *Raft) MembershipAt(index uint64) *api.Membership {
	for i := len(r.tables) - 1; i >= 0; i-- {
		if r.tables[i].index <= index {
			return r.tables[i].table
		}
	}
	return &api.Membership{}
}

// Membership returns the latest member table and whether it is committed.
func (r *Raft) Membership() (*api.Membership, bool) {
	return r.membership(), r.membershipCommitted()
}

func (r *Raft) membershipCommitted() bool {
	return len(r.tables) == 0 || r.tables[len(r.tables)-1].index <= r.log.commit
}

// addTable puts the table of a membership entry in force. A table is in force
// from the moment it is in the log, before it is committed.
func (r *Raft) addTable(entry *api.LogEntry) {
	table := &api.Membership{}
	if err := proto.Unmarshal(entry.Data, table); err != nil {
		panic("raft: undecodable membership entry: " + err.Error())
	}
	r.tables = append(r.tables, membershipAt{index: entry.Index, table: table})
	r.syncProgress()
}

// dropTablesFrom undoes the tables of truncated entries.
func (r *Raft) dropTablesFrom(index uint64) {
	for len(r.tables) > 0 && r.tables[len(r.tables)-1].index >= index {
		r.tables = r.tables[:len(r.tables)-1]
	}
	r.syncProgress()
}

// dropTablesBefore forgets the tables that were replaced at or before index.
func (r *Raft) dropTablesBefore(index uint64) {
	for len(r.tables) > 1 && r.tables[1].index <= index {
		r.tables = r.tables[1:]
	}
}

// AddLearner proposes a new member that receives the log and does not vote.
// Errors: fault.NotLeader; fault.Conflict for an id that is or was a member, or
// while another change is not committed.
func (r *Raft) AddLearner(id uint64, address string) error {
	if err := r.checkChange(); err != nil {
		return err
	}
	table := cloneTable(r.membership())
	if id == 0 || FindMember(table, id) != nil || slices.Contains(table.Removed, id) {
		return fault.Newf(fault.Conflict, "member id %d is or was in use", id)
	}
	for _, member := range table.Members {
		if member.Address == address && r.isActive(member.Id) {
			return fault.Newf(fault.Conflict, "address %s belongs to member %d", address, member.Id)
		}
	}
	learner := &api.Member{Id: id, Address: address, Role: roleLearner}
	table.Members = append(table.Members, learner)
	slices.SortFunc(table.Members, func(a, b *api.Member) int { return cmp.Compare(a.Id, b.Id) })
	return r.proposeTable(table)
}

// promoteLag is how many committed entries a learner may lack when it becomes a
// voter, besides those that it was asked to sync first.
const promoteLag = 64

// Promote proposes that a learner becomes a voter. Errors: fault.NotLeader;
// fault.NotFound for an id that is no learner; fault.Conflict while another
// change is not committed, or the learner has not synced what was committed when
// its promotion was first asked for: under steady load a distant one never has
// all that is committed by now.
func (r *Raft) Promote(id uint64) error {
	if err := r.checkChange(); err != nil {
		return err
	}
	table := cloneTable(r.membership())
	member := FindMember(table, id)
	if member == nil || member.Role != roleLearner {
		return fault.Newf(fault.NotFound, "no learner with id %d", id)
	}
	progress := r.progress[id]
	if progress.promoteAt == 0 {
		progress.promoteAt = r.log.commit
	}
	behind := progress.match < progress.promoteAt || progress.match+promoteLag < r.log.commit
	if !r.isActive(id) || progress.incarnation == 0 || behind {
		return fault.Newf(fault.Conflict, "learner %d has synced up to %d of %d", id, progress.match, r.log.commit)
	}
	member.Role = roleVoter
	member.Incarnation = progress.incarnation
	if !r.hasActiveQuorum(table) {
		return fault.New(fault.Conflict, "too few voters answer for this change")
	}
	return r.proposeTable(table)
}

// Remove proposes that a member leaves for good. Errors: fault.NotLeader;
// fault.NotFound for an unknown id; fault.Conflict for the leader itself, while
// another change is not committed, or when the rest would have no quorum.
func (r *Raft) Remove(id uint64) error {
	if err := r.checkChange(); err != nil {
		return err
	}
	table := cloneTable(r.membership())
	if FindMember(table, id) == nil {
		return fault.Newf(fault.NotFound, "no member with id %d", id)
	}
	if id == r.config.ID {
		return fault.New(fault.Conflict, "the leader can't remove itself; transfer the leadership first")
	}
	table.Members = slices.DeleteFunc(table.Members, func(m *api.Member) bool { return m.Id == id })
	table.Removed = append(table.Removed, id)
	if !r.hasActiveQuorum(table) {
		return fault.New(fault.Conflict, "too few of the remaining voters answer")
	}
	return r.proposeTable(table)
}

// checkChange reports whether a membership change may be proposed now. Two
// uncommitted changes at once could have disjoint majorities.
func (r *Raft) checkChange() error {
	if r.role != Leader || r.transferTo != 0 {
		return fault.New(fault.NotLeader, "membership changes go to the leader")
	}
	if !r.membershipCommitted() || !r.committedInTerm() {
		return fault.New(fault.Conflict, "another membership change is not committed yet")
	}
	return nil
}

func (r *Raft) proposeTable(table *api.Membership) error {
	data, err := proto.Marshal(table)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode membership")
	}
	r.appendOwn(entryMembership, data)
	r.broadcastAppend()
	return nil
}

func cloneTable(table *api.Membership) *api.Membership {
	return proto.Clone(table).(*api.Membership)
}

// hasActiveQuorum reports whether a majority of the table's voters was heard
// from within the shortest election timeout.
func (r *Raft) hasActiveQuorum(table *api.Membership) bool {
	voters := Voters(table)
	active := 0
	for _, id := range voters {
		if r.isActive(id) {
			active++
		}
	}
	return active >= quorum(len(voters))
}

// MemberProgress returns the last entry known to be synced at a member and
// whether it answered lately. It knows nothing unless this replica leads.
func (r *Raft) MemberProgress(id uint64) (match uint64, active bool) {
	p := r.progress[id]
	if p == nil {
		return 0, false
	}
	return p.match, r.isActive(id)
}
