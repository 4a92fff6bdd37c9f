package jobcontrol

import (
	"context"
	"time"

	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
	"amaranthpaddle/replica"
	"amaranthpaddle/timing"
)

// Replica is the replicated log that the service runs on; *replica.Replica in
// production.
type Replica interface {
	replica.Node
	// Enqueue queues an entry; see replica.Replica.
	Enqueue(data []byte) (wait func(context.Context) ([]byte, error), err error)
	Members() ([]replica.MemberStatus, error)
	WasRemoved(id uint64) (bool, error)
	AddLearner(ctx context.Context, id uint64, address string) error
	Promote(ctx context.Context, id uint64) error
	Remove(ctx context.Context, id uint64) error
}

// Config configures a Server. Zero durations and a zero Voters take the defaults.
type Config struct {
	Replica Replica
	State   *jobs.State

	Lease      time.Duration // of a worker's runs; at most LeaseLimit
	LeaseLimit time.Duration // the longest lease that workers grant
	Retain     time.Duration // how long an ended job is retained
	Voters     int           // number of voting members: 2f+1 to tolerate f losses
	Adviser    Adviser       // nil without a placement adviser
	Policy     dispatch.Policy
	JobMemory  dispatch.MemoryBudget // of the retained jobs, 0 for no bound
	Fleet      Fleet                 // nil when maintenance and moves of VMs cannot be ordered

	Clock    func() time.Time // timing.Boot when nil; advances while the VM is suspended
	UnixTime func() time.Time // time of day; time.Now when nil
}

// Defaults, intervals and limits.
const (
	defaultLease  = 4 * time.Second
	defaultLimit  = 10 * time.Second // as that of package jobagent
	defaultRetain = 10 * time.Minute // five times the longest that callers may ask for
	defaultVoters = 3

	// The lease margin is the lease divided by leaseMarginDivisor. It covers a
	// clock drift of 2 % and as much again for the time that a worker takes to act.
	leaseMarginDivisor = 16

	confirmInterval   = 400 * time.Millisecond // costs up to a tenth of a lease, which is shortened by the age of its confirmation
	readMaxAge        = 200 * time.Millisecond // oldest confirmation that a read accepts; below the shortest staleness bound for reads
	batchDelay        = 4 * time.Millisecond   // for which a round collects changes; shorter than a disk sync
	idleRoundInterval = 250 * time.Millisecond // between rounds while no event occurs
	maxInFlight       = 4                      // proposed batches; two cover the commit latency
	maxBatchChanges   = 512                    // besides the starts that are planned on them
	maxBatchBytes     = 256 << 10              // of the changes and again of the starts; a larger change is a batch of its own
	bytesPerRun       = 2 << 10                // of the memory for jobs
	maxPlanTime       = 500 * time.Millisecond // of a plan; an eighth of a lease, whose renewals wait for it
	longRound         = 200 * time.Millisecond // from which a round is logged
	commitTimeout     = 5 * time.Second        // for one batch; longer than an election
)

func (c *Config) setDefaults() {
	if c.Lease == 0 {
		c.Lease = defaultLease
	}
	if c.LeaseLimit == 0 {
		c.LeaseLimit = defaultLimit
	}
	if c.Retain == 0 {
		c.Retain = defaultRetain
	}
	if c.Voters == 0 {
		c.Voters = defaultVoters
	}
	if c.Clock == nil {
		c.Clock = timing.Boot
	}
	if c.UnixTime == nil {
		c.UnixTime = time.Now
	}
}

func (c *Config) leaseMargin() time.Duration { return c.Lease / leaseMarginDivisor }

// longestLease returns the longest time for which a worker's lease may last, whoever has
// granted it, margin included.
func (c *Config) longestLease() time.Duration { return c.LeaseLimit + c.LeaseLimit/leaseMarginDivisor }
