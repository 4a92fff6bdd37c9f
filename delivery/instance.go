package delivery

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"amaranthpaddle/fault"
)

// Timeouts towards a backend server.
const (
	dialTimeout = 2 * time.Second
	idleTimeout = 10 * time.Second
)

// instance is one backend server with its gate and its HTTP connections.
type instance struct {
	server  Server
	gate    *gate
	client  *http.Transport
	once    sync.Once
	leaving chan struct{} // closed when it takes no new work any more
}

func newInstance(server Server, draining bool) *instance {
	in := &instance{
		server:  server,
		gate:    newGate(server.Slots, server.Connections),
		leaving: make(chan struct{}),
	}
	in.client = &http.Transport{
		DialContext:         dialChecked,
		DisableCompression:  true,
		MaxIdleConnsPerHost: max(server.Slots, 1),
		MaxConnsPerHost:     max(server.Connections, 2),
		IdleConnTimeout:     idleTimeout,
	}
	if draining {
		in.leave()
	}
	return in
}

// leave stops new work and ends standing streams as moved.
func (in *instance) leave() {
	in.gate.setLeaving(true)
	in.once.Do(func() { close(in.leaving) })
}

// resumed returns the instance as it takes new work again. The attempts in
// progress still count in its gate.
func (in *instance) resumed() *instance {
	in.gate.setLeaving(false)
	return &instance{server: in.server, gate: in.gate, client: in.client, leaving: make(chan struct{})}
}

// checkedConn refuses to write while its check fails, so that a process that
// was frozen past a deadline sends nothing when it wakes.
type checkedConn struct {
	net.Conn
	mu      sync.Mutex
	attempt *wire
}

// wire is what one attempt did on its connection.
type wire struct {
	check func() error // nil error allows the first write

	mu      sync.Mutex
	checked bool
	err     error
}

// allow runs the check before the first write and repeats its verdict after.
func (w *wire) allow() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checked {
		w.checked = true
		w.err = w.check()
	}
	return w.err
}

// wrote reports whether any byte may have been sent.
func (w *wire) wrote() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checked && w.err == nil
}

func (c *checkedConn) use(w *wire) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt = w
}

// Write checks the attempt that uses the connection, then writes.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	attempt := c.attempt
	c.mu.Unlock()
	if attempt == nil {
		return 0, fault.New(fault.Internal, "write outside an attempt")
	}
	if err := attempt.allow(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func dialChecked(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn}, nil
}
