package jobcontrol

import (
	"testing"
	"time"

	"amaranthpaddle/replica"
)

func voter(id uint64, address string, active bool) replica.MemberStatus {
	return replica.MemberStatus{ID: id, Address: address, Voter: true, Match: 10, Active: active}
}

func learner(id uint64, address string, active bool) replica.MemberStatus {
	return replica.MemberStatus{ID: id, Address: address, Match: 10, Active: active}
}

func leader(id uint64, address string) replica.MemberStatus {
	m := voter(id, address, false)
	m.Leader = true
	return m
}

func TestNextMemberStep(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) joiner { return joiner{created: now.Add(-d), heard: now} }
	at := func(address string, d time.Duration) joiner {
		j := ago(d)
		j.address = address
		return j
	}
	cases := []struct {
		name    string
		members []replica.MemberStatus
		joining map[uint64]joiner
		silent  map[uint64]time.Duration
		leaving uint64
		voters  int
		want    memberStepKind
		id      uint64
	}{
		{"a healthy group is not changed", []replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", true)},
			nil, nil, 0, 3, memberKeep, 0},
		{"a voter that is silent for a moment is kept",
			[]replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", false)},
			nil, map[uint64]time.Duration{3: 5 * time.Second}, 0, 3, memberKeep, 0},
		{"a joiner becomes a learner", []replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", true)},
			map[uint64]joiner{9: at("d", time.Second)}, nil, 0, 3, memberAdd, 9},
		{"a learner is promoted when a voter is missing", []replica.MemberStatus{leader(1, "a"), voter(2, "b", true), learner(9, "d", true)},
			nil, nil, 0, 3, memberPromote, 9},
		{"a new id at a silent voter's address is promoted first",
			[]replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", false), learner(9, "c", true)},
			nil, map[uint64]time.Duration{3: 300 * time.Millisecond}, 0, 3, memberPromote, 9},
		{"and then the old id is removed",
			[]replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", false), voter(9, "c", true)},
			nil, map[uint64]time.Duration{3: 300 * time.Millisecond}, 0, 3, memberRemove, 3},
		{"a younger joiner at another address replaces a silent voter",
			[]replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", false), learner(9, "d", true)},
			map[uint64]joiner{9: at("d", time.Second)}, map[uint64]time.Duration{3: 2 * time.Second}, 0, 3, memberPromote, 9},
		{"a learner is not promoted while a voter restarts",
			[]replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", false), learner(9, "d", true)},
			map[uint64]joiner{9: at("d", time.Hour)}, map[uint64]time.Duration{3: time.Second}, 0, 3, memberKeep, 0},
		{"a learner replaces a silent voter, however much older it is",
			[]replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", false), learner(9, "d", true)},
			map[uint64]joiner{9: at("d", time.Hour)}, map[uint64]time.Duration{3: replacedAfter}, 0, 3, memberPromote, 9},
		{"a learner that doesn't answer replaces no voter",
			[]replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", false), learner(9, "d", false)},
			map[uint64]joiner{9: at("d", time.Second)}, map[uint64]time.Duration{3: abandonedAfter, 9: time.Second}, 0, 3, memberKeep, 0},
		{"a learner takes the place of a voter that leaves",
			[]replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", true), learner(9, "d", true)}, nil, nil, 3, 3, memberPromote, 9},
		{"and then the voter that leaves is removed, not one that is briefly silent",
			[]replica.MemberStatus{leader(1, "a"), voter(2, "b", false), voter(3, "c", true), voter(9, "d", true)},
			nil, map[uint64]time.Duration{2: replacedAfter}, 3, 3, memberRemove, 3},
		{"a voter that leaves without a successor keeps its place",
			[]replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", true)}, nil, nil, 3, 3, memberKeep, 0},
		{"a leader is not removed before it has handed over",
			[]replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", true), voter(9, "d", true)}, nil, nil, 1, 3, memberKeep, 0},
		{"a lost voter beyond the desired number is removed", []replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", false), voter(9, "d", true)},
			nil, map[uint64]time.Duration{3: abandonedAfter}, 0, 3, memberRemove, 3},
		{"a lost learner is removed", []replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", true), learner(9, "d", false)},
			nil, map[uint64]time.Duration{9: abandonedAfter}, 0, 3, memberRemove, 9},
		{"a silent learner is not promoted", []replica.MemberStatus{leader(1, "a"), voter(2, "b", true), learner(9, "d", false)},
			nil, map[uint64]time.Duration{9: time.Second}, 0, 3, memberKeep, 0},
		{"with five voters the sixth member stays a learner",
			[]replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", true), voter(4, "d", true), voter(5, "e", true), learner(6, "f", true)},
			map[uint64]joiner{6: at("f", time.Hour)}, nil, 0, 5, memberKeep, 0},
		{"three seeds grow to five voters",
			[]replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", true), learner(4, "d", true)},
			map[uint64]joiner{4: at("d", time.Second)}, nil, 0, 5, memberPromote, 4},
		{"no members known", nil, map[uint64]joiner{9: at("d", time.Second)}, nil, 0, 3, memberKeep, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			step := nextMemberStep(memberView{
				members: c.members, joining: c.joining, leaving: map[uint64]bool{c.leaving: true}, voters: c.voters,
				silent: func(id uint64) time.Duration { return c.silent[id] },
			})
			if step.kind != c.want || step.id != c.id {
				t.Errorf("step %s %d (%s), want %s %d", step.kind, step.id, step.reason, c.want, c.id)
			}
		})
	}
}

// Guards against a leader that refuses to replace a voter that leaves because no learner
// has answered it yet: it was elected a moment ago, as the voter handed over to it.
func TestVoterThatLeavesWaitsForASuccessorInSight(t *testing.T) {
	voters := []replica.MemberStatus{leader(1, "a"), voter(2, "b", true), voter(3, "c", true)}
	unheard := replica.MemberStatus{ID: 9, Address: "d", Active: true}
	cases := []struct {
		name    string
		learner []replica.MemberStatus
		joining map[uint64]joiner
		stays   bool
	}{
		{"no learner", nil, nil, true},
		{"a learner that has caught up", []replica.MemberStatus{learner(9, "d", true)}, nil, false},
		{"a learner that may still answer", []replica.MemberStatus{unheard}, nil, false},
		{"a learner that doesn't answer", []replica.MemberStatus{learner(9, "d", false)}, nil, true},
		{"a joiner that becomes a learner", nil, map[uint64]joiner{9: {address: "d"}}, false},
	}
	for _, c := range cases {
		view := memberView{
			members: append(voters[:3:3], c.learner...), joining: c.joining, voters: 3,
			silent: func(uint64) time.Duration { return 0 },
		}
		if stays := view.mustStay(3); stays != c.stays {
			t.Errorf("%s: the voter must stay: %v, want %v", c.name, stays, c.stays)
		}
	}
}

// Guards against removing a voter that merely restarts, and keeping one that never comes
// back, when both fall silent together: the replica that joins with an empty data folder
// counts as proof against each voter that is silent for longer than it exists.
func TestVoterAtTheAddressOfItsReplacementIsRemovedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	silent := map[uint64]time.Duration{2: 3 * time.Second, 3: 3 * time.Second}
	step := nextMemberStep(memberView{
		members: []replica.MemberStatus{leader(1, "a"), voter(2, "b", false), voter(3, "c", false),
			voter(4, "d", true), voter(5, "e", true), voter(9, "c", true)},
		joining: map[uint64]joiner{9: {address: "c", created: now.Add(-time.Second), heard: now}},
		voters:  5,
		silent:  func(id uint64) time.Duration { return silent[id] },
	})
	if step.kind != memberRemove || step.id != 3 {
		t.Errorf("step %s %d (%s), want the removal of 3", step.kind, step.id, step.reason)
	}
}
