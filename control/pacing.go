package control

import "time"

// Agents of a large fleet report less often, to limit the leader's network traffic
// and CPU time. The longest interval must stay below the lease.
const (
	minHeartbeatInterval = 2 * time.Second
	maxHeartbeatInterval = 4 * time.Second
	heartbeatsPerSecond  = 138 // over all sessions, within the interval bounds above
	heartbeatJitter      = 0.2 // fraction of the interval by which agents vary it
)

// heartbeatInterval returns the time between an agent's reports for a number of sessions.
func heartbeatInterval(sessions int) time.Duration {
	interval := time.Duration(sessions) * time.Second / heartbeatsPerSecond
	return min(max(interval, minHeartbeatInterval), maxHeartbeatInterval)
}

// Usage samples get longer with the number of running tasks, so that the total
// rate of samples stays within samplesPerSecond.
const (
	minUsageInterval = 1 * time.Second
	samplesPerSecond = 250
)

// usageInterval returns the minimum length of a usage sample for a number of running tasks.
func usageInterval(tasks int) time.Duration {
	return max((time.Duration(tasks)*time.Second+samplesPerSecond-1)/samplesPerSecond, minUsageInterval)
}

// currentHeartbeatInterval returns heartbeatInterval for the present number of sessions.
func (s *Server) currentHeartbeatInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return heartbeatInterval(len(s.sessions))
}

// heartbeatTimeout returns how long an agent may be silent and still get new work.
func (s *Server) heartbeatTimeout() time.Duration {
	maxDelay := time.Duration(float64(s.currentHeartbeatInterval()) * (1 + heartbeatJitter))
	return maxDelay + s.config.Freshness
}
