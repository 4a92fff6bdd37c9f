package replica

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"amaranthpaddle/api"
	"amaranthpaddle/raft"
)

// action is one kind of event of a schedule.
type action struct {
	name   string
	weight int
	run    func(g *group, s *schedule)
}

// schedule draws the choices of one run.
type schedule struct{ t *rapid.T }

func (s *schedule) pick(n int) int { return rapid.IntRange(0, n-1).Draw(s.t, "pick") }

func (s *schedule) node(g *group) uint64 { return g.ids[s.pick(len(g.ids))] }

var networkActions = []action{
	{"run", 14, func(g *group, s *schedule) { g.run(1 + s.pick(4)) }},
	{"tick", 6, func(g *group, s *schedule) { g.tick(s.node(g)) }},
	{"deliver", 20, func(g *group, s *schedule) {
		if n := len(g.network); n > 0 {
			g.deliver(s.pick(n), false)
		}
	}},
	{"deliver newest", 12, func(g *group, _ *schedule) {
		if n := len(g.network); n > 0 {
			g.deliver(n-1, false)
		}
	}},
	{"duplicate", 4, func(g *group, s *schedule) {
		if n := len(g.network); n > 0 {
			g.deliver(s.pick(n), true)
		}
	}},
	{"lose", 4, func(g *group, s *schedule) {
		if n := len(g.network); n > 0 {
			position := s.pick(n)
			g.network = append(g.network[:position], g.network[position+1:]...)
		}
	}},
	{"partition", 2, func(g *group, s *schedule) {
		clear(g.cut)
		g.cut[s.node(g)] = true
		g.cut[s.node(g)] = true
	}},
	{"isolate leader", 2, func(g *group, _ *schedule) {
		if leader := g.leader(); leader != nil {
			clear(g.cut)
			g.cut[leader.id] = true
		}
	}},
	{"heal", 3, func(g *group, _ *schedule) { clear(g.cut) }},
	{"freeze", 2, func(g *group, s *schedule) { g.frozen[s.node(g)] = true }},
	{"freeze leader", 2, func(g *group, _ *schedule) {
		if leader := g.leader(); leader != nil {
			g.frozen[leader.id] = true
		}
	}},
	{"thaw", 3, func(g *group, s *schedule) {
		clear(g.frozen)
		g.with(s.node(g), g.clients.read)
	}},
	{"write", 8, func(g *group, s *schedule) { g.with(s.node(g), g.clients.write) }},
	{"write at leader", 10, func(g *group, _ *schedule) {
		if leader := g.leader(); leader != nil {
			g.with(leader.id, g.clients.write)
		}
	}},
	{"read", 6, func(g *group, s *schedule) { g.with(s.node(g), g.clients.read) }},
	{"read at leader", 4, func(g *group, _ *schedule) {
		if leader := g.leader(); leader != nil {
			g.with(leader.id, g.clients.read)
		}
	}},
	{"transfer", 2, func(g *group, s *schedule) {
		if leader := g.leader(); leader != nil {
			g.with(leader.id, func(n *simNode) { n.engine.raft.TransferLeadership(s.node(g)) })
		}
	}},
}

var crashActions = []action{
	{"crash", 2, func(g *group, s *schedule) { g.crash(s.node(g)) }},
	{"crash in a write", 5, func(g *group, s *schedule) { g.nodes[s.node(g)].fs.CrashAfter(s.pick(8)) }},
	{"restart", 6, func(g *group, s *schedule) { g.restart(s.node(g)) }},
	{"snapshot", 3, func(g *group, s *schedule) { g.snapshot(s.node(g)) }},
	{"full disk", 1, func(g *group, s *schedule) { g.nodes[s.node(g)].fs.SetFull(true) }},
	{"failed sync", 1, func(g *group, s *schedule) { g.nodes[s.node(g)].fs.FailSyncs(true) }},
}

var diskLossActions = []action{
	{"lose disk", 3, func(g *group, s *schedule) {
		if id := s.node(g); g.mayLoseDisk(id) {
			g.newDisk(g.nodes[id])
			g.nodes[id].lostDisk = true
			g.restart(id)
		}
	}},
}

// maxNodes bounds the replicas that one schedule creates.
const maxNodes = 8

var memberActions = []action{
	{"add learner", 3, func(g *group, _ *schedule) {
		leader := g.leader()
		if leader == nil || len(g.ids) >= maxNodes {
			return
		}
		node := g.addNode(uint64(len(g.ids) + 1))
		g.restart(node.id)
		g.with(leader.id, func(n *simNode) {
			_ = n.engine.raft.AddLearner(node.id, fmt.Sprint(node.id))
		})
	}},
	{"promote", 4, func(g *group, s *schedule) {
		id := s.node(g)
		if leader := g.leader(); leader != nil {
			g.with(leader.id, func(n *simNode) { _ = n.engine.raft.Promote(id) })
		}
	}},
	{"remove", 2, func(g *group, s *schedule) {
		id := s.node(g)
		if leader := g.leader(); leader != nil && g.mayRemove(leader, id) {
			g.with(leader.id, func(n *simNode) { _ = n.engine.raft.Remove(id) })
		}
	}},
}

func join(parts ...[]action) []action {
	var all []action
	for _, part := range parts {
		all = append(all, part...)
	}
	return all
}

// scheduleLength is the number of events of a schedule.
const scheduleLength = 250

func runSchedule(t *rapid.T, actions []action) {
	s := &schedule{t: t}
	size := rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "size")
	g := newGroup(t, size, rapid.Uint64().Draw(t, "seed"))
	var weighted []int
	for i, a := range actions {
		for range a.weight {
			weighted = append(weighted, i)
		}
	}
	g.run(2 * testElectionTicks)
	for range scheduleLength {
		actions[weighted[s.pick(len(weighted))]].run(g, s)
	}
	g.checkRecovery()
	g.clients.check()
}

// recoveryTicks is ample for an election and the catching up of every replica.
const recoveryTicks = 40 * testElectionTicks

// checkRecovery checks that the group serves again once all faults are over.
func (g *group) checkRecovery() {
	clear(g.cut)
	clear(g.frozen)
	for _, id := range g.ids {
		node := g.nodes[id]
		node.fs.CrashAfter(-1)
		node.fs.SetFull(false)
		node.fs.FailSyncs(false)
		if node.engine.failed != nil || node.fs.Crashed() {
			node.up = false
		}
		g.restart(id)
	}
	g.run(recoveryTicks)
	leader := g.leader()
	if leader == nil {
		g.t.Fatalf("no leader after all faults were over\n%s", g.describe())
	}
	if status := leader.engine.raft.Status(); !status.CommittedInTerm || status.Commit != status.LastIndex {
		g.t.Fatalf("the leader commits nothing after all faults were over: %+v", status)
	}
	table, _ := leader.engine.raft.Membership()
	for _, member := range table.Members {
		node := g.nodes[member.Id]
		lost := member.Role == api.MemberRole_MEMBER_ROLE_VOTER && node.incarnation != member.Incarnation
		if !lost && node.register.applied != leader.register.applied {
			g.t.Fatalf("replica %d applied %d, the leader %d\n%s", member.Id, node.register.applied, leader.register.applied, g.describe())
		}
		if lost && node.engine.raft.Status().Role == raft.Leader {
			g.t.Fatalf("replica %d leads after losing its disk", member.Id)
		}
	}
}

func TestAReturnAfterALongPartitionDisturbsNothing(t *testing.T) {
	for seed := range uint64(5) {
		g := newGroup(t, 3, seed)
		g.run(4 * testElectionTicks)
		leader := g.leader()
		term := leader.engine.raft.Status().Term
		away := g.ids[(leader.id)%3]
		g.cut[away] = true
		for range 100 {
			g.run(10 * testElectionTicks)
			g.with(leader.id, g.clients.write)
		}
		clear(g.cut)
		g.run(10 * testElectionTicks)
		status := g.nodes[away].engine.raft.Status()
		if status.Term != term || status.Leader != leader.id || status.Commit != leader.engine.raft.Status().Commit {
			t.Errorf("seed %d: the returned replica has %+v, the leader %+v", seed, status, leader.engine.raft.Status())
		}
	}
}

func TestProtocolHoldsUnderMessageFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runSchedule(t, networkActions) })
}

func TestProtocolHoldsUnderCrashesInWrites(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runSchedule(t, join(networkActions, crashActions)) })
}

func TestProtocolHoldsUnderMembershipChanges(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runSchedule(t, join(networkActions, crashActions, memberActions)) })
}

func TestProtocolHoldsUnderDiskLoss(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		runSchedule(t, join(networkActions, crashActions, memberActions, diskLossActions))
	})
}
