package control

import (
	"time"

	"amaranthpaddle/replica"
	"amaranthpaddle/scheduler"
	"amaranthpaddle/task/lease"
)

const (
	defaultLease         = 10 * time.Second
	leaseMarginPart      = 16 // of a lease, for the drift of clocks
	defaultFresh         = 2 * time.Second
	defaultClaimKeep     = 24 * time.Hour
	defaultClaimLimit    = 300_000
	confirmInterval      = 400 * time.Millisecond
	confirmTimeout       = 2 * time.Second
	confirmMaxAge        = 1 * time.Second // of the confirmation that a pushed directive rests on
	proposeTimeout       = 5 * time.Second
	resendAfter          = 3 * time.Second // a directive whose effect was not reported
	loopInterval         = 500 * time.Millisecond
	quietInterval        = 2 * time.Second  // between scheduling rounds that decide nothing
	digestInterval       = 10 * time.Second // between digests sent to a watcher
	digestJitter         = 0.2              // of the interval, either way
	watchSpacing         = 50 * time.Millisecond
	watchConfirmInterval = 2 * time.Second
	deadlineRetention    = 10 * time.Minute // of a checkpoint deadline that has passed
	checkpointTimeout    = time.Minute      // of a checkpoint, when the leader that asked for it is gone
)

// Peer is where another control replica can be reached.
type Peer struct {
	Address         string // ip:port for agents and entries
	OperatorAddress string // ip:port of the operators' API
}

// Config is the configuration of a Server. Zero durations and limits take
// their default values.
type Config struct {
	Node       replica.Node
	State      *State                    // the state machine that Node replicates
	Peers      func(id uint64) Peer      // where a replica can be reached, may be nil
	Membership Membership                // of the control group, may be nil
	Authorize  func(bearer string) error // checks an operator's token, may be nil
	Decide     Decide                    // places and evicts tasks, nil for scheduler.Decide
	Lease      lease.Terms               // of the VMs
	Fresh      time.Duration             // how long zone_in_service may be relied on
	ClaimKeep  time.Duration             // how long a claim is remembered
	ClaimLimit int                       // claims remembered at most
}

// Decide turns a snapshot into decisions, without side effects.
type Decide func(*scheduler.Snapshot) []scheduler.Decision

func (c Config) withDefaults() Config {
	if c.Lease.Duration == 0 {
		c.Lease.Duration = defaultLease
	}
	if c.Lease.Margin == 0 {
		c.Lease.Margin = c.Lease.Duration / leaseMarginPart
	}
	if c.Fresh == 0 {
		c.Fresh = defaultFresh
	}
	if c.ClaimKeep == 0 {
		c.ClaimKeep = defaultClaimKeep
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
