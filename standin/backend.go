package standin

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"amaranthpaddle/worker"
)

const (
	defaultSlots       = 8
	defaultConnections = 64
	baseServiceTime    = 4 * time.Millisecond
	announceInterval   = 500 * time.Millisecond
	announceTimeout    = 1 * time.Second
	maxLatencyMicros   = 60_000_000
	watchInterval      = 200 * time.Millisecond
	// TokenHeader carries the caller's own name for a request to the stand-in.
	TokenHeader = "Standin-Token"
)

// BackendOptions configures a stand-in backend server.
type BackendOptions struct {
	ID          string
	Service     string
	Slots       int
	Connections int
	AnnounceURL string // base URL of the agent's local interface, empty for none
	Ledger      *Ledger
	VM          string
	Zone        string
	Events      io.Writer // gets one JSON line per RequestEvent, may be nil
}

// Answer is the stand-in's answer: it names the request, so that a caller can
// check that the answer is its own and whole.
type Answer struct {
	Token  string `json:"token"`
	Digest string `json:"digest"` // SHA-256 of the request's body
	Size   int    `json:"size"`
	Server string `json:"server"`
	Run    string `json:"run"` // unique for each run
	Filler string `json:"filler,omitempty"`
}

// Backend is a stand-in backend server: one instance of a service.
type Backend struct {
	options  BackendOptions
	listener net.Listener
	server   *http.Server
	done     chan struct{}
	once     sync.Once
	serving  sync.WaitGroup
	renewing sync.WaitGroup

	mu      sync.Mutex
	speed   float64
	latency *hdrhistogram.Histogram // microseconds since the last TakeLatency
}

// StartBackend starts a stand-in backend server on a free loopback port and
// announces it to its agent until it stops.
func StartBackend(options BackendOptions) (*Backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	b := &Backend{
		options: options, listener: listener, done: make(chan struct{}), speed: 1,
		latency: hdrhistogram.New(1, maxLatencyMicros, 2),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /watch", b.handleWatch)
	mux.HandleFunc("/", b.handle)
	b.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	b.serving.Add(1)
	b.renewing.Add(1)
	go b.serve()
	go b.announceLoop()
	return b, nil
}

// URL returns the base URL of the backend server.
func (b *Backend) URL() string { return "http://" + b.listener.Addr().String() }

// SetSpeed sets how fast requests run, 1 when undisturbed.
func (b *Backend) SetSpeed(speed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.speed = max(speed, 0.01)
}

// TakeLatency returns the p99 in milliseconds since the last call, 0 when there was no request.
func (b *Backend) TakeLatency() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	p99 := float64(b.latency.ValueAtQuantile(99)) / 1000
	b.latency.Reset()
	return p99
}

// Stop leaves the fleet, lets the requests in progress end and closes the server.
func (b *Backend) Stop(ctx context.Context) {
	b.once.Do(func() {
		close(b.done)
		// A renewal in flight must not arrive after the deregistration.
		b.renewing.Wait()
		b.leave()
		_ = b.server.Shutdown(ctx)
	})
	b.serving.Wait()
}

func (b *Backend) serve() {
	defer b.serving.Done()
	_ = b.server.Serve(b.listener)
}

func (b *Backend) handle(rw http.ResponseWriter, r *http.Request) {
	began := time.Now()
	token := r.Header.Get(TokenHeader)
	if b.options.Ledger != nil && token != "" {
		b.options.Ledger.Request(token)
	}
	event := RequestEvent{
		VM: b.options.VM, Zone: b.options.Zone, Server: b.options.ID,
		Run: rand.Text(), Token: token, Send: r.Header.Get(SendHeader),
	}
	event.write(b.options.Events, RequestBegin)
	hash := sha256.New()
	size, err := io.Copy(hash, r.Body)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	event.Digest = hex.EncodeToString(hash.Sum(nil))
	event.write(b.options.Events, RequestWhole)
	b.work(workTime(r))
	event.write(b.options.Events, RequestEnd)
	encode(rw, Answer{
		Token: token, Digest: event.Digest, Size: int(size),
		Server: b.options.ID, Run: event.Run, Filler: filler(r),
	})
	b.mu.Lock()
	_ = b.latency.RecordValue(time.Since(began).Microseconds())
	b.mu.Unlock()
}

// work takes as long as the undisturbed time at the present speed. A caller that
// leaves does not end it: a charge that has begun is carried out.
func (b *Backend) work(undisturbed time.Duration) {
	b.mu.Lock()
	took := time.Duration(float64(undisturbed) / b.speed)
	b.mu.Unlock()
	time.Sleep(took)
}

// handleWatch is a standing stream: one event an interval until either side leaves.
func (b *Backend) handleWatch(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		if _, err := io.WriteString(rw, "data: "+b.options.ID+"\n\n"); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		select {
		case <-b.done:
			return
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Backend) announceLoop() {
	defer b.renewing.Done()
	if b.options.AnnounceURL == "" {
		return
	}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		b.announce()
		select {
		case <-b.done:
			return
		case <-ticker.C:
		}
	}
}

func (b *Backend) announce() {
	body, _ := json.Marshal(worker.Announcement{
		ID: b.options.ID, Service: b.options.Service, URL: b.URL(),
		Slots: b.options.Slots, Connections: b.options.Connections,
	})
	b.call(http.MethodPost, "/v1/backends", body)
}

func (b *Backend) leave() {
	if b.options.AnnounceURL != "" {
		b.call(http.MethodDelete, "/v1/backends/"+url.PathEscape(b.options.ID), nil)
	}
}

func (b *Backend) call(method, path string, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, b.options.AnnounceURL+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	response.Body.Close()
}
