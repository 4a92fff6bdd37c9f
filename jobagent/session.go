package jobagent

import (
	"context"
	"time"

	"google.golang.org/grpc/metadata"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
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
)

// runSessions opens one session after the other, trying the control replicas
// until one of them leads.
func (a *Agent) runSessions(ctx context.Context) {
	backoff := timing.NewBackoff(minReconnectDelay, maxReconnectDelay)
	for id := int64(1); ctx.Err() == nil; id++ {
		answered, err := a.runSession(ctx, id)
		if ctx.Err() != nil {
			return
		}
		if answered {
			klog.InfoS("Session with the leader ended", "error", err)
			backoff.Reset()
		}
		if !timing.Sleep(ctx, backoff.Next()) {
			return
		}
	}
}

// leaderSession is one stream to a control replica that may be the leader.
// sequence, sentAt and answered are guarded by Agent.mu while the stream is open.
type leaderSession struct {
	agent       *Agent
	id          int64
	cancel      context.CancelFunc
	stream      api.Jobs_DriveClient
	answerTimer *time.Timer // cancels the stream when a report goes unanswered for too long

	sequence int64
	sentAt   map[int64]time.Time // send times of unanswered reports, by sequence
	answered bool
}

// runSession runs one session until it ends, and reports whether a leader answered.
func (a *Agent) runSession(ctx context.Context, id int64) (bool, error) {
	address := a.config.Control.Target()
	connection, err := a.config.Control.Connection(address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &leaderSession{agent: a, id: id, cancel: cancel, sentAt: map[int64]time.Time{}}
	s.answerTimer = time.AfterFunc(answerTimeout, cancel)
	defer s.answerTimer.Stop()
	s.stream, err = api.NewJobsClient(connection).Drive(ctx)
	var trailer metadata.MD
	if err == nil {
		err = s.serve(ctx)
		trailer = s.stream.Trailer()
	}
	err = fault.FromStatus(err)
	if fault.Is(err, fault.Canceled) {
		err = fault.Wrap(fault.DeadlineUnknown, err, "the replica did not answer in time")
	}
	a.config.Control.Note(address, trailer, err)
	return s.answered, err
}

// serve sends reports and handles directives until the stream ends.
func (s *leaderSession) serve(ctx context.Context) error {
	if err := s.send(); err != nil {
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
			return <-received
		case <-ticker.C:
		case <-s.agent.notify:
			if !timing.Sleep(ctx, reportBatchDelay) {
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
		directive, err := s.stream.Recv()
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
	if d.Term < a.term {
		return fault.Newf(fault.NotLeader, "term %d has ended, the current term is %d", d.Term, a.term)
	}
	if !s.answered {
		klog.InfoS("Session with the leader established", "term", d.Term)
	}
	s.answered = true
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

// handleAck extends the lease, counted from when the acknowledged report was
// sent. Agent.mu must be held.
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
	if known && d.LeaseMs > 0 {
		a.leaseUntil = later(a.leaseUntil, sent.Add(time.Duration(d.LeaseMs)*time.Millisecond))
	}
}

// applyDirective carries out what a directive orders for this incarnation.
// Agent.mu must be held.
func (w *incarnation) applyDirective(d *api.WorkerDirective) {
	for _, ref := range d.Recorded {
		w.markRecorded(jobs.RunIDOf(ref))
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
