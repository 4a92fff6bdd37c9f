// Package replica runs one replica of the replicated log and applies committed
// entries to a state machine.
package replica

import "context"

// StateMachine is the state that the log replicates. The replica calls it from
// one goroutine at a time, and in log order.
type StateMachine interface {
	// Apply applies a committed entry and returns the result for its proposer.
	// It must be deterministic: same state and data, same new state and result.
	Apply(index uint64, data []byte) []byte
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one.
	Restore(snapshot []byte) error
}

// Status is a replica's view of its group.
type Status struct {
	ID           uint64 // this replica
	Leader       uint64 // the known leader, 0 when unknown
	Term         uint64
	Commit       uint64 // index of the last entry known to be committed
	Applied      uint64 // index of the last entry applied
	LeaderReady  bool   // this replica leads, and an entry of its term is applied
	LeaderSince  uint64 // the term in which LeaderReady became true
	StorageFault string // why the replica stopped voting, empty when healthy
}

// Node is a replica as seen by the services built on it.
type Node interface {
	// Propose replicates data and returns the state machine's result once it is
	// applied here. Errors: fault.NotLeader and fault.NoQuorum when the entry
	// was not appended, fault.CommitUnknown when it may still be committed.
	Propose(ctx context.Context, data []byte) ([]byte, error)
	// ConfirmRead returns once the local state includes every change that was
	// acknowledged before the call, as confirmed by a quorum. Errors:
	// fault.NotLeader, fault.NoQuorum.
	ConfirmRead(ctx context.Context) (index uint64, err error)
	// Status returns the current view.
	Status() Status
	// StatusChanged returns a channel that is closed at the next change of
	// leader, term or LeaderReady.
	StatusChanged() <-chan struct{}
}
