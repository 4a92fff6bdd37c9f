// Package control is the control plane's service: the state machine over the
// replicated log, the agents' sessions, the watchers' directory stream, claims
// of idempotency keys, entry reports, the operators' HTTP API, and the leader's
// loops.
//
// # State
//
// Replicated, in State: the plan in force, zones, VMs and backend servers
// (package fleet), tasks (package task), claims, the memory of change ids and
// the service-level counts. It changes in State.Apply only, which takes the
// time from the log entry, so that every replica computes the same state.
//
// Soft, on the leader only, and rebuilt after an election: VM leases
// (leaseTable), the latest quorum confirmation (replica.Confirmer), the sessions with
// what each agent has listed and been sent, usage, throttles and progress.
//
// # Leases and freshness
//
// An agent counts its lease from when it sent the report, the leader from when
// it answered, plus a margin for clock drift. The answer to a report rests on a
// quorum confirmation that began after the report arrived, so a later leader was
// elected after the report was sent. When it waits one lease and the margin, it
// has waited out every lease that an earlier leader granted, even if that leader
// was paused with its clock. Directives that are pushed between reports never
// reach further than one lease after the last report, and their freshness no
// further than the bound after the start of their confirmation.
//
// # Lock order
//
// Server.mu, then State.mu. leaseTable and replica.Confirmer have locks of their own
// that are leaves: nothing is called under them. State calls its observer
// without a lock held. A session's own fields belong to the goroutine that
// serves it. No lock is held during a Propose, a ConfirmRead, a Send or a Recv.
package control
