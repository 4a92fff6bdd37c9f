package routing

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Ask describes the attempt that a backend server is picked for.
type Ask struct {
	Standing bool
	Probe    bool            // may go to a backend server that is being avoided, to try it
	Tried    map[string]bool // backend servers that already refused this request
}

// Pick chooses a backend server by two choices: of two random ones the one
// with the lower expected latency, or the fewer standing streams. Avoided,
// tried and full ones are left out while there are others. It returns nil when
// all were tried.
func Pick(now time.Time, random *rand.Rand, backends []*Backend, ask Ask) *Backend {
	if ask.Probe {
		if probe := probeCandidate(now, backends, ask.Tried); probe != nil {
			return probe
		}
	}
	avoided := avoidedSet(now, backends)
	candidates := filter(backends, func(b *Backend) bool {
		return !ask.Tried[b.ID] && !avoided[b] && (ask.Standing || !b.Full(now))
	})
	if len(candidates) == 0 {
		candidates = filter(backends, func(b *Backend) bool { return !ask.Tried[b.ID] && !avoided[b] })
	}
	if len(candidates) == 0 {
		candidates = filter(backends, func(b *Backend) bool { return !ask.Tried[b.ID] })
	}
	return pickOfTwo(now, random, candidates, ask.Standing)
}

func filter(backends []*Backend, keep func(*Backend) bool) []*Backend {
	var kept []*Backend
	for _, b := range backends {
		if keep(b) {
			kept = append(kept, b)
		}
	}
	return kept
}

func pickOfTwo(now time.Time, random *rand.Rand, candidates []*Backend, standing bool) *Backend {
	if len(candidates) == 0 {
		return nil
	}
	first := random.IntN(len(candidates))
	if len(candidates) == 1 {
		return candidates[first]
	}
	second := random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	a, b := candidates[first], candidates[second]
	if standing {
		if b.standing < a.standing {
			return b
		}
		return a
	}
	typical := typicalLatency(candidates)
	if b.expected(now, typical) < a.expected(now, typical) {
		return b
	}
	return a
}

// typicalLatency returns the median latency of those that have one, nanoseconds.
func typicalLatency(backends []*Backend) float64 {
	known := make([]float64, 0, len(backends))
	for _, b := range backends {
		if b.latency > 0 {
			known = append(known, b.latency)
		}
	}
	if len(known) == 0 {
		return float64(minimumLatency)
	}
	sort.Float64s(known)
	return known[len(known)/2]
}
