package entry

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/blob"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
)

// Placing bodies in a region.
const (
	putTimeout     = 2 * time.Minute
	maxKnownBodies = 4096 // holders that are remembered
	maxPutAttempts = 3    // agents that a body is offered to
)

// bodyHolders caches which agent of a region stores which body, and allows one
// transfer of a body to a region at a time.
type bodyHolders struct {
	mu       sync.Mutex
	known    map[bodyKey]string // address of the agent
	inFlight map[bodyKey]*placement
}

type bodyKey struct {
	digest blob.Digest
	region string
}

// placement is the transfer of a body to a region. address and err are set once done is closed.
type placement struct {
	done    chan struct{}
	address string
	err     error
}

func newBodyHolders() *bodyHolders {
	return &bodyHolders{known: make(map[bodyKey]string), inFlight: make(map[bodyKey]*placement)}
}

// join returns the known holder, or the placement in progress, or a new one
// (isNew) that the caller has to carry out.
func (h *bodyHolders) join(key bodyKey, candidates []string) (address string, p *placement, isNew bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if address, ok := h.known[key]; ok && slices.Contains(candidates, address) {
		return address, nil, false
	}
	if p, ok := h.inFlight[key]; ok {
		return "", p, false
	}
	p = &placement{done: make(chan struct{})}
	h.inFlight[key] = p
	return "", p, true
}

func (h *bodyHolders) finish(key bodyKey, p *placement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.inFlight, key)
	if p.err == nil {
		if len(h.known) >= maxKnownBodies {
			clear(h.known)
		}
		h.known[key] = p.address
	}
	close(p.done)
}

// forget removes a holder that may not store the body any more.
func (h *bodyHolders) forget(key bodyKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.known, key)
}

// placeBody makes sure that an agent in the target's region stores the body,
// and returns that agent's address. Its errors mean that nothing ran.
func (e *Entry) placeBody(ctx context.Context, x *execution, t *target) (string, error) {
	key := bodyKey{digest: x.body.digest, region: t.server.Region}
	candidates := rankHolders(key.digest, x.service.agents(t.server.Region))
	address, p, isNew := e.bodies.join(key, candidates)
	if p == nil {
		bodiesKnownTotal.Inc()
		return address, nil
	}
	if isNew {
		go e.place(key, p, candidates, x.request.Class)
	}
	select {
	case <-p.done:
		return p.address, p.err
	case <-ctx.Done():
		return "", fault.New(fault.DeadlineNotRun, "the deadline passed while the body was sent")
	}
}

// place offers the body to one agent after another. It goes on when the
// request that started it ends.
func (e *Entry) place(key bodyKey, p *placement, candidates []string, class request.Class) {
	ctx, cancel := context.WithTimeout(e.ctx, putTimeout)
	defer cancel()
	defer e.bodies.finish(key, p)
	p.err = fault.New(fault.NoBackend, "no agent of the region can store the body")
	for _, address := range candidates[:min(len(candidates), maxPutAttempts)] {
		if err := e.putBody(ctx, address, key, class); err != nil {
			p.err = fault.Wrap(fault.NoBackend, err, "send the body")
			continue
		}
		p.address, p.err = address, nil
		return
	}
}

// rankHolders orders agents by rendezvous hashing, so that all entries offer a
// body to the same agent first.
func rankHolders(digest blob.Digest, addresses []string) []string {
	rank := func(address string) uint64 { return xxhash.Sum64String(string(digest[:]) + address) }
	slices.SortFunc(addresses, func(a, b string) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return addresses
}

// putBody offers a body to the agent at address and uploads it if it is missing there.
func (e *Entry) putBody(ctx context.Context, address string, key bodyKey, class request.Class) error {
	content, size, err := e.blobs.Get(key.digest)
	if err != nil {
		return err
	}
	defer content.Close()
	linkCtx, cancel := context.WithTimeout(ctx, pongTimeout)
	defer cancel()
	conn, err := e.pool.peer(address).conn(linkCtx, nil)
	if err != nil {
		return err
	}
	done := conn.useForBody()
	defer done()
	ctx, cancelStream := context.WithCancel(ctx)
	defer cancelStream()
	stop := context.AfterFunc(conn.ctx, cancelStream)
	defer stop()
	stream, err := conn.client.PutBody(ctx)
	if err != nil {
		return fault.FromStatus(err)
	}
	offer := &api.BodyOffer{Digest: key.digest[:], Length: uint64(size)}
	if err := stream.Send(&api.PutBodyRequest{Message: &api.PutBodyRequest_Offer{Offer: offer}}); err != nil {
		return fault.FromStatus(err)
	}
	reply, err := stream.Recv()
	if err != nil || reply.Stored {
		return fault.FromStatus(err)
	}
	bodiesSentTotal.Inc()
	if err := e.upload(ctx, stream, content, key.region != e.config.Region, class); err != nil {
		return err
	}
	reply, err = stream.Recv()
	if err == nil && !reply.Stored {
		return fault.New(fault.DataCorrupt, "the agent did not store the body")
	}
	return fault.FromStatus(err)
}

func (e *Entry) upload(ctx context.Context, stream api.Agent_PutBodyClient, content io.Reader, remote bool, class request.Class) error {
	buffer := make([]byte, bodyChunkSize)
	for {
		n, err := io.ReadFull(content, buffer)
		if n > 0 {
			chunk := &api.BodyChunk{Data: buffer[:n]}
			if remote {
				chunk.Data, chunk.Zstd = blob.Compress(buffer[:n])
			}
			if err := e.linkBudget.waitOutbound(ctx, remote, class, len(chunk.Data)); err != nil {
				return err
			}
			if err := stream.Send(&api.PutBodyRequest{Message: &api.PutBodyRequest_Chunk{Chunk: chunk}}); err != nil {
				return fault.Wrap(fault.ConnectionLost, err, "send the body")
			}
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF {
			return fault.Wrap(fault.ConnectionLost, stream.CloseSend(), "send the body")
		}
		if err != nil {
			return err
		}
	}
}

// agents returns the addresses of the service's agents in a region.
func (s *service) agents(region string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]bool)
	var addresses []string
	for _, t := range s.servers {
		address := t.server.AgentAddress
		if t.server.Region == region && !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}
