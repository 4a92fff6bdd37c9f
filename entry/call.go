package entry

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/blob"
	"amaranthpaddle/fault"
)

// result is the result of one attempt. When err is nil, the collector has the
// complete answer.
type result struct {
	err         error
	claimHolder *api.Holder // with fault.KeyInUse
	load        *api.Load
	status      uint32
	standing    bool
	moved       bool // a standing stream is to be opened elsewhere
	took        time.Duration
	queue       time.Duration
	backendTime time.Duration
}

// call sends one attempt, or a lookup of one, over a connection to an agent.
type call struct {
	entry     *Entry
	conn      *agentConn
	start     *api.AttemptStart
	chunks    [][]byte // rest of the body
	remote    bool     // the agent is in another region
	deadline  time.Time
	collector *collector
	granter   *creditGranter // set once an answer with credit arrives
	sendMu    sync.Mutex
}

// run sends the attempt and collects its answer.
func (c *call) run(ctx context.Context) *result {
	began := time.Now()
	done := c.conn.use()
	defer done()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(c.conn.ctx, func() { cancel(context.Cause(c.conn.ctx)) })
	defer stop()
	r := c.exchange(ctx)
	r.took = time.Since(began)
	return r
}

func (c *call) exchange(ctx context.Context) *result {
	if err := c.entry.linkBudget.waitOutbound(ctx, c.remote, startClass(c.start), startSize(c.start)); err != nil {
		return &result{err: err}
	}
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return &result{err: fault.New(fault.DeadlineNotRun, "the deadline passed before the attempt was sent")}
	}
	stream, err := c.conn.client.Deliver(ctx)
	if err != nil {
		return &result{err: fault.Wrap(fault.NoBackend, err, "open a stream to the agent")}
	}
	if err := stream.Send(startMessage(c.start)); err != nil {
		return &result{err: streamError(ctx, receiveError(stream))}
	}
	send := func(message *api.DeliverRequest) error {
		c.sendMu.Lock()
		defer c.sendMu.Unlock()
		return stream.Send(message)
	}
	if len(c.chunks) > 0 {
		go c.sendChunks(ctx, send)
	}
	r := c.collect(ctx, stream, send)
	return r
}

func startMessage(start *api.AttemptStart) *api.DeliverRequest {
	return &api.DeliverRequest{Message: &api.DeliverRequest_Start{Start: start}}
}

func startSize(start *api.AttemptStart) int { return len(start.Body) + 512 }

// receiveError returns the error that made a Send fail.
func receiveError(stream api.Agent_DeliverClient) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return err
		}
	}
}

// streamError classifies the failure of a stream whose attempt may have started.
func streamError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil && cause != context.Canceled && cause != context.DeadlineExceeded {
		if kind := fault.KindOf(cause); kind != fault.Internal {
			return cause
		}
	}
	if err == io.EOF {
		return fault.New(fault.AnswerDamaged, "the stream ended before the answer did")
	}
	return fault.FromStatus(err)
}

func (c *call) sendChunks(ctx context.Context, send func(*api.DeliverRequest) error) {
	for _, chunk := range c.chunks {
		if c.entry.linkBudget.waitOutbound(ctx, c.remote, startClass(c.start), len(chunk)) != nil {
			return
		}
		message := &api.DeliverRequest{Message: &api.DeliverRequest_Chunk{Chunk: chunk}}
		if send(message) != nil {
			return
		}
	}
}

type responseReceiver interface {
	Recv() (*api.DeliverResponse, error)
}

// collect receives an answer and checks its length and checksum.
func (c *call) collect(ctx context.Context, stream responseReceiver, send func(*api.DeliverRequest) error) *result {
	r := &result{}
	for {
		message, err := stream.Recv()
		if err != nil {
			r.err = streamError(ctx, err)
			return r
		}
		if message.Load != nil {
			r.load = message.Load
		}
		if finished := c.handleMessage(ctx, message, r, send); finished {
			return r
		}
	}
}

// handleMessage handles one message and reports whether the answer ended.
func (c *call) handleMessage(ctx context.Context, message *api.DeliverResponse, r *result, send func(*api.DeliverRequest) error) bool {
	switch m := message.Message.(type) {
	case *api.DeliverResponse_Head:
		r.status, r.standing = m.Head.Status, m.Head.Standing
		r.err = c.collector.setHead(m.Head)
	case *api.DeliverResponse_Chunk:
		r.err = c.handleChunk(ctx, m.Chunk, send)
	case *api.DeliverResponse_Refusal:
		r.err = refusalError(m.Refusal)
		r.claimHolder = m.Refusal.Holder
	case *api.DeliverResponse_Whole:
		r.status, r.standing = m.Whole.GetHead().GetStatus(), m.Whole.GetHead().GetStanding()
		if r.err = c.collector.setHead(m.Whole.GetHead()); r.err != nil {
			return true
		}
		if r.err = c.handleChunk(ctx, m.Whole.GetChunk(), send); r.err != nil {
			return true
		}
		c.handleEnd(m.Whole.GetEnd(), r)
		return true
	case *api.DeliverResponse_End:
		c.handleEnd(m.End, r)
		return true
	}
	return r.err != nil
}

// handleEnd records the times in end and verifies the answer.
func (c *call) handleEnd(end *api.AnswerEnd, r *result) {
	r.moved = end.GetMoved()
	r.queue = time.Duration(end.GetQueueMs() * float64(time.Millisecond))
	r.backendTime = time.Duration(end.GetBackendMs() * float64(time.Millisecond))
	r.err = c.collector.verify(end)
	if r.moved {
		c.collector.messages.pending = nil
	}
}

func (c *call) handleChunk(ctx context.Context, chunk *api.AnswerChunk, send func(*api.DeliverRequest) error) error {
	if len(chunk.GetData()) == 0 {
		return nil
	}
	data := chunk.Data
	if chunk.Zstd {
		plain, err := blob.Decompress(data)
		if err != nil {
			return fault.Wrap(fault.AnswerDamaged, err, "answer")
		}
		data = plain
	}
	if err := c.collector.write(data); err != nil {
		return err
	}
	if c.start == nil || c.start.AnswerCredit == 0 {
		return nil
	}
	if c.granter == nil {
		c.granter = newCreditGranter(ctx, c, send)
	}
	c.granter.addReceived(ctx, len(data))
	return nil
}

func refusalError(refusal *api.Refusal) error {
	kind, known := fault.ParseKind(refusal.Kind)
	if !known {
		kind = fault.Internal
	}
	return fault.New(kind, refusal.Message)
}

// collector receives one attempt's answer. It buffers up to maxBuffered bytes, so
// that most answers are verified before the caller gets a byte; a longer one is
// streamed to the caller as it arrives.
type collector struct {
	sink        *sink
	acquireSink func(*collector) bool // whether this collector may write to the sink
	head        *api.AnswerHead
	buffered    []byte
	size        uint64
	hash        *xxhash.Digest
	streaming   bool // the answer is being written to the caller

	onStanding func() // called once for an answer that is a standing stream
	messages   messageFilter
}

// maxBuffered is how many bytes of an answer are buffered before streaming.
const maxBuffered = 64 << 10

func newCollector(s *sink, acquireSink func(*collector) bool) *collector {
	return &collector{sink: s, acquireSink: acquireSink, hash: xxhash.New()}
}

// reset discards what was received, before an answer is received from its start again.
func (c *collector) reset() {
	c.head, c.buffered, c.size = nil, nil, 0
	c.hash.Reset()
}

func (c *collector) setHead(head *api.AnswerHead) error {
	if c.head != nil {
		return nil
	}
	if head == nil {
		return fault.New(fault.AnswerDamaged, "the answer has no head")
	}
	c.head = head
	if !head.Standing {
		return nil
	}
	if c.onStanding != nil {
		c.onStanding()
	}
	c.messages.events = isEventStream(head)
	return c.startStreaming()
}

func (c *collector) write(p []byte) error {
	c.size += uint64(len(p))
	_, _ = c.hash.Write(p)
	if c.standing() {
		return c.sink.write(c.messages.complete(p), true)
	}
	if c.streaming {
		return c.sink.write(p, false)
	}
	c.buffered = append(c.buffered, p...)
	if len(c.buffered) <= maxBuffered {
		return nil
	}
	return c.startStreaming()
}

func (c *collector) standing() bool { return c.head != nil && c.head.Standing }

// startStreaming writes the head and the buffered bytes to the caller.
func (c *collector) startStreaming() error {
	if c.head == nil {
		return fault.New(fault.AnswerDamaged, "the answer has no head")
	}
	if !c.acquireSink(c) {
		return fault.New(fault.Canceled, "another attempt's answer is passed on")
	}
	c.streaming = true
	if err := c.sink.begin(c.head, -1); err != nil {
		return err
	}
	buffered := c.buffered
	c.buffered = nil
	return c.sink.write(buffered, c.standing()) // flushes the head of a standing stream
}

// verify checks the answer against its announced length and checksum.
func (c *collector) verify(end *api.AnswerEnd) error {
	if c.head == nil || end.GetLength() != c.size || !bytes.Equal(end.GetChecksum(), c.hash.Sum(nil)) {
		return fault.New(fault.AnswerDamaged, "the answer does not match its length and checksum")
	}
	return nil
}

// finish writes the rest of a complete answer to the caller.
func (c *collector) finish() error {
	if c.streaming {
		if err := c.sink.write(c.messages.pending, c.standing()); err != nil {
			return err
		}
		return c.sink.finish()
	}
	if err := c.sink.begin(c.head, len(c.buffered)); err != nil {
		return err
	}
	if err := c.sink.write(c.buffered, false); err != nil {
		return err
	}
	return c.sink.finish()
}
