package control

import "time"

// A large fleet reports less often, so that the leader's bytes and processor
// time stay within their bounds. A lease outlasts the longest interval.
const (
	shortestHeartbeat   = 2 * time.Second
	longestHeartbeat    = 4 * time.Second
	heartbeatsPerSecond = 138 // of all sessions, within the bounds above
	heartbeatJitter     = 0.2 // of an interval, by which agents vary it
)

// heartbeatFor returns the time between the reports of each of a number of agents.
func heartbeatFor(sessions int) time.Duration {
	interval := time.Duration(sessions) * time.Second / heartbeatsPerSecond
	return min(max(interval, shortestHeartbeat), longestHeartbeat)
}

// Usage samples are spaced so that those of all running tasks stay within a rate.
const (
	shortestUsage    = 1 * time.Second
	samplesPerSecond = 250
)

// usageFor returns the least length of a usage sample at a number of running tasks.
func usageFor(tasks int) time.Duration {
	return max((time.Duration(tasks)*time.Second+samplesPerSecond-1)/samplesPerSecond, shortestUsage)
}

// heartbeat returns the time between an agent's reports at the present size of the fleet.
func (s *Server) heartbeat() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return heartbeatFor(len(s.sessions))
}

// heartbeatTimeout is the longest silence of an agent that still gets work.
func (s *Server) heartbeatTimeout() time.Duration {
	late := time.Duration(float64(s.heartbeat()) * (1 + heartbeatJitter))
	return late + s.config.Fresh
}
