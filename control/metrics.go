package control

import "github.com/VictoriaMetrics/metrics"

// serverMetrics are the metrics of one Server.
type serverMetrics struct {
	set        *metrics.Set
	placements *metrics.Counter
	evictions  *metrics.Counter
	throttles  *metrics.Counter
	refusals   *metrics.Counter // decisions that were outdated when they were committed
	vmsLost    *metrics.Counter
	// serversRefused counts announced servers whose ids were published for other VMs.
	serversRefused *metrics.Counter
	decide         *metrics.Histogram // seconds to take a snapshot and decide
	commit         *metrics.Histogram // seconds from proposal to result
}

func newServerMetrics(s *Server) *serverMetrics {
	set := metrics.NewSet()
	set.NewGauge("paddle_control_leader", func() float64 {
		if _, err := s.leading(); err != nil {
			return 0
		}
		return 1
	})
	set.NewGauge("paddle_control_sessions", func() float64 { return float64(s.sessionCount()) })
	set.NewGauge("paddle_control_watchers", func() float64 { return float64(s.watcherCount()) })
	set.NewGauge("paddle_control_revision", func() float64 {
		revision, _ := s.state.Revision()
		return float64(revision)
	})
	set.NewGauge("paddle_control_claims", func() float64 { return float64(s.state.claimCount()) })
	return &serverMetrics{
		set:            set,
		placements:     set.NewCounter("paddle_control_placements_total"),
		evictions:      set.NewCounter("paddle_control_evictions_total"),
		throttles:      set.NewCounter("paddle_control_throttles_total"),
		refusals:       set.NewCounter("paddle_control_decisions_refused_total"),
		vmsLost:        set.NewCounter("paddle_control_vms_lost_total"),
		serversRefused: set.NewCounter("paddle_control_servers_refused_total"),
		decide:         set.NewHistogram("paddle_control_decide_seconds"),
		commit:         set.NewHistogram("paddle_control_commit_seconds"),
	}
}

func (s *Server) sessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

func (s *Server) watcherCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watchers)
}

func (s *State) claimCount() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.claims.claims)
}
