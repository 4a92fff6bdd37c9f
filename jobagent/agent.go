package jobagent

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/timing"
)

// Config holds what an Agent needs.
type Config struct {
	Name    string // of this process
	Region  string
	Worker  Worker
	Control *controlclient.Client
	Clock   func() time.Time // timing.Boot when nil; counts suspensions
	// LeaseLimit is the longest lease that the worker grants.
	LeaseLimit time.Duration
}

// Agent drives one worker. Start it once.
type Agent struct {
	config Config
	cancel context.CancelFunc
	done   sync.WaitGroup
	notify chan struct{} // the leader should hear something

	mu         sync.Mutex
	ctx        context.Context
	current    *incarnation // nil while no worker has registered
	leaving    bool         // the worker said that it ends
	stopping   bool
	term       uint64          // of the latest leader
	leaseUntil time.Time       // until when runs may be begun and renewed
	costs      *dispatch.Costs // as the leader learnt it
	healthPath string          // at which the worker is asked whether it is healthy, empty for none
}

// Times of the agent's calls.
const (
	startTimeout = 800 * time.Millisecond // of a call on the same VM; after it the run is fenced
	stopTimeout  = 800 * time.Millisecond
	holdSlack    = 600 * time.Millisecond // beyond the time for which an answer may wait
	longWait     = 1000 * time.Millisecond
	pacingWait   = 400 * time.Millisecond // under the interval that the worker's figures speak of
	recordWait   = 30 * time.Millisecond  // for the leader to record ends before the next look, a commit's latency
	retryPause   = 100 * time.Millisecond
	maxRetry     = 500 * time.Millisecond
)

// defaultLeaseLimit is the longest lease of workers that state none.
const defaultLeaseLimit = 10 * time.Second

// Concurrency is the number of calls to the worker at a time, without the one
// that waits for ends.
const Concurrency = 16

// clockPart of the worker's time passes at least while ours does: workers'
// clocks may be 2 % slow.
const clockPart = 0.98

// New returns an agent without a worker.
func New(config Config) *Agent {
	if config.Clock == nil {
		config.Clock = timing.Boot
	}
	if config.LeaseLimit == 0 {
		config.LeaseLimit = defaultLeaseLimit
	}
	return &Agent{config: config, notify: make(chan struct{}, 1), costs: dispatch.NewCosts()}
}

// Start begins the session with the leader.
func (a *Agent) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.ctx, a.cancel = ctx, cancel
	a.done.Go(func() { a.runSessions(ctx) })
}

// Stop ends the agent's work. Runs go on under the lease that they have.
func (a *Agent) Stop() {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.cancel()
	a.done.Wait()
}

// Ready returns why the agent can begin no run, nil when it can.
func (a *Agent) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, held := a.lease(); !held {
		return fault.New(fault.NotLeader, "no lease is held")
	}
	return nil
}

// Register takes in what the worker says of itself. One that overtook a later
// one changes nothing.
func (a *Agent) Register(r Registration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		return
	}
	current := a.current
	switch {
	case current == nil || r.Worker.Id != current.worker.Id && r.Worker.Born >= current.worker.Born:
		a.begin(r)
	case r.Worker.Id != current.worker.Id || r.Worker.Born < current.worker.Born:
		klog.InfoS("Late registration ignored", "worker", r.Worker.Id, "born", r.Worker.Born)
		return
	case r.Worker.Born > current.worker.Born:
		a.begin(r)
	case r.Sequence <= current.sequence:
		return
	}
	current = a.current
	if r.Worker.Draining != current.worker.GetDraining() {
		klog.InfoS("Worker's draining changed", "worker", r.Worker.Id, "draining", r.Worker.Draining)
	}
	r.Worker.Region = a.config.Region
	current.worker, current.address, current.sequence = r.Worker, r.Address, r.Sequence
	a.signal()
}

// begin starts to drive a new incarnation. The lock is held.
func (a *Agent) begin(r Registration) {
	klog.InfoS("Worker registered", "worker", jobs.WorkerKey(r.Worker.Id, r.Worker.Born), "address", r.Address,
		"service", r.Worker.Service, "draining", r.Worker.Draining)
	next := newIncarnation(a, r)
	if a.current != nil {
		a.current.cancel()
		next.fenceUnresolved(a.current)
	}
	a.current, a.leaving = next, false
	a.done.Go(next.runHolds)
	a.done.Go(next.watchHealth)
}

// Deregister takes in that the worker ends.
func (a *Agent) Deregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil || a.current.worker.Id != id {
		return
	}
	klog.InfoS("Worker leaves", "worker", id)
	a.leaving = true
	a.signal()
}

func (a *Agent) signal() {
	select {
	case a.notify <- struct{}{}:
	default:
	}
}

// lease returns the end of the lease and whether it is held now. The lock is held.
func (a *Agent) lease() (time.Time, bool) {
	return a.leaseUntil, a.config.Clock().Before(a.leaseUntil)
}

// report returns what the leader should know. The lock is held.
func (a *Agent) report(sequence int64, stream int64) *api.WorkerReport {
	report := &api.WorkerReport{Sequence: sequence, Agent: a.config.Name, Leaving: a.leaving}
	if a.current != nil {
		a.current.fill(report, stream)
	}
	return report
}
