package replica

import (
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/raft"
)

// inbound is a received message with the address to answer at.
type inbound struct {
	message *api.RaftMessage
	address string
}

// open opens the storage and restores protocol and state machine from it.
func (r *Replica) open() error {
	storage, opened, err := openStorage(r.config.FS, r.config.DataDir, r.identity)
	if err != nil {
		return err
	}
	snapshot := opened.state.Snapshot
	if err := r.apply.start(snapshot); err != nil {
		return err
	}
	r.view.setGroup(r.identity.Group, snapshot.GetMembership())
	r.view.setBytesRead(opened.BytesRead)
	r.engine = &engine{
		raft:    raft.New(r.config.raftConfig(r.identity.Incarnation), opened.state),
		storage: storage,
		out: outputs{
			send:    r.send,
			restore: r.apply.addSnapshot,
			commit:  r.apply.addEntries,
			read:    r.confirmRead,
		},
	}
	return nil
}

// loop feeds the protocol until the replica stops.
func (r *Replica) loop() {
	ticker := time.NewTicker(r.config.Tick)
	defer ticker.Stop()
	r.syncPeers()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			r.tick()
		case in := <-r.inbox:
			r.receive(in)
		case p := <-r.proposals:
			r.propose(p)
		case read := <-r.reads:
			r.readLoop.add(read)
		case call := <-r.calls:
			call()
		}
		r.drain()
		r.advance()
	}
}

// drainLimit bounds how much of each queue one round takes in.
const drainLimit = 512

// drain takes in what else waits, so that one sync serves all of it.
func (r *Replica) drain() {
	for range drainLimit {
		select {
		case in := <-r.inbox:
			r.receive(in)
			continue
		default:
		}
		select {
		case p := <-r.proposals:
			r.propose(p)
			continue
		default:
		}
		select {
		case read := <-r.reads:
			r.readLoop.add(read)
			continue
		default:
		}
		return
	}
}

func (r *Replica) tick() {
	r.engine.tick()
	r.readLoop.tick(r)
	if r.waiting.empty() || r.engine.raft.Status().Role == raft.Leader {
		r.lostTicks = 0
		return
	}
	r.lostTicks++
	if time.Duration(r.lostTicks)*r.config.Tick > r.electionTimeouts(1) {
		r.waiting.failAll(fault.New(fault.CommitUnknown, "the leadership was lost before the commit was known"))
	}
}

func (r *Replica) receive(in inbound) {
	m := in.message
	if r.peers[m.From] == nil && in.address != "" && r.engine.raft.Accepts(m) {
		r.addPeer(m.From, in.address)
	}
	r.engine.step(m)
}

// advance does the protocol's pending work and publishes the result.
func (r *Replica) advance() {
	if r.engine.failed == nil {
		r.readLoop.issue(r)
		r.engine.raft.Flush()
	}
	err := r.engine.advance()
	if err == nil {
		err = r.engine.checkMembership(r.config.ID, r.identity.Incarnation)
	}
	if err != nil && r.Err() == nil {
		klog.ErrorS(err, "Replica neither votes nor acknowledges any more", "replica", r.config.ID)
		r.waiting.failAll(fault.Wrap(fault.CommitUnknown, err, "replica failed"))
		r.readLoop.failAll(fault.Wrap(fault.NotLeader, err, "replica failed"))
		r.fail(err)
	}
	r.syncPeers()
	r.view.update(r.engine)
}

// do runs call in the loop and waits for it. Errors: those of call, and
// fault.NotLeader when the replica has stopped or has no group yet.
func (r *Replica) do(call func() error) error {
	if r.view.group() == 0 {
		return fault.New(fault.NotLeader, "the replica is in no group yet")
	}
	result := make(chan error, 1)
	select {
	case r.calls <- func() { result <- call() }:
	case <-r.ctx.Done():
		return fault.New(fault.NotLeader, "the replica stopped")
	}
	select {
	case err := <-result:
		return err
	case <-r.ctx.Done():
		return fault.New(fault.NotLeader, "the replica stopped")
	}
}
