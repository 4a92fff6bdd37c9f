package jobcontrol

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthpaddle/replica"
)

type memberStepKind string

const (
	memberKeep    memberStepKind = "keep"
	memberAdd     memberStepKind = "add-learner"
	memberPromote memberStepKind = "promote"
	memberRemove  memberStepKind = "remove"
)

// memberStep is one membership change.
type memberStep struct {
	kind    memberStepKind
	id      uint64
	address string
	reason  string
}

// Silences after which a member loses its place.
const (
	// replacedAfter is for a voter whose place a caught-up learner can take. It exceeds
	// a process restart plus an election. A voter that returns later joins anew.
	replacedAfter = 1500 * time.Millisecond
	// abandonedAfter is for a learner. It exceeds the pauses and partitions from which
	// members recover.
	abandonedAfter = 20 * time.Second
)

// memberView is the input of a membership decision.
type memberView struct {
	members []replica.MemberStatus
	joining map[uint64]joiner
	leaving map[uint64]bool // members that are about to stop
	silent  func(id uint64) time.Duration
	voters  int // desired number
}

// nextMemberStep returns the next change towards the desired number of healthy
// voters. A member that lost its data folder returns under a new id at its old
// address, and the old id never returns.
func nextMemberStep(v memberView) memberStep {
	if len(v.members) == 0 {
		return memberStep{kind: memberKeep}
	}
	if step := v.addStep(); step.kind != memberKeep {
		return step
	}
	if step := v.removeStep(); step.kind != memberKeep {
		return step
	}
	voting := v.voting()
	lost := v.lostVoter()
	if lost != 0 && len(voting) > v.voters {
		return memberStep{kind: memberRemove, id: lost, reason: "a replacement votes"}
	}
	ready := v.readyLearner()
	if ready != 0 && (len(voting) < v.voters || lost != 0) {
		return memberStep{kind: memberPromote, id: ready, reason: "a voter is missing"}
	}
	return memberStep{kind: memberKeep}
}

func (v memberView) addStep() memberStep {
	for _, id := range slices.Sorted(maps.Keys(v.joining)) {
		if !v.isMember(id) {
			return memberStep{kind: memberAdd, id: id, address: v.joining[id].address, reason: "it asked to join"}
		}
	}
	return memberStep{kind: memberKeep}
}

func (v memberView) voting() []replica.MemberStatus {
	var voting []replica.MemberStatus
	for _, member := range v.members {
		if member.Voter {
			voting = append(voting, member)
		}
	}
	return voting
}

// lost reports whether a member is to lose its place: it is silent and another id is
// active at its address, or it is a voter that leaves or has been silent for
// replacedAfter while a successor answers, or a learner silent for abandonedAfter. Which
// of the two replicas is older doesn't matter: in a planned replacement the successor is.
func (v memberView) lost(member replica.MemberStatus) bool {
	silence := v.silent(member.ID)
	switch {
	case member.Leader:
		return false
	case silence > 0 && v.replaced(member):
		return true
	case !member.Voter:
		return silence >= abandonedAfter
	case !v.hasSuccessor():
		return false
	}
	return v.leaving[member.ID] || silence >= replacedAfter
}

// hasSuccessor reports whether a caught-up learner answers that can take a voter's
// place, or one has been promoted already.
func (v memberView) hasSuccessor() bool {
	return len(v.voting()) > v.voters || v.readyLearner() != 0
}

// mustStay reports whether a member can't leave the group: it has no successor and none
// is in sight.
func (v memberView) mustStay(id uint64) bool {
	return v.isMember(id) && !v.hasSuccessor() && !v.expectsSuccessor()
}

func (v memberView) isMember(id uint64) bool {
	return slices.ContainsFunc(v.members, func(m replica.MemberStatus) bool { return m.ID == id })
}

// expectsSuccessor reports whether a learner may still turn out to have caught up. A new
// leader counts every member as active until it has had the time to answer.
func (v memberView) expectsSuccessor() bool {
	for id := range v.joining {
		if !v.isMember(id) {
			return true
		}
	}
	return slices.ContainsFunc(v.members, func(m replica.MemberStatus) bool { return !m.Voter && m.Active })
}

// replaced reports whether another member is active at the address of a member.
func (v memberView) replaced(member replica.MemberStatus) bool {
	return slices.ContainsFunc(v.members, func(other replica.MemberStatus) bool {
		return other.ID != member.ID && other.Address == member.Address && v.silent(other.ID) == 0
	})
}

// removeStep returns the removal of a lost learner, if there is one.
func (v memberView) removeStep() memberStep {
	for _, member := range v.members {
		if !member.Voter && v.lost(member) {
			return memberStep{kind: memberRemove, id: member.ID, reason: "the learner is gone"}
		}
	}
	return memberStep{kind: memberKeep}
}

// lostVoter returns the lost voter with the longest silence, 0 for none. One whose
// replacement is active goes first, then one that leaves: others that are silent may
// merely restart.
func (v memberView) lostVoter() uint64 {
	var longest time.Duration
	var id, leaving uint64
	for _, member := range v.voting() {
		silence := v.silent(member.ID)
		switch {
		case !v.lost(member):
		case silence > 0 && v.replaced(member):
			return member.ID
		case v.leaving[member.ID]:
			leaving = member.ID
		case silence > longest:
			longest, id = silence, member.ID
		}
	}
	return cmp.Or(leaving, id)
}

// readyLearner returns a learner that can be promoted, 0 for none. It prefers the
// youngest joiner, so that standby learners remain for voters that are permanently
// lost.
func (v memberView) readyLearner() uint64 {
	var best uint64
	for _, member := range v.members {
		if member.Voter || !member.Active || member.Match == 0 || v.silent(member.ID) > 0 {
			continue
		}
		if best == 0 || v.joining[member.ID].created.After(v.joining[best].created) {
			best = member.ID
		}
	}
	return best
}
