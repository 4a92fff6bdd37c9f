package replica

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

func sum64(data []byte) uint64 { return xxhash.Sum64(data) }

// The group is formed once all initial members have answered with the
// incarnation of their data folder. The member table holds the incarnations, so
// that a member that comes back with an empty folder is told from the one that
// voted before.

// helloInterval is the pause between two rounds of asking the other members.
const helloInterval = 100 * time.Millisecond

// helloTimeout bounds one call to another member.
const helloTimeout = time.Second

// form asks the other initial members until the group exists, and returns its
// id and first member table. Errors: fault.Conflict when the group knows this
// id with another data folder; fault.Canceled.
func (r *Replica) form(ctx context.Context) (uint64, *api.Membership, error) {
	replies := map[uint64]*api.HelloReply{}
	for {
		for id, address := range r.config.Peers {
			if id == r.config.ID {
				continue
			}
			reply, err := r.hello(ctx, id, address)
			if err != nil {
				klog.V(2).InfoS("Initial member does not answer yet", "member", id, "address", address, "error", err)
				continue
			}
			replies[id] = reply
		}
		group, table, err := r.decideFormation(replies)
		if group != 0 || err != nil {
			return group, table, err
		}
		select {
		case <-ctx.Done():
			return 0, nil, fault.Wrap(fault.Canceled, ctx.Err(), "form group")
		case <-time.After(helloInterval):
		}
	}
}

func (r *Replica) hello(ctx context.Context, id uint64, address string) (*api.HelloReply, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := r.dial(address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return api.NewRaftClient(conn).Hello(ctx, &api.HelloRequest{
		From: r.config.ID, Incarnation: r.identity.Incarnation, To: id,
	})
}

// decideFormation returns the group that the replies allow, or 0 while some are missing.
func (r *Replica) decideFormation(replies map[uint64]*api.HelloReply) (uint64, *api.Membership, error) {
	for _, reply := range replies {
		if reply.Group != 0 {
			return r.adoptFormation(reply)
		}
	}
	table := &api.Membership{}
	for id, address := range r.config.Peers {
		incarnation := r.identity.Incarnation
		if id != r.config.ID {
			reply := replies[id]
			if reply == nil {
				return 0, nil, nil
			}
			incarnation = reply.Incarnation
		}
		table.Members = append(table.Members, &api.Member{
			Id: id, Address: address, Role: api.MemberRole_MEMBER_ROLE_VOTER, Incarnation: incarnation,
		})
	}
	slices.SortFunc(table.Members, func(a, b *api.Member) int { return compareIDs(a.Id, b.Id) })
	return groupID(table), table, nil
}

// adoptFormation takes over a group that another member formed, when it counts
// this very data folder as a member.
func (r *Replica) adoptFormation(reply *api.HelloReply) (uint64, *api.Membership, error) {
	for _, member := range reply.Membership.GetMembers() {
		if member.Id == r.config.ID && member.Incarnation == r.identity.Incarnation {
			return reply.Group, reply.Membership, nil
		}
	}
	return 0, nil, fault.Newf(fault.Conflict,
		"the group exists and knows replica %d with another data folder; add this one under a new id", r.config.ID)
}

func compareIDs(a, b uint64) int {
	if a < b {
		return -1
	}
	return 1
}

func groupID(table *api.Membership) uint64 {
	var values []uint64
	for _, member := range table.Members {
		values = append(values, member.Id, member.Incarnation)
	}
	return max(hash64(values...), 1)
}

// bootstrapSnapshot is the state that all initial members start from.
func bootstrapSnapshot(table *api.Membership) *api.Snapshot {
	return &api.Snapshot{Index: bootstrapIndex, Term: bootstrapTerm, Membership: table}
}

// The first log position; the state machine is empty there.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)
