package delivery

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/blob"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
)

// chunkSize is the maximum number of answer bytes in one message. It is small so
// that a short urgent message waits for one chunk at most.
const chunkSize = 16 << 10

// credit is the flow control of an answer: how many more bytes may be sent. The
// entry grants more as its share of the link allows.
type credit struct {
	mu        sync.Mutex
	unlimited bool
	left      uint64
	changed   chan struct{}
}

func newCredit(initial uint64) *credit {
	return &credit{unlimited: initial == 0, left: initial, changed: make(chan struct{})}
}

func (c *credit) add(n uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left += n
	close(c.changed)
	c.changed = make(chan struct{})
}

// available waits for credit and returns how many bytes may be sent, limit at
// most, or 0 when the context ends.
func (c *credit) available(ctx context.Context, limit int) int {
	for {
		c.mu.Lock()
		left, changed := c.left, c.changed
		if c.unlimited {
			left = uint64(limit)
		}
		c.mu.Unlock()
		if left > 0 {
			return int(min(left, uint64(limit)))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0
		}
	}
}

func (c *credit) spend(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.unlimited {
		c.left -= uint64(n)
	}
}

// sender holds the state of sending an answer over one stream.
type sender struct {
	server   string
	credit   *credit
	zstd     bool
	needHead bool
	offset   uint64
}

// chunk returns data as a chunk message, compressed if the entry accepts it.
func (s *sender) chunk(data []byte) *api.AnswerChunk {
	chunk := &api.AnswerChunk{Data: data}
	if s.zstd {
		chunk.Data, chunk.Zstd = blob.Compress(data)
	}
	return chunk
}

type responseStream interface {
	Send(*api.DeliverResponse) error
}

// sendAnswer sends an answer from the sender's offset to its end, as it arrives.
func (d *Delivery) sendAnswer(ctx context.Context, stream responseStream, a *answer, s *sender) error {
	for {
		limit := s.credit.available(ctx, chunkSize)
		p := a.next(ctx, s.needHead, s.offset, limit)
		if p == nil {
			return fault.ToStatus(fault.New(fault.Canceled, "the entry went away"))
		}
		done, err := d.sendPiece(stream, p, s)
		if err != nil || done {
			return err
		}
	}
}

func (d *Delivery) sendPiece(stream responseStream, p *piece, s *sender) (done bool, err error) {
	if p.head != nil && p.end != nil {
		whole := &api.AnswerWhole{Head: p.head, Chunk: s.chunk(p.data), End: p.end}
		return true, stream.Send(&api.DeliverResponse{
			Message: &api.DeliverResponse_Whole{Whole: whole}, Load: d.loadOf(s.server)})
	}
	if p.head != nil {
		s.needHead = false
		if err := stream.Send(&api.DeliverResponse{Message: &api.DeliverResponse_Head{Head: p.head}}); err != nil {
			return true, err
		}
	}
	if len(p.data) > 0 {
		chunk := s.chunk(p.data)
		s.credit.spend(len(p.data))
		s.offset += uint64(len(p.data))
		if err := stream.Send(&api.DeliverResponse{Message: &api.DeliverResponse_Chunk{Chunk: chunk}}); err != nil {
			return true, err
		}
	}
	switch {
	case p.gap:
		refusal := toRefusal(fault.New(fault.AnswerDamaged, "the start of the answer is no longer kept"))
		return true, stream.Send(&api.DeliverResponse{Message: &api.DeliverResponse_Refusal{Refusal: refusal}})
	case p.refusal != nil:
		return true, stream.Send(&api.DeliverResponse{
			Message: &api.DeliverResponse_Refusal{Refusal: p.refusal}, Load: d.loadOf(s.server)})
	case p.end != nil:
		return true, stream.Send(&api.DeliverResponse{
			Message: &api.DeliverResponse_End{End: p.end}, Load: d.loadOf(s.server)})
	}
	return false, nil
}

// maxLookupWait is the longest time that a lookup waits for a running attempt.
const maxLookupWait = time.Minute

// Lookup implements api.AgentServer.
func (d *Delivery) Lookup(req *api.LookupRequest, stream api.Agent_LookupServer) error {
	d.active.Add(1)
	defer d.active.Add(-1)
	ctx := stream.Context()
	state, a, kept := d.lookup(req)
	if state == request.Running || state == request.Waiting {
		waitCtx, cancel := context.WithTimeout(ctx, min(time.Duration(req.WaitMs)*time.Millisecond, maxLookupWait))
		a.wait(waitCtx)
		cancel()
		state, a, kept = d.lookup(req)
	}
	reply := apiState(state)
	if state == request.Finished && !kept {
		reply = api.AttemptState_ATTEMPT_STATE_NOT_KEPT
	}
	if err := stream.Send(&api.DeliverResponse{Message: &api.DeliverResponse_State{State: reply}}); err != nil {
		return err
	}
	if reply != api.AttemptState_ATTEMPT_STATE_FINISHED {
		return nil
	}
	return d.sendAnswer(ctx, stream, a, &sender{
		credit: newCredit(0), needHead: true, offset: min(req.Offset, uint64(len(a.data))),
	})
}

func (d *Delivery) lookup(req *api.LookupRequest) (request.State, *answer, bool) {
	if req.Incarnation != d.config.Incarnation {
		return request.Unknown, nil, false
	}
	d.tableMu.Lock()
	defer d.tableMu.Unlock()
	deadline := time.Duration(req.DeadlineUs) * time.Microsecond
	return d.table.Lookup(d.now(), req.Attempt, deadline, req.Fence)
}

func apiState(state request.State) api.AttemptState {
	switch state {
	case request.Waiting, request.Running:
		return api.AttemptState_ATTEMPT_STATE_RUNNING
	case request.Finished:
		return api.AttemptState_ATTEMPT_STATE_FINISHED
	case request.Fenced:
		return api.AttemptState_ATTEMPT_STATE_FENCED
	default:
		return api.AttemptState_ATTEMPT_STATE_UNKNOWN
	}
}
