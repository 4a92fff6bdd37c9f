package routing

import "time"

// Bucket is a token bucket that limits a byte rate. Its level may become
// negative: urgent messages are sent at any level, other messages wait until the
// level is no longer negative.
type Bucket struct {
	rate       float64 // bytes/s
	burst      float64 // maximum level, bytes
	level      float64
	refilledAt time.Time
}

// NewBucket returns a full bucket; rate is in bytes/s and burst in bytes.
func NewBucket(rate, burst int64) *Bucket {
	return &Bucket{rate: float64(rate), burst: float64(burst), level: float64(burst)}
}

// Spend takes size bytes out of the bucket without waiting, even if that makes
// the level negative.
func (b *Bucket) Spend(now time.Time, size int) {
	b.refill(now)
	b.level -= float64(size)
}

// Wait returns the time until the level is no longer negative, or 0 if it is not
// negative now.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.level >= 0 {
		return 0
	}
	return time.Duration(-b.level/b.rate*float64(time.Second)) + 1
}

func (b *Bucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.level = min(b.level+now.Sub(b.refilledAt).Seconds()*b.rate, b.burst)
	}
	if b.refilledAt.IsZero() || now.After(b.refilledAt) {
		b.refilledAt = now
	}
}
