// Package routing implements the routing decisions of an entry: which backend
// server gets an attempt, how many attempts may be in progress, what is
// retried, hedged or shed, which backend servers are avoided, and which bytes
// are sent first over a slow link.
//
// The package does no I/O, reads no clock and takes no locks: the time and the
// random source are arguments, and values are not safe for concurrent use
// unless the user of the package locks them.
package routing
