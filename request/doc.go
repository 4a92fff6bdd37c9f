// Package request holds the aggregates of the request path: Request, the
// Attempts made for it, and the Outcome that its caller is told. It also holds
// the agent's table of attempts, which decides whether an attempt may run.
//
// Everything here is pure: the time is an argument and nothing is locked. An
// agent guards its Table with one mutex.
//
// States of an attempt at its agent:
//
//	Waiting  -> Running   by Start, before the deadline only
//	Waiting  -> Fenced    by Lookup with a fence, Abandon, or Start after the deadline
//	Running  -> Finished  by Finish
//	(absent) -> Fenced    by Lookup with a fence
//
// Finished and Fenced are final. They are kept until their retention ends, those of
// idempotent attempts not at all: their entries never look them up;
// when the table is full, new attempts are refused.
package request
