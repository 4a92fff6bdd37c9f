package jobcontrol

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/transport"
)

// session is the leader's end of one agent's stream. Its fields are guarded by
// leadership.mu.
type session struct {
	lead   *leadership
	agent  string
	key    string // of the worker's incarnation, empty before one has registered
	cancel context.CancelFunc
	notify chan struct{}

	receivedSeq  int64     // sequence of the latest report
	receivedAt   time.Time // when that report arrived
	answeredSeq  int64     // sequence of the latest report that was answered
	sendKept     bool      // the next directive must list the runs that are kept at work
	sendExpected bool      // the next directive must list the runs that the leader counts on the worker
	starts       []*api.RunOrder
	stops        []*api.RunRef
	stopSentAt   map[jobs.RunID]time.Time
	recorded     []*api.RunRef
	sentCosts    map[dispatch.Pair]float64 // pair costs as last sent
}

// stopResendDelay is the time after which a stop without a reported effect is
// ordered again.
const stopResendDelay = time.Second

// Drive serves the session of one agent. A replica that does not lead refuses it
// and sends the leader's address in the trailer.
func (s *Server) Drive(stream grpc.BidiStreamingServer[api.WorkerReport, api.WorkerDirective]) error {
	err := s.drive(stream)
	if fault.Is(err, fault.NotLeader) {
		stream.SetTrailer(s.leaderTrailer())
	}
	return fault.ToStatus(err)
}

func (s *Server) drive(stream grpc.BidiStreamingServer[api.WorkerReport, api.WorkerDirective]) error {
	lead, err := s.awaitLeadership(stream.Context(), lostLeader(stream.Context()))
	if err != nil {
		return err
	}
	report, err := stream.Recv()
	if err != nil {
		return fault.Wrap(fault.Canceled, err, "first report")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	session := lead.openSession(report.Agent, cancel)
	defer lead.closeSession(session)
	if err := lead.tryReport(session, report); err != nil {
		return err
	}
	go func() {
		defer cancel()
		for {
			report, err := stream.Recv()
			if err != nil {
				klog.V(1).InfoS("Session stream ended", "agent", session.agent, "error", err)
				return
			}
			if lead.tryReport(session, report) != nil {
				return
			}
		}
	}()
	return lead.sendDirectives(ctx, session, stream)
}

// tryReport handles a report. A panic ends the session alone: the agent opens another
// one and reports its worker's whole state again.
func (l *leadership) tryReport(session *session, report *api.WorkerReport) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = transport.LogPanic("report of "+session.agent, panicked)
		}
	}()
	l.handleReport(session, report)
	return nil
}

// openSession adds a session and cancels an earlier one of the same agent.
func (l *leadership) openSession(agent string, cancel context.CancelFunc) *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if earlier := l.sessions[agent]; earlier != nil {
		earlier.cancel()
	}
	session := &session{
		lead: l, agent: agent, cancel: cancel, notify: make(chan struct{}, 1),
		stopSentAt: map[jobs.RunID]time.Time{}, sentCosts: map[dispatch.Pair]float64{},
	}
	l.sessions[agent] = session
	setFirst(&l.recovery.session, l.server.now())
	klog.InfoS("Agent session started", "agent", agent, "term", l.term)
	return session
}

func (l *leadership) closeSession(session *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions[session.agent] == session {
		delete(l.sessions, session.agent)
		klog.InfoS("Agent session ended", "agent", session.agent, "worker", session.key, "term", l.term)
	}
}

// handleReport updates the soft state with an agent's report and queues the ends in
// it. Reports of a replaced session are ignored.
func (l *leadership) handleReport(session *session, report *api.WorkerReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions[session.agent] != session {
		return // a later session has replaced this one
	}
	session.receivedSeq = report.Sequence
	session.receivedAt = l.server.now()
	defer session.signal()
	if report.Worker == nil {
		if session.key != "" {
			klog.InfoS("Worker has started anew and has listed no runs yet", "agent", session.agent, "worker", session.key)
			session.rebind("") // the lease of the earlier incarnation is extended no more
		}
		return
	}
	l.recordCrashes(session.agent, report.Crashes)
	view := l.updateWorker(session.agent, report)
	if view == nil {
		return
	}
	if session.key != view.key {
		session.rebind(view.key)
	}
	if report.RunsListed {
		l.recovery.listed(view.key, l.server.now())
		view.setRuns(report.Runs)
		l.stopUnbooked(session, view)
		for run, status := range view.runs {
			if hasBegun(status) {
				l.recordBegun(run)
			}
		}
		l.updateProgress(view, report)
		l.notePaces(view)
		view.sample = l.sampleWorker(view)
		l.knowledge.Interference.Learn(view.key, view.sample)
	}
	for _, end := range report.Ends {
		l.handleReportedEnd(session, view, end)
	}
	l.signal()
}

func (v *workerView) setRuns(list []*api.RunStatus) {
	v.runs = make(map[jobs.RunID]*api.RunStatus, len(list))
	for _, status := range list {
		v.runs[jobs.RunIDOf(status.Run)] = status
	}
}

// rebind turns the session to another incarnation of the agent's worker, empty for one
// that is not known yet, or to one whose runs are lost. What is queued was decided before.
func (s *session) rebind(key string) {
	s.key, s.sendExpected, s.sendKept = key, true, true
	s.starts, s.stops, s.recorded = nil, nil, nil
	clear(s.stopSentAt)
}

// handleReportedEnd queues the end of a run, and that it had begun. If the committed state
// does not have the run, the end is acknowledged at once: it was recorded before, or the
// run was lost. The lock is held.
func (l *leadership) handleReportedEnd(session *session, view *workerView, end *api.WorkerEnd) {
	run := jobs.RunIDOf(end.Run)
	if end.Begun {
		l.recordBegun(run)
	}
	var queue string
	var task *api.TaskGroup // nil when the committed state does not have the run
	l.server.config.State.Read(func(state jobs.View) {
		if job, group, _ := state.Run(run); job != nil {
			queue, task = job.QueueKey, group.Spec
		}
	})
	if task == nil {
		session.queueRecorded(run)
		return
	}
	key := l.carriedKey(view.key, run)
	if l.queue.hasEnd(run, key) {
		return
	}
	var assumed bool
	l.assumed.Read(func(state jobs.View) {
		_, _, task := state.Run(run)
		assumed = task != nil
	})
	if !assumed {
		return // its end is proposed already
	}
	l.learnDrainRate(queue, task, end.Outcome)
	l.spreadLateEnd(run)
	l.add(endChange(run, key, end.Outcome, end.Checkpoint, end.CrashEvidence))
	if end.Reason != "" && end.Outcome != api.RunOutcome_RUN_OUTCOME_DONE {
		l.standstills.noteReason(run, end.Reason)
		klog.InfoS("Run end reported", "job", run.Task.Job, "run", run.String(), "worker", view.key,
			"outcome", jobs.OutcomeName(end.Outcome), "reason", end.Reason)
	}
}

// sessionOfWorker returns the session of the agent of a worker's incarnation, nil
// when it has none. The lock is held.
func (l *leadership) sessionOfWorker(key string) *session {
	view := l.viewOf(key)
	if view == nil {
		return nil
	}
	if session := l.sessions[view.agent]; session != nil && session.key == key {
		return session
	}
	return nil
}

func (s *session) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// queueStart queues the order to start a committed run. The lock is held.
func (s *session) queueStart(state *jobs.State, run jobs.RunID, start *api.StartRun) {
	state.Read(func(view jobs.View) {
		job, group, task := view.Run(run)
		if job == nil || job.Phase.Ended() {
			return
		}
		order := describeRun(run, group)
		order.Payload, order.Checkpoint, order.Ticket = job.Spec.Payload, task.Checkpoint, start.Ticket
		order.Probation = task.OnProbation()
		s.starts = append(s.starts, order)
	})
	s.signal()
}

func (s *session) queueRecorded(run jobs.RunID) {
	s.recorded = append(s.recorded, run.Ref())
	delete(s.stopSentAt, run)
	s.signal()
}

// queueStops queues stops for runs whose job has ended, whose task was done by
// another run, whose gang has lost a member, that are to be moved, or that are carried.
// The lock is held.
func (l *leadership) queueStops() {
	now := l.server.now()
	l.stopCarried(now)
	l.server.config.State.Read(func(view jobs.View) {
		for _, session := range l.sessions {
			view.RunsOn(session.key, func(run jobs.RunID, _ *jobs.Group) {
				job, group, task := view.Run(run)
				if job != nil && (job.Phase.Ended() || task.Done || group.Broken(run.Number) || l.movingRuns[run]) {
					session.queueStop(run, now)
				}
			})
		}
	})
}

func (s *session) queueStop(run jobs.RunID, now time.Time) {
	if sent, known := s.stopSentAt[run]; known && now.Sub(sent) < stopResendDelay {
		return
	}
	s.stopSentAt[run] = now
	s.stops = append(s.stops, run.Ref())
	klog.InfoS("Stop ordered", "job", run.Task.Job, "run", run.String(), "worker", s.key)
	s.signal()
}
