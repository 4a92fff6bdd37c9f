package delivery

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"amaranthpaddle/api"
	"amaranthpaddle/blob"
	"amaranthpaddle/fault"
	"amaranthpaddle/request"
	"amaranthpaddle/transport"
)

// Defaults of Config.
const (
	defaultMaxAttempts  = 20000
	defaultAnswerBytes  = 64 << 20 // bytes
	defaultRetention    = 10 * time.Minute
	defaultQueueTimeout = 200 * time.Millisecond
	defaultClaimTimeout = 5 * time.Second
	answerReserve       = 4 << 10 // bytes
)

// Claimer claims idempotency keys at the control group.
type Claimer interface {
	// Claim requests the right to run for an attempt. An error means that no
	// answer was received; the claim may still have been granted.
	Claim(ctx context.Context, claim *api.ClaimRequest) (*api.ClaimResponse, error)
}

// Dialer opens connections to other agents; *transport.Security is one.
type Dialer interface {
	Dial(address string, extra ...grpc.DialOption) (*grpc.ClientConn, error)
}

// Config holds the dependencies and limits of a Delivery. Zero limits take the defaults.
type Config struct {
	Incarnation  uint64 // identifies the agent process; differs after each restart
	Address      string // ip:port where entries reach this agent
	Security     Dialer // dials other agents; plaintext on loopback when nil
	Claimer      Claimer
	BlobDir      string        // folder of stored bodies; a temporary folder when empty
	BlobBytes    int64         // maximum size of all stored bodies
	Attempts     int           // maximum number of attempts in the table
	AnswerBytes  int64         // maximum size of all kept answers
	Retention    time.Duration // how long answers to requests with an idempotency key are kept
	QueueTimeout time.Duration // maximum wait of an attempt for a slot
	ClaimTimeout time.Duration // how long a claim is retried
}

// Server describes a backend server that has registered with the agent.
type Server struct {
	ID          string
	Service     string
	URL         string // http://ip:port
	Slots       int    // maximum number of concurrent requests
	Connections int    // maximum number of open connections, including standing streams
}

// Delivery implements api.Agent for the backend servers on its VM.
type Delivery struct {
	api.UnimplementedAgentServer
	config    Config
	started   time.Time
	blobs     *blob.Store
	transfers *bodyTransfers
	closed    chan struct{}
	closeOnce sync.Once

	mu        sync.Mutex
	instances map[string]*instance
	draining  bool // never reset
	paused    bool // reset once the VM accepts work again

	tableMu sync.Mutex
	table   *request.Table[*answer]

	active      atomic.Int64 // deliveries and backend calls in progress
	connections *connectionGroups
}

// New returns a Delivery without backend servers. It fails with
// fault.StorageFailed when the folder of stored bodies cannot be used.
func New(config Config) (*Delivery, error) {
	applyDefaults(&config)
	blobs, err := blob.Open(config.BlobDir, config.BlobBytes)
	if err != nil {
		return nil, err
	}
	limits := request.Limits{
		Attempts:  config.Attempts,
		Bytes:     config.AnswerBytes,
		Reserve:   answerReserve,
		Retention: min(lookupRetention, config.Retention),
	}
	d := &Delivery{
		config:      config,
		started:     time.Now(),
		blobs:       blobs,
		transfers:   newBodyTransfers(config.Security, blobs),
		closed:      make(chan struct{}),
		instances:   make(map[string]*instance),
		table:       request.NewTable[*answer](limits),
		connections: newConnectionGroups(),
	}
	d.registerMetrics()
	return d, nil
}

func applyDefaults(config *Config) {
	if config.Attempts == 0 {
		config.Attempts = defaultMaxAttempts
	}
	if config.AnswerBytes == 0 {
		config.AnswerBytes = defaultAnswerBytes
	}
	if config.Retention == 0 {
		config.Retention = defaultRetention
	}
	if config.QueueTimeout == 0 {
		config.QueueTimeout = defaultQueueTimeout
	}
	if config.ClaimTimeout == 0 {
		config.ClaimTimeout = defaultClaimTimeout
	}
	if config.BlobBytes == 0 {
		config.BlobBytes = blob.DefaultMaxBytes
	}
	if config.Security == nil {
		config.Security = &transport.Security{}
	}
}

// Register adds the agent's service to a gRPC server.
func (d *Delivery) Register(registrar grpc.ServiceRegistrar) { api.RegisterAgentServer(registrar, d) }

// SetServers replaces the set of backend servers. A server that is no longer
// listed accepts no new attempts: its standing streams end as moved, and its other
// attempts in progress run to completion.
func (d *Delivery) SetServers(servers []Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
		in, ok := d.instances[server.ID]
		if ok && in.server == server {
			continue
		}
		if ok {
			in.drain()
		}
		d.instances[server.ID] = newInstance(server, d.draining || d.paused)
	}
	for id, in := range d.instances {
		if !listed[id] {
			in.drain()
			delete(d.instances, id)
		}
	}
}

// Drain stops new attempts at every backend server and ends standing streams as
// moved. Other attempts in progress run to completion.
func (d *Delivery) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	for _, in := range d.instances {
		in.drain()
	}
}

// Pause stops new attempts as Drain does, but only until it is called with
// false. It refuses attempts from entries that do not know yet that the VM is
// drained.
func (d *Delivery) Pause(paused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paused == paused {
		return
	}
	d.paused = paused
	for id, in := range d.instances {
		switch {
		case paused:
			in.drain()
		case !d.draining:
			d.instances[id] = in.resumed()
		}
	}
}

// Wait returns once no attempt has been in progress for settleTime, which lets
// the last answers be transmitted, or with fault.Canceled when the context ends.
func (d *Delivery) Wait(ctx context.Context) error {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for idleSince := time.Now(); time.Since(idleSince) < settleTime; {
		if d.inProgress() > 0 {
			idleSince = time.Now()
		}
		select {
		case <-ctx.Done():
			return fault.Wrap(fault.Canceled, ctx.Err(), "attempts are still in progress")
		case <-ticker.C:
		}
	}
	return nil
}

// Poll interval and quiet period of Wait.
const (
	idlePoll   = 20 * time.Millisecond
	settleTime = 200 * time.Millisecond
)

func (d *Delivery) inProgress() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := int(d.active.Load())
	for _, in := range d.instances {
		load := in.limiter.load()
		total += int(load.Running + load.Waiting + load.Standing)
	}
	return total
}

// Load returns the load of each backend server by id.
func (d *Delivery) Load() map[string]*api.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make(map[string]*api.Load, len(d.instances))
	for id, in := range d.instances {
		loads[id] = in.limiter.load()
	}
	return loads
}

// Close ends the entries' Ping streams, closes connections and releases stored
// bodies. Call it after Drain and Wait, and call the gRPC server's GracefulStop
// after it, so that no answer or refusal is cut short. Further calls have no
// effect.
func (d *Delivery) Close() error {
	var err error
	d.closeOnce.Do(func() {
		close(d.closed)
		d.unregisterMetrics()
		d.transfers.close()
		err = d.blobs.Close()
	})
	return err
}

// now returns the agent's clock: the time since the Delivery was created.
func (d *Delivery) now() time.Duration { return time.Since(d.started) }

func (d *Delivery) instanceFor(start *api.AttemptStart) (*instance, error) {
	if start.Incarnation != d.config.Incarnation {
		return nil, fault.New(fault.NoBackend, "the attempt was meant for an earlier process of this agent")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	in, ok := d.instances[start.Server]
	if !ok {
		return nil, fault.Newf(fault.NoBackend, "backend server %q is not here", start.Server)
	}
	if in.server.Service != start.Service {
		return nil, fault.Newf(fault.NoBackend, "backend server %q serves %q", start.Server, in.server.Service)
	}
	return in, nil
}
