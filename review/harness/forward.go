package main

import (
	"net"
	"sync"
	"time"
)

// forwarder stands before the core machines: the other processes reach them through it. It can
// cut off one machine without a sound, as a partition does: what its connections carry is held
// back, and new ones get no answer.
type forwarder struct {
	rec *record

	mu        sync.Mutex
	marking   bool // connections that are opened now are those of the machine that may be cut off
	cut       bool
	healed    chan struct{}
	listeners []net.Listener
}

func newForwarder(rec *record) *forwarder {
	return &forwarder{rec: rec, healed: make(chan struct{})}
}

// forward forwards connections from one address to another.
func (f *forwarder) forward(from, to string) error {
	listener, err := net.Listen("tcp", from)
	if err != nil {
		return err
	}
	f.listeners = append(f.listeners, listener)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go f.carry(connection, to)
		}
	}()
	return nil
}

func (f *forwarder) close() {
	for _, l := range f.listeners {
		l.Close()
	}
}

// mark counts all connections that are opened from now on to the machine that may be cut off.
// The caller has just started the only process there, and all others have theirs.
func (f *forwarder) mark() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.marking = true
}

// cutOff cuts the marked connections off for a time.
func (f *forwarder) cutOff(during time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = true
	f.rec.say("the machine is cut off from the core for %v", during)
	time.AfterFunc(during, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cut = false
		close(f.healed)
		f.rec.say("the machine is no longer cut off")
	})
}

// wait holds back a marked connection while its machine is cut off.
func (f *forwarder) wait(marked bool) {
	f.mu.Lock()
	cut, healed := f.cut, f.healed
	f.mu.Unlock()
	if marked && cut {
		<-healed
	}
}

func (f *forwarder) carry(client net.Conn, to string) {
	defer client.Close()
	f.mu.Lock()
	marked := f.marking
	f.mu.Unlock()
	f.wait(marked)
	server, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	pump := func(from, into net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			f.wait(marked)
			if n > 0 {
				if _, failed := into.Write(buffer[:n]); failed != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go pump(client, server)
	go pump(server, client)
	<-done
}
