package entry

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
	"amaranthpaddle/routing"
)

// Limits of the cross-region link.
const (
	maxUrgentBytes = 4 << 10   // an interactive message up to this size never waits
	linkBurst      = 16 << 10  // bytes that may be sent unpaced after an idle time
	initialCredit  = 16 << 10  // answer bytes that an agent may send before further credit
	maxCredit      = 128 << 10 // answer bytes in flight of one answer
	pacedFraction  = 0.95      // of the link's rate; the rest is headroom
	maxLinkQueue   = 1 << 16   // waiting messages
)

// linkBudget shares the bytes to and from other regions, by class.
type linkBudget struct {
	outbound *pacer
	inbound  *pacer
}

// newLinkBudget returns the budget for a rate in bytes/s each way; 0 is no limit.
func newLinkBudget(rate int64) *linkBudget {
	if rate <= 0 {
		return &linkBudget{}
	}
	paced := int64(pacedFraction * float64(rate))
	return &linkBudget{outbound: newPacer(paced), inbound: newPacer(paced)}
}

// waitOutbound returns when size bytes may be sent. Errors: fault.DeadlineNotRun when the context ends first.
func (b *linkBudget) waitOutbound(ctx context.Context, remote bool, class request.Class, size int) error {
	if !remote {
		return nil
	}
	countLinkBytes("out", class, size)
	if b.outbound == nil {
		return nil
	}
	return b.outbound.wait(ctx, class, size)
}

// waitInbound returns when size bytes more may be asked for.
func (b *linkBudget) waitInbound(ctx context.Context, class request.Class, size int) error {
	countLinkBytes("in", class, size)
	if b.inbound == nil {
		return nil
	}
	return b.inbound.wait(ctx, class, size)
}

// pacer limits the rate of one direction: urgent messages are sent at once, then
// those of interactive callers, then those of batch callers.
type pacer struct {
	mu      sync.Mutex
	bucket  *routing.Bucket
	waiting routing.ClassQueue[*pacedMessage]
	armed   bool // a timer will call advance
}

type pacedMessage struct {
	size     int
	released chan struct{}
}

func newPacer(rate int64) *pacer { return &pacer{bucket: routing.NewBucket(rate, linkBurst)} }

func (p *pacer) wait(ctx context.Context, class request.Class, size int) error {
	m, err := p.enqueue(class, size)
	if err != nil || m == nil {
		return err
	}
	select {
	case <-m.released:
		return nil
	case <-ctx.Done():
		p.mu.Lock()
		p.waiting.Remove(class, m)
		p.mu.Unlock()
		return fault.New(fault.DeadlineNotRun, "the request ended while it waited for the link")
	}
}

// enqueue queues a message, or spends its bytes and returns nil when it may be sent at once.
func (p *pacer) enqueue(class request.Class, size int) (*pacedMessage, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	urgent := class == request.Interactive && size <= maxUrgentBytes
	if urgent || (p.waiting.Len() == 0 && p.bucket.Wait(now) == 0) {
		p.bucket.Spend(now, size)
		return nil, nil
	}
	m := &pacedMessage{size: size, released: make(chan struct{})}
	if _, pushed := p.waiting.Push(class, m, maxLinkQueue); !pushed {
		return nil, fault.New(fault.Overloaded, "too many messages wait for the link")
	}
	p.arm(now)
	return m, nil
}

// arm sets a timer for when the next message may be sent. The caller holds mu.
func (p *pacer) arm(now time.Time) {
	if p.armed {
		return
	}
	p.armed = true
	time.AfterFunc(p.bucket.Wait(now), p.advance)
}

// advance releases waiting messages as far as the bucket allows.
func (p *pacer) advance() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed = false
	now := time.Now()
	for p.bucket.Wait(now) == 0 {
		m, ok := p.waiting.Pop()
		if !ok {
			return
		}
		p.bucket.Spend(now, m.size)
		close(m.released)
	}
	if p.waiting.Len() > 0 {
		p.arm(now)
	}
}

// creditGranter asks an agent of another region for more of an answer, a window at
// a time, as the budget allows.
type creditGranter struct {
	call     *call
	send     func(*api.DeliverRequest) error
	received chan int // uncompressed bytes received
}

func newCreditGranter(ctx context.Context, c *call, send func(*api.DeliverRequest) error) *creditGranter {
	g := &creditGranter{call: c, send: send, received: make(chan int, 64)}
	go g.run(ctx)
	return g
}

// addReceived counts received bytes of the answer.
func (g *creditGranter) addReceived(ctx context.Context, n int) {
	select {
	case g.received <- n:
	case <-ctx.Done():
	}
}

// run grants as many bytes as were received, and twice that until the window is maxCredit.
func (g *creditGranter) run(ctx context.Context) {
	window := initialCredit
	for {
		var n int
		select {
		case n = <-g.received:
		case <-ctx.Done():
			return
		}
		if window < maxCredit {
			window += n
			n += n
		}
		if g.call.entry.linkBudget.waitInbound(ctx, startClass(g.call.start), n) != nil {
			return
		}
		// The stream's own error, if there is one, comes from the next Recv.
		_ = g.send(&api.DeliverRequest{Message: &api.DeliverRequest_Credit{Credit: uint64(n)}})
	}
}

func startClass(start *api.AttemptStart) request.Class {
	if start.Class == api.CallerClass_CALLER_CLASS_BATCH {
		return request.Batch
	}
	return request.Interactive
}
