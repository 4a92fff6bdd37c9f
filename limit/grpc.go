package limit

import (
	"context"
	"math"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// Bounds of a gRPC server that do not follow from the memory.
const (
	minMessageBytes   = 13 << 20        // room for the largest message, 12.5 MiB
	maxStreams        = 1024            // of one connection at a time
	connectionTimeout = 5 * time.Second // for the handshakes of TLS and HTTP/2
	callOverhead      = 256             // bytes of a call beside its message
)

// Streams bounds the bytes of unfinished messages that a gRPC server holds. When they are
// more than the bound, the connection that holds most is closed. A connection holds what it
// has received and what has not been handed to a handler as a message.
type Streams struct {
	max int64

	mu    sync.Mutex // before Listener.mu
	total int64
	conns map[string]*streamConn // by the peer's address
}

// streamConn is a connection of a gRPC server.
type streamConn struct {
	net.Conn
	streams *Streams
	limited *conn

	// Guarded by streams.mu.
	held  int64
	calls int // in progress
	gone  bool
}

// GRPC bounds a listener and returns it with options for the server that is to run on it.
func (p *Process) GRPC(inner net.Listener, name string, share float64) (net.Listener, []grpc.ServerOption) {
	s := &Streams{max: max(p.config.BodyBytes, minMessageBytes), conns: map[string]*streamConn{}}
	options := []grpc.ServerOption{
		grpc.StatsHandler(s), grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxHeaderBytes), grpc.ConnectionTimeout(connectionTimeout),
	}
	limited := p.listener(inner, name, share, math.MaxInt64) // Streams counts headers, too
	return &streamListener{limited, s}, options
}

type streamListener struct {
	*Listener
	streams *Streams
}

// Accept returns the next connection.
func (l *streamListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &streamConn{Conn: accepted, streams: l.streams, limited: underlying(accepted)}
	l.streams.mu.Lock()
	defer l.streams.mu.Unlock()
	l.streams.conns[accepted.RemoteAddr().String()] = c
	return c, nil
}

// Read reads from the connection, which is closed if it holds most at the bound.
func (c *streamConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if largest := c.streams.received(c, int64(n)); largest != nil {
		closures.add(c.limited.listener.name, "unfinished messages")
		largest.Close()
	}
	return n, err
}

// Close closes the connection.
func (c *streamConn) Close() error {
	c.streams.remove(c)
	return c.Conn.Close()
}

// received adds n bytes to what a connection holds. It returns the connection to close, nil
// while there is room.
func (s *Streams) received(c *streamConn, n int64) *streamConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.gone {
		return nil
	}
	s.addLocked(c, n)
	if s.total <= s.max {
		return nil
	}
	largest := c
	for _, other := range s.conns {
		if other.held > largest.held {
			largest = other
		}
	}
	return largest
}

func (s *Streams) addLocked(c *streamConn, n int64) {
	n = max(n, -c.held)
	c.held += n
	s.total += n
}

func (s *Streams) remove(c *streamConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.gone {
		return
	}
	c.gone = true
	s.addLocked(c, -c.held)
	if address := c.RemoteAddr().String(); s.conns[address] == c {
		delete(s.conns, address)
	}
}

type streamKey struct{}

// TagConn adds the connection to the contexts of its calls.
func (s *Streams) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return context.WithValue(ctx, streamKey{}, s.conns[info.RemoteAddr.String()])
}

// HandleConn does nothing: a connection is removed when it is closed.
func (s *Streams) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC returns the context of the connection, which is that of the call.
func (s *Streams) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC follows the calls of a connection and the messages that they take over.
func (s *Streams) HandleRPC(ctx context.Context, event stats.RPCStats) {
	c, _ := ctx.Value(streamKey{}).(*streamConn)
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.limited.setPhase(s.followLocked(c, event))
}

// followLocked returns what the connection is used for after an event of a call.
func (s *Streams) followLocked(c *streamConn, event stats.RPCStats) phase {
	switch event := event.(type) {
	case *stats.Begin:
		c.calls++
	case *stats.InPayload:
		taken := int64(event.WireLength) + callOverhead
		if c.calls <= 1 {
			taken = c.held // nothing else is under way on the connection
		}
		s.addLocked(c, -taken)
	case *stats.End:
		if c.calls--; c.calls == 0 {
			s.addLocked(c, -c.held)
		}
	}
	if c.calls > 0 {
		return serving
	}
	return idle
}
