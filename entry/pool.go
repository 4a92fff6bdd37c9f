package entry

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/timing"
	"amaranthpaddle/transport"
)

// Checks of the connections to agents.
const (
	pingTick     = 250 * time.Millisecond // between pings while attempts are in progress
	pingIdle     = 3 * time.Second        // between pings otherwise
	pongTimeout  = time.Second            // after which a connection without a pong is retired
	redialPause  = 250 * time.Millisecond
	redialMax    = 5 * time.Second
	maxMessage   = 4 << 20 // bytes of one gRPC message
	streamWindow = 1 << 20 // bytes in flight to one stream
)

var (
	errRetired = fault.New(fault.ConnectionLost, "the connection went silent")
	errNoLink  = fault.New(fault.NoBackend, "no live connection to the agent")
)

// pool holds the peers, one for each agent address in the directory.
type pool struct {
	ctx      context.Context
	security *transport.Security
	links    int
	onLoad   func(server string, load *api.Load)

	mu    sync.Mutex
	peers map[string]*peer
}

func newPool(ctx context.Context, security *transport.Security, links int) *pool {
	return &pool{ctx: ctx, security: security, links: links, peers: make(map[string]*peer)}
}

// keep opens peers for new addresses, and closes those no longer listed once
// their attempts have ended.
func (p *pool) keep(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range addresses {
		if _, ok := p.peers[address]; !ok {
			p.peers[address] = newPeer(p, address)
		}
	}
	for address, known := range p.peers {
		if !addresses[address] {
			delete(p.peers, address)
			go known.closeWhenIdle()
		}
	}
}

// peer returns the peer at address. A peer that the directory does not list is
// made for one use, to look up an attempt there.
func (p *pool) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.peers[address]
	if !ok {
		known = newPeer(p, address)
		p.peers[address] = known
	}
	return known
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.peers {
		known.cancel()
	}
}

// peer is one agent, reached over several links.
type peer struct {
	pool    *pool
	address string
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	links   []*link
	changed chan struct{} // closed and replaced when a link becomes ready or ends
}

func newPeer(p *pool, address string) *peer {
	ctx, cancel := context.WithCancel(p.ctx)
	known := &peer{pool: p, address: address, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
	for range p.links {
		go known.maintain()
	}
	return known
}

// maintain keeps one link open, a new one after each that is retired.
func (p *peer) maintain() {
	backoff := timing.NewBackoff(redialPause, redialMax)
	for p.ctx.Err() == nil {
		began := time.Now()
		p.runLink()
		if time.Since(began) > redialMax {
			backoff.Reset()
		}
		if !timing.Sleep(p.ctx, backoff.Next()) {
			return
		}
	}
}

func (p *peer) runLink() {
	conn, err := p.pool.security.Dial(p.address,
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(4*streamWindow),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
	if err != nil {
		return
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(p.ctx)
	defer cancel(errRetired)
	l := &link{
		peer: p, client: api.NewAgentClient(conn), ctx: ctx, cancel: cancel, begun: make(chan struct{}, 1),
	}
	l.run()
	p.remove(l)
	l.drain()
}

func (p *peer) add(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links = append(p.links, l)
	p.notify()
}

func (p *peer) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.links {
		if other == l {
			p.links = append(p.links[:i], p.links[i+1:]...)
			break
		}
	}
	p.notify()
}

func (p *peer) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// link returns the live link with the fewest attempts, other than not. It waits
// for one until ctx ends, and then returns fault.NoBackend.
func (p *peer) link(ctx context.Context, not *link) (*link, error) {
	for {
		p.mu.Lock()
		best := p.best(not)
		changed := p.changed
		p.mu.Unlock()
		if best != nil {
			return best, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errNoLink
		case <-p.ctx.Done():
			return nil, errNoLink
		}
	}
}

func (p *peer) best(not *link) *link {
	var best *link
	for _, l := range p.links {
		if l != not && l.ctx.Err() == nil && (best == nil || l.cost() < best.cost()) {
			best = l
		}
	}
	return best
}

// closeWhenIdle closes the peer once no attempt uses its links.
func (p *peer) closeWhenIdle() {
	for p.busy() && timing.Sleep(p.ctx, pingTick) {
	}
	p.cancel()
}

func (p *peer) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.inUse() > 0 {
			return true
		}
	}
	return false
}
