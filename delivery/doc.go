// Package delivery is the agent's side of the request path: it takes attempts
// from entries, holds the slots and connections of its backend servers,
// delivers over HTTP and keeps answers for lookups.
//
// Locks, in the order in which they may be taken together:
//
//	Delivery.mu      instances, and whether the agent drains
//	gate.mu          slots, connections and waiters of one instance
//	Delivery.tableMu the table of attempts
//	answer.mu        the bytes of one answer
//
// No lock is held over I/O, over a channel operation that may block, or over
// the Claimer.
package delivery
