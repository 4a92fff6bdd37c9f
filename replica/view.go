package replica

import (
	"sync"

	"amaranthpaddle/api"
	"amaranthpaddle/raft"
)

// view is the published state of a replica.
type view struct {
	mu          sync.Mutex
	status      Status
	role        raft.Role
	appliedTerm uint64
	changed     chan struct{}
	groupID     uint64
	folder      uint64          // incarnation of the data folder
	table       *api.Membership // of the group when it was formed or opened
	bytesRead   int64
}

func (v *view) init(id, incarnation uint64) {
	v.status.ID = id
	v.folder = incarnation
	v.changed = make(chan struct{})
}

// change applies f and wakes those who wait for a change that they care about.
func (v *view) change(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.status
	f()
	v.status.LeaderReady = v.role == raft.Leader && v.appliedTerm == v.status.Term && v.status.StorageFault == ""
	if v.status.LeaderReady {
		v.status.LeaderSince = v.status.Term
	}
	after := v.status
	before.Commit, before.Applied = after.Commit, after.Applied
	if before != after {
		close(v.changed)
		v.changed = make(chan struct{})
	}
}

// update publishes the protocol's state.
func (v *view) update(e *engine) {
	status := e.raft.Status()
	v.change(func() {
		v.role = status.Role
		v.status.Leader = status.Leader
		v.status.Term = status.Term
		v.status.Commit = status.Commit
		v.status.StorageFault = e.storageFault()
		if e.failed != nil {
			v.role = raft.Follower
			v.status.Leader = 0
		}
	})
}

// stop publishes that the replica takes no part any more.
func (v *view) stop() {
	v.change(func() {
		v.role = raft.Follower
		v.status.Leader = 0
	})
}

func (v *view) setApplied(index, term uint64) {
	v.change(func() {
		v.status.Applied = index
		v.appliedTerm = term
	})
}

func (v *view) setFault(message string) {
	v.change(func() { v.status.StorageFault = message })
}

func (v *view) setGroup(group uint64, table *api.Membership) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.groupID, v.table = group, table
}

func (v *view) group() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.groupID
}

func (v *view) formed() (uint64, *api.Membership) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.groupID, v.table
}

func (v *view) incarnation() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.folder
}

func (v *view) setBytesRead(n int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.bytesRead = n
}

// Status returns the current view.
func (r *Replica) Status() Status {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.status
}

// StatusChanged returns a channel that is closed at the next change of leader,
// term, LeaderReady or StorageFault.
func (r *Replica) StatusChanged() <-chan struct{} {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.changed
}

// BytesRead returns how many bytes of log and snapshot the start read.
func (r *Replica) BytesRead() int64 {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.bytesRead
}
