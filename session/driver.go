package session

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/resource"
	"amaranthpaddle/worker"
)

const (
	pollInterval      = 250 * time.Millisecond // between polls of the worker's tasks
	usagePollInterval = 1 * time.Second
	workerTimeout     = 1 * time.Second // of one call to the worker
	startTimeout      = 4 * time.Second // how long a start waits for its permission to be confirmed again
)

// driveLoop carries out directives on the worker and polls its state, until ctx
// ends.
func (s *Session) driveLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastUsage := time.Now()
	for {
		s.driveOnce(ctx)
		if time.Since(lastUsage) >= usagePollInterval {
			s.readUsage(ctx)
			lastUsage = time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.wakeDriver:
		}
	}
}

// driveOnce carries out the pending directives and reads the worker's tasks. It
// extends the worker's lease first, so that no run ends for lack of a lease that
// the VM already holds.
func (s *Session) driveOnce(ctx context.Context) {
	s.extendLease(ctx)
	s.carryOutStops(ctx)
	s.carryOutThrottles(ctx)
	s.carryOutStarts(ctx)
	s.readTasks(ctx)
	s.forgetEnded(ctx)
}

func (s *Session) extendLease(ctx context.Context) {
	s.mu.Lock()
	until, sent := s.holder.WorkerLeaseUntil(), s.sentLeaseUntil
	request := worker.LeaseRequest{Epoch: s.epoch, UntilMS: until}
	s.mu.Unlock()
	if until <= sent {
		return
	}
	if err := withTimeout(ctx, func(ctx context.Context) error { return s.config.Worker.ExtendLease(ctx, request) }); err != nil {
		return
	}
	s.mu.Lock()
	s.sentLeaseUntil = until
	s.mu.Unlock()
}

func (s *Session) carryOutStarts(ctx context.Context) {
	for key, start := range copyOf(s, s.starts) {
		if s.dropRepeatedStart(key) {
			continue
		}
		if s.mustAwaitPermission(start) {
			continue
		}
		err := withTimeout(ctx, func(ctx context.Context) error { return s.startNow(ctx, start) })
		if err == errNotPermitted {
			s.fenceStart(ctx, key, start)
			continue
		}
		s.finishStart(key, start, err)
	}
}

// errNotPermitted is the error of a start that this process must not order any more.
var errNotPermitted = fault.New(fault.Stale, "no confirmed permission to start")

// fenceStart stops a run whose permission to start has ended. An earlier call that
// starts it, possibly of an earlier process of this agent, may still take effect, so
// the run counts as stopped only after the worker has confirmed the stop.
func (s *Session) fenceStart(ctx context.Context, key runKey, start pendingStart) {
	observeStart(errNotPermitted)
	klog.InfoS("Task not started", "vm", s.config.VM.Id, "task", key.task, "generation", key.generation, "error", errNotPermitted)
	stop := &api.StopTask{Task: key.task, Generation: key.generation}
	s.mu.Lock()
	if s.starts[key] == start {
		delete(s.starts, key)
	}
	s.stops[key] = stop
	s.mu.Unlock()
	s.carryOutStop(ctx, key, stop)
}

// mustAwaitPermission reports whether a start must wait because the last
// confirmation of its permission is too old. If so, it triggers a report, whose
// answer confirms the permission again.
func (s *Session) mustAwaitPermission(start pendingStart) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.holder.MayStart(now) || s.holder.StartsForbidden() || now.Sub(start.received) > startTimeout || !now.Before(start.deadline) {
		return false
	}
	signal(s.reportDue)
	return true
}

// dropRepeatedStart drops a start directive for a run that was started or
// refused before, and reports whether it did.
func (s *Session) dropRepeatedStart(key runKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, running := s.outbox.listed[key]
	if !running && !s.outbox.isRefused(key) {
		return false
	}
	delete(s.starts, key)
	// The leader repeats the start because it has not seen the run's state.
	delete(s.outbox.sentIn, key)
	return true
}

// startNow starts a run. It checks the lease and the freshness immediately before
// the call, because this process may have been paused since the directive arrived.
func (s *Session) startNow(ctx context.Context, start pendingStart) error {
	s.mu.Lock()
	now := time.Now()
	may := s.holder.MayStart(now) && now.Before(start.deadline)
	until, epoch := s.holder.WorkerLeaseUntil(), s.epoch
	s.mu.Unlock()
	if !may {
		return errNotPermitted
	}
	return s.config.Worker.Start(ctx, start.Task, worker.StartRequest{
		Generation: start.Generation,
		Grant:      vector(start.Grant),
		Checkpoint: start.Checkpoint,
		Job:        start.Job,
		Service:    start.Service,
		WorkMS:     start.WorkMs,
		Epoch:      epoch,
		LeaseMS:    until,
		Parameters: start.Parameters,
	})
}

// finishStart handles the result of a start. A start whose outcome is unknown is
// kept and retried, which is idempotent; one that was refused is reported as
// stopped.
func (s *Session) finishStart(key runKey, start pendingStart, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	observeStart(err)
	switch fault.KindOf(err) {
	case fault.Stale, fault.InvalidArgument:
		s.outbox.refuse(key, err.Error())
		klog.InfoS("Task not started", "vm", s.config.VM.Id, "task", key.task, "generation", key.generation, "error", err)
		signal(s.reportDue)
	default:
		if err != nil {
			return
		}
	}
	if s.starts[key] == start {
		delete(s.starts, key)
	}
}

func (s *Session) carryOutStops(ctx context.Context) {
	for key, stop := range copyOf(s, s.stops) {
		s.carryOutStop(ctx, key, stop)
	}
}

func (s *Session) carryOutStop(ctx context.Context, key runKey, stop *api.StopTask) {
	request := worker.StopRequest{Generation: key.generation, Checkpoint: stop.Checkpoint}
	err := withTimeout(ctx, func(ctx context.Context) error { return s.config.Worker.Stop(ctx, key.task, request) })
	s.finishStop(key, stop, err)
}

// finishStop handles the result of a stop. A run that the worker does not know
// has never run here and never will, so its pending start is dropped.
func (s *Session) finishStop(key runKey, stop *api.StopTask, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && !fault.Is(err, fault.NotFound) && !fault.Is(err, fault.Stale) {
		return
	}
	if s.stops[key] == stop {
		delete(s.stops, key)
	}
	if err == nil {
		return
	}
	delete(s.starts, key)
	s.outbox.refuse(key, "stopped before it started")
	delete(s.outbox.sentIn, key)
	signal(s.reportDue)
}

func (s *Session) carryOutThrottles(ctx context.Context) {
	for key, throttle := range copyOf(s, s.throttles) {
		request := worker.ThrottleRequest{Generation: key.generation, Fraction: throttle.Fraction}
		err := withTimeout(ctx, func(ctx context.Context) error { return s.config.Worker.Throttle(ctx, key.task, request) })
		if fault.Is(err, fault.BackendUnavailable) {
			continue
		}
		s.mu.Lock()
		if s.throttles[key] == throttle {
			delete(s.throttles, key)
		}
		s.mu.Unlock()
	}
}

func (s *Session) readTasks(ctx context.Context) {
	var list *worker.TaskList
	asked := time.Now()
	err := withTimeout(ctx, func(ctx context.Context) (err error) {
		list, err = s.config.Worker.Tasks(ctx)
		return err
	})
	if err != nil {
		klog.V(1).InfoS("Worker did not answer", "vm", s.config.VM.Id, "error", err)
		return
	}
	s.mu.Lock()
	first := s.clockReadAt.IsZero()
	if list.Epoch != s.epoch {
		s.holder.WorkerRestarted()
		s.epoch = list.Epoch
		s.sentLeaseUntil = 0
		s.usageAfter = 0
	}
	s.workerClockMS = list.ClockMS
	s.clockReadAt = asked
	changed := s.outbox.update(list.Tasks, s.holder.acknowledged)
	s.mu.Unlock()
	if changed || first {
		signal(s.reportDue)
	}
}

func (s *Session) forgetEnded(ctx context.Context) {
	s.mu.Lock()
	ended := s.outbox.acknowledged(s.holder.acknowledged)
	s.mu.Unlock()
	for _, key := range ended {
		_ = withTimeout(ctx, func(ctx context.Context) error {
			return s.config.Worker.Forget(ctx, key.task, key.generation)
		})
	}
}

func (s *Session) readUsage(ctx context.Context) {
	s.mu.Lock()
	after := s.usageAfter
	s.mu.Unlock()
	var list *worker.UsageList
	asked := time.Now()
	err := withTimeout(ctx, func(ctx context.Context) (err error) {
		list, err = s.config.Worker.Usage(ctx, after)
		return err
	})
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, usage := range list.Usage {
		s.usageAfter = max(s.usageAfter, usage.EndMS)
		s.usage.add(sampleOf(usage, list.ClockMS, asked))
	}
}

// sampleOf converts a usage interval from the worker's clock to Unix time. asked
// is when the reading clockMS of the worker's clock was requested.
func sampleOf(usage worker.Usage, clockMS int64, asked time.Time) *api.UsageSample {
	zero := asked.UnixMilli() - clockMS
	return &api.UsageSample{
		Task: usage.Task, Generation: usage.Generation,
		StartUnixMs: zero + usage.StartMS, EndUnixMs: zero + usage.EndMS,
		Used: &api.Resources{
			MilliCpu: usage.Used.MilliCPU, MemoryMib: usage.Used.MemoryMiB, Accelerators: usage.Used.Accelerators,
		},
		Speed: usage.Speed, LatencyMs: usage.LatencyMS,
	}
}

func vector(r *api.Resources) resource.Vector {
	return resource.Vector{
		MilliCPU: r.GetMilliCpu(), MemoryMiB: r.GetMemoryMib(), Accelerators: r.GetAccelerators(),
	}
}

// copyOf copies a map of s under the lock, so that the caller can iterate over it
// without holding the lock during calls.
func copyOf[V any](s *Session, table map[runKey]V) map[runKey]V {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[runKey]V, len(table))
	for key, value := range table {
		copied[key] = value
	}
	return copied
}

func withTimeout(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	return call(ctx)
}
