// Package jobcontrol serves submitted jobs on a control replica: callers' and
// operators' calls, the agents' sessions, and the leader's rounds.
//
// # State
//
// Replicated, in jobs.State. The leader keeps a second copy, the assumed state,
// to which each round applies its changes when it proposes them. A round plans
// on the assumed state, so that several batches can be on their way to the
// disks at a time. When a batch is not committed, the assumed state is dropped
// with the leadership.
//
// Soft, on the leader only, and rebuilt after an election: workers, sessions,
// leases, and what was learnt.
//
// # Leases
//
// An agent counts its lease from when it sent a report, the leader from when it
// answered. A lease is shortened by the age of the quorum confirmation that it
// rests on. So a new leader that has waited one lease and the margin has waited
// out all leases that an earlier leader granted. Clocks are those of
// timing.Boot, which count suspensions.
//
// # Lock order
//
// leadership.mu, then the locks of jobs.State. No lock is held during a
// proposal's wait, a Send or a Recv.
package jobcontrol
