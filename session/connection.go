package session

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/fault"
	"amaranthpaddle/timing"
)

const (
	heartbeatInterval = 2 * time.Second // until the leader sets another one
	heartbeatJitter   = 0.2             // fraction of an interval or delay, in both directions
	answerTimeout     = 2 * time.Second // for the directive that answers a report, before the connection is closed
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 1 * time.Second
)

// connectLoop opens one session after the other, with the leader if it is known.
func (s *Session) connectLoop(ctx context.Context) {
	delay := minReconnectDelay
	for next := rand.IntN(max(len(s.config.ControlAddresses), 1)); ctx.Err() == nil; next++ {
		began := time.Now()
		err := s.runSession(ctx, s.chooseAddress(next))
		if ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("Session ended", "vm", s.config.VM.Id, "error", err)
		if time.Since(began) > maxReconnectDelay {
			delay = minReconnectDelay
		}
		timing.Sleep(ctx, timing.Jitter(delay, heartbeatJitter))
		delay = min(2*delay, maxReconnectDelay)
	}
}

// chooseAddress returns the leader's address if a replica has named it, otherwise
// the next replica in rotation.
func (s *Session) chooseAddress(next int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leader := s.leader; leader != "" {
		s.leader = ""
		return leader
	}
	return s.config.ControlAddresses[next%len(s.config.ControlAddresses)]
}

func (s *Session) runSession(ctx context.Context, address string) error {
	connection, err := s.config.Security.Dial(address)
	if err != nil {
		return err
	}
	defer connection.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := api.NewControlClient(connection).Session(ctx)
	if err != nil {
		return fault.FromStatus(err)
	}
	s.beginSession()
	received := make(chan error, 1)
	go func() { received <- s.receiveLoop(stream) }()
	sendErr := s.sendLoop(ctx, stream, received)
	cancel()
	if sendErr != nil {
		return sendErr
	}
	return nil
}

func (s *Session) beginSession() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outbox.reset()
	// The leader of the new session sends the starts that are still valid.
	clear(s.starts)
	s.helloNeeded = true
	s.unansweredSince = time.Time{}
}

func (s *Session) receiveLoop(stream grpc.BidiStreamingClient[api.AgentReport, api.Directive]) error {
	for {
		directive, err := stream.Recv()
		if err != nil {
			s.recordLeader(stream)
			return fault.FromStatus(err)
		}
		s.handleDirective(directive)
		if s.config.OnDirective != nil {
			s.config.OnDirective(directive)
		}
	}
}

func (s *Session) recordLeader(stream grpc.ClientStream) {
	values := stream.Trailer().Get(controlclient.LeaderTrailer)
	if len(values) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = values[0]
}

// sendLoop sends a report at each heartbeat and whenever something has changed.
func (s *Session) sendLoop(
	ctx context.Context,
	stream grpc.BidiStreamingClient[api.AgentReport, api.Directive],
	received <-chan error,
) error {
	var due time.Time // when the next report is due
	for {
		now := time.Now()
		if s.answerOverdue(now) {
			return fault.New(fault.ConnectionLost, "the control replica is silent")
		}
		if !now.Before(due) {
			due = now.Add(timing.Jitter(s.reportInterval(), heartbeatJitter))
			if report := s.nextReport(now); report != nil {
				if err := stream.Send(report); err != nil {
					return <-received
				}
			}
		}
		timer := time.NewTimer(s.untilNextCheck(now, due))
		select {
		case <-timer.C:
		case <-s.reportDue:
			due = time.Time{}
		case <-s.announcementChanged():
			due = time.Time{}
		case err := <-received:
			timer.Stop()
			return err
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// answerOverdue reports whether a report has gone unanswered for longer than
// answerTimeout. The connection or its replica may have failed while others work;
// another one must be tried before the VM's lease expires.
func (s *Session) answerOverdue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= answerTimeout
}

// reportInterval returns the current interval between reports.
func (s *Session) reportInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeat
}

// untilNextCheck returns the time until the next report is due or an earlier
// report's answer is overdue, whichever comes first.
func (s *Session) untilNextCheck(now, due time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unansweredSince.IsZero() {
		return due.Sub(now)
	}
	return min(due.Sub(now), s.unansweredSince.Add(answerTimeout).Sub(now))
}

// announcementChanged returns the change channel that was obtained before the
// announcement was last read, so that no change in between is missed.
func (s *Session) announcementChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announcementStale
}
