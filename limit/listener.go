package limit

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"
)

// phase is what a connection is used for.
type phase int

const (
	receiving phase = iota // a request is awaited for the first time, or its header arrives
	uploading              // its body arrives
	idle                   // between requests
	serving                // a request has arrived and is carried out
)

// Listener accepts at most a number of connections at a time. At the bound, a connection of
// the address with most of them that is not serving a request is closed for a new one: the
// one that has been sending a request for longest, or else the one that has been idle for
// longest. It also bounds the bytes of unfinished headers, by closing the connection with most.
type Listener struct {
	net.Listener
	name      string
	max       int
	maxHeader int64 // bytes of unfinished headers

	mu     sync.Mutex
	conns  map[*conn]struct{}
	header int64 // sum over conns
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	host     string // IP address of the peer

	// Guarded by listener.mu.
	phase  phase
	since  time.Time // when the phase began
	header int64     // bytes received since the latest request was complete
}

// NewListener returns a bounded listener on inner. name stands in logs and metrics.
func NewListener(inner net.Listener, name string, most int, maxHeader int64) *Listener {
	return &Listener{Listener: inner, name: name, max: most, maxHeader: maxHeader, conns: map[*conn]struct{}{}}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host, _, _ := net.SplitHostPort(accepted.RemoteAddr().String())
		c := &conn{Conn: accepted, listener: l, host: host, since: time.Now()}
		victim, room := l.admit(c)
		switch {
		case victim != nil:
			closures.add(l.name, "replaced")
			victim.Close()
		case !room:
			closures.add(l.name, "refused")
			accepted.Close()
			continue
		}
		return c, nil
	}
}

// admit adds a connection if there is room, which a victim may have to make.
func (l *Listener) admit(c *conn) (victim *conn, room bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.max {
		if victim = l.victimLocked(); victim == nil {
			return nil, false
		}
		l.removeLocked(victim)
	}
	l.conns[c] = struct{}{}
	return victim, true
}

// victimLocked returns the connection to close for a new one, nil if all serve requests.
func (l *Listener) victimLocked() *conn {
	perHost := map[string]int{}
	for c := range l.conns {
		perHost[c.host]++
	}
	var victim *conn
	for c := range l.conns {
		if c.phase != serving && (victim == nil || c.before(victim, perHost)) {
			victim = c
		}
	}
	return victim
}

func (c *conn) before(other *conn, perHost map[string]int) bool {
	if n, m := perHost[c.host], perHost[other.host]; n != m {
		return n > m
	}
	if c.phase != other.phase && (c.phase == idle || other.phase == idle) {
		return c.phase < other.phase
	}
	return c.since.Before(other.since)
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	c.listener.removeLocked(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (l *Listener) removeLocked(c *conn) {
	delete(l.conns, c)
	l.header -= c.header
	c.header = 0
}

// Read reads from the connection, which is closed if it has most of too many bytes of
// unfinished headers.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if largest := c.listener.received(c, int64(n)); largest != nil {
		closures.add(c.listener.name, "unfinished header")
		largest.Close()
	}
	return n, err
}

// received counts bytes that belong to a header, and returns the connection to close, nil
// while there is room.
func (l *Listener) received(c *conn, n int64) (largest *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.conns[c]; !open || c.phase == uploading || c.phase == serving {
		return nil
	}
	c.header += n
	if l.header += n; l.header <= l.maxHeader {
		return nil
	}
	for other := range l.conns {
		if largest == nil || other.header > largest.header {
			largest = other
		}
	}
	return largest
}

// CloseWrite ends sending, so that the peer can read an answer before the connection is
// closed with bytes of it unread.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// setPhase notes what the connection is used for from now on. c may be nil.
func (c *conn) setPhase(next phase) {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.phase != next {
		c.phase, c.since = next, time.Now()
	}
	if next == uploading || next == serving {
		c.listener.header -= c.header
		c.header = 0
	}
}

type connKey struct{}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// underlying returns the accepted connection below TLS, nil if it is not limited.
func underlying(connection net.Conn) *conn {
	if secured, encrypted := connection.(*tls.Conn); encrypted {
		connection = secured.NetConn()
	}
	c, _ := connection.(*conn)
	return c
}

// Track makes a server tell its limited listener what connections are used for.
func Track(server *http.Server) {
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, underlying(connection))
	}
	server.ConnState = func(connection net.Conn, state http.ConnState) {
		switch state {
		case http.StateActive:
			underlying(connection).setPhase(receiving)
		case http.StateIdle:
			underlying(connection).setPhase(idle)
		}
	}
}
