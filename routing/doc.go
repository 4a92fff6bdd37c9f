// Package routing holds the entry's decisions: which backend server gets an
// attempt, how much may be in progress, what is retried, hedged or shed, which
// backend servers are avoided, and which bytes go over a slow link first.
//
// Everything is pure: the time and the random source are arguments, and
// callers guard shared values with their own locks.
package routing
