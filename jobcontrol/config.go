package jobcontrol

import (
	"context"
	"time"

	"amaranthpaddle/jobs"
	"amaranthpaddle/replica"
	"amaranthpaddle/timing"
)

// Replica is the replicated log below the service; *replica.Replica in production.
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

// Config holds what a Server needs. Zero durations take the defaults.
type Config struct {
	Replica Replica
	State   *jobs.State

	Lease   time.Duration // of a worker's runs; at most what workers allow
	Retain  time.Duration // how long a job that ended is still known
	Voters  int           // members that vote; twice the tolerated losses and one
	Adviser Adviser       // nil when there is none
	Fleet   Fleet         // nil when maintenance can't be ordered

	Clock    func() time.Time // timing.Boot when nil; counts suspensions
	UnixTime func() time.Time // time.Now when nil; the time of day
}

// Defaults and fixed times.
const (
	defaultLease  = 4 * time.Second
	defaultRetain = 10 * time.Minute // five times what callers may ask for
	defaultVoters = 3

	// leaseMarginDivisor of a lease allows for clocks that drift by 2 %, with the
	// like again for the time that a worker takes to act.
	leaseMarginDivisor = 16

	confirmInterval   = 400 * time.Millisecond // a tenth of a lease is lost to the age of its confirmation
	readMaxAge        = 200 * time.Millisecond // of the confirmation below a read; under the shortest bound on going back
	batchDelay        = 4 * time.Millisecond   // for which a round lets changes gather, under a disk's sync
	idleRoundInterval = 250 * time.Millisecond // between rounds without an event
	maxInFlight       = 4                      // batches on their way; two cover a commit's latency
	maxBatchChanges   = 512                    // of one batch, which keeps it under a megabyte
	commitTimeout     = 5 * time.Second        // of one batch; longer than an election
)

func (c *Config) setDefaults() {
	if c.Lease == 0 {
		c.Lease = defaultLease
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
