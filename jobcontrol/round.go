package jobcontrol

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
	"amaranthpaddle/transport"
)

// pendingChange is a change that is queued for a batch or proposed in one.
type pendingChange struct {
	change *api.JobChange
	done   chan error // buffered for one result; nil when no caller waits

	caller context.Context // of an operator's order, which is not proposed once its caller has left; nil for others
	seen   uint64          // index up to which the reader of an operator's order had applied the log; 0 when unknown
}

// batch is a set of changes that are proposed as one log entry.
type batch struct {
	proposed time.Time
	message  *api.JobBatch
	changes  []*pendingChange
	assumed  []*api.JobChangeResult // of the changes, on the assumed state
	wait     func(context.Context) ([]byte, error)
	barrier  bool // it has no changes; once it is committed, so are all batches before it that ever will be
}

func (l *leadership) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// add queues a change for the next batch. The lock is held.
func (l *leadership) add(change *api.JobChange) {
	l.queue.add(&pendingChange{change: change})
}

// commit queues a change and waits for its result. Errors: those of the change;
// fault.NotLeader when it was not proposed; fault.CommitUnknown when it may still be
// committed.
func (l *leadership) commit(ctx context.Context, change *api.JobChange) error {
	return l.commitPending(ctx, &pendingChange{change: change})
}

// commitOrder commits an operator's order as commit does. Its reader had applied the log
// up to the index seen. Further error: fault.Stale when another order on its zone may
// have been carried out since; the order is not carried out.
func (l *leadership) commitOrder(ctx context.Context, change *api.JobChange, seen uint64) error {
	return l.commitPending(ctx, &pendingChange{change: change, caller: ctx, seen: seen})
}

func (l *leadership) commitPending(ctx context.Context, p *pendingChange) error {
	p.done = make(chan error, 1)
	l.mu.Lock()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		return fault.New(fault.NotLeader, "the leadership has ended")
	}
	l.queue.add(p)
	l.mu.Unlock()
	l.signal()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return fault.Wrap(fault.CommitUnknown, ctx.Err(), "commit")
	}
}

// failPending fails the changes that were not proposed with fault.NotLeader.
func (l *leadership) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.queue.takeAll() {
		p.finish(fault.New(fault.NotLeader, "the leadership ended before the change was proposed"))
	}
}

func (p *pendingChange) finish(err error) {
	if p.done != nil {
		p.done <- err
	}
}

// runRounds runs a round soon after each event, and every idleRoundInterval without
// one, until the leadership ends.
func (l *leadership) runRounds() {
	idle := time.NewTicker(idleRoundInterval)
	defer idle.Stop()
	defer close(l.inFlight)
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		case <-idle.C:
		}
		delay := time.NewTimer(batchDelay)
		select {
		case <-l.ctx.Done():
			delay.Stop()
			return
		case <-delay.C:
		}
		next := l.round()
		if next == nil {
			continue
		}
		select {
		case l.inFlight <- next:
		case <-l.ctx.Done():
			next.fail(fault.New(fault.CommitUnknown, "the leadership ended"))
			return
		}
	}
}

// round proposes a batch of pending changes and of the starts that are planned on
// top of them. It returns nil when nothing was proposed.
func (l *leadership) round() *batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.observeRound(l.server.now())
	l.planned = dispatch.Schedule{}
	l.weighCrashes()
	l.dropCarried()
	l.dropLostWorkers()
	l.saveKnowledge()
	l.compareStates()
	if l.assumedStale {
		return l.proposeBarrier()
	}
	next := l.newBatch()
	next.changes = l.queue.take(maxBatchChanges, maxBatchBytes)
	l.dropOvertaken(next)
	for _, p := range next.changes {
		next.message.Changes = append(next.message.Changes, p.change)
	}
	if len(next.changes) > 0 { // a batch that is not proposed must not advance the clock of the assumed state alone
		next.assumed = l.assumed.ApplyBatch(next.message).Results
	}
	l.planStarts(next)
	l.checkRecovery()
	l.relocateThrottled()
	l.keepJobsAtWork()
	l.preemptRuns()
	l.moveFromShrunken()
	if len(next.changes) == 0 {
		l.queueStops() // orders stops without effect again
		return nil
	}
	if l.queue.len() > 0 {
		l.signal()
	}
	return l.propose(next)
}

// observeRound records how long a round has taken, and logs a long one with the job that
// its plan has spent most time on. The lock is held.
func (l *leadership) observeRound(began time.Time) {
	took := l.server.now().Sub(began)
	telemetry.JobRoundSeconds.Observe(took)
	if took >= longRound {
		klog.InfoS("Round took long", "took_ms", took.Milliseconds(), "job", l.planned.Slowest.Job,
			"job_ms", l.planned.Slowest.Took.Milliseconds(), "starts", len(l.planned.Starts), "plan_cut", l.planned.Cut, "term", l.term)
	}
}

// newBatch returns a batch without changes.
func (l *leadership) newBatch() *batch {
	return &batch{message: &api.JobBatch{
		NowUnixMs: l.server.config.UnixTime().UnixMilli(),
		RetainMs:  l.server.config.Retain.Milliseconds(),
	}}
}

// planStarts adds the starts planned on the assumed state to the batch, and applies
// them to the assumed state. The lock is held.
func (l *leadership) planStarts(next *batch) {
	var schedule dispatch.Schedule
	var in dispatch.Input
	l.assumed.Read(func(view jobs.View) {
		l.forgetAdvice(view)
		in = l.planInput(view)
		l.preemption.clearing = l.preemption.unfinished(view, l.server.now())
		holdWorkers(in.Workers, l.preemption.clearing)
		schedule = dispatch.MakeSchedule(view, in)
	})
	l.planned = schedule
	if schedule.Cut {
		telemetry.JobPlansCut.Add(1)
		l.signal() // the next round looks at the others
	}
	open := slices.ContainsFunc(in.Workers, func(w dispatch.Worker) bool { return w.Open })
	l.recovery.planned(len(schedule.Starts), open, l.server.now())
	l.reservations.update(schedule, l.server.now())
	l.heldForRack = schedule.HeldForRack
	l.rackWaits.update(schedule.HeldForRack, l.server.now())
	for _, start := range schedule.Partial {
		telemetry.JobPartialFits.Add(1)
		klog.InfoS("Run planned with less unused CPU than it declares", "job", start.Run.Task.Job, "run", start.Run.String(), "worker", start.Worker)
	}
	for _, start := range schedule.Kept {
		l.keepAtWork(start.Run, start.Worker, "the job had nothing at work")
	}
	starts := schedule.Starts
	if len(starts) == 0 {
		return
	}
	starting := &api.JobBatch{NowUnixMs: next.message.NowUnixMs, RetainMs: next.message.RetainMs}
	size := 0
	for i, start := range starts {
		if size > maxBatchBytes && !l.startsWith(start.Run.Task, starts[i-1].Run.Task) {
			l.signal() // the next round starts the others
			break
		}
		change := &api.JobChange{Body: &api.JobChange_Start{
			Start: &api.StartRun{
				Run: start.Run.Ref(), Worker: start.Worker, Ticket: l.ticketOf(start), Vm: l.vmOf(start.Worker),
				FormerLeaseMs: l.formerLease(start.Worker).Milliseconds(),
			},
		}}
		size += proto.Size(change)
		starting.Changes = append(starting.Changes, change)
		next.changes = append(next.changes, &pendingChange{change: change})
	}
	next.assumed = append(next.assumed, l.assumed.ApplyBatch(starting).Results...)
	next.message.Changes = append(next.message.Changes, starting.Changes...)
}

// startsWith reports whether two tasks are of one gang, which starts as a whole.
func (l *leadership) startsWith(task, other jobs.TaskID) (together bool) {
	if task.GroupID() != other.GroupID() {
		return false
	}
	l.assumed.Read(func(view jobs.View) {
		group, _ := view.Job(task.Job).Task(task)
		together = group.Spec.Gang
	})
	return together
}

func (l *leadership) planInput(view jobs.View) dispatch.Input {
	now := l.server.now()
	var paused func(jobs.TaskID) bool
	if len(l.pausedUntil) > 0 {
		paused = func(task jobs.TaskID) bool { return l.paused(task, now) }
	}
	workers := l.dispatchWorkers(view, now)
	open := sync.OnceValue(func() map[string]bool { return openWorkers(workers) })
	return dispatch.Input{
		UnixMS:  l.server.config.UnixTime().UnixMilli(),
		PerCore: l.knowledge.Interference.PerCore, Durations: l.knowledge.Durations, QueueWork: l.knowledge.QueueWork,
		Age:          func(job *jobs.Job) time.Duration { return l.jobAge(job, now) },
		Idle:         func(job *jobs.Job) time.Duration { return l.idleJobs.idle(job, now) },
		TaskIdle:     func(task jobs.TaskID) time.Duration { return l.idleJobs.taskIdle(task, now) },
		Workers:      workers,
		Panicked:     l.handlePlanPanic,
		Clock:        time.Now, // cheaper than the clock of leases, and called for each candidate
		MaxTime:      maxPlanTime,
		MaxRuns:      int(l.server.config.JobMemory / bytesPerRun),
		Behind:       func(run jobs.RunID) bool { return l.behind(view, run, now) },
		Run:          func(run jobs.RunID) (dispatch.RunStatus, bool) { return l.runStatus(view, run, now) },
		Policy:       l.server.config.Policy,
		ZoneWeights:  func(queue string) map[string]float64 { return l.admission.demand.Weights(queue, now) },
		HeldForRack:  func(group jobs.GroupID) time.Duration { return l.rackWaits.waited(group, now) },
		Reserved:     l.reservations.at(now),
		CrashedUnder: func(task jobs.TaskID) []string { return l.crashedWorkers(task, now) },
		Paused:       paused,
		Tickets: func(queue *api.JobQueue, group jobs.GroupID) (map[string]string, bool) {
			return l.ticketsFor(queue, group, open())
		},
	}
}

// openWorkers returns the keys of the workers that are open.
func openWorkers(workers []dispatch.Worker) map[string]bool {
	open := map[string]bool{}
	for i := range workers {
		if workers[i].Open {
			open[workers[i].Key] = true
		}
	}
	return open
}

// handlePlanPanic logs the first panic while a job was planned. The lock is held.
func (l *leadership) handlePlanPanic(job string, cause any) {
	if !l.unplannable[job] {
		l.unplannable[job] = true
		_ = transport.LogPanic("plan of job "+job, cause)
	}
}

// proposeBarrier proposes an empty batch once no other batch is outstanding, and returns
// nil before. Its commit shows which batches are committed: one whose commit is not known
// precedes it in the log. Until then nothing is planned. The lock is held.
func (l *leadership) proposeBarrier() *batch {
	if l.outstanding > 0 {
		return nil // the results wake the next round
	}
	next := l.newBatch()
	next.barrier = true
	return l.propose(next)
}

// propose appends the batch to the log. When that fails, it fails the batch's
// changes, marks the assumed state as stale and returns nil. The lock is held.
func (l *leadership) propose(next *batch) *batch {
	data, err := proto.Marshal(next.message)
	if err != nil {
		err = fault.Wrap(fault.Internal, err, "encode batch")
	} else {
		next.wait, err = l.server.config.Replica.Enqueue(data)
	}
	if err != nil {
		klog.ErrorS(err, "Batch not proposed", "changes", len(next.changes))
		next.fail(err)
		l.markAssumedStale()
		l.requeueCrashes(next)
		return nil
	}
	l.outstanding++
	l.zoneOrders.propose(next.changes)
	next.proposed = l.server.now()
	return next
}

// markAssumedStale takes back the changes of a batch that failed. The committed state
// stands in for the assumed one, and nothing is planned on it: it lacks the changes of
// batches that are outstanding. The lock is held.
func (l *leadership) markAssumedStale() {
	l.assumed, l.assumedStale = l.server.config.State.Clone(), true
	l.signal()
}

func (b *batch) fail(err error) {
	for _, p := range b.changes {
		p.finish(err)
	}
}
