package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"amaranthpaddle/api"
	"amaranthpaddle/raft"
)

// invariants checks what must hold in every schedule.
type invariants struct {
	t              rapid.TB
	leaders        map[uint64]uint64   // term to leader
	created        map[position]origin // every entry that was ever sent
	committed      map[uint64]uint64   // index to term
	states         map[uint64]string   // applied index to state
	committedTable *api.Membership
	committedAt    uint64
}

type position struct{ index, term uint64 }

type origin struct {
	previousTerm uint64
	data         string
}

func newInvariants(t rapid.TB) *invariants {
	return &invariants{
		t: t, leaders: map[uint64]uint64{}, created: map[position]origin{},
		committed: map[uint64]uint64{}, states: map[uint64]string{},
	}
}

// noteMessage checks log matching: an index and a term name one entry, and one
// entry before it.
func (c *invariants) noteMessage(m *api.RaftMessage) {
	previous := m.LogTerm
	for _, entry := range m.Entries {
		made := origin{previousTerm: previous, data: string(entry.Data)}
		at := position{entry.Index, entry.Term}
		if known, ok := c.created[at]; ok && known != made {
			c.t.Fatalf("log matching: entry %+v is %+v and %+v", at, known, made)
		}
		c.created[at] = made
		previous = entry.Term
	}
}

// noteStatus checks election safety and leader completeness.
func (c *invariants) noteStatus(node *simNode) {
	status := node.engine.raft.Status()
	if status.Role == raft.Leader {
		known, ok := c.leaders[status.Term]
		if ok && known != node.id {
			c.t.Fatalf("election safety: %d and %d lead term %d", known, node.id, status.Term)
		}
		if !ok {
			c.leaders[status.Term] = node.id
			c.checkComplete(node)
		}
	}
	for index := max(status.FirstIndex, node.register.applied); index <= status.Commit; index++ {
		if term, held := node.engine.raft.TermAt(index); held {
			c.noteCommittedAt(node, index, term)
		}
	}
}

// checkComplete checks that a new leader holds every committed entry.
func (c *invariants) checkComplete(node *simNode) {
	first := node.engine.raft.Status().FirstIndex
	for index, term := range c.committed {
		held, ok := node.engine.raft.TermAt(index)
		if index >= first && (!ok || held != term) {
			c.t.Fatalf("leader completeness: leader %d lacks the committed entry %d of term %d", node.id, index, term)
		}
	}
}

func (c *invariants) noteCommittedAt(node *simNode, index, term uint64) {
	if known, ok := c.committed[index]; ok && known != term {
		c.t.Fatalf("state machine safety: replica %d commits %d of term %d, committed was term %d", node.id, index, term, known)
	}
	c.committed[index] = term
}

func (c *invariants) noteCommitted(node *simNode, entry *api.LogEntry) {
	c.noteCommittedAt(node, entry.Index, entry.Term)
	if entry.Type != api.EntryType_ENTRY_TYPE_MEMBERSHIP || entry.Index <= c.committedAt {
		return
	}
	c.committedTable, c.committedAt = &api.Membership{}, entry.Index
	if err := proto.Unmarshal(entry.Data, c.committedTable); err != nil {
		c.t.Fatal(err)
	}
}

// noteState checks that replicas at the same index have the same state, whether
// they got there by entries or by a snapshot.
func (c *invariants) noteState(node *simNode) {
	state := fmt.Sprintf("term %d value %d members %v", node.term, node.register.value, memberRoles(node.table))
	if known, ok := c.states[node.register.applied]; ok && known != state {
		c.t.Fatalf("state machine safety: at %d replica %d has %q, another had %q", node.register.applied, node.id, state, known)
	}
	c.states[node.register.applied] = state
}

func memberRoles(table *api.Membership) []string {
	var roles []string
	for _, member := range table.GetMembers() {
		roles = append(roles, fmt.Sprintf("%d:%d:%d", member.Id, member.Role, member.Incarnation))
	}
	return roles
}
