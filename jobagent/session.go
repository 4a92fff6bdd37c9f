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

// Times of the session with the leader.
const (
	reportInterval = time.Second            // a quarter of the shortest lease
	reportSpacing  = 4 * time.Millisecond   // in which ends gather
	answerTimeout  = 900 * time.Millisecond // of a report, before another replica is tried; longer than a commit and an election's vote
	minRedial      = 30 * time.Millisecond
	maxRedial      = 500 * time.Millisecond
)

// runSessions keeps a session with the leader, wherever it is.
func (a *Agent) runSessions(ctx context.Context) {
	backoff := timing.NewBackoff(minRedial, maxRedial)
	for stream := int64(1); ctx.Err() == nil; stream++ {
		answered, err := a.session(ctx, stream)
		if ctx.Err() != nil {
			return
		}
		if answered {
			klog.InfoS("Leader lost", "error", err)
			backoff.Reset()
		}
		if !timing.Sleep(ctx, backoff.Next()) {
			return
		}
	}
}

// link is one stream to a replica that may lead.
type link struct {
	agent  *Agent
	number int64
	cancel context.CancelFunc
	stream api.Jobs_DriveClient
	silent *time.Timer // cancels the stream while a report waits too long

	sequence int64
	sent     map[int64]time.Time // of reports that are not answered
	answered bool
}

// session runs one stream until it ends, and reports whether a leader answered.
func (a *Agent) session(ctx context.Context, number int64) (bool, error) {
	address := a.config.Control.Target()
	connection, err := a.config.Control.Connection(address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &link{agent: a, number: number, cancel: cancel, sent: map[int64]time.Time{}}
	l.silent = time.AfterFunc(answerTimeout, cancel)
	defer l.silent.Stop()
	l.stream, err = api.NewJobsClient(connection).Drive(ctx)
	var trailer metadata.MD
	if err == nil {
		err = l.serve(ctx)
		trailer = l.stream.Trailer()
	}
	err = fault.FromStatus(err)
	if fault.Is(err, fault.Canceled) {
		err = fault.Wrap(fault.DeadlineUnknown, err, "the replica did not answer in time")
	}
	a.config.Control.Note(address, trailer, err)
	return l.answered, err
}

// serve sends reports and takes in directives.
func (l *link) serve(ctx context.Context) error {
	if err := l.send(); err != nil {
		return err
	}
	received := make(chan error, 1)
	go func() { received <- l.receive() }()
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-received:
			return err
		case <-ctx.Done():
			return <-received
		case <-ticker.C:
		case <-l.agent.notify:
			if !timing.Sleep(ctx, reportSpacing) {
				return <-received
			}
		}
		if err := l.send(); err != nil {
			return <-received // it has the stream's own error
		}
	}
}

func (l *link) send() error {
	a := l.agent
	a.mu.Lock()
	l.sequence++
	report := a.report(l.sequence, l.number)
	if len(l.sent) == 0 {
		l.silent.Reset(answerTimeout)
	}
	l.sent[l.sequence] = a.config.Clock()
	a.mu.Unlock()
	return l.stream.Send(report)
}

func (l *link) receive() error {
	for {
		directive, err := l.stream.Recv()
		if err != nil {
			return err
		}
		if err := l.take(directive); err != nil {
			l.cancel()
			return err
		}
	}
}

// take takes in a directive. One of an earlier leader ends the session.
func (l *link) take(d *api.WorkerDirective) error {
	a := l.agent
	a.config.Control.SetAddresses(d.Members)
	a.mu.Lock()
	defer a.mu.Unlock()
	if d.Term < a.term {
		return fault.Newf(fault.NotLeader, "term %d is over, %d is in force", d.Term, a.term)
	}
	if !l.answered {
		klog.InfoS("Leader found", "term", d.Term)
	}
	l.answered = true
	a.term = d.Term
	if d.LeaseMs > 0 {
		a.healthPath = d.HealthPath
	}
	l.noteAnswer(d)
	for _, cost := range d.Costs {
		a.costs.Set(dispatch.KnownOf(cost))
	}
	if w := a.current; w != nil && d.Worker == w.key {
		w.obey(d)
	}
	return nil
}

// noteAnswer extends the lease from when the answered report was sent.
func (l *link) noteAnswer(d *api.WorkerDirective) {
	a := l.agent
	sent, known := l.sent[d.Acknowledged]
	for sequence := range l.sent {
		if sequence <= d.Acknowledged {
			delete(l.sent, sequence)
		}
	}
	l.silent.Stop()
	if len(l.sent) > 0 {
		l.silent.Reset(answerTimeout)
	}
	if known && d.LeaseMs > 0 {
		a.leaseUntil = later(a.leaseUntil, sent.Add(time.Duration(d.LeaseMs)*time.Millisecond))
	}
}

// obey carries out a directive. The lock is held.
func (w *incarnation) obey(d *api.WorkerDirective) {
	for _, ref := range d.Recorded {
		w.noteRecorded(jobs.RunOf(ref))
	}
	for _, order := range d.Starts {
		w.begin(order)
	}
	if d.ExpectedListed {
		w.reconcile(d.Expected)
	}
	for _, ref := range d.Stops {
		id := jobs.RunOf(ref)
		if w.ends[id] != nil {
			continue // it has ended, which the leader will hear
		}
		if w.runs[id] == nil {
			w.runs[id] = &run{phase: runFencing}
		}
		w.stop(id)
	}
}
