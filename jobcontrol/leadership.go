package jobcontrol

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// leadership is what the leader of one term knows beyond the replicated state.
type leadership struct {
	server *Server
	ctx    context.Context
	cancel context.CancelFunc
	term   uint64
	since  time.Time
	wake   chan struct{} // a round has something to do
	sent   chan *batch   // batches that wait for their commit, in order

	mu       sync.Mutex
	assumed  *jobs.State
	pending  []*pendingChange
	workers  map[string]*workerView // latest incarnation by worker id
	sessions map[string]*session    // by agent
	first    map[string]time.Time   // when a job that has not ended was first seen
	started  map[string]bool        // jobs that have not ended and of which a task has started

	knowledge  dispatch.Knowledge
	learntAt   time.Time                // when it was last put into the log
	learntSent int64                    // version of the pair costs that were
	began      map[jobs.RunID]time.Time // of runs that were placed under this leadership

	health *dispatch.Health
	advice map[jobs.GroupID]*advice
	asking sync.Mutex // held for a question to the adviser; taken without mu

	joiners joiners
}

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

func newLeadership(ctx context.Context, cancel context.CancelFunc, server *Server, term uint64) *leadership {
	l := &leadership{
		server: server, ctx: ctx, cancel: cancel, term: term, since: server.now(),
		wake: make(chan struct{}, 1),
		sent: make(chan *batch, maxInFlight),

		assumed:  server.config.State.Clone(),
		workers:  map[string]*workerView{},
		sessions: map[string]*session{},
		first:    map[string]time.Time{},
		started:  map[string]bool{},

		began:  map[jobs.RunID]time.Time{},
		health: dispatch.NewHealth(),
		advice: map[jobs.GroupID]*advice{},

		joiners: joiners{list: map[uint64]joiner{}},
	}
	l.assumed.Read(func(view jobs.View) { l.knowledge = dispatch.NewKnowledge(view.Learnt()) })
	l.dateJobs()
	return l
}

// dateJobs notes the age of the jobs of earlier leaders, as far as the log's
// clock tells it.
func (l *leadership) dateJobs() {
	l.assumed.Read(func(view jobs.View) {
		view.ActiveJobs(func(job *jobs.Job) {
			age := time.Duration(view.NowMS()-job.SubmittedMS) * time.Millisecond
			l.first[job.ID] = l.since.Add(-max(age, 0))
		})
	})
}

func (l *leadership) activeJobs() int {
	n := 0
	l.assumed.Read(func(view jobs.View) { view.ActiveJobs(func(*jobs.Job) { n++ }) })
	return n
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
	idle := time.NewTicker(idleRound)
	defer idle.Stop()
	defer close(l.sent)
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wake:
		case <-idle.C:
		}
		gather := time.NewTimer(gatherTime)
		select {
		case <-l.ctx.Done():
			gather.Stop()
			return
		case <-gather.C:
		}
		next := l.round()
		if next == nil {
			continue
		}
		select {
		case l.sent <- next:
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
	l.loseWorkers()
	l.keepLearnt()
	next := &batch{message: &api.JobBatch{
		NowUnixMs: l.server.config.UnixTime().UnixMilli(),
		RetainMs:  l.server.config.Retain.Milliseconds(),
	}}
	taken := min(len(l.pending), maxBatchChanges)
	next.changes = append(next.changes, l.pending[:taken]...)
	l.pending = l.pending[taken:]
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

// learntInterval is the pause between entries of what was learnt: a kilobyte
// each, and as much is learnt anew within that time.
const learntInterval = 3 * time.Second

// keepLearnt puts what was learnt into the log, for a later leader. The lock is held.
func (l *leadership) keepLearnt() {
	now, version := l.server.now(), l.knowledge.Disturbance.Version()
	if version == l.learntSent || now.Sub(l.learntAt) < learntInterval {
		return
	}
	l.learntAt, l.learntSent = now, version
	l.add(&api.JobChange{Body: &api.JobChange_Learnt{Learnt: l.knowledge.Learnt()}})
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
	part := &api.JobBatch{NowUnixMs: next.message.NowUnixMs}
	for _, start := range starts {
		change := &api.JobChange{Body: &api.JobChange_Start{
			Start: &api.StartRun{Run: start.Run.Ref(), Worker: start.Worker, Ticket: l.ticketOf(start)},
		}}
		part.Changes = append(part.Changes, change)
		next.changes = append(next.changes, &pendingChange{change: change})
	}
	l.assumed.ApplyBatch(part)
	next.message.Changes = append(next.message.Changes, part.Changes...)
}

func (l *leadership) planInput(view jobs.View) dispatch.Input {
	now := l.server.now()
	return dispatch.Input{
		UnixMS:  l.server.config.UnixTime().UnixMilli(),
		PerCore: l.knowledge.Disturbance.PerCore, Durations: l.knowledge.Durations, Works: l.knowledge.Works,
		Age:     func(job *jobs.Job) time.Duration { return l.age(job, now) },
		Workers: l.dispatchWorkers(view, now),
		Tickets: func(queue *api.JobQueue, group jobs.GroupID) (map[string]string, bool) {
			return l.ticketsFor(view, queue, group)
		},
	}
}

func (l *leadership) age(job *jobs.Job, now time.Time) time.Duration {
	first, known := l.first[job.ID]
	if !known {
		first = now
		l.first[job.ID] = now
	}
	return now.Sub(first)
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
		l.abandon()
		return nil
	}
	next.proposed = l.server.now()
	return next
}

// abandon drops what was assumed, after a batch whose commit is not known.
func (l *leadership) abandon() {
	l.assumed = l.server.config.State.Clone()
}

func (b *batch) fail(err error) {
	for _, p := range b.changes {
		p.finish(err)
	}
}

// completeBatches waits for the commits, in order, and tells who waits for them.
func (l *leadership) completeBatches() {
	for b := range l.sent {
		ctx, cancel := context.WithTimeout(l.ctx, commitTimeout)
		data, err := b.wait(ctx)
		cancel()
		result := &api.JobBatchResult{}
		if err == nil {
			err = fault.Wrap(fault.Internal, proto.Unmarshal(data, result), "decode results")
		}
		if err == nil && len(result.Results) != len(b.changes) {
			err = fault.New(fault.Internal, "the results do not match the changes")
		}
		if err != nil {
			klog.ErrorS(err, "Batch not committed", "changes", len(b.changes))
			b.fail(err)
			l.mu.Lock()
			l.abandon()
			l.mu.Unlock()
			continue
		}
		l.complete(b, result)
	}
}

// complete passes the results on: to the callers that wait, and to the agents.
func (l *leadership) complete(b *batch, result *api.JobBatchResult) {
	telemetry.JobBatchSeconds.Observe(l.server.now().Sub(b.proposed))
	l.mu.Lock()
	for i, p := range b.changes {
		l.note(p.change, jobs.ResultError(result.Results[i]))
	}
	l.queueStops()
	l.mu.Unlock()
	for i, p := range b.changes {
		p.finish(jobs.ResultError(result.Results[i]))
	}
	l.signal()
}

// note acts on one committed change.
func (l *leadership) note(change *api.JobChange, err error) {
	switch body := change.Body.(type) {
	case *api.JobChange_Submit:
		l.learnWork(body.Submit, err)
	case *api.JobChange_Cancel:
		l.forgetAge(body.Cancel.Job)
	case *api.JobChange_Start:
		l.noteStart(body.Start, err)
	case *api.JobChange_End:
		l.noteEnd(body.End, err)
	case *api.JobChange_Configure:
		klog.InfoS("Configuration taken", "version", body.Configure.Version,
			"in_force", l.configurationVersion(), "error", err)
	case *api.JobChange_Zone:
		klog.InfoS("Zone order taken", "zone", body.Zone.Zone, "out", body.Zone.Out)
	}
}

// forgetAge drops what is known of a job that has ended. The lock is held.
func (l *leadership) forgetAge(job string) {
	delete(l.first, job)
	delete(l.started, job)
}

// learnWork takes in how much work a submitted job is. The lock is held.
func (l *leadership) learnWork(submit *api.SubmitJob, err error) {
	if err != nil {
		return
	}
	queue := submit.GetKey().GetQueue()
	l.knowledge.Works.Learn(queue, dispatch.Work(submit.Spec, func(group *api.TaskGroup) float64 {
		return l.knowledge.Durations.Expect(queue, group.EstimatedMs)
	}))
}

func (l *leadership) configurationVersion() (version int64) {
	l.server.config.State.Read(func(view jobs.View) { version = view.Configuration().GetVersion() })
	return version
}

func (l *leadership) noteStart(start *api.StartRun, err error) {
	run := jobs.RunOf(start.Run)
	if err != nil {
		klog.InfoS("Start not committed", "run", run.String(), "worker", start.Worker, "error", err)
		return
	}
	l.began[run] = l.server.now()
	l.observeWait(run)
	l.server.config.State.Read(func(view jobs.View) {
		if _, group, task := view.Run(run); group != nil {
			klog.InfoS("Run placed", "job", run.Task.Job, "run", run.String(), "worker", start.Worker, "term", l.term,
				"group", jobs.GroupShape(group.Spec), "from_checkpoint", task.Checkpoint != "", "failures", task.Failures)
		}
	})
	if session := l.sessionOf(start.Worker); session != nil {
		session.queueStart(l.server.config.State, run, start)
	}
}

func (l *leadership) noteEnd(end *api.EndRun, err error) {
	run := jobs.RunOf(end.Run)
	if err == nil {
		l.learnDuration(run, end)
		l.learnHealth(end)
	}
	delete(l.began, run)
	phase := "forgotten"
	l.server.config.State.Read(func(view jobs.View) {
		if job := view.Job(run.Task.Job); job != nil {
			phase = job.Phase.String()
			if job.Phase.Ended() {
				l.forgetAge(job.ID)
			}
		}
	})
	telemetry.JobRunsEnded.Add(1, outcomeName(end.Outcome))
	klog.InfoS("Run ended", "job", run.Task.Job, "run", run.String(), "worker", end.Worker,
		"outcome", outcomeName(end.Outcome), "job_state", phase, "stale", err != nil)
	if session := l.sessionOf(end.Worker); session != nil {
		session.queueRecorded(run)
	}
}

// observeWait measures the time from a job's submission to its first start. The
// lock is held.
func (l *leadership) observeWait(run jobs.RunID) {
	first, known := l.first[run.Task.Job]
	if !known || l.started[run.Task.Job] {
		return
	}
	l.started[run.Task.Job] = true
	telemetry.JobWaitSeconds.Observe(l.server.now().Sub(first))
}

// learnDuration takes in how long a run took that was done at full pace and
// from the beginning. The lock is held.
func (l *leadership) learnDuration(run jobs.RunID, end *api.EndRun) {
	began, known := l.began[run]
	if !known || end.Outcome != api.RunOutcome_RUN_OUTCOME_DONE || l.slowed(end.Worker, run) {
		return
	}
	l.assumed.Read(func(view jobs.View) {
		job := view.Job(run.Task.Job)
		if job == nil {
			return
		}
		if group, task := job.Task(run.Task); group != nil && task.LastRun == 1 {
			l.knowledge.Durations.Learn(job.QueueKey, group.Spec.EstimatedMs, l.server.now().Sub(began).Milliseconds())
		}
	})
}

// learnHealth takes in whether the worker ended the run as it should. The lock is held.
func (l *leadership) learnHealth(end *api.EndRun) {
	switch end.Outcome {
	case api.RunOutcome_RUN_OUTCOME_DONE:
		l.health.Learn(end.Worker, false, l.server.now())
	case api.RunOutcome_RUN_OUTCOME_FAILED, api.RunOutcome_RUN_OUTCOME_REFUSED:
		l.health.Learn(end.Worker, true, l.server.now())
	}
}

// slowed reports whether the worker listed the run below full pace.
func (l *leadership) slowed(worker string, run jobs.RunID) bool {
	for _, view := range l.workers {
		if status := view.runs[run]; view.key == worker && status != nil {
			return status.Pace < dispatch.FullPace
		}
	}
	return false
}

var outcomeNames = map[api.RunOutcome]string{
	api.RunOutcome_RUN_OUTCOME_DONE:    "done",
	api.RunOutcome_RUN_OUTCOME_FAILED:  "failed",
	api.RunOutcome_RUN_OUTCOME_STOPPED: "stopped",
	api.RunOutcome_RUN_OUTCOME_LOST:    "lost",
	api.RunOutcome_RUN_OUTCOME_REFUSED: "refused",
}

func outcomeName(outcome api.RunOutcome) string { return outcomeNames[outcome] }
