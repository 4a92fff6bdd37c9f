package routing

import (
	"math/rand/v2"
	"sort"
	"time"
)

// PickInfo describes the attempt for which Pick chooses a backend server.
type PickInfo struct {
	Standing bool
	Probe    bool            // the attempt may probe a backend server that is being avoided
	Tried    map[string]bool // IDs of backend servers that were already tried for this request
}

// Pick chooses a backend server by the power of two choices: of two random
// candidates, it takes the one with the lower expected latency or, for a
// standing stream, the one with fewer standing streams. Backend servers that
// were tried are never candidates. Full ones, except for standing streams, and
// then avoided ones are candidates only if there are no others. If info.Probe is
// set, an avoided backend server that is due for a probe comes first. Pick
// returns nil when all were tried.
func Pick(now time.Time, random *rand.Rand, backends []*Backend, info PickInfo) *Backend {
	if info.Probe {
		if probe := probeCandidate(now, backends, info.Tried); probe != nil {
			return probe
		}
	}
	avoided := updateAvoided(now, backends)
	candidates := filter(backends, func(b *Backend) bool {
		return !info.Tried[b.ID] && !avoided[b] && (info.Standing || !b.Full(now))
	})
	if len(candidates) == 0 {
		candidates = filter(backends, func(b *Backend) bool { return !info.Tried[b.ID] && !avoided[b] })
	}
	if len(candidates) == 0 {
		candidates = filter(backends, func(b *Backend) bool { return !info.Tried[b.ID] })
	}
	return pickOfTwo(now, random, candidates, info.Standing)
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
		if b.standingStreams < a.standingStreams {
			return b
		}
		return a
	}
	median := medianLatency(candidates)
	if b.expectedLatency(now, median) < a.expectedLatency(now, median) {
		return b
	}
	return a
}

// medianLatency returns the median latency, in nanoseconds, of the backend
// servers with a measured latency, or minLatency if there are none.
func medianLatency(backends []*Backend) float64 {
	known := make([]float64, 0, len(backends))
	for _, b := range backends {
		if b.latency > 0 {
			known = append(known, b.latency)
		}
	}
	if len(known) == 0 {
		return float64(minLatency)
	}
	sort.Float64s(known)
	return known[len(known)/2]
}
