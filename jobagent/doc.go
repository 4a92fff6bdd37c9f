// Package jobagent implements the agent that runs the tasks of submitted jobs on
// one worker. It receives the worker's registrations, starts and stops runs as
// the leader directs, renews the worker's lease, and reports ended runs to the
// leader until the leader has recorded them.
//
// # Guarantees
//
//   - A run is started only while the agent holds a lease from the leader, and
//     the start request tells the worker when that lease ends.
//   - A start whose outcome is unknown is fenced: the agent repeats the stop
//     until the worker confirms it, and only then reports that the run did not
//     take place. Nor is the start sent after the lease under which it was ordered.
//   - Once a later incarnation of the worker has answered a call, it refuses starts
//     that were sent to an earlier one. Those that it has begun before are stopped.
//     A start without an answer stays open until no incarnation can carry it out.
//   - A lease that an incarnation may have taken from a call for an earlier one, a
//     former lease, counts from its first answer. The leader is told how long it lasts.
//   - The end of a run is acknowledged to the worker only after the leader has
//     recorded it.
//   - A crash of the worker is reported with the runs that it was starting.
//   - While the worker does not answer, its lease is not extended, which bounds
//     the time until its runs have certainly ended.
//
// # Lock order
//
// Agent.mu is the only lock. It is not held during calls to the worker or the
// leader.
package jobagent
