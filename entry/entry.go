package entry

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"amaranthpaddle/blob"
	"amaranthpaddle/fault"
	"amaranthpaddle/transport"
)

// Defaults of Config.
const (
	defaultQueueTime   = 500 * time.Millisecond
	defaultMaxRequests = 2048
	defaultMaxBody     = 64 << 20 // bytes
	defaultDrainNotice = 2 * time.Second
	defaultConnections = 2
	defaultCallerStall = 30 * time.Second
)

// Bounds on callers' connections.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Config configures an Entry. Limits that are zero take their defaults.
type Config struct {
	Name        string
	Control     []string     // ip:port of the control replicas
	Listen      string       // ip:port for callers
	Listener    net.Listener // for callers; nil to open Listen
	Security    *transport.Security
	Zone        string
	Region      string
	Connections int           // connections to each agent
	QueueTime   time.Duration // how long a request waits to be admitted
	MaxRequests int           // requests in progress at a time, standing streams included
	MaxBody     int64         // bytes of a request body
	BlobDir     string        // folder of bodies in transfer, a temporary one when empty
	BlobBytes   int64         // bytes of bodies kept at a time
	LinkRate    int64         // this entry's share of the cross-region link, bytes/s each way; 0 for no limit
	CallerStall time.Duration // longest time without progress while a caller sends a body or reads an answer
	DrainNotice time.Duration // time from failing readiness to closing the listener
}

// Entry accepts callers' requests and sends them to backend servers.
type Entry struct {
	config     Config
	id         string // of this process, unique
	attempts   atomic.Uint64
	directory  *directory
	pool       *pool
	blobs      *blob.Store
	linkBudget *linkBudget
	bodies     *bodyHolders
	recorder   *recorder
	server     *http.Server
	listener   net.Listener
	failed     transport.ServerErrors

	ctx        context.Context // canceled to stop background work
	cancel     context.CancelFunc
	background sync.WaitGroup
	active     atomic.Int64  // requests in progress
	draining   atomic.Bool   // readiness fails
	stopping   chan struct{} // closed to end standing streams at a message boundary
}

// New returns an Entry that is not started. It fails with fault.StorageFailed
// when the folder of bodies can't be used.
func New(config Config) (*Entry, error) {
	applyDefaults(&config)
	blobs, err := blob.Open(config.BlobDir, config.BlobBytes)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		config:     config,
		id:         newID(config.Name),
		blobs:      blobs,
		linkBudget: newLinkBudget(config.LinkRate),
		bodies:     newBodyHolders(),
		recorder:   newRecorder(),
		failed:     transport.NewServerErrors(),
		ctx:        ctx,
		cancel:     cancel,
		stopping:   make(chan struct{}),
	}
	e.pool = newPool(ctx, config.Security, config.Connections)
	e.directory = newDirectory(e.pool, config.QueueTime)
	e.server = &http.Server{
		Handler:           e.closeWhileDraining(e.Handler()),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return e, nil
}

func applyDefaults(config *Config) {
	if config.QueueTime == 0 {
		config.QueueTime = defaultQueueTime
	}
	if config.MaxRequests == 0 {
		config.MaxRequests = defaultMaxRequests
	}
	if config.MaxBody == 0 {
		config.MaxBody = defaultMaxBody
	}
	if config.BlobBytes == 0 {
		config.BlobBytes = blob.DefaultMaxBytes
	}
	if config.DrainNotice == 0 {
		config.DrainNotice = defaultDrainNotice
	}
	if config.CallerStall == 0 {
		config.CallerStall = defaultCallerStall
	}
	if config.Connections == 0 {
		config.Connections = defaultConnections
	}
	if config.Security == nil {
		config.Security = &transport.Security{}
	}
}

// newID returns an id that is unique to this process: the name and a random suffix.
func newID(name string) string {
	var random [8]byte
	_, _ = cryptorand.Read(random[:])
	return name + "-" + hex.EncodeToString(random[:])
}

// newAttempt returns the id of a new attempt.
func (e *Entry) newAttempt() string { return fmt.Sprintf("%s-%d", e.id, e.attempts.Add(1)) }

// Start opens the listener, watches the directory and serves callers. Until the
// first directory update is applied, requests are refused and readiness fails.
func (e *Entry) Start() error {
	listener := e.config.Listener
	if listener == nil {
		opened, err := e.config.Security.ListenHTTP(e.config.Listen)
		if err != nil {
			return err
		}
		listener = opened
	}
	e.listener = listener
	e.registerMetrics()
	first := rand.N(1 << 16)
	for i := range min(concurrentWatches, len(e.config.Control)) {
		e.background.Go(func() { e.follow(first + i) })
	}
	e.background.Go(func() { e.report() })
	e.background.Go(func() { e.failed.Serve("callers", listener, e.server.Serve) })
	return nil
}

// Failed returns a channel that receives why the listener for callers has ended by itself.
func (e *Entry) Failed() <-chan error { return e.failed }

// Address returns the listener's address after Start.
func (e *Entry) Address() net.Addr { return e.listener.Addr() }

// Ready reports whether the directory is loaded and the entry is not draining.
func (e *Entry) Ready() bool { return e.directory.isLoaded() && !e.draining.Load() }

// closeWhileDraining sets Connection: close on answers during the drain notice,
// so that no keep-alive connection is closed while a request is being sent on it.
func (e *Entry) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Stop stops gracefully: readiness fails, after DrainNotice the listener closes,
// standing streams end at a message boundary and all other requests in
// progress are answered. It returns early with fault.Canceled when ctx ends.
func (e *Entry) Stop(ctx context.Context) error {
	e.draining.Store(true)
	select {
	case <-time.After(e.config.DrainNotice):
	case <-ctx.Done():
	}
	close(e.stopping)
	err := fault.Wrap(fault.Canceled, e.server.Shutdown(ctx), "requests are still in progress")
	e.cancel()
	e.background.Wait()
	e.pool.close()
	e.unregisterMetrics()
	if closeErr := e.blobs.Close(); err == nil {
		err = fault.Wrap(fault.StorageFailed, closeErr, "remove bodies")
	}
	return err
}
