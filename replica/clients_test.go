package replica

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"amaranthpaddle/api"
)

// clients records the reads and writes of one register as a history.
type clients struct {
	group   *group
	clock   int64
	history []porcupine.Operation
	writes  map[position]int // entry to its place in the history
	reads   map[uint64]openRead
	value   uint64
	acked   int
}

type openRead struct {
	replica uint64
	place   int
}

type registerInput struct {
	write bool
	value uint64
}

// maxOperations keeps the check of one history short.
const maxOperations = 40

func newClients(g *group) *clients {
	return &clients{group: g, writes: map[position]int{}, reads: map[uint64]openRead{}}
}

func (c *clients) now() int64 {
	c.clock++
	return c.clock
}

// begin records a call without an answer yet.
func (c *clients) begin(input registerInput) int {
	c.history = append(c.history, porcupine.Operation{
		ClientId: len(c.history), Input: input, Call: c.now(), Output: uint64(0), Return: math.MaxInt64,
	})
	return len(c.history) - 1
}

func (c *clients) write(node *simNode) {
	if len(c.history) >= maxOperations || node.engine.failed != nil {
		return
	}
	c.value++
	index, term, err := node.engine.raft.Propose(binary.LittleEndian.AppendUint64(nil, c.value))
	if err != nil {
		return
	}
	c.writes[position{index, term}] = c.begin(registerInput{write: true, value: c.value})
	node.engine.raft.Flush()
}

// applied acknowledges a write at the replica that proposed it.
func (c *clients) applied(node *simNode, entry *api.LogEntry) {
	at := position{entry.Index, entry.Term}
	place, ok := c.writes[at]
	if !ok || c.group.checks.leaders[entry.Term] != node.id {
		return
	}
	delete(c.writes, at)
	c.history[place].Return = c.now()
	c.acked++
}

func (c *clients) read(node *simNode) {
	if len(c.history) >= maxOperations || node.engine.failed != nil {
		return
	}
	c.group.nextRead++
	id := c.group.nextRead
	if err := node.engine.raft.ReadIndex(id); err != nil {
		return
	}
	c.reads[id] = openRead{replica: node.id, place: c.begin(registerInput{})}
}

// releaseReads answers the reads whose index the replica has applied.
func (c *clients) releaseReads(node *simNode) {
	kept := node.confirmed[:0]
	for _, state := range node.confirmed {
		if state.Index > node.register.applied {
			kept = append(kept, state)
			continue
		}
		read, ok := c.reads[state.ID]
		if !ok || read.replica != node.id {
			continue
		}
		delete(c.reads, state.ID)
		c.history[read.place].Output = node.register.value
		c.history[read.place].Return = c.now()
	}
	node.confirmed = kept
}

// restarted forgets the reads that a replica's crash ended.
func (c *clients) restarted(node *simNode) {
	for id, read := range c.reads {
		if read.replica == node.id {
			delete(c.reads, id)
		}
	}
}

// registerModel is a register that starts at 0.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output.(uint64) == state.(uint64), state
	},
}

// checkTimeout bounds the check of one history; a history that can't be decided
// in it fails the test.
const checkTimeout = 20 * time.Second

func (c *clients) check() {
	var finished []porcupine.Operation
	for _, operation := range c.history {
		if operation.Return != math.MaxInt64 || operation.Input.(registerInput).write {
			finished = append(finished, operation)
		}
	}
	if result := porcupine.CheckOperationsTimeout(registerModel, finished, checkTimeout); result != porcupine.Ok {
		c.group.t.Fatalf("the history is not linearizable: %v: %+v", result, finished)
	}
}
