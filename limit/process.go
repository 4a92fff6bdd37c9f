package limit

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"amaranthpaddle/telemetry"
)

// Config holds the bounds of one process. Zero values take the defaults.
type Config struct {
	Memory      int64         // bytes that the process may use
	Descriptors int           // that the process may open; its RLIMIT_NOFILE if that is lower
	Connections int           // at all listeners together
	BodyBytes   int64         // that request bodies use, and unfinished gRPC messages beside them
	BodyTime    time.Duration // for a body to arrive whole
}

// DefaultMemory is the memory, in bytes, of a process for which none is set.
const DefaultMemory = 512 << 20

// Defaults, and how they follow from the memory and the descriptors of the process.
const (
	defaultBodyTime = 10 * time.Second
	bodyDivisor     = 6         // the budget of bodies is this part of the memory
	connectionBytes = 192 << 10 // memory that a connection may need, unread bytes included
	keptDescriptors = 200       // for files, and for the connections that the process opens
	maxDescriptors  = 1 << 16
	minConnections  = 16 // of one listener

	receiveBuffer     = 64 << 10 // bytes, see SetReceiveBuffer
	maxHeaderBytes    = 16 << 10
	headerExpansion   = 16                 // memory that a byte of short header fields takes
	minHeaderBytes    = 4 * maxHeaderBytes // of unfinished headers at one listener
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = time.Minute // from the header of the request to the end of the answer
	idleTimeout       = 30 * time.Second
)

// Shares of the connections of a process. Those of its listeners add up to 1 at most.
const (
	MainShare  = 0.5
	OtherShare = 0.25
	ProbeShare = 0.125 // of a listener for probes or metrics
)

func (c Config) withDefaults() Config {
	if c.Memory == 0 {
		c.Memory = DefaultMemory
	}
	if c.Descriptors == 0 {
		c.Descriptors = maxDescriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil {
		c.Descriptors = int(min(limit.Cur, uint64(c.Descriptors)))
	}
	if c.Connections == 0 {
		kept := min(keptDescriptors, c.Descriptors/4)
		c.Connections = min(int(c.Memory/connectionBytes), (c.Descriptors-kept)*3/4)
	}
	if c.BodyBytes == 0 {
		c.BodyBytes = c.Memory / bodyDivisor
	}
	if c.BodyTime == 0 {
		c.BodyTime = defaultBodyTime
	}
	return c
}

// Process applies the bounds of one process to its listeners.
type Process struct {
	config Config
	bodies Bodies

	mu        sync.Mutex
	listeners []*Listener
}

// New returns the bounds of this process.
func New(config Config) *Process {
	config = config.withDefaults()
	return &Process{config: config, bodies: Bodies{Budget: NewBudget(config.BodyBytes), Time: config.BodyTime}}
}

// listener bounds a listener to a share of the connections.
func (p *Process) listener(inner net.Listener, name string, share float64, maxHeader int64) *Listener {
	listener := NewListener(inner, name, max(minConnections, int(share*float64(p.config.Connections))), maxHeader)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, listener)
	return listener
}

// HTTP bounds a listener and the server that is to run on it. Timeouts that the server has
// already are kept.
func (p *Process) HTTP(inner net.Listener, name string, share float64, server *http.Server) net.Listener {
	SetReceiveBuffer(inner, receiveBuffer)
	Track(server)
	server.Handler = p.bodies.Handler(server.Handler)
	server.MaxHeaderBytes = maxHeaderBytes
	server.ReadHeaderTimeout = cmp.Or(server.ReadHeaderTimeout, readHeaderTimeout)
	server.WriteTimeout = cmp.Or(server.WriteTimeout, writeTimeout)
	server.IdleTimeout = cmp.Or(server.IdleTimeout, idleTimeout)
	return p.listener(inner, name, share, max(minHeaderBytes, int64(share*float64(p.config.BodyBytes)/headerExpansion)))
}

// WriteMetrics writes the gauges of the bounds.
func (p *Process) WriteMetrics(w io.Writer) {
	telemetry.BodyBytes.Write(w, float64(p.bodies.Budget.Used()), "used")
	telemetry.BodyBytes.Write(w, float64(p.config.BodyBytes), "limit")
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, listener := range p.listeners {
		telemetry.Connections.Write(w, float64(listener.Open()), listener.name, "open")
		telemetry.Connections.Write(w, float64(listener.max), listener.name, "limit")
	}
}
