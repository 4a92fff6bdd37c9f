package replica

import (
	"context"
	"hash/crc32"

	"google.golang.org/grpc"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksumOf(data []byte) uint32 { return crc32.Checksum(data, castagnoli) }

// windowBytes is the flow-control window of streams and connections. A fixed
// one turns off the library's bandwidth probes, which cost a ping for each batch.
const windowBytes = 1 << 20

// ServerOptions returns options for the gRPC server that Register is called on;
// without them the service works, at a higher cost.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.MaxRecvMsgSize(MaxProposalBytes + maxBatchBytes),
	}
}

// dial opens a connection to another replica.
func (r *Replica) dial(address string) (*grpc.ClientConn, error) {
	return r.config.Security.Dial(address,
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes))
}

// service is the gRPC side that the other replicas call.
type service struct {
	api.UnimplementedRaftServer
	replica *Replica
}

// Register adds the service that the other replicas call to a gRPC server.
func (r *Replica) Register(registrar grpc.ServiceRegistrar) {
	api.RegisterRaftServer(registrar, &service{replica: r})
}

// Deliver takes in the protocol messages of one other replica.
func (s *service) Deliver(stream grpc.BidiStreamingServer[api.RaftBatch, api.DeliverAck]) error {
	for {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		for _, m := range batch.Messages {
			if err := s.accept(stream.Context(), batch.Group, batch.FromAddress, m); err != nil {
				return fault.ToStatus(err)
			}
		}
		if !batch.AckWanted {
			continue
		}
		if err := stream.Send(&api.DeliverAck{}); err != nil {
			return err
		}
	}
}

// accept hands a message to the loop. Errors: fault.Conflict for another group
// or another replica's message; fault.Draining when the replica has stopped.
func (s *service) accept(ctx context.Context, group uint64, address string, m *api.RaftMessage) error {
	r := s.replica
	if err := s.checkReceiver(group, m); err != nil {
		return err
	}
	select {
	case r.inbox <- inbound{message: m, address: address}:
		return nil
	case <-ctx.Done():
		return fault.Wrap(fault.Canceled, ctx.Err(), "deliver")
	case <-r.ctx.Done():
		return fault.New(fault.Draining, "the replica stopped")
	}
}

// checkReceiver refuses messages of another group or for another replica.
func (s *service) checkReceiver(group uint64, m *api.RaftMessage) error {
	if own := s.replica.config.ID; m.To != own {
		return fault.Newf(fault.Conflict, "message for replica %d at replica %d", m.To, own)
	}
	return s.checkGroup(group)
}

// checkGroup refuses other groups. A joining replica takes the first one that
// calls it by its id.
func (s *service) checkGroup(group uint64) error {
	r := s.replica
	own := r.view.group()
	switch {
	case group == 0:
		return fault.New(fault.InvalidArgument, "message without a group")
	case own == group:
		return nil
	case own != 0:
		return fault.Newf(fault.Conflict, "message of group %x in group %x", group, own)
	case !r.config.Join:
		return fault.New(fault.Draining, "the group is not formed here yet")
	}
	select {
	case r.groupFound <- group:
	default:
	}
	return fault.New(fault.Draining, "the replica is entering the group")
}

// maxSnapshotBytes bounds a received snapshot.
const maxSnapshotBytes = 256 << 20

// InstallSnapshot takes in a snapshot of this replica's group. The sender is checked by the
// first chunk, before the rest is kept.
func (s *service) InstallSnapshot(stream grpc.ClientStreamingServer[api.SnapshotChunk, api.SnapshotReply]) error {
	chunk, err := stream.Recv()
	if err != nil {
		return err
	}
	m, group, address := chunk.Message, chunk.Group, chunk.FromAddress
	if m.GetSnapshot() == nil {
		return fault.ToStatus(fault.New(fault.InvalidArgument, "snapshot without a message"))
	}
	if err := s.checkReceiver(group, m); err != nil {
		return fault.ToStatus(err)
	}
	data := chunk.Data
	for !chunk.Last {
		if chunk, err = stream.Recv(); err != nil {
			return err
		}
		if data = append(data, chunk.Data...); len(data) > maxSnapshotBytes {
			return fault.ToStatus(fault.New(fault.TooLarge, "snapshot too large"))
		}
	}
	if checksumOf(data) != chunk.Checksum {
		return fault.ToStatus(fault.New(fault.AnswerDamaged, "snapshot fails its checksum"))
	}
	m.Snapshot.Data = data
	if err := s.accept(stream.Context(), group, address, m); err != nil {
		return fault.ToStatus(err)
	}
	return stream.SendAndClose(&api.SnapshotReply{})
}

// Hello tells another initial member of this data folder and of the group.
func (s *service) Hello(_ context.Context, request *api.HelloRequest) (*api.HelloReply, error) {
	r := s.replica
	if request.To != r.config.ID {
		return nil, fault.ToStatus(fault.Newf(fault.Conflict, "hello for replica %d at replica %d", request.To, r.config.ID))
	}
	group, table := r.view.formed()
	return &api.HelloReply{
		Id: r.config.ID, Incarnation: r.view.incarnation(), Group: group, Membership: table,
	}, nil
}
