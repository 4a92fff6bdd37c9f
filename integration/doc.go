// Package integration holds tests of the whole system as separate processes:
// control replicas, agents and stand-in workers that are killed, frozen and
// restarted while they work.
package integration
