// Package request implements the model of the request path: a caller's Request,
// an entry's Progress with the attempts made for it, and the outcome that the
// caller is told. It also implements the agent's Table of attempts, which decides
// whether an attempt may run.
//
// The package does no I/O, reads no clock and takes no locks: the time is an
// argument, and an agent guards its Table with one mutex.
//
// States of an attempt at its agent:
//
//	Waiting  -> Running   by Start, before the deadline only
//	Waiting  -> Fenced    by Lookup with a fence, Abandon, or Start after the deadline
//	Running  -> Finished  by Finish
//	(absent) -> Fenced    by Lookup with a fence
//
// Finished and Fenced are final. An attempt in a final state is kept until its
// retention ends; an idempotent attempt is removed at once, because its entry
// never looks it up. When the table is full, new attempts are refused.
package request
