// Package jobagent is the agent of submitted jobs, beside one worker. It takes
// the worker's registrations, begins and ends runs as the leader orders, renews
// their lease with the worker, and reports their ends until they are recorded.
//
// # Guarantees
//
//   - A run is begun only under a lease that was held when the order was taken
//     up, and the worker is told when that lease ends.
//   - A start without a clear answer is fenced: the agent stops the run until
//     the worker has confirmed it, and only then reports that it did not run.
//   - An end is acknowledged to the worker only after the leader recorded it.
//   - While the worker does not answer, its lease is not extended further, so
//     that it is known when its runs are over.
//
// # Lock order
//
// Agent.mu only. No lock is held over a call to the worker or the leader.
package jobagent
