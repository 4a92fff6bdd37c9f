package replica

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// silentListener can make its connections silent: what arrives on them is not
// read any more, and they are not closed. New connections work.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	conns []*silentConn
}

type silentConn struct {
	net.Conn
	silent chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (l *silentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
	return c, nil
}

func (l *silentListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		close(c.silent)
	}
	l.conns = nil
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *silentConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silentConn) Write(data []byte) (int, error) {
	if c.isSilent() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close keeps a silent connection open towards its other end.
func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	if c.isSilent() {
		return nil
	}
	return c.Conn.Close()
}

func TestSilentConnectionsAreReplaced(t *testing.T) {
	hosts := make([]*host, 3)
	listeners := make([]*silentListener, 3)
	peers := map[uint64]string{}
	for i := range hosts {
		hosts[i] = newHost(t, uint64(i+1))
		listeners[i] = &silentListener{Listener: hosts[i].listener}
		hosts[i].listener = listeners[i]
		peers[uint64(i+1)] = hosts[i].config.Address
	}
	for _, h := range hosts {
		h.config.Peers = peers
		h.start()
	}
	mustPropose(t, waitLeader(t, hosts), []byte("change"))
	for _, l := range listeners {
		l.silence()
	}
	deadline := time.Now().Add(testWait)
	for _, h := range hosts {
		for h.machine.count() < 2 {
			if time.Now().After(deadline) {
				t.Fatal("no change was committed everywhere after all connections fell silent")
			}
			proposeAnywhere(hosts)
		}
	}
}

// proposeAnywhere tries one change at the leader, if there is one.
func proposeAnywhere(hosts []*host) {
	for _, h := range hosts {
		if !h.replica.Status().LeaderReady {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, _ = h.replica.Propose(ctx, []byte("change"))
		cancel()
	}
	time.Sleep(10 * time.Millisecond)
}
