package delivery

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/peer"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// pingTimeout is how long a Ping stream may be without a message before the
// agent considers its connection lost.
const pingTimeout = 15 * time.Second

// connectionGroups groups the streams of each connection, so that a lost
// connection cancels its streams and its idempotent attempts.
type connectionGroups struct {
	mu     sync.Mutex
	groups map[string]*connectionGroup // by remote address
}

type connectionGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
	users  int
}

func newConnectionGroups() *connectionGroups {
	return &connectionGroups{groups: make(map[string]*connectionGroup)}
}

// join returns a context that also ends when the connection of ctx is lost.
func (c *connectionGroups) join(ctx context.Context) (context.Context, context.CancelFunc) {
	key := remoteAddress(ctx)
	c.mu.Lock()
	group, ok := c.groups[key]
	if !ok {
		group = &connectionGroup{}
		group.ctx, group.cancel = context.WithCancel(context.Background())
		c.groups[key] = group
	}
	group.users++
	c.mu.Unlock()
	joined, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(group.ctx, cancel)
	return joined, func() {
		stop()
		cancel()
		c.leave(key, group)
	}
}

func (c *connectionGroups) leave(key string, group *connectionGroup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	group.users--
	if group.users == 0 {
		group.cancel()
		delete(c.groups, key)
	}
}

// cancel ends the contexts that joined on the connection of ctx.
func (c *connectionGroups) cancel(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if group, ok := c.groups[remoteAddress(ctx)]; ok {
		group.cancel()
	}
}

func remoteAddress(ctx context.Context) string {
	if p, ok := peer.FromContext(ctx); ok && p.Addr != nil {
		return p.Addr.String()
	}
	return ""
}

// Ping answers each message with the agent's clock and loads. A connection
// without a message for pingTimeout is considered lost.
func (d *Delivery) Ping(stream api.Agent_PingServer) error {
	ctx, leave := d.connections.join(stream.Context())
	defer leave()
	watchdog := time.AfterFunc(pingTimeout, func() { d.connections.cancel(stream.Context()) })
	defer watchdog.Stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.answerPings(stream, watchdog)
	}()
	select {
	case <-ended:
		return nil
	case <-d.closed:
		return nil
	case <-ctx.Done():
		return fault.ToStatus(fault.New(fault.ConnectionLost, "the connection was silent"))
	}
}

func (d *Delivery) answerPings(stream api.Agent_PingServer, watchdog *time.Timer) {
	for {
		ping, err := stream.Recv()
		if err != nil {
			return
		}
		watchdog.Reset(pingTimeout)
		if err := stream.Send(d.pong(ping.Sequence)); err != nil {
			return
		}
	}
}

func (d *Delivery) pong(sequence uint64) *api.PingMessage {
	pong := &api.PingMessage{
		Acknowledged: sequence,
		Incarnation:  d.config.Incarnation,
		ClockUs:      d.now().Microseconds(),
	}
	for id, load := range d.Load() {
		pong.Loads = append(pong.Loads, &api.ServerLoad{Server: id, Load: load})
	}
	return pong
}
