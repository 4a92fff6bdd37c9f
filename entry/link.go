package entry

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/api"
)

// clockSamples is how many pings an estimate of the agent's clock is taken from.
const clockSamples = 8

// link is one connection to an agent. It is in use from its first pong until
// it is retired.
type link struct {
	peer   *peer
	client api.AgentClient
	ctx    context.Context // ends, with a cause, when the link is retired
	cancel context.CancelCauseFunc
	begun  chan struct{} // an attempt began on an idle link

	mu          sync.Mutex
	using       int
	bulk        int // bodies in transfer
	incarnation uint64
	sequence    uint64
	sentAt      map[uint64]time.Time // of pings without a pong
	lastPing    time.Time
	clock       clockEstimate
}

// clockEstimate relates the agent's clock to this process's monotonic clock.
type clockEstimate struct {
	samples [clockSamples]clockSample
	count   int
}

type clockSample struct {
	local  time.Time     // middle of the round trip
	remote time.Duration // agent's clock then
	trip   time.Duration // round trip; half of it bounds the error
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
		if s.trip < best.trip {
			best = s
		}
	}
	return best.remote + local.Sub(best.local)
}

// run pings until the link fails, goes silent or the peer is closed.
func (l *link) run() {
	l.sentAt = make(map[uint64]time.Time)
	stream, err := l.client.Ping(l.ctx)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.receivePongs(stream)
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if l.silent(time.Now()) {
			linksRetiredTotal.Inc()
			l.cancel(errRetired)
			return
		}
		if sequence := l.nextPing(time.Now()); sequence > 0 {
			if err := stream.Send(&api.PingMessage{Sequence: sequence}); err != nil {
				l.cancel(errRetired)
				return
			}
		}
		timer.Reset(l.untilNextLook(time.Now()))
		select {
		case <-timer.C:
		case <-l.begun:
		case <-ended:
			l.cancel(errRetired)
			return
		}
	}
}

// untilNextLook returns when the link must be looked at again. An entry holds
// links to every agent, and most are idle: looking at each of them at every
// pingTick costs more than their pings.
func (l *link) untilNextLook(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.using > 0 || l.clock.count == 0 || len(l.sentAt) > 0 {
		return pingTick
	}
	return max(l.lastPing.Add(pingIdle).Sub(now), pingTick)
}

// beginUse counts an attempt in progress. The caller holds mu.
func (l *link) beginUse() {
	l.using++
	if l.using > 1 {
		return
	}
	select {
	case l.begun <- struct{}{}:
	default:
	}
}

// silent reports whether a ping has had no pong for too long.
func (l *link) silent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sent := range l.sentAt {
		if now.Sub(sent) > pongTimeout {
			return true
		}
	}
	return false
}

// nextPing returns the sequence of a ping that is due, or 0.
func (l *link) nextPing(now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.using == 0 && l.clock.count > 0 && now.Sub(l.lastPing) < pingIdle {
		return 0
	}
	l.sequence++
	l.lastPing = now
	l.sentAt[l.sequence] = now
	return l.sequence
}

func (l *link) receivePongs(stream api.Agent_PingClient) {
	for {
		pong, err := stream.Recv()
		if err != nil {
			return
		}
		first := l.takePong(time.Now(), pong)
		if first {
			l.peer.add(l)
		}
		if l.peer.pool.onLoad == nil {
			continue
		}
		for _, load := range pong.Loads {
			l.peer.pool.onLoad(load.Server, load.Load)
		}
	}
}

func (l *link) takePong(now time.Time, pong *api.PingMessage) (first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, ok := l.sentAt[pong.Acknowledged]
	if !ok {
		return false
	}
	for sequence := range l.sentAt {
		if sequence <= pong.Acknowledged {
			delete(l.sentAt, sequence)
		}
	}
	trip := now.Sub(sent)
	l.clock.add(clockSample{
		local:  sent.Add(trip / 2),
		remote: time.Duration(pong.ClockUs) * time.Microsecond,
		trip:   trip,
	})
	l.incarnation = pong.Incarnation
	return l.clock.count == 1
}

// deadline returns a local time on the agent's clock, microseconds.
func (l *link) deadline(local time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.remote(local).Microseconds()
}

func (l *link) agentIncarnation() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}

// use counts a stream on the link; the function returned ends it.
func (l *link) use() (done func()) {
	l.mu.Lock()
	l.beginUse()
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		l.using--
		l.mu.Unlock()
	}
}

// useBulk counts a body in transfer, beside which other attempts had better use
// another link.
func (l *link) useBulk() (done func()) {
	l.mu.Lock()
	l.beginUse()
	l.bulk++
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		l.using--
		l.bulk--
		l.mu.Unlock()
	}
}

// cost ranks links: those with a body in transfer last, then by streams.
func (l *link) cost() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.using + l.bulk*bulkCost
}

// bulkCost is the number of streams that a body in transfer counts as.
const bulkCost = 1000

func (l *link) inUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.using
}

// drain waits until the streams on a retired link have noticed.
func (l *link) drain() {
	deadline := time.Now().Add(pongTimeout)
	for l.inUse() > 0 && time.Now().Before(deadline) {
		time.Sleep(pingTick / 10)
	}
}
