// Package entry is the callers' side of the request path: it takes HTTP
// requests, chooses backend servers from the directory, sends attempts to their
// agents and passes the whole answers back.
//
// Locks, in the order in which they may be taken together:
//
//	directory.mu  the directory in force
//	service.mu    backend servers, limits and queues of one service
//	pool.mu       the peers by address
//	peer.mu       the links to one agent
//	link.mu       clock, loads and age of one connection
//	recorder.mu   counts for reports
//
// No lock is held over I/O.
package entry
