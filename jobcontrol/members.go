package jobcontrol

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/replica"
	"amaranthpaddle/timing"
)

// joiners holds the replicas that ask to join the group.
type joiners struct {
	mu   sync.Mutex
	byID map[uint64]joiner
}

// joiner is a replica that repeats its request to join until it is a voter.
type joiner struct {
	address string
	heard   time.Time // latest request
	created time.Time // when its data folder was created, as far as it knows
}

// leavers holds the voters that are about to stop, with the time of their request.
type leavers struct {
	mu   sync.Mutex
	byID map[uint64]time.Time
}

func (l *leavers) record(id uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id] = now
}

// current returns the voters that asked within leaverTimeout, and drops the others.
func (l *leavers) current(now time.Time) map[uint64]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := map[uint64]bool{}
	for id, asked := range l.byID {
		if now.Sub(asked) > leaverTimeout {
			delete(l.byID, id)
			continue
		}
		list[id] = true
	}
	return list
}

// Intervals and timeouts of membership changes.
const (
	memberCheckInterval = 200 * time.Millisecond // between checks of the members
	memberChangeTimeout = 3 * time.Second        // for one change
	joinerTimeout       = 3 * time.Second        // of a joiner that is then dropped; several of its request intervals
	leaverTimeout       = 3 * time.Second        // of a voter that asked to leave; it may have started again
	leavePoll           = 50 * time.Millisecond  // between looks at whether a leaving voter is removed
)

// Join records at the leader that a replica asks to become a member, and answers
// with its present membership. Errors: fault.NotLeader, fault.InvalidArgument, and
// those of Replica.WasRemoved.
func (s *Server) Join(ctx context.Context, request *api.JoinRequest) (*api.JoinAnswer, error) {
	lead, err := s.currentLeadership()
	if err != nil {
		return nil, s.toStatus(ctx, err)
	}
	if request.Id == 0 || request.Address == "" {
		return nil, s.toStatus(ctx, fault.New(fault.InvalidArgument, "a joining replica has an id and an address"))
	}
	answer := &api.JoinAnswer{}
	for _, member := range s.members() {
		answer.Members = append(answer.Members, member.Address)
		if member.ID == request.Id {
			answer.Member, answer.Voter = true, member.Voter
		}
	}
	if answer.Removed, err = s.config.Replica.WasRemoved(request.Id); err != nil {
		return nil, s.toStatus(ctx, err)
	}
	if !answer.Voter && !answer.Removed {
		lead.joiners.record(request, s.now())
	}
	return answer, nil
}

// Leave gives the seat of a voter that is about to stop to a learner that has caught
// up, so that the group bears the next loss from that moment on. It answers at once
// if none has and none is in sight. Errors: fault.NotLeader, fault.CommitUnknown when ctx ends first.
func (s *Server) Leave(ctx context.Context, request *api.LeaveRequest) (*api.LeaveAnswer, error) {
	lead, err := s.currentLeadership()
	if err != nil {
		return nil, s.toStatus(ctx, err)
	}
	lead.leavers.record(request.Id, s.now())
	for {
		removed, err := s.config.Replica.WasRemoved(request.Id)
		if err != nil {
			return nil, s.toStatus(ctx, err)
		}
		view := memberView{
			members: s.members(), joining: lead.joiners.current(s.now()), voters: s.config.Voters,
			silent: func(uint64) time.Duration { return 0 },
		}
		if removed || view.mustStay(request.Id) {
			return &api.LeaveAnswer{Removed: removed}, nil
		}
		if !timing.Sleep(ctx, leavePoll) {
			return nil, s.toStatus(ctx, fault.New(fault.CommitUnknown, "the call ended before the voter was removed"))
		}
		if lead.ctx.Err() != nil {
			return nil, s.toStatus(ctx, fault.New(fault.NotLeader, "the leadership ended"))
		}
	}
}

func (j *joiners) record(request *api.JoinRequest, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, known := j.byID[request.Id]; !known {
		klog.InfoS("Replica asks to join", "member", request.Id, "address", request.Address, "age_ms", request.AgeMs)
	}
	j.byID[request.Id] = joiner{
		address: request.Address,
		heard:   now,
		created: now.Add(-time.Duration(request.AgeMs) * time.Millisecond),
	}
}

// current returns the joiners that asked within joinerTimeout, and drops the others.
func (j *joiners) current(now time.Time) map[uint64]joiner {
	j.mu.Lock()
	defer j.mu.Unlock()
	list := map[uint64]joiner{}
	for id, joiner := range j.byID {
		if now.Sub(joiner.heard) > joinerTimeout {
			delete(j.byID, id)
			continue
		}
		list[id] = joiner
	}
	return list
}

// maintainMembers makes the membership changes that nextMemberStep returns, one at a
// time, until ctx ends.
func (s *Server) maintainMembers(ctx context.Context, lead *leadership) {
	ticker := time.NewTicker(memberCheckInterval)
	defer ticker.Stop()
	silent := map[uint64]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		members := s.members()
		updateSilent(silent, members, s.now())
		now := s.now()
		step := nextMemberStep(memberView{
			members: members, joining: lead.joiners.current(now), leaving: lead.leavers.current(now),
			silent: silentFor(silent, now), voters: s.config.Voters,
		})
		if step.kind == memberKeep {
			continue
		}
		s.changeMembers(ctx, step)
	}
}

func updateSilent(since map[uint64]time.Time, members []replica.MemberStatus, now time.Time) {
	for _, member := range members {
		if member.Active || member.Leader {
			delete(since, member.ID)
		} else if _, known := since[member.ID]; !known {
			since[member.ID] = now
		}
	}
}

func silentFor(since map[uint64]time.Time, now time.Time) func(id uint64) time.Duration {
	return func(id uint64) time.Duration {
		start, silent := since[id]
		if !silent {
			return 0
		}
		return now.Sub(start)
	}
}

func (s *Server) changeMembers(ctx context.Context, step memberStep) {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	var err error
	switch step.kind {
	case memberAdd:
		err = s.config.Replica.AddLearner(ctx, step.id, step.address)
	case memberPromote:
		err = s.config.Replica.Promote(ctx, step.id)
	case memberRemove:
		err = s.config.Replica.Remove(ctx, step.id)
	}
	if fault.Is(err, fault.Conflict) {
		klog.V(1).InfoS("Membership change deferred", "step", step.kind, "member", step.id, "error", err)
		return
	}
	klog.InfoS("Membership change", "step", step.kind, "member", step.id, "address", step.address,
		"reason", step.reason, "error", err)
}
