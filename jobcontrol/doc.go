// Package jobcontrol is the service for submitted jobs on a control replica. It
// answers the calls of callers and operators, drives the agents' sessions, and
// on the leader runs the rounds that plan and propose changes.
//
// # State
//
// The replicated state is jobs.State. The leader keeps a second copy, the
// assumed state, to which each round applies its changes when it proposes them.
// Rounds plan on the assumed state, so several batches can be in flight at a
// time. At the start of a leadership, and when a batch cannot be proposed or is not
// committed, nothing is planned until an empty batch is committed, and the committed
// state replaces the assumed one. The same is done when the two states, or the results
// of a change on them, are found to differ.
//
// The soft state exists on the leader only and is rebuilt after an election:
// workers, sessions, leases, and learned statistics.
//
// # Leases
//
// An agent counts its lease from the time it sent a report, the leader from the
// time it answered. A lease is shortened by the age of the quorum confirmation
// that it depends on. A new leader that has waited for one lease plus the margin
// therefore knows that all leases granted by earlier leaders have expired.
// Clocks are those of timing.Boot, which also advance while a VM is suspended.
//
// # Lock order
//
// leadership.mu, then the locks of jobs.State, that of the assumed state first. No lock is held while waiting for
// a proposal, or during a Send or a Recv.
package jobcontrol
