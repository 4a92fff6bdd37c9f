package main

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
)

// gate is the network link of a worker. While it is shut, bytes of both directions are
// held back, and so is the news that a connection was closed.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed when the gate opens; nil while it is open
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened == nil {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// wait waits until the gate is open.
func (g *gate) wait() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened != nil {
		<-opened
	}
}

// dial connects to an address through the gate.
func (g *gate) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return gatedConnection{connection, g}, nil
}

// gatedListener accepts connections through a gate.
type gatedListener struct {
	net.Listener
	gate *gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConnection{connection, l.gate}, nil
}

type gatedConnection struct {
	net.Conn
	gate *gate
}

func (c gatedConnection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.gate.wait() // the HTTP server ends a pending read by its deadline
	}
	return n, err
}

func (c gatedConnection) Write(data []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(data)
}

// Close closes the connection once the gate is open.
func (c gatedConnection) Close() error {
	go func() {
		c.gate.wait()
		c.Conn.Close()
	}()
	return nil
}
