// Package delivery is the agent's side of the request path: it receives
// attempts from entries, limits the requests and connections of each backend
// server, forwards attempts over HTTP and keeps answers for lookups.
//
// Locks, in the order in which they may be taken together:
//
//	Delivery.mu      instances, and whether the agent is draining or paused
//	limiter.mu       slots, connections and waiters of one instance
//	Delivery.tableMu the table of attempts
//	answer.mu        the bytes of one answer
//
// No lock is held over I/O, over a channel operation that may block, or over
// the Claimer.
package delivery
