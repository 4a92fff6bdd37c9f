package delivery

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"amaranthpaddle/fault"
)

// Timeouts of connections to a backend server.
const (
	dialTimeout = 2 * time.Second
	idleTimeout = 10 * time.Second
)

// instance is one backend server with its limiter and its HTTP connections.
type instance struct {
	server    Server
	limiter   *limiter
	client    *http.Transport
	drainOnce sync.Once
	draining  chan struct{} // closed when the server stops accepting new work
}

func newInstance(server Server, draining bool) *instance {
	in := &instance{
		server:   server,
		limiter:  newLimiter(server.Slots, server.Connections),
		draining: make(chan struct{}),
	}
	in.client = &http.Transport{
		DialContext:         dialChecked,
		DisableCompression:  true,
		MaxIdleConnsPerHost: max(server.Slots, 1),
		MaxConnsPerHost:     max(server.Connections, 2),
		IdleConnTimeout:     idleTimeout,
	}
	if draining {
		in.drain()
	}
	return in
}

// drain stops new work and ends standing streams as moved.
func (in *instance) drain() {
	in.limiter.setDraining(true)
	in.drainOnce.Do(func() { close(in.draining) })
}

// resumed returns a copy of the instance that accepts new work again. It shares
// the limiter, which still counts the attempts in progress.
func (in *instance) resumed() *instance {
	in.limiter.setDraining(false)
	return &instance{server: in.server, limiter: in.limiter, client: in.client, draining: make(chan struct{})}
}

// checkedConn refuses to write when the check of the current attempt fails, so
// that a process that was suspended past a deadline sends nothing when it resumes.
type checkedConn struct {
	net.Conn
	mu    sync.Mutex
	guard *writeGuard
}

// writeGuard decides once whether an attempt may write to its connection.
type writeGuard struct {
	check func() error // run before the first write; an error forbids all writes

	mu      sync.Mutex
	checked bool
	err     error
}

// allow runs the check before the first write and returns the same result from then on.
func (w *writeGuard) allow() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.checked {
		w.checked = true
		w.err = w.check()
	}
	return w.err
}

// mayHaveWritten reports whether any byte may have been sent.
func (w *writeGuard) mayHaveWritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.checked && w.err == nil
}

func (c *checkedConn) setGuard(w *writeGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard = w
}

// Write writes p if the guard of the current attempt allows it.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	guard := c.guard
	c.mu.Unlock()
	if guard == nil {
		return 0, fault.New(fault.Internal, "write outside an attempt")
	}
	if err := guard.allow(); err != nil {
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
