package replica

import (
	"context"
	"slices"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/raft"
)

// MemberStatus is one member of the group as this replica sees it.
type MemberStatus struct {
	ID      uint64
	Address string
	Voter   bool // else a learner
	Leader  bool
	Match   uint64 // last entry known to be synced there; 0 unless this replica leads
	Active  bool   // answered lately; false unless this replica leads
}

// Members returns the members in order of id. Errors: fault.NotLeader while the
// replica is in no group.
func (r *Replica) Members() ([]MemberStatus, error) {
	var members []MemberStatus
	err := r.do(func() error {
		table, _ := r.engine.raft.Membership()
		leader := r.engine.raft.Status().Leader
		for _, member := range table.Members {
			match, active := r.engine.raft.MemberProgress(member.Id)
			members = append(members, MemberStatus{
				ID: member.Id, Address: member.Address,
				Voter:  member.Role == api.MemberRole_MEMBER_ROLE_VOTER,
				Leader: member.Id == leader, Match: match, Active: active,
			})
		}
		return nil
	})
	return members, err
}

// WasRemoved reports whether the id was a member and never will be again. It counts a
// removal once it is committed: the replica that is told so discards its data.
// Errors: fault.NotLeader while the replica is in no group.
func (r *Replica) WasRemoved(id uint64) (removed bool, err error) {
	err = r.do(func() error {
		table, committed := r.engine.raft.Membership()
		removed = committed && slices.Contains(table.Removed, id)
		return nil
	})
	return removed, err
}

// AddLearner adds a new member that receives the log and does not vote. It
// returns once the change is committed. Errors: fault.NotLeader, fault.Conflict
// for an id that was ever in use, fault.CommitUnknown.
func (r *Replica) AddLearner(ctx context.Context, id uint64, address string) error {
	return r.changeMembers(ctx, func() error { return r.engine.raft.AddLearner(id, address) })
}

// Promote makes a learner a voter, once it has synced everything committed.
// Errors: fault.NotLeader, fault.NotFound, fault.Conflict while it has not,
// fault.CommitUnknown.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	return r.changeMembers(ctx, func() error { return r.engine.raft.Promote(id) })
}

// Remove removes a member for good; its id can't be used again. Errors:
// fault.NotLeader, fault.NotFound, fault.Conflict when the rest would have no
// quorum, fault.CommitUnknown.
func (r *Replica) Remove(ctx context.Context, id uint64) error {
	return r.changeMembers(ctx, func() error { return r.engine.raft.Remove(id) })
}

// memberPoll is the pause between looks at a membership change under way.
const memberPoll = 20 * time.Millisecond

// changeMembers proposes a change and waits until it is committed.
func (r *Replica) changeMembers(ctx context.Context, propose func() error) error {
	var term uint64
	var table *api.Membership
	err := r.do(func() error {
		if r.engine.failed != nil {
			return fault.Wrap(fault.NotLeader, r.engine.failed, "storage failed")
		}
		if err := propose(); err != nil {
			return err
		}
		term = r.engine.raft.Status().Term
		table, _ = r.engine.raft.Membership()
		return nil
	})
	if err != nil {
		return err
	}
	for {
		finished, err := r.changeFinished(table, term)
		if finished || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fault.Wrap(fault.CommitUnknown, ctx.Err(), "membership change")
		case <-time.After(memberPoll):
		}
	}
}

// changeFinished reports whether the change that led to table is committed.
func (r *Replica) changeFinished(table *api.Membership, term uint64) (bool, error) {
	finished := false
	err := r.do(func() error {
		current, committed := r.engine.raft.Membership()
		status := r.engine.raft.Status()
		finished = current == table && committed
		if !finished && (status.Role != raft.Leader || status.Term != term) {
			return fault.New(fault.CommitUnknown, "the leadership was lost before the membership change was committed")
		}
		return nil
	})
	if err != nil {
		return false, fault.Wrap(fault.CommitUnknown, err, "membership change")
	}
	return finished, nil
}

// ReplaceMember replaces a member that lost its disk by one with a new id: the
// new one is added as a learner, promoted once it has synced everything, and
// then the old one is removed. A call that ended early can be repeated. Errors:
// fault.NotLeader, also after the leadership was handed over because the old
// member led; fault.Conflict, fault.NotFound, fault.CommitUnknown.
func (r *Replica) ReplaceMember(ctx context.Context, oldID, newID uint64, address string) error {
	if oldID == r.config.ID && r.Status().Leader == oldID {
		if err := r.TransferLeadership(ctx, 0); err != nil {
			return err
		}
		return fault.New(fault.NotLeader, "the member to be replaced led; the leadership was handed over")
	}
	member, err := r.findMember(newID)
	if err != nil {
		return err
	}
	if member == nil {
		if err := r.retryConflicts(ctx, func() error { return r.AddLearner(ctx, newID, address) }); err != nil {
			return err
		}
	} else if member.Address != address {
		return fault.Newf(fault.Conflict, "member %d has address %s", newID, member.Address)
	}
	if member == nil || !member.Voter {
		if err := r.retryConflicts(ctx, func() error { return r.Promote(ctx, newID) }); err != nil {
			return err
		}
	}
	err = r.retryConflicts(ctx, func() error { return r.Remove(ctx, oldID) })
	if fault.Is(err, fault.NotFound) {
		return nil // removed by an earlier call
	}
	return err
}

func (r *Replica) findMember(id uint64) (*MemberStatus, error) {
	members, err := r.Members()
	if err != nil {
		return nil, err
	}
	for _, member := range members {
		if member.ID == id {
			return &member, nil
		}
	}
	return nil, nil
}

// retryConflicts repeats a membership change while another one is not committed
// or the new member is not caught up. It returns the last conflict when ctx ends.
func (r *Replica) retryConflicts(ctx context.Context, change func() error) error {
	for {
		err := change()
		if !fault.Is(err, fault.Conflict) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(memberPoll):
		}
	}
}

// TransferLeadership hands the leadership to a voter, or to the most advanced
// one when to is 0, and waits until this replica no longer leads. Errors:
// fault.NoQuorum when nobody takes over before ctx ends.
func (r *Replica) TransferLeadership(ctx context.Context, to uint64) error {
	for {
		changed := r.StatusChanged()
		if r.Status().Leader != r.config.ID {
			return nil
		}
		err := r.do(func() error {
			if !r.engine.raft.TransferLeadership(to) {
				return fault.New(fault.NoQuorum, "no voter can take over")
			}
			return nil
		})
		if err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return fault.Wrap(fault.NoQuorum, ctx.Err(), "transfer leadership")
		case <-changed:
		case <-time.After(r.config.Election):
		}
	}
}
