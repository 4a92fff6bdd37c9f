package session

import (
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/timing"
)

// workerSilence is how long a worker may be silent before it counts as lost.
const workerSilence = 3 * time.Second

// nextReport builds the report to send at now. It returns nil while the worker
// is silent: a VM that can't be driven must not keep its lease.
func (s *Session) nextReport(now time.Time) *api.AgentReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clockAt.IsZero() || now.Sub(s.clockAt) > workerSilence {
		return nil
	}
	s.sequence++
	if s.waiting.IsZero() {
		s.waiting = now
	}
	report := &api.AgentReport{
		Sequence:    s.sequence,
		Incarnation: s.config.Incarnation,
		Revision:    s.holder.Revision(),
		Tasks:       s.outbox.take(s.sequence),
		Usage:       s.usage.take(timing.Jitter(s.usageEvery, heartbeatJitter), s.outbox.active),
		Leaving:     s.leaving,
	}
	s.addAnnouncement(report)
	if s.helloNeeded {
		report.Vm = s.config.VM
		s.helloNeeded = false
	}
	s.holder.Sent(s.sequence, now, s.clockMS)
	return report
}

func (s *Session) addAnnouncement(report *api.AgentReport) {
	changed := s.helloNeeded
	select {
	case <-s.announced:
		changed = true
	default:
		changed = changed || s.announced == nil
	}
	if !changed {
		return
	}
	s.announced = s.config.Announcer.Changed()
	report.Servers = s.config.Announcer.Servers()
	report.ServersChanged = true
}

func (s *Session) takeDirective(directive *api.Directive) {
	now := time.Now()
	s.mu.Lock()
	s.waiting = time.Time{}
	s.usageEvery = time.Duration(directive.UsageMs) * time.Millisecond
	s.heartbeat = heartbeatInterval
	if directive.HeartbeatMs > 0 {
		s.heartbeat = time.Duration(directive.HeartbeatMs) * time.Millisecond
	}
	s.holder.Grant(directive)
	for _, start := range directive.Start {
		s.starts[runKey{start.Task, start.Generation}] = pendingStart{start, now, s.holder.lease.Expiry()}
	}
	for _, stop := range directive.Stop {
		key := runKey{stop.Task, stop.Generation}
		s.stops[key] = stop
	}
	for _, throttle := range directive.Throttle {
		s.throttles[runKey{throttle.Task, throttle.Generation}] = throttle
	}
	s.mu.Unlock()
	signal(s.wakeup)
}
