package routing

import "time"

// Avoidance of backend servers that fail more than the others.
const (
	failureWeight    = 0.1 // of a new result in the smoothed failure rate
	avoidRate        = 0.5 // failure rate from which a backend server is avoided
	avoidRatio       = 3.0 // and how many times the others' rate it must be
	avoidMinResults  = 5   // results before a judgement
	maxAvoidedShare  = 3   // at most one in this many is avoided
	firstAvoidance   = 2 * time.Second
	longestAvoidance = time.Minute
	probesToReturn   = 3 // successes in a row that end an avoidance
)

// health is the record of a backend server's results.
type health struct {
	results   int
	rate      float64 // smoothed failure rate
	avoided   bool
	nextProbe time.Time
	backoff   time.Duration
	successes int // in a row, while avoided
}

// ObserveResult takes in whether an attempt failed at the backend server. A
// refusal for lack of slots is no failure.
func (b *Backend) ObserveResult(now time.Time, failed bool) {
	h := &b.health
	h.results++
	sample := 0.0
	if failed {
		sample = 1
	}
	h.rate += failureWeight * (sample - h.rate)
	if !h.avoided {
		return
	}
	if failed {
		h.successes = 0
		h.backoff = min(2*h.backoff, longestAvoidance)
		h.nextProbe = now.Add(h.backoff)
		return
	}
	h.successes++
	h.nextProbe = now
	if h.successes >= probesToReturn {
		b.health = health{}
	}
}

// Avoided reports whether the backend server is being avoided.
func (b *Backend) Avoided() bool { return b.health.avoided }

// avoidedSet judges the backend servers against each other and returns those
// to avoid, at most one in maxAvoidedShare.
func avoidedSet(now time.Time, backends []*Backend) map[*Backend]bool {
	avoided := make(map[*Backend]bool)
	allowed := len(backends) / maxAvoidedShare
	for _, b := range backends {
		if b.health.avoided && len(avoided) < allowed {
			avoided[b] = true
		}
	}
	for _, b := range backends {
		if len(avoided) >= allowed {
			break
		}
		if !avoided[b] && b.isOutlier(backends) {
			b.health.avoided = true
			b.health.backoff = firstAvoidance
			b.health.nextProbe = now.Add(firstAvoidance)
			avoided[b] = true
		}
	}
	return avoided
}

// isOutlier reports whether b fails often, and much more often than the others.
func (b *Backend) isOutlier(backends []*Backend) bool {
	if b.health.results < avoidMinResults || b.health.rate < avoidRate {
		return false
	}
	sum, n := 0.0, 0
	for _, other := range backends {
		if other != b && other.health.results >= avoidMinResults && !other.health.avoided {
			sum += other.health.rate
			n++
		}
	}
	return n > 0 && b.health.rate >= avoidRatio*sum/float64(n)
}

// probeCandidate returns an avoided backend server whose probe is due, and
// schedules the next one.
func probeCandidate(now time.Time, backends []*Backend, tried map[string]bool) *Backend {
	for _, b := range backends {
		if b.health.avoided && !tried[b.ID] && !now.Before(b.health.nextProbe) {
			b.health.nextProbe = now.Add(b.health.backoff)
			return b
		}
	}
	return nil
}
