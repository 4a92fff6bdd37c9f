package jobagent

import (
	"context"
	"time"

	"google.golang.org/grpc/metadata"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/timing"
)

// Intervals, timeouts and delays of the session with the leader.
const (
	reportInterval    = time.Second            // a quarter of the shortest lease
	reportBatchDelay  = 4 * time.Millisecond   // collects ended runs into one report
	answerTimeout     = 900 * time.Millisecond // for a report, before another replica is tried; longer than a commit and an election's vote
	minReconnectDelay = 30 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
	reconnectJitter   = 0.5                    // fraction of a delay, in both directions
	otherReplicaDelay = 150 * time.Millisecond // before the other replicas are tried beside the one that is said to lead; about twice a round trip between regions
)

// runSessions opens one session after the other with the control replica that leads.
func (a *Agent) runSessions(ctx context.Context) {
	for lost := ""; ctx.Err() == nil; {
		s := a.findLeader(ctx, lost)
		if s == nil {
			return
		}
		err := s.serve(ctx)
		trailer := s.trailer()
		s.close()
		if ctx.Err() != nil {
			return
		}
		klog.InfoS("Session with the leader ended", "error", err)
		lost = s.address
		a.config.Control.Note(s.address, trailer, sessionError(err))
		if !timing.Sleep(ctx, timing.Jitter(minReconnectDelay, reconnectJitter)) {
			return
		}
	}
}

// leaderSession is one stream to a control replica that may be the leader.
// sequence, sentAt and established are guarded by Agent.mu while the stream is open.
type leaderSession struct {
	agent       *Agent
	id          int64
	address     string
	cancel      context.CancelFunc
	stream      api.Jobs_DriveClient
	answerTimer *time.Timer // cancels the stream when a report goes unanswered for too long
	detach      func() bool // lets the session outlive the search for the leader
	first       *api.WorkerDirective
	ended       bool // the stream has returned an error

	sequence    int64
	sentAt      map[int64]time.Time // send times of unanswered reports, by sequence
	established bool
}

// openSession opens a stream to a replica and returns a session once the replica has
// answered the first report as the leader. The session ends with search until detach
// is called. The trailer of a refusal may name the leader. lost is the address of the
// leader whose session was lost: a replica does not refuse for the sake of that one.
func (a *Agent) openSession(search context.Context, address, lost string) (s *leaderSession, trailer metadata.MD, err error) {
	connection, err := a.config.Control.Connection(address)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(a.ctx)
	if lost != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, controlclient.LostLeaderHeader, lost)
	}
	s = &leaderSession{agent: a, address: address, cancel: cancel, detach: context.AfterFunc(search, cancel), sentAt: map[int64]time.Time{}}
	s.answerTimer = time.AfterFunc(answerTimeout, cancel)
	s.stream, err = api.NewJobsClient(connection).Drive(ctx)
	if err == nil {
		err = s.openWithReport()
		trailer = s.trailer()
	}
	if err != nil {
		s.close()
		return nil, trailer, sessionError(err)
	}
	return s, nil, nil
}

// openWithReport sends the first report and waits for the directive that answers it.
func (s *leaderSession) openWithReport() error {
	a := s.agent
	a.mu.Lock()
	a.sessions++
	s.id = a.sessions
	a.mu.Unlock()
	sendErr := s.send()
	directive, err := s.recv() // holds the stream's actual error if the report was not sent
	if err == nil {
		err = sendErr
	}
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s.first = directive
	return a.checkTerm(directive.Term)
}

func (s *leaderSession) recv() (*api.WorkerDirective, error) {
	directive, err := s.stream.Recv()
	s.ended = err != nil
	return directive, err
}

// trailer returns the trailer of a stream that the replica has ended, nil otherwise.
func (s *leaderSession) trailer() metadata.MD {
	if !s.ended {
		return nil
	}
	return s.stream.Trailer()
}

func (s *leaderSession) close() {
	s.detach()
	s.answerTimer.Stop()
	s.cancel()
}

// sessionError returns the error of a session with its kind. A stream that the agent
// canceled had no answer in time.
func sessionError(err error) error {
	err = fault.FromStatus(err)
	if fault.Is(err, fault.Canceled) {
		return fault.Wrap(fault.DeadlineUnknown, err, "the replica did not answer in time")
	}
	return err
}

// checkTerm returns fault.NotLeader for a term that has ended. Agent.mu must be held.
func (a *Agent) checkTerm(term uint64) error {
	if term < a.term {
		return fault.Newf(fault.NotLeader, "term %d has ended, the current term is %d", term, a.term)
	}
	return nil
}

// serve handles directives and sends reports until the stream ends.
func (s *leaderSession) serve(ctx context.Context) error {
	if err := s.handleDirective(s.first); err != nil {
		return err
	}
	received := make(chan error, 1)
	go func() { received <- s.receive() }()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-received:
			return err
		case <-ctx.Done():
			s.cancel()
			return <-received
		case <-ticker.C:
		case <-s.agent.notify:
			if !timing.Sleep(ctx, reportBatchDelay) {
				s.cancel()
				return <-received
			}
		}
		if err := s.send(); err != nil {
			return <-received // holds the stream's actual error
		}
	}
}

func (s *leaderSession) send() error {
	a := s.agent
	a.mu.Lock()
	s.sequence++
	report := a.buildReport(s.sequence, s.id)
	if len(s.sentAt) == 0 {
		s.answerTimer.Reset(answerTimeout)
	}
	s.sentAt[s.sequence] = a.config.Clock()
	a.mu.Unlock()
	return s.stream.Send(report)
}

func (s *leaderSession) receive() error {
	for {
		directive, err := s.recv()
		if err != nil {
			return err
		}
		if err := s.handleDirective(directive); err != nil {
			s.cancel()
			return err
		}
	}
}

// handleDirective applies a directive. A directive of an earlier leader ends the
// session.
func (s *leaderSession) handleDirective(d *api.WorkerDirective) error {
	a := s.agent
	a.config.Control.SetAddresses(d.Members)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkTerm(d.Term); err != nil {
		return err
	}
	if !s.established {
		klog.InfoS("Session with the leader established", "term", d.Term)
	}
	s.established = true
	if w := a.current; w != nil && d.Term != a.term {
		w.kept = nil // this leader sends its own; one of an earlier build sends none
	}
	a.term = d.Term
	if d.LeaseMs > 0 {
		a.healthPath = d.HealthPath
	}
	s.handleAck(d)
	for _, cost := range d.Costs {
		a.costs.Set(dispatch.PairCostOf(cost))
	}
	if w := a.current; w != nil && d.Worker == w.key {
		w.applyDirective(d)
	}
	return nil
}

// handleAck extends the lease of the incarnation that the directive names, counted from
// when the acknowledged report was sent. The leader counts a lease for that incarnation
// only, so no other one may use it. Agent.mu must be held.
func (s *leaderSession) handleAck(d *api.WorkerDirective) {
	a := s.agent
	sent, known := s.sentAt[d.Acknowledged]
	for sequence := range s.sentAt {
		if sequence <= d.Acknowledged {
			delete(s.sentAt, sequence)
		}
	}
	s.answerTimer.Stop()
	if len(s.sentAt) > 0 {
		s.answerTimer.Reset(answerTimeout)
	}
	if w := a.current; known && d.LeaseMs > 0 && w != nil && d.Worker == w.key {
		w.leaseUntil = later(w.leaseUntil, sent.Add(time.Duration(d.LeaseMs)*time.Millisecond))
	}
}

// applyDirective carries out what a directive orders for this incarnation.
// Agent.mu must be held.
func (w *incarnation) applyDirective(d *api.WorkerDirective) {
	for _, ref := range d.Recorded {
		w.markRecorded(jobs.RunIDOf(ref))
	}
	if d.KeptListed {
		w.setKept(d.KeptAtWork)
	}
	for _, order := range d.Starts {
		w.acceptStart(order)
	}
	if d.ExpectedListed {
		w.reconcileWithLeader(d.Expected)
		w.describeRuns(d.Described)
	}
	for _, ref := range d.Stops {
		id := jobs.RunIDOf(ref)
		if w.ends[id] != nil {
			continue // it has already ended, which the next report tells the leader
		}
		if w.runs[id] == nil {
			w.runs[id] = &run{phase: runFencing}
		}
		w.stopRun(id)
	}
}
