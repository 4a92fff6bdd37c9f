package routing

import (
	"math"
	"time"
)

// Smoothing of what is known of a backend server.
const (
	leastWeight     = 0.05            // of a new sample among many
	mostWeight      = 0.5             // of a new sample after a long time
	latencyMemory   = 2 * time.Second // over which samples are smoothed
	latencyHalfLife = 5 * time.Second // of trust in a latency without new samples
	reportLifetime  = 3 * time.Second // after which a reported load is no longer used
	minimumLatency  = time.Millisecond / 10
)

// Backend is what an entry knows of one backend server.
type Backend struct {
	ID    string
	Zone  string
	Slots int

	own      int     // attempts of this entry in progress
	standing int     // standing streams of this entry
	others   float64 // in progress for others, by the last report
	reported time.Time
	latency  float64 // smoothed, nanoseconds
	sampled  time.Time
	health   health
}

// Begin counts a new attempt.
func (b *Backend) Begin() { b.own++ }

// End counts an attempt that ended.
func (b *Backend) End() { b.own-- }

// BeginStanding counts a new standing stream.
func (b *Backend) BeginStanding() { b.standing++ }

// EndStanding counts a standing stream that ended.
func (b *Backend) EndStanding() { b.standing-- }

// ReportLoad takes in the agent's count of running and waiting attempts, this
// entry's included.
func (b *Backend) ReportLoad(now time.Time, busy int) {
	b.others = max(float64(busy-b.own), 0)
	b.reported = now
}

// ObserveLatency takes in the time that the backend server took for one
// answer, without the wait for a slot.
func (b *Backend) ObserveLatency(now time.Time, latency time.Duration) {
	sample := float64(max(latency, minimumLatency))
	if b.latency == 0 {
		b.latency = sample
	} else {
		age := float64(now.Sub(b.sampled)) / float64(latencyMemory)
		b.latency += min(max(age, leastWeight), mostWeight) * (sample - b.latency)
	}
	b.sampled = now
}

// load returns the attempts in progress there, to the entry's knowledge.
func (b *Backend) load(now time.Time) float64 {
	if now.Sub(b.reported) > reportLifetime {
		return float64(b.own)
	}
	return float64(b.own) + b.others
}

// Full reports whether slots and queue are known to be taken.
func (b *Backend) Full(now time.Time) bool { return b.load(now) >= float64(2*b.Slots) }

// expected returns the latency that a new attempt may expect, nanoseconds. An old
// latency is trusted less and less in favour of typical, so that a backend
// server that was slow is tried again.
func (b *Backend) expected(now time.Time, typical float64) float64 {
	latency := typical
	if b.latency > 0 {
		trust := math.Exp2(-float64(now.Sub(b.sampled)) / float64(latencyHalfLife))
		latency = trust*b.latency + (1-trust)*typical
	}
	queue := (b.load(now) + 1) / float64(max(b.Slots, 1))
	return latency * max(queue, 1) * (1 + b.load(now)/float64(16*max(b.Slots, 1)))
}
