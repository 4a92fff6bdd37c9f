package replica

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"amaranthpaddle/api"
	"amaranthpaddle/disk/disktest"
	"amaranthpaddle/fault"
	"amaranthpaddle/raft"
)

const (
	testGroup         = 77
	testElectionTicks = 6
	testHeartbeat     = 2
	testKeepEntries   = 3
)

// register is a state machine that holds the last value written.
type register struct{ value, applied uint64 }

// simNode is one replica: an engine over a disk in memory.
type simNode struct {
	id          uint64
	incarnation uint64
	fs          *disktest.FS
	engine      *engine
	up          bool
	lostDisk    bool // and came back under the same id
	register    register
	table       *api.Membership // at the applied entry
	term        uint64          // of the applied entry
	confirmed   []raft.ReadState
}

// group is a set of simNodes with the network between them, and the history of
// what its clients saw.
type group struct {
	t        rapid.TB
	random   *rand.Rand
	nodes    map[uint64]*simNode
	ids      []uint64 // in order of creation
	network  []*api.RaftMessage
	cut      map[uint64]bool // replicas on one side of a partition
	frozen   map[uint64]bool // replicas whose process does not run
	checks   *invariants
	clients  *clients
	nextInc  uint64
	nextRead uint64
}

func newGroup(t rapid.TB, size int, seed uint64) *group {
	g := &group{
		t: t, random: rand.New(rand.NewPCG(seed, 0)),
		nodes: map[uint64]*simNode{}, cut: map[uint64]bool{}, frozen: map[uint64]bool{}, checks: newInvariants(t), nextInc: 1000,
	}
	g.clients = newClients(g)
	table := &api.Membership{}
	for id := uint64(1); id <= uint64(size); id++ {
		node := g.addNode(id)
		table.Members = append(table.Members, &api.Member{
			Id: id, Address: fmt.Sprint(id), Role: api.MemberRole_MEMBER_ROLE_VOTER, Incarnation: node.incarnation,
		})
	}
	g.checks.committedTable = table
	for _, id := range g.ids {
		if err := saveBootstrap(g.nodes[id].fs, "data", bootstrapSnapshot(table)); err != nil {
			t.Fatal(err)
		}
		g.restart(id)
	}
	return g
}

// addNode adds a replica with an empty disk.
func (g *group) addNode(id uint64) *simNode {
	node := &simNode{id: id}
	g.nodes[id] = node
	g.ids = append(g.ids, id)
	g.newDisk(node)
	return node
}

func (g *group) newDisk(node *simNode) {
	g.nextInc++
	node.up = false
	node.incarnation = g.nextInc
	node.fs = disktest.New(g.random)
	identity := &api.Identity{Id: node.id, Incarnation: node.incarnation, Group: testGroup}
	if err := node.fs.MkdirAll("data"); err != nil {
		g.t.Fatal(err)
	}
	if err := createStorage(node.fs, "data", identity); err != nil {
		g.t.Fatal(err)
	}
	if err := saveIdentity(node.fs, "data", identity); err != nil {
		g.t.Fatal(err)
	}
}

// restart starts a replica from its disk.
func (g *group) restart(id uint64) {
	node := g.nodes[id]
	if node.up {
		return
	}
	node.fs.Restart()
	identity, err := loadIdentity(node.fs, "data", id, nil)
	if err != nil {
		g.t.Fatalf("replica %d: %v", id, err)
	}
	storage, opened, err := openStorage(node.fs, "data", identity)
	if err != nil {
		g.t.Fatalf("replica %d does not start after a crash: %v", id, err)
	}
	node.register, node.table, node.term, node.confirmed = register{}, nil, 0, nil
	if opened.state.Snapshot != nil {
		g.restore(node, opened.state.Snapshot)
	}
	node.engine = &engine{storage: storage, out: g.outputs(node), raft: raft.New(raft.Config{
		ID: id, Incarnation: node.incarnation,
		ElectionTicks: testElectionTicks, HeartbeatTicks: testHeartbeat,
		MaxInflight: 3, MaxMessageBytes: 40, SnapshotRetryTicks: 2 * testElectionTicks, Intn: g.random.IntN,
	}, opened.state)}
	node.up = true
	g.clients.restarted(node)
}

func (g *group) outputs(node *simNode) outputs {
	return outputs{
		send: func(m *api.RaftMessage) { g.send(node, m) },
		restore: func(snapshot *api.Snapshot) {
			g.restore(node, snapshot)
			g.clients.releaseReads(node)
		},
		commit: func(entries []*api.LogEntry) {
			for _, entry := range entries {
				g.applyEntry(node, entry)
			}
			g.clients.releaseReads(node)
		},
		read: func(state raft.ReadState) {
			node.confirmed = append(node.confirmed, state)
			g.clients.releaseReads(node)
		},
	}
}

func (g *group) restore(node *simNode, snapshot *api.Snapshot) {
	node.register = register{applied: snapshot.Index}
	if len(snapshot.Data) > 0 {
		node.register.value = binary.LittleEndian.Uint64(snapshot.Data)
	}
	node.table, node.term = snapshot.Membership, snapshot.Term
	g.checks.noteState(node)
}

func (g *group) applyEntry(node *simNode, entry *api.LogEntry) {
	if entry.Index != node.register.applied+1 {
		g.t.Fatalf("replica %d applies %d after %d", node.id, entry.Index, node.register.applied)
	}
	g.checks.noteCommitted(node, entry)
	node.register.applied, node.term = entry.Index, entry.Term
	switch entry.Type {
	case api.EntryType_ENTRY_TYPE_DATA:
		node.register.value = binary.LittleEndian.Uint64(entry.Data)
	case api.EntryType_ENTRY_TYPE_MEMBERSHIP:
		node.table = &api.Membership{}
		if err := proto.Unmarshal(entry.Data, node.table); err != nil {
			g.t.Fatal(err)
		}
	}
	g.checks.noteState(node)
	g.clients.applied(node, entry)
}

// maxInFlight bounds the messages on the network; the oldest are lost.
const maxInFlight = 200

func (g *group) send(node *simNode, m *api.RaftMessage) {
	g.checks.noteMessage(m)
	m = proto.Clone(m).(*api.RaftMessage)
	if m.Type == api.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT {
		snapshot, _, err := node.engine.storage.snaps.Newest()
		if err != nil || snapshot == nil {
			return
		}
		m.Snapshot = snapshot
	}
	g.network = append(g.network, m)
	if len(g.network) > maxInFlight {
		g.network = g.network[1:]
	}
}

// with runs f on a replica that is up, and then all that follows from it.
func (g *group) with(id uint64, f func(*simNode)) {
	node := g.nodes[id]
	if node == nil || !node.up || g.frozen[id] {
		return
	}
	f(node)
	err := node.engine.advance()
	if node.fs.Crashed() {
		node.up = false
		return
	}
	if err != nil && !fault.Is(err, fault.StorageFailed) {
		g.t.Fatalf("replica %d: %v", id, err)
	}
	if err == nil {
		g.checks.noteStatus(node)
	}
}

// deliver takes the message at a position off the network, or leaves a copy.
func (g *group) deliver(position int, duplicate bool) {
	m := g.network[position]
	if duplicate {
		m = proto.Clone(m).(*api.RaftMessage)
	} else {
		g.network = slices.Delete(g.network, position, position+1)
	}
	if g.cut[m.From] != g.cut[m.To] {
		return
	}
	g.with(m.To, func(node *simNode) { node.engine.step(m) })
}

func (g *group) deliverAll(limit int) {
	for n := 0; n < limit && len(g.network) > 0; n++ {
		g.deliver(0, false)
	}
}

func (g *group) tick(id uint64) {
	g.with(id, func(node *simNode) { node.engine.tick() })
}

// run lets time pass while the network delivers in order.
func (g *group) run(ticks int) {
	for range ticks {
		for _, id := range g.ids {
			g.tick(id)
		}
		g.deliverAll(maxInFlight)
	}
}

func (g *group) crash(id uint64) { g.nodes[id].up = false }

// leader returns the leader of the highest term among the replicas that are up.
func (g *group) leader() *simNode {
	var best *simNode
	for _, id := range g.ids {
		node := g.nodes[id]
		if !node.up || g.frozen[id] || node.engine.failed != nil || node.engine.raft.Status().Role != raft.Leader {
			continue
		}
		if best == nil || node.engine.raft.Status().Term > best.engine.raft.Status().Term {
			best = node
		}
	}
	return best
}

// snapshot makes a replica's applied state durable and compacts its log.
func (g *group) snapshot(id uint64) {
	g.with(id, func(node *simNode) {
		if node.engine.failed != nil || node.register.applied <= bootstrapIndex {
			return
		}
		snapshot := &api.Snapshot{
			Index: node.register.applied, Term: node.term, Membership: node.table,
			Data: binary.LittleEndian.AppendUint64(nil, node.register.value),
		}
		if err := node.engine.storage.snaps.Save(snapshot); err != nil {
			node.engine.failed = err
			return
		}
		node.engine.finishSnapshot(snapshot.Index, testKeepEntries)
	})
}

// mayLoseDisk reports whether the group can lose one more disk for good.
func (g *group) mayLoseDisk(id uint64) bool {
	tables := []*api.Membership{g.checks.committedTable}
	for _, other := range g.ids {
		if engine := g.nodes[other].engine; engine != nil {
			table, _ := engine.raft.Membership()
			tables = append(tables, table)
		}
	}
	for _, table := range tables {
		if !g.toleratesLoss(table, id) {
			return false
		}
	}
	return true
}

// mayRemove reports whether a majority of the remaining voters keep their disks.
// A leader notices a disk lost in this very moment only when the member's
// silence ends its check-quorum window.
func (g *group) mayRemove(leader *simNode, id uint64) bool {
	table, _ := leader.engine.raft.Membership()
	rest := &api.Membership{}
	for _, member := range table.Members {
		if member.Id != id {
			rest.Members = append(rest.Members, member)
		}
	}
	return g.toleratesLoss(rest, 0)
}

// toleratesLoss reports whether a majority of the voters keep their disks. A
// learner that loses its disk may be in the middle of its promotion, and counts.
func (g *group) toleratesLoss(table *api.Membership, id uint64) bool {
	voters, lost := 0, 0
	for _, member := range table.Members {
		gone := member.Id == id || g.nodes[member.Id].lostDisk
		if member.Role == api.MemberRole_MEMBER_ROLE_VOTER || gone {
			voters++
		}
		if gone {
			lost++
		}
	}
	return lost <= (voters-1)/2
}

// describe lists the replicas for a failure's message.
func (g *group) describe() string {
	var lines strings.Builder
	for _, id := range g.ids {
		node := g.nodes[id]
		table, committed := node.engine.raft.Membership()
		fmt.Fprintf(&lines, "replica %d: applied %d, %+v, members %v, removed %v, committed %v, failed %v\n", id,
			node.register.applied, node.engine.raft.Status(), memberRoles(table), table.Removed, committed, node.engine.failed)
	}
	return lines.String()
}
