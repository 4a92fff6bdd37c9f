package delivery

import (
	"context"
	"io"
	"sync"

	"google.golang.org/grpc"

	"amaranthpaddle/api"
	"amaranthpaddle/blob"
	"amaranthpaddle/fault"
)

// storedBody returns the body with the digest in start. A body that is not in the
// local store is fetched from the agent that holds it.
func (d *Delivery) storedBody(ctx context.Context, start *api.AttemptStart) (io.ReadCloser, error) {
	digest, err := blob.ParseDigest(start.BodyDigest)
	if err != nil {
		return nil, err
	}
	if body, _, err := d.blobs.Get(digest); err == nil {
		return body, nil
	}
	if start.BodyHolder == "" || start.BodyHolder == d.config.Address {
		return nil, fault.New(fault.Fenced, "the body is no longer stored here")
	}
	if err := d.transfers.fetch(ctx, start.BodyHolder, digest); err != nil {
		return nil, fault.Wrap(fault.Fenced, err, "fetch the body from another agent")
	}
	body, _, err := d.blobs.Get(digest)
	return body, fault.Wrap(fault.Fenced, err, "stored body")
}

// PutBody implements api.AgentServer.
func (d *Delivery) PutBody(stream api.Agent_PutBodyServer) error {
	first, err := stream.Recv()
	if err != nil {
		return nil
	}
	offer := first.GetOffer()
	digest, err := blob.ParseDigest(offer.GetDigest())
	if err != nil {
		return fault.ToStatus(err)
	}
	done, err := d.transfers.begin(stream.Context(), digest)
	if err != nil {
		return fault.ToStatus(err)
	}
	defer done()
	if d.blobs.Has(digest) {
		return stream.Send(&api.PutBodyResponse{Stored: true})
	}
	if err := stream.Send(&api.PutBodyResponse{Stored: false}); err != nil {
		return err
	}
	next := func() (*api.BodyChunk, error) {
		message, err := stream.Recv()
		return message.GetChunk(), err
	}
	if err := storeBody(d.blobs, digest, int64(offer.Length), next); err != nil {
		return fault.ToStatus(err)
	}
	bodiesStoredTotal.Inc()
	return stream.Send(&api.PutBodyResponse{Stored: true})
}

// storeBody stores the chunks that next returns until io.EOF and verifies their digest.
func storeBody(store *blob.Store, digest blob.Digest, limit int64, next func() (*api.BodyChunk, error)) error {
	writer, err := store.Create(min(limit, maxBodyBytes))
	if err != nil {
		return err
	}
	defer writer.Close()
	for {
		chunk, err := next()
		if err == io.EOF {
			_, err = writer.Commit(digest)
			return err
		}
		if err != nil {
			return fault.Wrap(fault.ConnectionLost, err, "body")
		}
		data := chunk.GetData()
		if chunk.GetZstd() {
			if data, err = blob.Decompress(data); err != nil {
				return err
			}
		}
		if _, err := writer.Write(data); err != nil {
			return err
		}
	}
}

// GetBody implements api.AgentServer.
func (d *Delivery) GetBody(req *api.GetBodyRequest, stream api.Agent_GetBodyServer) error {
	digest, err := blob.ParseDigest(req.Digest)
	if err != nil {
		return fault.ToStatus(err)
	}
	body, _, err := d.blobs.Get(digest)
	if err != nil {
		return fault.ToStatus(err)
	}
	defer body.Close()
	buffer := make([]byte, 4*chunkSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if err := stream.Send(&api.BodyChunk{Data: append([]byte(nil), buffer[:n]...)}); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fault.ToStatus(err)
		}
	}
}

// bodyTransfers fetches bodies from other agents and allows one transfer of a
// body at a time, uploads included.
type bodyTransfers struct {
	dialer Dialer
	store  *blob.Store

	mu       sync.Mutex
	inFlight map[blob.Digest]chan struct{}
	conns    map[string]*grpc.ClientConn
}

func newBodyTransfers(dialer Dialer, store *blob.Store) *bodyTransfers {
	return &bodyTransfers{
		dialer:   dialer,
		store:    store,
		inFlight: make(map[blob.Digest]chan struct{}),
		conns:    make(map[string]*grpc.ClientConn),
	}
}

// begin waits until no other transfer of the body is in progress, then registers one.
func (p *bodyTransfers) begin(ctx context.Context, digest blob.Digest) (done func(), err error) {
	for {
		p.mu.Lock()
		other, busy := p.inFlight[digest]
		if !busy {
			mine := make(chan struct{})
			p.inFlight[digest] = mine
			p.mu.Unlock()
			return func() { p.finish(digest, mine) }, nil
		}
		p.mu.Unlock()
		select {
		case <-other:
		case <-ctx.Done():
			return nil, fault.Wrap(fault.Canceled, ctx.Err(), "wait for the body")
		}
	}
}

func (p *bodyTransfers) finish(digest blob.Digest, mine chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, digest)
	close(mine)
}

// fetch copies the body from the agent at address to the local store.
func (p *bodyTransfers) fetch(ctx context.Context, address string, digest blob.Digest) error {
	done, err := p.begin(ctx, digest)
	if err != nil {
		return err
	}
	defer done()
	if p.store.Has(digest) {
		return nil
	}
	conn, err := p.conn(address)
	if err != nil {
		return err
	}
	bodiesFetchedTotal.Inc()
	stream, err := api.NewAgentClient(conn).GetBody(ctx, &api.GetBodyRequest{Digest: digest[:]})
	if err != nil {
		return fault.FromStatus(err)
	}
	return storeBody(p.store, digest, maxBodyBytes, stream.Recv)
}

func (p *bodyTransfers) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := p.dialer.Dial(address)
	if err != nil {
		return nil, err
	}
	p.conns[address] = conn
	return conn, nil
}

func (p *bodyTransfers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
}
