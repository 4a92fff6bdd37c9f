package standin

import (
	"context"
	"math/rand/v2"
	"sort"
	"strconv"
	"sync"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/resource"
	"amaranthpaddle/worker"
)

// lightUsageInterval is the length of a LightWorker's usage intervals.
const lightUsageInterval = 15 * time.Second

// LightWorker is a worker without an HTTP interface and without goroutines, for
// fleets of hundreds of agents in one process. It computes the state of its
// runs when it is asked. It is safe for concurrent use.
type LightWorker struct {
	mu      sync.Mutex
	began   time.Time
	epoch   string
	runs    map[string]*lightRun
	highest map[string]uint64
	leaseMS int64
	started int                        // runs started so far
	firsts  map[string]resource.Vector // first grant of a task of each job
}

type lightRun struct {
	request worker.StartRequest
	phase   worker.Phase
	startMS int64
}

// NewLightWorker returns a worker without runs.
func NewLightWorker() *LightWorker {
	return &LightWorker{
		began: time.Now(), epoch: strconv.FormatUint(rand.Uint64(), 36),
		runs: map[string]*lightRun{}, highest: map[string]uint64{}, firsts: map[string]resource.Vector{},
	}
}

func (l *LightWorker) clockMS() int64 { return time.Since(l.began).Milliseconds() }

// Started returns how many runs were started so far.
func (l *LightWorker) Started() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started
}

// Start starts a run, or returns fault.Stale for an old generation, another
// epoch or an expired lease.
func (l *LightWorker) Start(_ context.Context, task string, request worker.StartRequest) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle() // runs whose lease has passed must end before the start extends it
	expired := request.Service == "" && l.clockMS() >= request.LeaseMS
	if request.Epoch != l.epoch || request.Generation <= l.highest[task] || expired {
		return fault.New(fault.Stale, "old generation, epoch or lease")
	}
	l.highest[task] = request.Generation
	if _, known := l.firsts[request.Job]; !known {
		l.firsts[request.Job] = request.Grant
	}
	l.leaseMS = max(l.leaseMS, request.LeaseMS)
	l.runs[task] = &lightRun{request: request, phase: worker.PhaseRunning, startMS: l.clockMS()}
	l.started++
	return nil
}

// Throttle accepts and ignores the request.
func (l *LightWorker) Throttle(context.Context, string, worker.ThrottleRequest) error { return nil }

// Stop ends a run at once, or fences one that is not here.
func (l *LightWorker) Stop(_ context.Context, task string, request worker.StopRequest) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.runs[task]
	if run == nil || run.request.Generation != request.Generation {
		l.highest[task] = max(l.highest[task], request.Generation)
		return fault.New(fault.NotFound, "no such run")
	}
	if !run.phase.Final() {
		run.phase = worker.PhaseStopped
	}
	return nil
}

// ExtendLease extends the lease of all leased runs.
func (l *LightWorker) ExtendLease(_ context.Context, request worker.LeaseRequest) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	if request.Epoch != l.epoch {
		return fault.New(fault.Stale, "another epoch")
	}
	l.leaseMS = max(l.leaseMS, request.UntilMS)
	return nil
}

// Forget drops a run that has ended.
func (l *LightWorker) Forget(_ context.Context, task string, generation uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if run := l.runs[task]; run != nil && run.request.Generation == generation && run.phase.Final() {
		delete(l.runs, task)
	}
	return nil
}

// Tasks returns the state of all runs.
func (l *LightWorker) Tasks(context.Context) (*worker.TaskList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle()
	now := l.clockMS()
	list := &worker.TaskList{Epoch: l.epoch, ClockMS: now, Tasks: make([]worker.TaskStatus, 0, len(l.runs))}
	for task, run := range l.runs {
		list.Tasks = append(list.Tasks, worker.TaskStatus{
			Task: task, Generation: run.request.Generation, Phase: run.phase,
			Checkpoint: run.request.Checkpoint, Progress: run.progress(now),
		})
	}
	return list, nil
}

func (r *lightRun) progress(nowMS int64) float64 {
	if r.request.WorkMS <= 0 {
		return 0
	}
	return min(1, float64(nowMS-r.startMS)/float64(r.request.WorkMS))
}

// settle ends the runs that are done or whose lease has passed. The caller holds mu.
func (l *LightWorker) settle() {
	now := l.clockMS()
	for _, run := range l.runs {
		if run.phase.Final() || run.request.Service != "" {
			continue
		}
		switch {
		case now >= l.leaseMS:
			run.phase = worker.PhaseStopped
		case run.progress(now) >= 1:
			run.phase = worker.PhaseFinished
		}
	}
}

// Usage returns one interval for each running run, once an interval.
func (l *LightWorker) Usage(_ context.Context, afterMS int64) (*worker.UsageList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clockMS()
	list := &worker.UsageList{ClockMS: now}
	if now-afterMS < lightUsageInterval.Milliseconds() {
		return list, nil
	}
	for task, run := range l.runs {
		if run.phase != worker.PhaseRunning {
			continue
		}
		list.Usage = append(list.Usage, worker.Usage{
			Task: task, Generation: run.request.Generation,
			StartMS: max(afterMS, run.startMS), EndMS: now,
			Used:  halfOf(l.firsts[run.request.Job]),
			Speed: 1,
		})
	}
	return list, nil
}

func halfOf(v resource.Vector) resource.Vector {
	return resource.Vector{MilliCPU: v.MilliCPU / 2, MemoryMiB: v.MemoryMiB / 2, Accelerators: v.Accelerators}
}

// ServiceRun is a running instance of a service.
type ServiceRun struct {
	Task    string
	Service string
}

// Services returns the running instances of services, in the order of their tasks.
func (l *LightWorker) Services() []ServiceRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []ServiceRun
	for task, run := range l.runs {
		if run.request.Service != "" && run.phase == worker.PhaseRunning {
			list = append(list, ServiceRun{Task: task, Service: run.request.Service})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Task < list[j].Task })
	return list
}
