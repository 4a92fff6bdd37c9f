package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/worker"
)

const (
	workerTick        = 20 * time.Millisecond
	usageInterval     = 500 * time.Millisecond
	usageLag          = 1 * time.Second // usage is readable this long after its interval ended
	checkpointTime    = 60 * time.Millisecond
	serviceStartTime  = 30 * time.Millisecond
	usageKeptSamples  = 4096
	contentionPenalty = 0.5 // loss of speed when batch work fills a whole VM
	// minPause is the gap between two readings of the clock from which the process
	// counts as paused. It is 25 ticks, more than a busy machine delays one.
	minPause = 500 * time.Millisecond
)

// WorkerOptions configures a stand-in worker.
type WorkerOptions struct {
	VM          string
	Zone        string
	Capacity    resource.Vector
	AnnounceURL string // base URL of the agent's local interface
	Ledger      *Ledger
	FailAll     bool                             // every task fails right after its start
	Use         func(job string) resource.Vector // true use of a task of the job or service; nil for its first grant here
	Listener    net.Listener                     // of the interface; nil for a free loopback port
	Events      io.Writer                        // gets one JSON line per Event, may be nil
	Requests    io.Writer                        // gets one JSON line per RequestEvent of its backend servers, may be nil
}

// Event is something that really happened to a run at a worker.
type Event struct {
	At         int64           `json:"at"` // nanoseconds since 1970
	VM         string          `json:"vm"`
	Zone       string          `json:"zone"`
	Task       string          `json:"task"`
	Generation uint64          `json:"generation"`
	Kind       EventKind       `json:"kind"`
	Service    bool            `json:"service,omitempty"`
	Grant      resource.Vector `json:"grant"`
	Progress   float64         `json:"progress"`
	// LeaseEnd is the end of the lease under which the event was written, 0 for a service.
	LeaseEnd int64 `json:"lease_end,omitempty"`
	// PausedAt and ResumedAt are the limits of the worker's latest pause, 0 for none.
	PausedAt  int64 `json:"paused_at,omitempty"`
	ResumedAt int64 `json:"resumed_at,omitempty"`
}

// EventKind says what happened.
type EventKind string

// The kinds of events.
const (
	EventStart  EventKind = "start"
	EventWork   EventKind = "work" // the run made progress
	EventStop   EventKind = "stop" // the run ended unfinished
	EventFinish EventKind = "finish"
)

// Worker is a stand-in for the worker of one VM. Its tasks make progress in
// real time, slowed down by the work beside them.
type Worker struct {
	options  WorkerOptions
	started  time.Time
	epoch    string
	server   *http.Server
	listener net.Listener
	done     chan struct{}
	wait     sync.WaitGroup

	mu      sync.Mutex
	tasks   map[string]*run
	highest map[string]uint64          // highest generation seen of each task
	firsts  map[string]resource.Vector // first grant of a task of each job
	leaseMS int64
	read    time.Time // latest reading of the clock
	paused  time.Time // limits of the latest pause, zero for none
	resumed time.Time
	usage   []worker.Usage
	sampled int64 // end of the last usage interval
}

// run is one run of a task. Worker.mu guards it.
type run struct {
	request    worker.StartRequest
	status     worker.TaskStatus
	fraction   float64 // throttle
	stopping   bool
	stopAtMS   int64 // when the checkpoint is complete
	record     *Run
	backend    *Backend
	speedSum   float64
	speedTicks int
}

// errLeaseExpired is the error of a run that ended with its lease.
const errLeaseExpired = "lease expired"

// StartWorker starts a stand-in worker on a free loopback port.
func StartWorker(options WorkerOptions) (*Worker, error) {
	listener := options.Listener
	if listener == nil {
		opened, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listener = opened
	}
	w := &Worker{
		options:  options,
		started:  time.Now(),
		epoch:    strconv.FormatUint(rand.Uint64(), 36),
		listener: listener,
		done:     make(chan struct{}),
		tasks:    map[string]*run{},
		highest:  map[string]uint64{},
		firsts:   map[string]resource.Vector{},
	}
	w.server = &http.Server{Handler: w.routes(), ReadHeaderTimeout: 5 * time.Second}
	w.wait.Add(2)
	go w.serve()
	go w.loop()
	return w, nil
}

// URL returns the base URL of the worker's interface.
func (w *Worker) URL() string { return "http://" + w.listener.Addr().String() }

// Stop ends the worker and its runs, as the loss of its VM would.
func (w *Worker) Stop() {
	close(w.done)
	w.server.Close()
	w.wait.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.tasks {
		w.end(r, worker.PhaseStopped, "worker stopped")
	}
}

func (w *Worker) serve() {
	defer w.wait.Done()
	_ = w.server.Serve(w.listener)
}

func (w *Worker) loop() {
	defer w.wait.Done()
	ticker := time.NewTicker(workerTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-w.done:
			return
		case now := <-ticker.C:
			// A pause of the process is no time in which its runs worked.
			w.advance(min(now.Sub(last), 2*workerTick))
			last = now
		}
	}
}

// clockMS is the worker's monotonic clock.
func (w *Worker) clockMS() int64 { return w.sinceStart(w.now()) }

func (w *Worker) sinceStart(at time.Time) int64 { return at.Sub(w.started).Milliseconds() }

// now reads the clock and records a pause of the process, which shows as a gap
// since the previous reading. The caller holds mu.
func (w *Worker) now() time.Time {
	now := time.Now()
	if !w.read.IsZero() && now.Sub(w.read) >= minPause {
		w.paused, w.resumed = w.read, now
	}
	w.read = now
	return now
}

func (w *Worker) advance(elapsed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clockMS()
	speed := w.speed()
	for _, r := range w.tasks {
		if !r.status.Phase.Final() {
			w.advanceRun(r, elapsed, speed)
		}
	}
	if now-w.sampled >= usageInterval.Milliseconds() {
		w.sample(now)
	}
}

// speed is how fast work runs beside everything else on the VM, 1 when alone.
func (w *Worker) speed() float64 {
	var batchCPU float64
	for _, r := range w.tasks {
		if r.status.Phase == worker.PhaseRunning && r.request.Service == "" {
			batchCPU += float64(r.request.Grant.MilliCPU) * r.fraction
		}
	}
	load := batchCPU / float64(w.options.Capacity.MilliCPU)
	return 1 - contentionPenalty*min(load, 1)
}

// expired reports whether a leased run has no lease at the given reading of the
// clock. The reading must be made for the one effect that depends on the answer:
// the process may be paused between any two effects, and another worker may have
// the task when it goes on.
func (w *Worker) expired(r *run, at time.Time) bool {
	return r.request.Service == "" && w.sinceStart(at) >= w.leaseMS
}

func (w *Worker) advanceRun(r *run, elapsed time.Duration, speed float64) {
	at := w.now()
	switch {
	case w.expired(r, at):
		w.end(r, worker.PhaseStopped, errLeaseExpired)
	case r.stopping && w.sinceStart(at) >= r.stopAtMS:
		w.end(r, worker.PhaseStopped, "")
	case r.status.Phase == worker.PhaseRunning:
		w.progress(r, elapsed, speed)
	}
}

func (w *Worker) progress(r *run, elapsed time.Duration, speed float64) {
	r.speedSum += speed
	r.speedTicks++
	if r.backend != nil {
		r.backend.SetSpeed(speed)
		return
	}
	if w.options.FailAll {
		w.end(r, worker.PhaseFailed, "exit status 1")
		return
	}
	at := w.now()
	if w.expired(r, at) {
		w.end(r, worker.PhaseStopped, errLeaseExpired)
		return
	}
	w.note(r, EventWork, at)
	work := float64(max(r.request.WorkMS, 1))
	r.status.Progress += elapsed.Seconds() * 1000 * speed * r.fraction / work
	if r.status.Progress >= 1 {
		r.status.Progress = 1
		w.end(r, worker.PhaseFinished, "")
	}
}

// end makes a run final. A run that was asked to checkpoint keeps its progress.
// A run without a lease can only be stopped, and makes no checkpoint.
func (w *Worker) end(r *run, phase worker.Phase, message string) {
	if r.status.Phase.Final() {
		return
	}
	at := w.now()
	expired := w.expired(r, at)
	if expired {
		phase, message = worker.PhaseStopped, errLeaseExpired
	}
	if !expired && phase == worker.PhaseStopped && r.stopping && r.status.Phase == worker.PhaseCheckpointing {
		r.status.Checkpoint = checkpointID(r.status.Task, r.status.Generation, r.status.Progress)
	}
	r.status.Phase = phase
	r.status.Error = message
	if phase == worker.PhaseFinished {
		w.note(r, EventFinish, at)
	} else {
		w.note(r, EventStop, at)
	}
	if r.backend != nil {
		go r.backend.Stop(context.Background())
	}
	if w.options.Ledger != nil {
		w.options.Ledger.End(r.record, at, r.status.Progress, phase == worker.PhaseFinished)
	}
}

// note writes an event about the run, which happens at the given reading of the
// clock.
func (w *Worker) note(r *run, kind EventKind, at time.Time) {
	if w.options.Events == nil {
		return
	}
	event := Event{
		At: at.UnixNano(), VM: w.options.VM, Zone: w.options.Zone,
		Task: r.status.Task, Generation: r.status.Generation, Kind: kind,
		Service: r.request.Service != "", Grant: r.request.Grant, Progress: r.status.Progress,
	}
	if !event.Service {
		lease := time.Duration(w.leaseMS) * time.Millisecond
		event.LeaseEnd = at.Add(lease - at.Sub(w.started)).UnixNano()
	}
	if !w.paused.IsZero() {
		event.PausedAt, event.ResumedAt = w.paused.UnixNano(), w.resumed.UnixNano()
	}
	line, err := json.Marshal(event)
	if err == nil {
		_, _ = w.options.Events.Write(append(line, '\n'))
	}
}

// checkpointID names a checkpoint; the stand-in keeps the progress in the name.
func checkpointID(task string, generation uint64, progress float64) string {
	return fmt.Sprintf("%s@%d@%.6f", task, generation, progress)
}

// checkpointProgress reads the progress back from a checkpoint's name.
func checkpointProgress(id string) float64 {
	at := strings.LastIndexByte(id, '@')
	progress, err := strconv.ParseFloat(id[at+1:], 64)
	if err != nil {
		return 0
	}
	return progress
}

func (w *Worker) sample(now int64) {
	for _, r := range w.tasks {
		if r.speedTicks == 0 {
			continue
		}
		w.usage = append(w.usage, w.usageOf(r, now))
		r.speedSum, r.speedTicks = 0, 0
	}
	w.sampled = now
	if surplus := len(w.usage) - usageKeptSamples; surplus > 0 {
		w.usage = append([]worker.Usage(nil), w.usage[surplus:]...)
	}
}

func (w *Worker) usageOf(r *run, now int64) worker.Usage {
	use := w.use(r)
	use.MilliCPU = int64(float64(use.MilliCPU) * r.fraction)
	usage := worker.Usage{
		Task: r.status.Task, Generation: r.status.Generation,
		StartMS: w.sampled, EndMS: now,
		Used: use, Speed: r.speedSum / float64(r.speedTicks),
	}
	if r.backend != nil {
		usage.LatencyMS = r.backend.TakeLatency()
	}
	return usage
}

// use is what the run really needs, whatever it was granted.
func (w *Worker) use(r *run) resource.Vector {
	if w.options.Use != nil {
		return w.options.Use(r.request.Job)
	}
	return w.firsts[r.request.Job]
}

// statuses returns the runs in the order of their names.
func (w *Worker) statuses() []worker.TaskStatus {
	list := make([]worker.TaskStatus, 0, len(w.tasks))
	for _, r := range w.tasks {
		list = append(list, r.status)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Task < list[j].Task })
	return list
}
