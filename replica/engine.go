package replica

import (
	"slices"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/raft"
)

// outputs is where an engine hands its results. The functions must not block.
type outputs struct {
	send    func(m *api.RaftMessage)
	restore func(snapshot *api.Snapshot) // replaces the state machine's state
	commit  func(entries []*api.LogEntry)
	read    func(state raft.ReadState)
}

// engine drives the protocol and its durable state, in the order that the
// protocol requires. After a storage failure it does nothing any more.
type engine struct {
	raft    *raft.Raft
	storage *storage
	out     outputs
	failed  error
}

// step takes in a message.
func (e *engine) step(m *api.RaftMessage) {
	if e.failed == nil {
		e.raft.Step(m)
	}
}

// tick advances the protocol's clock.
func (e *engine) tick() {
	if e.failed == nil {
		e.raft.Tick()
	}
}

// advance does all pending work. Errors: fault.StorageFailed, after which the
// replica neither votes nor acknowledges anything.
func (e *engine) advance() error {
	for e.failed == nil && e.raft.HasReady() {
		e.failed = e.process(e.raft.Ready())
	}
	return e.failed
}

func (e *engine) process(ready raft.Ready) error {
	e.sendAll(ready.Messages)
	if err := e.makeDurable(ready); err != nil {
		return err
	}
	e.raft.Advance(ready)
	if ready.Snapshot != nil {
		e.out.restore(ready.Snapshot)
	}
	e.sendAll(ready.SyncedMessages)
	if len(ready.Committed) > 0 {
		e.out.commit(ready.Committed)
	}
	for _, state := range ready.Reads {
		e.out.read(state)
	}
	return nil
}

func (e *engine) makeDurable(ready raft.Ready) error {
	if ready.Snapshot != nil {
		if err := e.storage.install(ready.Snapshot); err != nil {
			return err
		}
	}
	return e.storage.save(ready.HardState, ready.Entries)
}

// sendAll sends messages and steps those to the replica itself.
func (e *engine) sendAll(messages []*api.RaftMessage) {
	for _, m := range messages {
		if m.To == m.From {
			e.raft.Step(m)
			continue
		}
		e.out.send(m)
	}
}

// keepBytes bounds the entries kept in memory behind a snapshot.
const keepBytes = 16 << 20

// finishSnapshot drops the log before a durable snapshot at index, but for the
// last entries that slow members may still need.
func (e *engine) finishSnapshot(index, keepEntries uint64) {
	if e.failed != nil {
		return
	}
	if e.failed = e.storage.release(index); e.failed != nil {
		return
	}
	e.raft.Compact(index, keepEntries, keepBytes)
}

// checkMembership ends the replica's part once the log says that it is no
// member, or that the member is another data folder.
func (e *engine) checkMembership(id, incarnation uint64) error {
	table, committed := e.raft.Membership()
	if e.failed != nil || !committed {
		return e.failed
	}
	member := raft.FindMember(table, id)
	switch {
	case slices.Contains(table.Removed, id):
		e.failed = fault.Newf(fault.Conflict, "replica %d was removed from the group", id)
	case e.raft.Refused(), member != nil && member.Incarnation != 0 && member.Incarnation != incarnation:
		e.failed = fault.Newf(fault.Conflict, "replica %d voted with another data folder; add this one under a new id", id)
	}
	return e.failed
}

// storageFault describes why the replica stopped voting, or is empty.
func (e *engine) storageFault() string {
	if e.failed == nil {
		return ""
	}
	return fault.KindOf(e.failed).String() + ": " + e.failed.Error()
}
