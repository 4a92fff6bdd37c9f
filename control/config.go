package control

import (
	"time"

	"amaranthpaddle/replica"
	"amaranthpaddle/scheduler"
	"amaranthpaddle/task/lease"
)

const (
	defaultLease          = 10 * time.Second
	leaseMarginDivisor    = 16 // the default margin for clock drift is the lease divided by this
	defaultFreshness      = 2 * time.Second
	defaultClaimRetention = 24 * time.Hour
	defaultClaimLimit     = 300_000
	confirmInterval       = 400 * time.Millisecond
	confirmTimeout        = 2 * time.Second
	confirmMaxAge         = 1 * time.Second // of the quorum confirmation behind a pushed directive
	proposeTimeout        = 5 * time.Second
	resendInterval        = 3 * time.Second // for a directive whose effect the agent has not reported
	leaderLoopInterval    = 500 * time.Millisecond
	idleInterval          = 2 * time.Second  // between scheduling rounds that make no decisions
	digestInterval        = 10 * time.Second // between directory digests sent to a watcher
	digestJitter          = 0.2              // fraction of digestInterval, in both directions
	minUpdateInterval     = 50 * time.Millisecond
	watchConfirmInterval  = 2 * time.Second
	deadlineRetention     = 10 * time.Minute // how long an expired checkpoint deadline is kept
	checkpointTimeout     = time.Minute      // if an earlier leader requested the checkpoint
)

// Peer holds the addresses of a control replica.
type Peer struct {
	Address         string // ip:port for agents and entries
	OperatorAddress string // ip:port of the operators' API
}

// Config is the configuration of a Server. Zero durations and limits are
// replaced by their defaults.
type Config struct {
	Node           replica.Node
	State          *State                    // the state machine that Node replicates
	Peers          func(id uint64) Peer      // returns the addresses of a replica; may be nil
	Membership     Membership                // of the control group; may be nil
	Authorize      func(bearer string) error // checks an operator's token; may be nil
	Decide         Decide                    // places and evicts tasks; nil for scheduler.Decide
	Lease          lease.Terms               // of the VMs
	Freshness      time.Duration             // how long agents may act on zone_in_service
	ClaimRetention time.Duration             // how long a claim is kept
	ClaimLimit     int                       // maximum number of claims kept
}

// Decide computes scheduling decisions from a snapshot. It has no side effects.
type Decide func(*scheduler.Snapshot) []scheduler.Decision

func (c Config) withDefaults() Config {
	if c.Lease.Duration == 0 {
		c.Lease.Duration = defaultLease
	}
	if c.Lease.Margin == 0 {
		c.Lease.Margin = c.Lease.Duration / leaseMarginDivisor
	}
	if c.Freshness == 0 {
		c.Freshness = defaultFreshness
	}
	if c.ClaimRetention == 0 {
		c.ClaimRetention = defaultClaimRetention
	}
	if c.ClaimLimit == 0 {
		c.ClaimLimit = defaultClaimLimit
	}
	if c.Decide == nil {
		c.Decide = scheduler.Decide
	}
	if c.Peers == nil {
		c.Peers = func(uint64) Peer { return Peer{} }
	}
	return c
}
