package replica

import (
	"sync"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// applyItem is one step of the applier: entries, a snapshot, or reads that wait
// for an index.
type applyItem struct {
	entries  []*api.LogEntry
	snapshot *api.Snapshot
	reads    []*readRequest
	index    uint64 // of reads
}

// applier calls the state machine from its own goroutine, so that a slow state
// machine delays no heartbeat.
type applier struct {
	replica *Replica
	machine StateMachine

	mu      sync.Mutex
	wake    *sync.Cond
	queue   []applyItem
	backlog int // bytes of the queued entries
	stopped bool

	// The fields below belong to the applier's goroutine.
	applied      uint64
	appliedTerm  uint64
	membership   *api.Membership
	lastSnapshot uint64
	logBytes     int // applied since the last snapshot
	parked       []applyItem
	saving       chan struct{} // holds a token while a snapshot is written
}

func newApplier(r *Replica) *applier {
	a := &applier{replica: r, machine: r.config.StateMachine, saving: make(chan struct{}, 1)}
	a.wake = sync.NewCond(&a.mu)
	return a
}

// start restores the state machine from the snapshot of the data folder.
func (a *applier) start(snapshot *api.Snapshot) error {
	if snapshot == nil {
		return nil
	}
	return a.restore(snapshot)
}

func (a *applier) restore(snapshot *api.Snapshot) error {
	if snapshot.Index > bootstrapIndex {
		if err := a.machine.Restore(snapshot.Data); err != nil {
			return fault.Wrap(fault.DataCorrupt, err, "restore state machine")
		}
	}
	a.applied, a.appliedTerm = snapshot.Index, snapshot.Term
	a.lastSnapshot = snapshot.Index
	a.logBytes = 0
	a.membership = snapshot.Membership
	a.replica.view.setApplied(a.applied, a.appliedTerm)
	return nil
}

func (a *applier) addEntries(entries []*api.LogEntry) {
	size := 0
	for _, entry := range entries {
		size += len(entry.Data)
	}
	a.add(applyItem{entries: entries}, size)
}

func (a *applier) addSnapshot(snapshot *api.Snapshot) { a.add(applyItem{snapshot: snapshot}, 0) }

func (a *applier) add(item applyItem, size int) {
	a.mu.Lock()
	a.queue = append(a.queue, item)
	a.backlog += size
	a.mu.Unlock()
	a.wake.Signal()
}

// maxBacklogBytes bounds what is committed and not applied yet.
const maxBacklogBytes = 64 << 20

// isFull reports whether the state machine is too far behind for new proposals.
func (a *applier) isFull() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.backlog > maxBacklogBytes
}

// run applies until the replica stops.
func (a *applier) run() {
	defer a.replica.done.Done()
	stop := a.replica.ctx.Done()
	go func() {
		<-stop
		a.mu.Lock()
		a.stopped = true
		a.mu.Unlock()
		a.wake.Signal()
	}()
	for {
		items, ok := a.take()
		if !ok {
			return
		}
		for _, item := range items {
			a.handle(item)
		}
		a.releaseReads()
		a.maybeSnapshot()
	}
}

func (a *applier) take() ([]applyItem, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.queue) == 0 && !a.stopped {
		a.wake.Wait()
	}
	if a.stopped {
		return nil, false
	}
	items := a.queue
	a.queue = nil
	a.backlog = 0
	return items, true
}

func (a *applier) handle(item applyItem) {
	switch {
	case item.snapshot != nil:
		if err := a.restore(item.snapshot); err != nil {
			// The log that led here is replaced already, so there is no state to serve.
			a.replica.stopStorage(err)
			return
		}
		a.replica.waiting.forgetUpTo(item.snapshot.Index)
	case len(item.reads) > 0:
		a.parked = append(a.parked, item)
	default:
		for _, entry := range item.entries {
			a.applyEntry(entry)
		}
		a.replica.view.setApplied(a.applied, a.appliedTerm)
	}
}

func (a *applier) applyEntry(entry *api.LogEntry) {
	var result []byte
	switch entry.Type {
	case api.EntryType_ENTRY_TYPE_DATA:
		result = a.machine.Apply(entry.Index, entry.Data)
	case api.EntryType_ENTRY_TYPE_MEMBERSHIP:
		table := &api.Membership{}
		if err := proto.Unmarshal(entry.Data, table); err == nil {
			a.membership = table
		}
	}
	a.applied, a.appliedTerm = entry.Index, entry.Term
	a.logBytes += len(entry.Data)
	a.replica.waiting.applied(entry.Index, entry.Term, result)
}

// releaseReads answers the reads whose index is applied.
func (a *applier) releaseReads() {
	kept := a.parked[:0]
	for _, item := range a.parked {
		if item.index > a.applied {
			kept = append(kept, item)
			continue
		}
		for _, read := range item.reads {
			read.finish(a.applied, nil)
		}
	}
	a.parked = kept
}

// snapshotLogBytes is how much log may gather before a snapshot is taken early.
const snapshotLogBytes = 16 << 20

// maybeSnapshot encodes the state here, where nothing is applied meanwhile, and
// writes it elsewhere.
func (a *applier) maybeSnapshot() {
	due := a.applied-a.lastSnapshot >= a.replica.config.SnapshotEntries || a.logBytes >= snapshotLogBytes
	if !due {
		return
	}
	select {
	case a.saving <- struct{}{}:
	default:
		return // one is being written
	}
	data, err := a.machine.Snapshot()
	if err != nil {
		<-a.saving
		klog.ErrorS(err, "State machine gave no snapshot", "index", a.applied)
		return
	}
	snapshot := &api.Snapshot{Index: a.applied, Term: a.appliedTerm, Membership: a.membership, Data: data}
	a.lastSnapshot = a.applied
	a.logBytes = 0
	a.replica.done.Add(1)
	go a.save(snapshot)
}

func (a *applier) save(snapshot *api.Snapshot) {
	defer a.replica.done.Done()
	defer func() { <-a.saving }()
	r := a.replica
	if err := r.engine.storage.snaps.Save(snapshot); err != nil {
		r.stopStorage(err)
		return
	}
	finish := func() error {
		r.engine.finishSnapshot(snapshot.Index, r.config.KeepEntries)
		return nil
	}
	if err := r.do(finish); err != nil {
		klog.V(2).InfoS("Snapshot written, log not compacted", "error", err)
	}
}

// stopStorage ends the replica's part in the protocol after a failure.
func (r *Replica) stopStorage(cause error) {
	err := r.do(func() error {
		if r.engine.failed == nil {
			r.engine.failed = cause
		}
		return nil
	})
	if err != nil {
		klog.ErrorS(cause, "Storage failed while stopping")
	}
}
