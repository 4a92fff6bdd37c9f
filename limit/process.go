package limit

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"time"

	"amaranthpaddle/telemetry"
)

// Config holds the bounds of one process. Zero values take the defaults.
type Config struct {
	Memory    int64         // bytes that the process may use
	BodyBytes int64         // that request bodies use
	BodyTime  time.Duration // for a body to arrive whole
}

// Defaults, and how they follow from the memory of the process.
const (
	DefaultBodyTime = 10 * time.Second
	defaultMemory   = 512 << 20
	bodyDivisor     = 6 // the budget of bodies is this part of the memory

	receiveBuffer     = 64 << 10 // bytes, see SetReceiveBuffer
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = time.Minute // from the header of the request to the end of the answer
	idleTimeout       = 30 * time.Second
)

func (c Config) withDefaults() Config {
	if c.Memory == 0 {
		c.Memory = defaultMemory
	}
	if c.BodyBytes == 0 {
		c.BodyBytes = c.Memory / bodyDivisor
	}
	if c.BodyTime == 0 {
		c.BodyTime = DefaultBodyTime
	}
	return c
}

// Process applies the bounds of one process to its listeners.
type Process struct {
	config Config
	bodies Bodies
}

// New returns the bounds of this process.
func New(config Config) *Process {
	config = config.withDefaults()
	return &Process{config: config, bodies: Bodies{Budget: NewBudget(config.BodyBytes), Time: config.BodyTime}}
}

// HTTP bounds a listener and the server that is to run on it. Timeouts that the server has
// already are kept.
func (p *Process) HTTP(listener net.Listener, server *http.Server) {
	SetReceiveBuffer(listener, receiveBuffer)
	server.Handler = p.bodies.Handler(server.Handler)
	server.MaxHeaderBytes = maxHeaderBytes
	server.ReadHeaderTimeout = cmp.Or(server.ReadHeaderTimeout, readHeaderTimeout)
	server.WriteTimeout = cmp.Or(server.WriteTimeout, writeTimeout)
	server.IdleTimeout = cmp.Or(server.IdleTimeout, idleTimeout)
}

// WriteMetrics writes the gauges of the bounds.
func (p *Process) WriteMetrics(w io.Writer) {
	telemetry.BodyBytes.Write(w, float64(p.bodies.Budget.Used()), "used")
	telemetry.BodyBytes.Write(w, float64(p.config.BodyBytes), "limit")
}
