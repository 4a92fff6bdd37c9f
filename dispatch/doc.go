// Package dispatch decides about submitted jobs: which are accepted, which
// tasks start where and in which order, which runs are stopped, and how fast
// best-effort tasks may work beside services.
//
// Everything is pure: a view of the jobs and of the workers goes in, decisions
// come out. The time is an argument, nothing is locked, and no I/O is done.
package dispatch
