package entry

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/api"
)

// clockSamples is how many pings an estimate of the agent's clock is taken from.
const clockSamples = 8

// agentConn is one connection to an agent. It is used from its first pong until
// it is retired.
type agentConn struct {
	peer      *peer
	client    api.AgentClient
	ctx       context.Context // canceled, with a cause, when the connection is retired
	cancel    context.CancelCauseFunc
	activated chan struct{} // signaled when a stream begins on an idle connection

	mu            sync.Mutex
	streams       int
	bodyTransfers int // bodies in transfer
	incarnation   uint64
	sequence      uint64
	sentAt        map[uint64]time.Time // of pings without a pong
	lastPing      time.Time
	clock         clockEstimate
}

// clockEstimate relates the agent's clock to this process's monotonic clock.
type clockEstimate struct {
	samples [clockSamples]clockSample
	count   int
}

type clockSample struct {
	local  time.Time     // middle of the round trip
	remote time.Duration // agent's clock then
	rtt    time.Duration // round trip; half of it bounds the error
}

func (c *clockEstimate) add(s clockSample) {
	c.samples[c.count%clockSamples] = s
	c.count++
}

// remote returns the agent's clock at a local time, from the sample with the
// shortest round trip.
func (c *clockEstimate) remote(local time.Time) time.Duration {
	best := c.samples[0]
	for _, s := range c.samples[1:min(max(c.count, 1), clockSamples)] {
		if s.rtt < best.rtt {
			best = s
		}
	}
	return best.remote + local.Sub(best.local)
}

// run pings until the connection fails, a pong is overdue or the peer is closed.
func (c *agentConn) run() {
	c.sentAt = make(map[uint64]time.Time)
	stream, err := c.client.Ping(c.ctx)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.receivePongs(stream)
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if c.pongOverdue(time.Now()) {
			connsRetiredTotal.Inc()
			c.cancel(errRetired)
			return
		}
		if sequence := c.nextPing(time.Now()); sequence > 0 {
			if err := stream.Send(&api.PingMessage{Sequence: sequence}); err != nil {
				c.cancel(errRetired)
				return
			}
		}
		timer.Reset(c.untilNextCheck(time.Now()))
		select {
		case <-timer.C:
		case <-c.activated:
		case <-ended:
			c.cancel(errRetired)
			return
		}
	}
}

// untilNextCheck returns the time until the connection must be checked again. An
// entry has connections to every agent, and most are idle: checking each of them
// at every pingInterval would cost more than their pings.
func (c *agentConn) untilNextCheck(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams > 0 || c.clock.count == 0 || len(c.sentAt) > 0 {
		return pingInterval
	}
	return max(c.lastPing.Add(idlePingInterval).Sub(now), pingInterval)
}

// beginUse counts a stream, and wakes run when it is the first. The caller holds mu.
func (c *agentConn) beginUse() {
	c.streams++
	if c.streams > 1 {
		return
	}
	select {
	case c.activated <- struct{}{}:
	default:
	}
}

// pongOverdue reports whether a ping has had no pong for pongTimeout.
func (c *agentConn) pongOverdue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sent := range c.sentAt {
		if now.Sub(sent) > pongTimeout {
			return true
		}
	}
	return false
}

// nextPing returns the sequence of a ping that is due, or 0.
func (c *agentConn) nextPing(now time.Time) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams == 0 && c.clock.count > 0 && now.Sub(c.lastPing) < idlePingInterval {
		return 0
	}
	c.sequence++
	c.lastPing = now
	c.sentAt[c.sequence] = now
	return c.sequence
}

func (c *agentConn) receivePongs(stream api.Agent_PingClient) {
	for {
		pong, err := stream.Recv()
		if err != nil {
			return
		}
		first := c.handlePong(time.Now(), pong)
		if first {
			c.peer.add(c)
		}
		if c.peer.pool.onLoad == nil {
			continue
		}
		for _, load := range pong.Loads {
			c.peer.pool.onLoad(load.Server, load.Load)
		}
	}
}

func (c *agentConn) handlePong(now time.Time, pong *api.PingMessage) (first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, ok := c.sentAt[pong.Acknowledged]
	if !ok {
		return false
	}
	for sequence := range c.sentAt {
		if sequence <= pong.Acknowledged {
			delete(c.sentAt, sequence)
		}
	}
	rtt := now.Sub(sent)
	c.clock.add(clockSample{
		local:  sent.Add(rtt / 2),
		remote: time.Duration(pong.ClockUs) * time.Microsecond,
		rtt:    rtt,
	})
	c.incarnation = pong.Incarnation
	return c.clock.count == 1
}

// agentTime returns a local time on the agent's clock, microseconds.
func (c *agentConn) agentTime(local time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.remote(local).Microseconds()
}

func (c *agentConn) agentIncarnation() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnation
}

// use counts a stream on the connection; the function returned ends it.
func (c *agentConn) use() (done func()) {
	c.mu.Lock()
	c.beginUse()
	c.mu.Unlock()
	return func() {
		c.mu.Lock()
		c.streams--
		c.mu.Unlock()
	}
}

// useForBody counts a stream that transfers a body. Attempts prefer other
// connections meanwhile.
func (c *agentConn) useForBody() (done func()) {
	c.mu.Lock()
	c.beginUse()
	c.bodyTransfers++
	c.mu.Unlock()
	return func() {
		c.mu.Lock()
		c.streams--
		c.bodyTransfers--
		c.mu.Unlock()
	}
}

// cost ranks connections: those with a body in transfer last, then by streams.
func (c *agentConn) cost() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams + c.bodyTransfers*bodyTransferCost
}

// bodyTransferCost is the number of streams that a body in transfer counts as.
const bodyTransferCost = 1000

func (c *agentConn) inUse() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams
}

// drain waits until the streams on a retired connection have ended, at most pongTimeout.
func (c *agentConn) drain() {
	deadline := time.Now().Add(pongTimeout)
	for c.inUse() > 0 && time.Now().Before(deadline) {
		time.Sleep(pingInterval / 10)
	}
}
