package replica

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// Replica is one replica of a group. It implements Node.
type Replica struct {
	config   Config
	identity *api.Identity
	ctx      context.Context // ends when the replica stops
	cancel   context.CancelFunc
	done     sync.WaitGroup

	groupFound chan uint64 // the group of a joining replica
	inbox      chan inbound
	proposals  chan *proposal
	reads      chan *readRequest
	calls      chan func() // run by the loop

	failed  context.Context // ends when the replica fails, with the error as its cause
	fail    context.CancelCauseFunc
	view    view
	waiting proposalTable
	apply   *applier

	// The fields below belong to the loop.
	engine    *engine
	peers     map[uint64]*peer
	peerTable *api.Membership
	readLoop  readLoop
	lostTicks int // ticks since the leadership was lost with proposals waiting
}

// Sizes of the loop's queues.
const (
	inboxLength    = 1024
	proposalLength = 4096
	readLength     = 4096
	callLength     = 64
)

// Start starts a replica. It returns while the group may still be forming.
// Errors: fault.InvalidArgument; fault.DataCorrupt for a damaged data folder;
// fault.Conflict for another replica's folder; fault.StorageFailed.
func Start(config Config) (*Replica, error) {
	config.setDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	incarnation := func() uint64 { return newIncarnation(config.Random) }
	identity, err := loadIdentity(config.FS, config.DataDir, config.ID, incarnation)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config:     config,
		identity:   identity,
		groupFound: make(chan uint64, 1),
		inbox:      make(chan inbound, inboxLength),
		proposals:  make(chan *proposal, proposalLength),
		reads:      make(chan *readRequest, readLength),
		calls:      make(chan func(), callLength),
		peers:      map[uint64]*peer{},
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.failed, r.fail = context.WithCancelCause(context.Background())
	r.view.init(config.ID, identity.Incarnation)
	r.waiting.init()
	r.readLoop.init(config.Random)
	r.apply = newApplier(r)
	if identity.Group != 0 {
		if err := r.open(); err != nil {
			r.cancel()
			return nil, err
		}
	}
	r.done.Add(1)
	go r.run()
	return r, nil
}

// Stop stops the replica at once; TransferLeadership before it spares the others
// an election timeout. Proposals that wait end with fault.CommitUnknown.
func (r *Replica) Stop() {
	r.cancel()
	r.done.Wait()
}

// run finds the group, if need be, and then runs the loop until the replica stops.
func (r *Replica) run() {
	defer r.done.Done()
	if r.engine == nil {
		if err := r.enterGroup(); err != nil {
			r.failToEnter(err)
			r.cancel()
			return
		}
	}
	r.done.Add(1)
	go r.apply.run()
	r.loop()
	r.view.stop()
	r.stopPeers()
	r.waiting.failAll(fault.New(fault.CommitUnknown, "the replica stopped"))
	r.readLoop.failAll(fault.New(fault.NotLeader, "the replica stopped"))
	if err := r.engine.storage.close(); err != nil {
		klog.ErrorS(err, "Closing the log failed")
	}
}

// enterGroup forms the group or waits to be added to one, and opens the storage.
func (r *Replica) enterGroup() error {
	if r.config.Join {
		select {
		case <-r.ctx.Done():
			return fault.New(fault.Canceled, "the replica stopped")
		case group := <-r.groupFound:
			return r.found(group, nil)
		}
	}
	group, table, err := r.form(r.ctx)
	if err != nil {
		return err
	}
	return r.found(group, table)
}

// found makes the group durable, with the initial member table of a new one.
func (r *Replica) found(group uint64, table *api.Membership) error {
	identity := &api.Identity{Id: r.identity.Id, Incarnation: r.identity.Incarnation, Group: group}
	if table != nil {
		if err := saveBootstrap(r.config.FS, r.config.DataDir, bootstrapSnapshot(table)); err != nil {
			return err
		}
	}
	if err := createStorage(r.config.FS, r.config.DataDir, identity); err != nil {
		return err
	}
	if err := saveIdentity(r.config.FS, r.config.DataDir, identity); err != nil {
		return err
	}
	r.view.setGroup(group, table)
	r.identity = identity
	klog.InfoS("Group entered", "replica", identity.Id, "group", group)
	return r.open()
}

// failToEnter records why the replica does not enter the group.
func (r *Replica) failToEnter(err error) {
	if fault.Is(err, fault.Canceled) {
		return
	}
	klog.ErrorS(err, "Replica does not take part", "replica", r.config.ID)
	r.view.setFault(fault.KindOf(err).String() + ": " + err.Error())
	r.fail(err)
}

// Failed returns a channel that is closed when the replica has ended its part in the
// group for good. Its process has to stop it, and may start another one.
func (r *Replica) Failed() <-chan struct{} { return r.failed.Done() }

// Err returns why the replica failed, nil if it has not. Errors: fault.StorageFailed
// and fault.DataCorrupt; fault.Conflict when the group does not accept this data folder.
func (r *Replica) Err() error { return context.Cause(r.failed) }

// electionTimeouts returns n times the longest election timeout.
func (r *Replica) electionTimeouts(n int) time.Duration {
	return time.Duration(n) * (2*r.config.Election + r.config.Heartbeat)
}
