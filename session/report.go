package session

import (
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/timing"
)

// maxWorkerSilence is how long a worker may leave calls unanswered before the
// agent stops reporting, so that the VM's lease runs out.
const maxWorkerSilence = 3 * time.Second

// nextReport returns the report to send at now, nil while the worker does not
// answer: a VM whose worker can't be controlled must not keep its lease.
func (s *Session) nextReport(now time.Time) *api.AgentReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clockReadAt.IsZero() || now.Sub(s.clockReadAt) > maxWorkerSilence {
		return nil
	}
	s.sequence++
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
	report := &api.AgentReport{
		Sequence:    s.sequence,
		Incarnation: s.config.Incarnation,
		Revision:    s.holder.Revision(),
		Tasks:       s.outbox.takeReady(s.sequence),
		Usage:       s.usage.takeReady(timing.Jitter(s.usageInterval, heartbeatJitter), s.outbox.active),
		Leaving:     s.leaving,
	}
	s.addAnnouncement(report)
	if s.helloNeeded {
		report.Vm = s.config.VM
		s.helloNeeded = false
	}
	s.holder.RecordSent(s.sequence, now, s.workerClockMS)
	return report
}

func (s *Session) addAnnouncement(report *api.AgentReport) {
	changed := s.helloNeeded
	select {
	case <-s.announcementStale:
		changed = true
	default:
		changed = changed || s.announcementStale == nil
	}
	if !changed {
		return
	}
	s.announcementStale = s.config.Announcer.Changed()
	report.Servers = s.config.Announcer.Servers()
	report.ServersChanged = true
}

func (s *Session) handleDirective(directive *api.Directive) {
	now := time.Now()
	s.mu.Lock()
	s.unansweredSince = time.Time{}
	s.usageInterval = time.Duration(directive.UsageMs) * time.Millisecond
	s.heartbeat = heartbeatInterval
	if directive.HeartbeatMs > 0 {
		s.heartbeat = time.Duration(directive.HeartbeatMs) * time.Millisecond
	}
	s.holder.ApplyDirective(directive)
	s.recordRefused(directive.RefusedServers)
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
	signal(s.wakeDriver)
}

// recordRefused records which backend servers the control group refuses to
// publish, and logs each once for the VM that its id is published for. The caller
// holds mu.
func (s *Session) recordRefused(servers []*api.RefusedServer) {
	refused := make(map[string]string, len(servers))
	for _, server := range servers {
		refused[server.Id] = server.Vm
		if s.refused[server.Id] != server.Vm {
			klog.InfoS("Backend server not published, its id is published for another VM",
				"vm", s.config.VM.Id, "server", server.Id, "other", server.Vm)
		}
	}
	s.refused = refused
}
