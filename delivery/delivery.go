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
	defaultAttempts  = 20000
	defaultBytes     = 64 << 20 // bytes
	defaultRetention = 10 * time.Minute
	defaultQueueTime = 200 * time.Millisecond
	defaultClaimTime = 5 * time.Second
	answerReserve    = 4 << 10 // bytes
)

// Claimer claims idempotency keys at the control group.
type Claimer interface {
	// Claim asks for the right to run. An error means that no answer was had;
	// the claim may still have been granted.
	Claim(ctx context.Context, claim *api.ClaimRequest) (*api.ClaimResponse, error)
}

// Dialer opens connections to other agents; *transport.Security is one.
type Dialer interface {
	Dial(address string, extra ...grpc.DialOption) (*grpc.ClientConn, error)
}

// Config is what a Delivery needs to run. Zero limits take the defaults.
type Config struct {
	Incarnation uint64 // of the agent process; differs after each restart
	Address     string // ip:port where entries reach this agent
	Security    Dialer // towards other agents; plaintext on loopback when nil
	Claimer     Claimer
	BlobDir     string        // folder of stored bodies, a temporary one when empty
	BlobBytes   int64         // bytes of stored bodies kept at a time
	Attempts    int           // attempts remembered at a time
	AnswerBytes int64         // bytes of kept answers
	Retention   time.Duration // how long the answers to idempotency keys are kept
	QueueTime   time.Duration // how long an attempt waits for a slot
	ClaimTime   time.Duration // how long a claim is tried
}

// Server is one backend server that has announced itself.
type Server struct {
	ID          string
	Service     string
	URL         string // http://ip:port
	Slots       int    // requests in progress at a time
	Connections int    // open connections, standing streams included
}

// Delivery serves api.Agent for the backend servers beside it.
type Delivery struct {
	api.UnimplementedAgentServer
	config  Config
	started time.Time
	blobs   *blob.Store
	peers   *peerBodies
	closed  chan struct{}
	closing sync.Once

	mu        sync.Mutex
	instances map[string]*instance
	draining  bool // for good
	paused    bool // until the VM takes work again

	tableMu sync.Mutex
	table   *request.Table[*answer]

	active      atomic.Int64 // deliveries and backend calls in progress
	connections *connectionGroups
}

// New returns a Delivery without backend servers. It fails with
// fault.StorageFailed when the folder of stored bodies can't be used.
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
		peers:       newPeerBodies(config.Security, blobs),
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
		config.Attempts = defaultAttempts
	}
	if config.AnswerBytes == 0 {
		config.AnswerBytes = defaultBytes
	}
	if config.Retention == 0 {
		config.Retention = defaultRetention
	}
	if config.QueueTime == 0 {
		config.QueueTime = defaultQueueTime
	}
	if config.ClaimTime == 0 {
		config.ClaimTime = defaultClaimTime
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

// SetServers replaces the announced backend servers. One that is no longer
// listed takes no new attempt; its attempts in progress go on to their end.
func (d *Delivery) SetServers(servers []Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
		known, ok := d.instances[server.ID]
		if ok && known.server == server {
			continue
		}
		if ok {
			known.leave()
		}
		d.instances[server.ID] = newInstance(server, d.draining || d.paused)
	}
	for id, known := range d.instances {
		if !listed[id] {
			known.leave()
			delete(d.instances, id)
		}
	}
}

// Drain stops new attempts at every backend server and ends standing streams as
// moved. Attempts in progress go on to their end.
func (d *Delivery) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	for _, known := range d.instances {
		known.leave()
	}
}

// Pause stops new attempts as Drain does, but only until it is called with
// false. An entry that has not heard of a drained VM is refused in this way.
func (d *Delivery) Pause(paused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.paused == paused {
		return
	}
	d.paused = paused
	for id, known := range d.instances {
		switch {
		case paused:
			known.leave()
		case !d.draining:
			d.instances[id] = known.resumed()
		}
	}
}

// Wait returns once no attempt has been in progress for settleTime, in which the
// last answers leave the process, or with the context's error.
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

// Timing of Wait.
const (
	idlePoll   = 20 * time.Millisecond
	settleTime = 200 * time.Millisecond
)

func (d *Delivery) inProgress() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	total := int(d.active.Load())
	for _, known := range d.instances {
		load := known.gate.load()
		total += int(load.Running + load.Waiting + load.Standing)
	}
	return total
}

// Load returns the load of each backend server by id.
func (d *Delivery) Load() map[string]*api.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := make(map[string]*api.Load, len(d.instances))
	for id, known := range d.instances {
		loads[id] = known.gate.load()
	}
	return loads
}

// Close ends the entries' pings and releases connections and stored bodies. Call
// it after Drain and Wait, and the gRPC server's GracefulStop after it, so that
// no answer and no refusal is cut. Further calls have no effect.
func (d *Delivery) Close() error {
	var err error
	d.closing.Do(func() {
		close(d.closed)
		d.unregisterMetrics()
		d.peers.close()
		err = d.blobs.Close()
	})
	return err
}

// now returns the agent's clock: the time since the process started.
func (d *Delivery) now() time.Duration { return time.Since(d.started) }

func (d *Delivery) instance(start *api.AttemptStart) (*instance, error) {
	if start.Incarnation != d.config.Incarnation {
		return nil, fault.New(fault.NoBackend, "the attempt was meant for an earlier process of this agent")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.instances[start.Server]
	if !ok {
		return nil, fault.Newf(fault.NoBackend, "backend server %q is not here", start.Server)
	}
	if known.server.Service != start.Service {
		return nil, fault.Newf(fault.NoBackend, "backend server %q serves %q", start.Server, known.server.Service)
	}
	return known, nil
}
