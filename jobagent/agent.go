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

// Config is the configuration of an Agent.
type Config struct {
	Name    string // name of this process
	Region  string
	Worker  Worker
	Control *controlclient.Client
	Clock   func() time.Time // timing.Boot when nil; must advance during suspension
	// LeaseLimit is the longest lease that the worker accepts; defaultLeaseLimit
	// when 0.
	LeaseLimit time.Duration
}

// Agent controls the runs of one worker. Start must be called only once.
type Agent struct {
	config Config
	cancel context.CancelFunc
	wg     sync.WaitGroup
	notify chan struct{} // requests a report to the leader before the next interval

	mu         sync.Mutex
	ctx        context.Context
	current    *incarnation // nil until a worker has registered
	leaving    bool         // the worker has deregistered
	stopping   bool
	sessions   int64  // number of sessions that were tried
	term       uint64 // highest term of a leader that has answered
	startedAt  time.Time
	sentStarts map[jobs.RunID]*sentStart
	costs      *dispatch.Costs // interference costs that the leader has learned
	healthPath string          // path of the worker's health check, empty for none
}

// Timeouts and delays of calls to the worker.
const (
	startTimeout      = 120 * time.Millisecond // the worker is on the same VM; afterwards a list tells whether the run has begun
	maxStartTimeout   = 800 * time.Millisecond // the run is fenced afterwards, also without a list
	stopTimeout       = 800 * time.Millisecond
	minCallTimeout    = 120 * time.Millisecond // of the first attempt of a call that may be repeated
	slotTimeout       = startTimeout           // longest time for which a call keeps its slot
	pollMargin        = 600 * time.Millisecond // added to the long-poll wait to give the timeout of a poll; highest timeout of one that does not wait
	maxPollWait       = 1000 * time.Millisecond
	colocatedPollWait = 400 * time.Millisecond // shorter than the interval over which the worker measures usage
	recordWait        = 30 * time.Millisecond  // for the leader to record ended runs before the next poll; about the latency of a commit
	minRetryDelay     = 100 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// defaultLeaseLimit is the longest lease of a worker when none is configured.
const defaultLeaseLimit = 10 * time.Second

// MaxConcurrentCalls is the maximum number of concurrent calls to the worker, not
// counting the long poll and calls without an answer for slotTimeout.
const MaxConcurrentCalls = 16

// minClockRate is the lowest rate of a worker's clock relative to the agent's:
// workers' clocks may be 2 % slow.
const minClockRate = 0.98

// New returns an Agent that has not been started and knows no worker yet.
func New(config Config) *Agent {
	if config.Clock == nil {
		config.Clock = timing.Boot
	}
	if config.LeaseLimit == 0 {
		config.LeaseLimit = defaultLeaseLimit
	}
	return &Agent{
		config: config, notify: make(chan struct{}, 1), startedAt: config.Clock(),
		costs: dispatch.NewCosts(), sentStarts: map[jobs.RunID]*sentStart{},
	}
}

// Start opens the session with the leader in the background.
func (a *Agent) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.ctx, a.cancel = ctx, cancel
	a.wg.Go(func() { a.runSessions(ctx) })
}

// Stop stops the agent and waits for its goroutines. Runs continue until the
// lease that the worker already has ends.
func (a *Agent) Stop() {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.cancel()
	a.wg.Wait()
}

// Ready returns nil when the agent can start runs, otherwise an error that says
// why not.
func (a *Agent) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil {
		return fault.New(fault.NotLeader, "no worker has registered")
	}
	if _, held := a.current.lease(); !held {
		return fault.New(fault.NotLeader, "no lease is held")
	}
	return nil
}

// Register applies a registration of the worker. A registration that arrives
// after a later one is ignored.
func (a *Agent) Register(r Registration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		return
	}
	current := a.current
	switch {
	case current == nil || r.Worker.Id != current.worker.Id && r.Worker.Born >= current.worker.Born:
		a.startIncarnation(r)
	case r.Worker.Id != current.worker.Id || r.Worker.Born < current.worker.Born:
		klog.InfoS("Ignored registration of an earlier worker incarnation", "worker", r.Worker.Id, "born", r.Worker.Born)
		return
	case r.Worker.Born > current.worker.Born:
		a.startIncarnation(r)
	case r.Sequence <= current.sequence:
		return
	}
	current = a.current
	if r.Worker.Draining != current.worker.GetDraining() {
		klog.InfoS("Worker draining changed", "worker", r.Worker.Id, "draining", r.Worker.Draining)
	}
	r.Worker.Region = a.config.Region
	current.worker, current.address, current.sequence = r.Worker, r.Address, r.Sequence
	a.requestReport()
}

// startIncarnation replaces the current incarnation by the registered one and
// starts its background loops. Agent.mu must be held.
func (a *Agent) startIncarnation(r Registration) {
	klog.InfoS("Worker registered", "worker", jobs.WorkerKey(r.Worker.Id, r.Worker.Born), "address", r.Address,
		"service", r.Worker.Service, "draining", r.Worker.Draining)
	next := newIncarnation(a, r)
	next.reusesID = a.mayReuseID(r.Worker.Id)
	if a.current != nil {
		a.current.cancel()
		next.fenceFormerStarts(a.current)
		next.takeOverEnds(a.current)
		next.preventStarts()
		next.crashes = a.current.crashes
		if crash := a.current.crash(); crash != nil {
			next.crashes = append(next.crashes, crash)
		}
		next.crashes = next.crashes[max(0, len(next.crashes)-maxCrashes):]
	}
	a.current, a.leaving = next, false
	a.wg.Go(next.pollLoop)
	a.wg.Go(next.watchHealth)
}

// Deregister marks the worker as leaving if id is the current worker and born its
// incarnation, or 0.
func (a *Agent) Deregister(id string, born int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil || a.current.worker.Id != id {
		return
	}
	if born != 0 && born != a.current.worker.Born {
		klog.InfoS("Ignored deregistration of another worker incarnation", "worker", id, "born", born)
		return
	}
	klog.InfoS("Worker deregistered", "worker", id)
	a.leaving = true
	a.requestReport()
}

func (a *Agent) requestReport() {
	select {
	case a.notify <- struct{}{}:
	default:
	}
}

// buildReport returns the next report to the leader. Agent.mu must be held.
func (a *Agent) buildReport(sequence int64, sessionID int64) *api.WorkerReport {
	report := &api.WorkerReport{Sequence: sequence, Agent: a.config.Name, Leaving: a.leaving}
	if a.current != nil {
		a.current.fillReport(report, sessionID)
	}
	return report
}
