package raft

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// indexedMembership is a membership and the index of the entry or snapshot that
// contains it.
type indexedMembership struct {
	index      uint64
	membership *api.Membership
}

// FindMember returns the member with the given id, or nil.
func FindMember(membership *api.Membership, id uint64) *api.Member {
	for _, member := range membership.GetMembers() {
		if member.Id == id {
			return member
		}
	}
	return nil
}

// IsVoter reports whether id is a voter of membership.
func IsVoter(membership *api.Membership, id uint64) bool {
	member := FindMember(membership, id)
	return member != nil && member.Role == roleVoter
}

// Voters returns the ids of the voters of membership.
func Voters(membership *api.Membership) []uint64 {
	var ids []uint64
	for _, member := range membership.GetMembers() {
		if member.Role == roleVoter {
			ids = append(ids, member.Id)
		}
	}
	return ids
}

// quorum returns the size of a majority of the voters.
func quorum(voters int) int { return voters/2 + 1 }

// membership returns the latest membership in the log, committed or not.
func (r *Raft) membership() *api.Membership {
	if len(r.memberships) == 0 {
		return &api.Membership{}
	}
	return r.memberships[len(r.memberships)-1].membership
}

// MembershipAt returns the membership in effect at index.
func (r *Raft) MembershipAt(index uint64) *api.Membership {
	for i := len(r.memberships) - 1; i >= 0; i-- {
		if r.memberships[i].index <= index {
			return r.memberships[i].membership
		}
	}
	return &api.Membership{}
}

// Membership returns the latest membership and whether it is committed.
func (r *Raft) Membership() (*api.Membership, bool) {
	return r.membership(), r.membershipCommitted()
}

func (r *Raft) membershipCommitted() bool {
	return len(r.memberships) == 0 || r.memberships[len(r.memberships)-1].index <= r.log.commit
}

// addMembership puts the membership of an entry into effect. A membership takes
// effect when it is appended to the log, before it is committed.
func (r *Raft) addMembership(entry *api.LogEntry) {
	membership := &api.Membership{}
	if err := proto.Unmarshal(entry.Data, membership); err != nil {
		panic("raft: decode membership entry: " + err.Error())
	}
	r.memberships = append(r.memberships, indexedMembership{index: entry.Index, membership: membership})
	r.reconcileProgress()
}

// truncateMemberships removes the memberships of truncated entries, from index
// onward.
func (r *Raft) truncateMemberships(index uint64) {
	for len(r.memberships) > 0 && r.memberships[len(r.memberships)-1].index >= index {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
	r.reconcileProgress()
}

// compactMemberships removes the memberships that were replaced at or before index.
func (r *Raft) compactMemberships(index uint64) {
	for len(r.memberships) > 1 && r.memberships[1].index <= index {
		r.memberships = r.memberships[1:]
	}
}

// AddLearner proposes a new member that receives the log and does not vote.
// Errors: fault.NotLeader; fault.Conflict for an id that is or was a member, for
// the address of an active member, or while another change is not committed.
func (r *Raft) AddLearner(id uint64, address string) error {
	if err := r.checkMembershipChange(); err != nil {
		return err
	}
	membership := cloneMembership(r.membership())
	if id == 0 || FindMember(membership, id) != nil || slices.Contains(membership.Removed, id) {
		return fault.Newf(fault.Conflict, "member id %d is or was in use", id)
	}
	for _, member := range membership.Members {
		if member.Address == address && r.isActive(member.Id) {
			return fault.Newf(fault.Conflict, "address %s belongs to member %d", address, member.Id)
		}
	}
	learner := &api.Member{Id: id, Address: address, Role: roleLearner}
	membership.Members = append(membership.Members, learner)
	slices.SortFunc(membership.Members, func(a, b *api.Member) int { return cmp.Compare(a.Id, b.Id) })
	return r.proposeMembership(membership)
}

// maxPromotionLag is the number of committed entries that a learner may lack when
// it becomes a voter. It must also have synced up to its promotionIndex.
const maxPromotionLag = 64

// Promote proposes that a learner becomes a voter. Errors: fault.NotLeader;
// fault.NotFound for an id that is no learner; fault.Conflict while another
// change is not committed, while the learner is inactive or lags, or when too few
// voters are active. A learner lags if it lacks entries that were committed at
// the first promotion request or more than maxPromotionLag committed ones; under
// steady load a distant learner never has all entries committed by now.
func (r *Raft) Promote(id uint64) error {
	if err := r.checkMembershipChange(); err != nil {
		return err
	}
	membership := cloneMembership(r.membership())
	member := FindMember(membership, id)
	if member == nil || member.Role != roleLearner {
		return fault.Newf(fault.NotFound, "no learner with id %d", id)
	}
	progress := r.progress[id]
	if progress.promotionIndex == 0 {
		progress.promotionIndex = r.log.commit
	}
	behind := progress.match < progress.promotionIndex || progress.match+maxPromotionLag < r.log.commit
	if !r.isActive(id) || progress.incarnation == 0 || behind {
		return fault.Newf(fault.Conflict, "learner %d has synced up to %d of %d", id, progress.match, r.log.commit)
	}
	member.Role = roleVoter
	member.Incarnation = progress.incarnation
	if !r.hasActiveQuorum(membership) {
		return fault.New(fault.Conflict, "too few voters answer for this change")
	}
	return r.proposeMembership(membership)
}

// Remove proposes the permanent removal of a member. Errors: fault.NotLeader;
// fault.NotFound for an unknown id; fault.Conflict for the leader itself, while
// another change is not committed, or when the remaining voters have no active
// quorum.
func (r *Raft) Remove(id uint64) error {
	if err := r.checkMembershipChange(); err != nil {
		return err
	}
	membership := cloneMembership(r.membership())
	if FindMember(membership, id) == nil {
		return fault.Newf(fault.NotFound, "no member with id %d", id)
	}
	if id == r.config.ID {
		return fault.New(fault.Conflict, "the leader can't remove itself; transfer the leadership first")
	}
	membership.Members = slices.DeleteFunc(membership.Members, func(m *api.Member) bool { return m.Id == id })
	membership.Removed = append(membership.Removed, id)
	if !r.hasActiveQuorum(membership) {
		return fault.New(fault.Conflict, "too few of the remaining voters answer")
	}
	return r.proposeMembership(membership)
}

// checkMembershipChange returns an error unless a membership change may be
// proposed now. Two concurrent uncommitted changes could have disjoint majorities.
func (r *Raft) checkMembershipChange() error {
	if r.role != Leader || r.transferTo != 0 {
		return fault.New(fault.NotLeader, "membership changes go to the leader")
	}
	if !r.membershipCommitted() || !r.committedInTerm() {
		return fault.New(fault.Conflict, "another membership change is not committed yet")
	}
	return nil
}

func (r *Raft) proposeMembership(membership *api.Membership) error {
	data, err := proto.Marshal(membership)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode membership")
	}
	r.appendEntry(entryMembership, data)
	r.broadcastAppend()
	return nil
}

func cloneMembership(membership *api.Membership) *api.Membership {
	return proto.Clone(membership).(*api.Membership)
}

// hasActiveQuorum reports whether a majority of the voters of membership is active.
func (r *Raft) hasActiveQuorum(membership *api.Membership) bool {
	voters := Voters(membership)
	active := 0
	for _, id := range voters {
		if r.isActive(id) {
			active++
		}
	}
	return active >= quorum(len(voters))
}

// MemberProgress returns the last entry known to be synced at a member and
// whether the member is active. Without leadership or for an unknown member it
// returns 0 and false.
func (r *Raft) MemberProgress(id uint64) (match uint64, active bool) {
	p := r.progress[id]
	if p == nil {
		return 0, false
	}
	return p.match, r.isActive(id)
}
