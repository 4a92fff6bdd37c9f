package jobcontrol

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
)

// pendingChange is a change that waits for the next batch.
type pendingChange struct {
	change *api.JobChange
	done   chan error // has room for the result; nil when nobody waits
}

// batch is a proposed set of changes.
type batch struct {
	proposed time.Time
	message  *api.JobBatch
	changes  []*pendingChange
	wait     func(context.Context) ([]byte, error)
}

func (l *leadership) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// add queues a change for the next batch. The lock is held.
func (l *leadership) add(change *api.JobChange) {
	l.pending = append(l.pending, &pendingChange{change: change})
}

// commit queues a change and waits for its result. Errors: those of the change;
// fault.CommitUnknown when it may still be committed.
func (l *leadership) commit(ctx context.Context, change *api.JobChange) error {
	p := &pendingChange{change: change, done: make(chan error, 1)}
	l.mu.Lock()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		return fault.New(fault.NotLeader, "the leadership has ended")
	}
	l.pending = append(l.pending, p)
	l.mu.Unlock()
	l.signal()
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return fault.Wrap(fault.CommitUnknown, ctx.Err(), "commit")
	}
}

// failPending ends the changes that were not proposed.
func (l *leadership) failPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pending {
		p.finish(fault.New(fault.NotLeader, "the leadership ended before the change was proposed"))
	}
	l.pending = nil
}

func (p *pendingChange) finish(err error) {
	if p.done != nil {
		p.done <- err
	}
}

// runRounds runs a round after each event, and from time to time without one.
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

// round takes the pending changes, plans on top of them and proposes all of it.
func (l *leadership) round() *batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropLostWorkers()
	l.saveKnowledge()
	next := &batch{message: &api.JobBatch{
		NowUnixMs: l.server.config.UnixTime().UnixMilli(),
		RetainMs:  l.server.config.Retain.Milliseconds(),
	}}
	count := min(len(l.pending), maxBatchChanges)
	next.changes = append(next.changes, l.pending[:count]...)
	l.pending = l.pending[count:]
	for _, p := range next.changes {
		next.message.Changes = append(next.message.Changes, p.change)
	}
	l.assumed.ApplyBatch(next.message)
	l.planStarts(next)
	if len(next.changes) == 0 {
		l.queueStops() // again, for those without an effect
		return nil
	}
	if len(l.pending) > 0 {
		l.signal()
	}
	return l.propose(next)
}

// planStarts adds the starts that the assumed state allows, and applies them to it.
func (l *leadership) planStarts(next *batch) {
	var starts []dispatch.Start
	l.assumed.Read(func(view jobs.View) {
		l.forgetAdvice(view)
		starts = dispatch.Plan(view, l.planInput(view))
	})
	if len(starts) == 0 {
		return
	}
	startBatch := &api.JobBatch{NowUnixMs: next.message.NowUnixMs}
	for _, start := range starts {
		change := &api.JobChange{Body: &api.JobChange_Start{
			Start: &api.StartRun{Run: start.Run.Ref(), Worker: start.Worker, Ticket: l.ticketOf(start)},
		}}
		startBatch.Changes = append(startBatch.Changes, change)
		next.changes = append(next.changes, &pendingChange{change: change})
	}
	l.assumed.ApplyBatch(startBatch)
	next.message.Changes = append(next.message.Changes, startBatch.Changes...)
}

func (l *leadership) planInput(view jobs.View) dispatch.Input {
	now := l.server.now()
	return dispatch.Input{
		UnixMS:  l.server.config.UnixTime().UnixMilli(),
		PerCore: l.knowledge.Disturbance.PerCore, Durations: l.knowledge.Durations, Works: l.knowledge.Works,
		Age:     func(job *jobs.Job) time.Duration { return l.jobAge(job, now) },
		Workers: l.dispatchWorkers(view, now),
		Behind:  func(run jobs.RunID) bool { return l.behind(view, run, now) },
		Tickets: func(queue *api.JobQueue, group jobs.GroupID) (map[string]string, bool) {
			return l.ticketsFor(view, queue, group)
		},
	}
}

// propose hands the batch to the log. A batch that can't be proposed ends the
// leadership's assumed state, and with it the leadership's work.
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
		l.resetAssumed()
		return nil
	}
	next.proposed = l.server.now()
	return next
}

// resetAssumed drops what was assumed, after a batch whose commit is not known.
func (l *leadership) resetAssumed() {
	l.assumed = l.server.config.State.Clone()
}

func (b *batch) fail(err error) {
	for _, p := range b.changes {
		p.finish(err)
	}
}
