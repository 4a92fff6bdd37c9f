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
	heartbeatInterval = 2 * time.Second // until the leader names another one
	heartbeatJitter   = 0.2             // of the interval, either way
	answerTimeout     = 2 * time.Second // for a report's directive, after which the connection is given up
	reconnectMin      = 50 * time.Millisecond
	reconnectMax      = 1 * time.Second
)

// connectLoop opens one session after the other, to the leader where it is known.
func (s *Session) connectLoop(ctx context.Context) {
	delay := reconnectMin
	for next := rand.IntN(max(len(s.config.ControlAddresses), 1)); ctx.Err() == nil; next++ {
		began := time.Now()
		err := s.connect(ctx, s.chooseAddress(next))
		if ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("Session ended", "vm", s.config.VM.Id, "error", err)
		if time.Since(began) > reconnectMax {
			delay = reconnectMin
		}
		timing.Sleep(ctx, timing.Jitter(delay, heartbeatJitter))
		delay = min(2*delay, reconnectMax)
	}
}

// chooseAddress takes the leader's address when one was named, else the next in turn.
func (s *Session) chooseAddress(next int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leader := s.leader; leader != "" {
		s.leader = ""
		return leader
	}
	return s.config.ControlAddresses[next%len(s.config.ControlAddresses)]
}

func (s *Session) connect(ctx context.Context, address string) error {
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
	// The leader of the new session sends the starts that still hold.
	clear(s.starts)
	s.helloNeeded = true
	s.waiting = time.Time{}
}

func (s *Session) receiveLoop(stream grpc.BidiStreamingClient[api.AgentReport, api.Directive]) error {
	for {
		directive, err := stream.Recv()
		if err != nil {
			s.noteLeader(stream)
			return fault.FromStatus(err)
		}
		s.takeDirective(directive)
		if s.config.OnDirective != nil {
			s.config.OnDirective(directive)
		}
	}
}

func (s *Session) noteLeader(stream grpc.ClientStream) {
	values := stream.Trailer().Get(controlclient.LeaderTrailer)
	if len(values) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = values[0]
}

// sendLoop sends a report whenever something changed, and at each heartbeat.
func (s *Session) sendLoop(
	ctx context.Context,
	stream grpc.BidiStreamingClient[api.AgentReport, api.Directive],
	received <-chan error,
) error {
	var due time.Time // of the next report
	for {
		now := time.Now()
		if s.silent(now) {
			return fault.New(fault.ConnectionLost, "the control replica is silent")
		}
		if !now.Before(due) {
			due = now.Add(timing.Jitter(s.interval(), heartbeatJitter))
			if report := s.nextReport(now); report != nil {
				if err := stream.Send(report); err != nil {
					return <-received
				}
			}
		}
		timer := time.NewTimer(s.pause(now, due))
		select {
		case <-timer.C:
		case <-s.report:
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

// silent reports whether a report has gone without an answer for so long that
// the connection, or the replica behind it, may be dead while others work. The
// VM's lease must not run out meanwhile.
func (s *Session) silent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.waiting.IsZero() && now.Sub(s.waiting) >= answerTimeout
}

// interval returns the present time between reports.
func (s *Session) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeat
}

// pause returns how long to wait until the next report is due, or until the
// answer to the last one is.
func (s *Session) pause(now, due time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting.IsZero() {
		return due.Sub(now)
	}
	return min(due.Sub(now), s.waiting.Add(answerTimeout).Sub(now))
}

// announcementChanged returns the channel that was taken before the announcement
// was last read, so that no change in between is missed.
func (s *Session) announcementChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced
}
