package replica

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/raft"
	"amaranthpaddle/timing"
)

// peer sends to one other replica. Messages that do not fit its queue are lost,
// which the protocol allows.
type peer struct {
	replica  *Replica
	id       uint64
	address  string
	queue    chan *api.RaftMessage
	ctx      context.Context
	cancel   context.CancelFunc
	snapshot atomic.Bool // one is being sent
}

const (
	peerQueueLength = 1024
	maxBatchBytes   = 512 << 10
	ackInterval     = 500 * time.Millisecond // between requested acknowledgements
	ackTimeout      = 750 * time.Millisecond // after which a silent connection is given up
	minRedial       = 50 * time.Millisecond
	maxRedial       = time.Second
)

// addPeer starts sending to a replica.
func (r *Replica) addPeer(id uint64, address string) {
	p := &peer{replica: r, id: id, address: address, queue: make(chan *api.RaftMessage, peerQueueLength)}
	p.ctx, p.cancel = context.WithCancel(r.ctx)
	r.peers[id] = p
	r.done.Add(1)
	go p.run()
}

// syncPeers follows the member table. A replica that has no table yet keeps the
// peers that it heard from.
func (r *Replica) syncPeers() {
	table, _ := r.engine.raft.Membership()
	if table == r.peerTable || len(table.Members) == 0 {
		return
	}
	r.peerTable = table
	for id, p := range r.peers {
		member := raft.FindMember(table, id)
		if member == nil || member.Address != p.address {
			p.cancel()
			delete(r.peers, id)
		}
	}
	for _, member := range table.Members {
		if member.Id != r.config.ID && r.peers[member.Id] == nil {
			r.addPeer(member.Id, member.Address)
		}
	}
}

func (r *Replica) stopPeers() {
	for _, p := range r.peers {
		p.cancel()
	}
}

// send queues a message for another replica.
func (r *Replica) send(m *api.RaftMessage) {
	p := r.peers[m.To]
	if p == nil {
		return
	}
	if m.Type == api.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT {
		p.startSnapshot(m)
		return
	}
	select {
	case p.queue <- m:
	default:
	}
}

// run keeps a stream to the replica open.
func (p *peer) run() {
	defer p.replica.done.Done()
	backoff := timing.NewBackoff(minRedial, maxRedial)
	for p.ctx.Err() == nil {
		opened := time.Now()
		err := p.stream()
		if p.ctx.Err() != nil {
			return
		}
		klog.V(2).InfoS("Stream to replica ended", "replica", p.id, "address", p.address, "error", err)
		if time.Since(opened) > maxRedial {
			backoff.Reset()
		}
		if !timing.Sleep(p.ctx, backoff.Next()) {
			return
		}
	}
}

// stream sends on one new connection until it fails or falls silent.
func (p *peer) stream() error {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	conn, err := p.replica.dial(p.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	opening := time.AfterFunc(ackTimeout, cancel)
	stream, err := api.NewRaftClient(conn).Deliver(ctx)
	opening.Stop()
	if err != nil {
		return err
	}
	watch := newAckWatch(cancel)
	defer watch.stop()
	p.replica.done.Add(1)
	go func() {
		defer p.replica.done.Done()
		watch.receive(stream)
	}()
	return p.sendBatches(ctx, stream, watch)
}

func (p *peer) sendBatches(ctx context.Context, stream grpc.BidiStreamingClient[api.RaftBatch, api.DeliverAck], watch *ackWatch) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-p.queue:
			batch := p.gather(m)
			batch.AckWanted = watch.wanted()
			if err := stream.Send(batch); err != nil {
				return err
			}
		}
	}
}

// gather makes one batch of m and what else is queued.
func (p *peer) gather(m *api.RaftMessage) *api.RaftBatch {
	batch := &api.RaftBatch{Group: p.replica.view.group(), FromAddress: p.replica.config.Address}
	size := 0
	for {
		batch.Messages = append(batch.Messages, m)
		if len(m.Entries) > 0 {
			size += proto.Size(m)
		}
		if size >= maxBatchBytes {
			return batch
		}
		select {
		case m = <-p.queue:
		default:
			return batch
		}
	}
}

// ackWatch ends a stream whose acknowledgements stop: the connection may have
// gone silent while a new one would work.
type ackWatch struct {
	cancel    context.CancelFunc
	timer     *time.Timer
	lastAsked time.Time
	pending   atomic.Bool
}

func newAckWatch(cancel context.CancelFunc) *ackWatch {
	w := &ackWatch{cancel: cancel}
	w.timer = time.AfterFunc(ackTimeout, cancel)
	w.timer.Stop()
	return w
}

// wanted reports whether the next batch shall ask for an acknowledgement.
func (w *ackWatch) wanted() bool {
	if w.pending.Load() || time.Since(w.lastAsked) < ackInterval {
		return false
	}
	w.lastAsked = time.Now()
	w.pending.Store(true)
	w.timer.Reset(ackTimeout)
	return true
}

func (w *ackWatch) receive(stream grpc.BidiStreamingClient[api.RaftBatch, api.DeliverAck]) {
	for {
		if _, err := stream.Recv(); err != nil {
			w.cancel()
			return
		}
		w.timer.Stop()
		w.pending.Store(false)
	}
}

func (w *ackWatch) stop() { w.timer.Stop() }

// Sending a snapshot.
const (
	snapshotChunkBytes = 64 << 10
	snapshotTimeout    = 2 * time.Minute
)

// startSnapshot sends the newest snapshot in the background, one at a time.
func (p *peer) startSnapshot(m *api.RaftMessage) {
	if !p.snapshot.CompareAndSwap(false, true) {
		return
	}
	p.replica.done.Add(1)
	go func() {
		defer p.replica.done.Done()
		err := p.sendSnapshot(m)
		p.snapshot.Store(false)
		if err == nil {
			return
		}
		klog.InfoS("Snapshot not delivered", "replica", p.id, "error", err)
		_ = p.replica.do(func() error {
			p.replica.engine.raft.SnapshotFailed(p.id)
			return nil
		})
	}()
}

func (p *peer) sendSnapshot(m *api.RaftMessage) error {
	snapshot, _, err := p.replica.engine.storage.snaps.Newest()
	if err != nil {
		return err
	}
	if snapshot.GetIndex() < m.Snapshot.Index {
		return fault.Newf(fault.Internal, "the newest snapshot ends at %d, not %d", snapshot.GetIndex(), m.Snapshot.Index)
	}
	ctx, cancel := context.WithTimeout(p.ctx, snapshotTimeout)
	defer cancel()
	conn, err := p.replica.dial(p.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := api.NewRaftClient(conn).InstallSnapshot(ctx)
	if err != nil {
		return err
	}
	if err := p.sendChunks(stream, m, snapshot); err != nil {
		return err
	}
	_, err = stream.CloseAndRecv()
	return err
}

func (p *peer) sendChunks(stream grpc.ClientStreamingClient[api.SnapshotChunk, api.SnapshotReply], m *api.RaftMessage, snapshot *api.Snapshot) error {
	data := snapshot.Data
	snapshot.Data = nil
	first := proto.Clone(m).(*api.RaftMessage)
	first.Snapshot = snapshot
	chunk := &api.SnapshotChunk{
		Group: p.replica.view.group(), FromAddress: p.replica.config.Address, Message: first,
	}
	checksum := checksumOf(data)
	for {
		n := min(len(data), snapshotChunkBytes)
		chunk.Data, data = data[:n], data[n:]
		chunk.Last = len(data) == 0
		if chunk.Last {
			chunk.Checksum = checksum
		}
		if err := stream.Send(chunk); err != nil {
			return err
		}
		if chunk.Last {
			return nil
		}
		chunk = &api.SnapshotChunk{}
	}
}
