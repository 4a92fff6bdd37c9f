// Package dispatch contains the scheduling decisions for submitted jobs:
// admission, placement and order of tasks, which runs to move or stop, and the
// pace of best-effort runs that share a worker with services.
//
// All functions are pure in the sense that they take a view of the jobs and of
// the workers and return decisions: the current time is an argument, and
// nothing takes locks or does I/O.
package dispatch
