// Package entry is the callers' side of the request path: it takes HTTP
// requests, chooses backend servers from the directory, sends attempts to their
// agents and returns complete answers to the callers.
//
// Locks, in the order in which they may be taken together:
//
//	directory.mu  the current directory
//	service.mu    backend servers, limits and queues of one service
//	pool.mu       the peers by address
//	peer.mu       the connections to one agent
//	agentConn.mu  use, pings and clock estimate of one connection
//	recorder.mu   counts for reports
//
// No lock is held over I/O.
package entry
