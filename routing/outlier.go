package routing

import "time"

// Parameters of outlier detection, which avoids backend servers that fail more
// often than the others.
const (
	failureWeight       = 0.1 // weight of a new result in the smoothed failure rate
	minFailureRate      = 0.5 // failure rate from which a backend server may be avoided
	minFailureRatio     = 3.0 // and its minimum ratio to the mean failure rate of the others
	minResults          = 5   // results that a backend server needs to be compared
	avoidedDivisor      = 3   // at most one backend server in avoidedDivisor is avoided
	initialProbeBackoff = 2 * time.Second
	maxProbeBackoff     = time.Minute
	probesToRecover     = 3 // consecutive successes after which a backend server is no longer avoided
)

// health summarizes the results of a backend server's attempts.
type health struct {
	results     int
	failureRate float64 // smoothed
	avoided     bool
	nextProbeAt time.Time
	backoff     time.Duration
	successes   int // consecutive, while avoided
}

// ObserveResult records whether an attempt failed at the backend server. A
// refusal for lack of slots is not a failure.
func (b *Backend) ObserveResult(now time.Time, failed bool) {
	h := &b.health
	h.results++
	sample := 0.0
	if failed {
		sample = 1
	}
	h.failureRate += failureWeight * (sample - h.failureRate)
	if !h.avoided {
		return
	}
	if failed {
		h.successes = 0
		h.backoff = min(2*h.backoff, maxProbeBackoff)
		h.nextProbeAt = now.Add(h.backoff)
		return
	}
	h.successes++
	h.nextProbeAt = now
	if h.successes >= probesToRecover {
		b.health = health{}
	}
}

// Avoided reports whether the backend server is being avoided.
func (b *Backend) Avoided() bool { return b.health.avoided }

// updateAvoided compares the backend servers with each other, marks outliers as
// avoided, and returns those to avoid, at most one in avoidedDivisor.
func updateAvoided(now time.Time, backends []*Backend) map[*Backend]bool {
	avoided := make(map[*Backend]bool)
	maxAvoided := len(backends) / avoidedDivisor
	for _, b := range backends {
		if b.health.avoided && len(avoided) < maxAvoided {
			avoided[b] = true
		}
	}
	for _, b := range backends {
		if len(avoided) >= maxAvoided {
			break
		}
		if !avoided[b] && b.isOutlier(backends) {
			b.health.avoided = true
			b.health.backoff = initialProbeBackoff
			b.health.nextProbeAt = now.Add(initialProbeBackoff)
			avoided[b] = true
		}
	}
	return avoided
}

// isOutlier reports whether the failure rate of b is high, both in itself and
// compared with the mean of the others that are not avoided.
func (b *Backend) isOutlier(backends []*Backend) bool {
	if b.health.results < minResults || b.health.failureRate < minFailureRate {
		return false
	}
	sum, n := 0.0, 0
	for _, other := range backends {
		if other != b && other.health.results >= minResults && !other.health.avoided {
			sum += other.health.failureRate
			n++
		}
	}
	return n > 0 && b.health.failureRate >= minFailureRatio*sum/float64(n)
}

// probeCandidate returns an avoided backend server that is due for a probe and
// schedules its next probe. It returns nil if none is due.
func probeCandidate(now time.Time, backends []*Backend, tried map[string]bool) *Backend {
	for _, b := range backends {
		if b.health.avoided && !tried[b.ID] && !now.Before(b.health.nextProbeAt) {
			b.health.nextProbeAt = now.Add(b.health.backoff)
			return b
		}
	}
	return nil
}
