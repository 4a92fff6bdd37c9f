package routing

import (
	"math"
	"time"
)

// Parameters of the load and latency estimates for a backend server. A latency
// sample gets a weight of its time since the previous sample divided by
// latencyTimeConstant, between minSampleWeight and maxSampleWeight.
const (
	minSampleWeight     = 0.05            // weight of a sample right after another one
	maxSampleWeight     = 0.5             // weight of a sample after a long pause
	latencyTimeConstant = 2 * time.Second // time constant of the smoothed latency
	latencyHalfLife     = 5 * time.Second // half-life of the confidence in a latency without new samples
	maxReportAge        = 3 * time.Second // a load report older than this is ignored
	minLatency          = time.Millisecond / 10
)

// Backend holds what an entry knows about one backend server: its slots, load,
// latency and health.
type Backend struct {
	ID    string
	Zone  string
	Slots int

	ownAttempts     int     // attempts of this entry in progress, without standing streams
	standingStreams int     // standing streams of this entry
	otherAttempts   float64 // attempts of other entries in progress, by the last report
	reportedAt      time.Time
	latency         float64 // smoothed, in nanoseconds; 0 before the first sample
	sampledAt       time.Time
	health          health
}

// Begin counts a new attempt.
func (b *Backend) Begin() { b.ownAttempts++ }

// End removes an attempt that ended from the count.
func (b *Backend) End() { b.ownAttempts-- }

// BeginStanding counts a new standing stream.
func (b *Backend) BeginStanding() { b.standingStreams++ }

// EndStanding removes a standing stream that ended from the count.
func (b *Backend) EndStanding() { b.standingStreams-- }

// ReportLoad records the number of running and waiting attempts that the agent
// reported, including those of this entry.
func (b *Backend) ReportLoad(now time.Time, attempts int) {
	b.otherAttempts = max(float64(attempts-b.ownAttempts), 0)
	b.reportedAt = now
}

// ObserveLatency records the time that the backend server took for one answer,
// without the wait for a slot.
func (b *Backend) ObserveLatency(now time.Time, latency time.Duration) {
	sample := float64(max(latency, minLatency))
	if b.latency == 0 {
		b.latency = sample
	} else {
		age := float64(now.Sub(b.sampledAt)) / float64(latencyTimeConstant)
		b.latency += min(max(age, minSampleWeight), maxSampleWeight) * (sample - b.latency)
	}
	b.sampledAt = now
}

// load returns the estimated number of attempts in progress at the backend
// server. Without a recent report, only this entry's attempts count.
func (b *Backend) load(now time.Time) float64 {
	if now.Sub(b.reportedAt) > maxReportAge {
		return float64(b.ownAttempts)
	}
	return float64(b.ownAttempts) + b.otherAttempts
}

// Full reports whether, by the estimated load, all slots and the queue, which is
// as long as the slots, are taken.
func (b *Backend) Full(now time.Time) bool { return b.load(now) >= float64(2*b.Slots) }

// expectedLatency returns the expected latency of a new attempt, in nanoseconds.
// The confidence in the backend server's measured latency decays with its age in
// favor of median, so that a backend server that was slow is tried again.
func (b *Backend) expectedLatency(now time.Time, median float64) float64 {
	latency := median
	if b.latency > 0 {
		confidence := math.Exp2(-float64(now.Sub(b.sampledAt)) / float64(latencyHalfLife))
		latency = confidence*b.latency + (1-confidence)*median
	}
	perSlot := (b.load(now) + 1) / float64(max(b.Slots, 1))
	return latency * max(perSlot, 1) * (1 + b.load(now)/float64(16*max(b.Slots, 1)))
}
