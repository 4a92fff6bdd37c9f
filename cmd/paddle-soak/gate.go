package main

import (
	"context"
	"net"
	"sync"
	"time"
)

// gate is the network link of a worker. While it is shut, what the worker sends is held
// back, and so is the news that it has closed a connection. Calls to it wait in handle: a
// server that is closed drops requests that it has not read.
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

func (g *gate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened != nil
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

func (c gatedConnection) Write(data []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(data)
}

// closeDelay leaves the time to send what was held back.
const closeDelay = 50 * time.Millisecond

// Close closes the connection, while the gate is shut not before it opens.
func (c gatedConnection) Close() error {
	if !c.gate.isShut() {
		return c.Conn.Close()
	}
	go func() {
		c.gate.wait()
		time.Sleep(closeDelay)
		c.Conn.Close()
	}()
	return nil
}
