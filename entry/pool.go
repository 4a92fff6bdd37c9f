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

// Health checks and limits of the connections to agents.
const (
	pingInterval     = 250 * time.Millisecond // between pings while attempts are in progress
	idlePingInterval = 3 * time.Second        // between pings otherwise
	pongTimeout      = time.Second            // after which a connection without a pong is retired
	redialBackoff    = 250 * time.Millisecond
	maxRedialBackoff = 5 * time.Second
	maxMessageSize   = 4 << 20 // bytes of one gRPC message
	streamWindow     = 1 << 20 // bytes in flight to one stream
)

var (
	errRetired = fault.New(fault.ConnectionLost, "the connection went silent")
	errNoConn  = fault.New(fault.NoBackend, "no live connection to the agent")
)

// pool holds the peers, one for each agent address in the directory.
type pool struct {
	ctx          context.Context
	security     *transport.Security
	connsPerPeer int
	onLoad       func(server string, load *api.Load)

	mu    sync.Mutex
	peers map[string]*peer
}

func newPool(ctx context.Context, security *transport.Security, links int) *pool {
	return &pool{ctx: ctx, security: security, connsPerPeer: links, peers: make(map[string]*peer)}
}

// setAddresses opens peers for new addresses, and closes those no longer listed once
// their attempts have ended.
func (p *pool) setAddresses(addresses map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range addresses {
		if _, ok := p.peers[address]; !ok {
			p.peers[address] = newPeer(p, address)
		}
	}
	for address, pr := range p.peers {
		if !addresses[address] {
			delete(p.peers, address)
			go pr.closeWhenIdle()
		}
	}
}

// peer returns the peer at address. A peer that the directory does not list is
// created, so that an attempt there can be looked up.
func (p *pool) peer(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, ok := p.peers[address]
	if !ok {
		pr = newPeer(p, address)
		p.peers[address] = pr
	}
	return pr
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pr := range p.peers {
		pr.cancel()
	}
}

// peer is one agent, reached over several connections.
type peer struct {
	pool    *pool
	address string
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	conns   []*agentConn
	changed chan struct{} // closed and replaced when a connection becomes ready or ends
}

func newPeer(p *pool, address string) *peer {
	ctx, cancel := context.WithCancel(p.ctx)
	pr := &peer{pool: p, address: address, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
	for range p.connsPerPeer {
		go pr.maintain()
	}
	return pr
}

// maintain keeps one connection open, and dials again after each that is retired.
func (p *peer) maintain() {
	backoff := timing.NewBackoff(redialBackoff, maxRedialBackoff)
	for p.ctx.Err() == nil {
		began := time.Now()
		p.runConn()
		if time.Since(began) > maxRedialBackoff {
			backoff.Reset()
		}
		if !timing.Sleep(p.ctx, backoff.Next()) {
			return
		}
	}
}

func (p *peer) runConn() {
	conn, err := p.pool.security.Dial(p.address,
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(4*streamWindow),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)))
	if err != nil {
		return
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(p.ctx)
	defer cancel(errRetired)
	c := &agentConn{
		peer: p, client: api.NewAgentClient(conn), ctx: ctx, cancel: cancel, activated: make(chan struct{}, 1),
	}
	c.run()
	p.remove(c)
	c.drain()
}

func (p *peer) add(c *agentConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	p.notifyWaiters()
}

func (p *peer) remove(c *agentConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.conns {
		if other == c {
			p.conns = append(p.conns[:i], p.conns[i+1:]...)
			break
		}
	}
	p.notifyWaiters()
}

func (p *peer) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// conn returns the live connection of lowest cost, other than exclude. It waits
// for one until ctx ends, and then returns fault.NoBackend.
func (p *peer) conn(ctx context.Context, exclude *agentConn) (*agentConn, error) {
	for {
		p.mu.Lock()
		best := p.best(exclude)
		changed := p.changed
		p.mu.Unlock()
		if best != nil {
			return best, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, errNoConn
		case <-p.ctx.Done():
			return nil, errNoConn
		}
	}
}

func (p *peer) best(exclude *agentConn) *agentConn {
	var best *agentConn
	for _, l := range p.conns {
		if l != exclude && l.ctx.Err() == nil && (best == nil || l.cost() < best.cost()) {
			best = l
		}
	}
	return best
}

// closeWhenIdle closes the peer once no attempt uses its connections.
func (p *peer) closeWhenIdle() {
	for p.busy() && timing.Sleep(p.ctx, pingInterval) {
	}
	p.cancel()
}

func (p *peer) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.conns {
		if l.inUse() > 0 {
			return true
		}
	}
	return false
}
