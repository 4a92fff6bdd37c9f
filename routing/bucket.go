package routing

import "time"

// Bucket paces bytes at a rate. A message that must not wait may overdraw it;
// what may wait waits until the overdraft is paid back.
type Bucket struct {
	rate  float64 // bytes/s
	burst float64 // bytes saved up at most
	level float64
	at    time.Time
}

// NewBucket returns a full bucket. The rate is in bytes/s and burst in bytes.
func NewBucket(rate, burst int64) *Bucket {
	return &Bucket{rate: float64(rate), burst: float64(burst), level: float64(burst)}
}

// Spend takes size bytes at once.
func (b *Bucket) Spend(now time.Time, size int) {
	b.refill(now)
	b.level -= float64(size)
}

// Wait returns how long it takes until the overdraft is paid back, 0 when
// there is none.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.level >= 0 {
		return 0
	}
	return time.Duration(-b.level/b.rate*float64(time.Second)) + 1
}

func (b *Bucket) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.level = min(b.level+now.Sub(b.at).Seconds()*b.rate, b.burst)
	}
	if b.at.IsZero() || now.After(b.at) {
		b.at = now
	}
}
