// Package control implements the control plane's service: the state machine on
// top of the replicated log, the agents' sessions, the watchers' directory
// stream, claims of idempotency keys, entry reports, the operators' HTTP API,
// and the leader's loops.
//
// # State
//
// Replicated state, in State: the plan in force, zones, VMs and backend servers
// (package fleet), tasks (package task), claims, the results of recent changes
// by change id, and the service-level counts. It is modified in State.Apply
// only, which takes the time from the log entry, so that every replica computes
// the same state.
//
// Soft state, held by the leader only and rebuilt after an election: VM leases
// (leaseTable), the latest quorum confirmation (replica.Confirmer), the sessions
// with what each agent has reported and was sent, usage, throttles and progress.
//
// # Leases and freshness
//
// An agent counts its lease from when it sent the report. The leader counts it
// from when it answered and adds a margin for clock drift. The answer to a report
// requires a quorum confirmation that began after the report arrived, so any
// later leader was elected after the report was sent. A new leader waits one
// lease plus the margin; by then every lease that an earlier leader granted has
// expired, even if that leader's process and clock were paused. A directive
// pushed between reports never extends a lease beyond one lease duration after
// the last report, and never extends freshness beyond the freshness bound after
// the start of its confirmation.
//
// # Lock order
//
// Server.mu, then State.mu. The locks of leaseTable and replica.Confirmer are leaf
// locks: no other lock is taken while one of them is held. State calls its
// observer without holding a lock. The fields of a session are owned by the
// goroutine that serves it. No lock is held during Propose, ConfirmRead, Send or
// Recv.
package control
