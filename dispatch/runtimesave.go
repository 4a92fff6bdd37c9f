package dispatch

import (
	"cmp"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
)

// savedShareUnit is the unit of saved shares of a distribution. The share beyond the
// highest edge, from which the tail continues, is at least 30 units.
const savedShareUnit = 1e-7

// Changed reports whether ends were learnt that are not saved.
func (t *RunTimes) Changed() bool {
	for _, known := range t.learnt {
		if known.unsaved > 0 {
			return true
		}
	}
	return false
}

// Learnt returns changed distributions to save, encoded in at most budget bytes, and
// counts them as saved. Those that changed most come first, but all that have changed are
// saved once before any is saved again. A key that exceeds the budget by itself is never
// saved.
func (t *RunTimes) Learnt(budget int) []*api.RunTimesLearnt {
	if budget <= 0 {
		return nil
	}
	pending := t.pending()
	if len(pending) == 0 {
		t.round++
		pending = t.pending()
	}
	var saved []*api.RunTimesLearnt
	left := budget
	for _, key := range pending {
		known := t.learnt[key]
		message := known.message(key)
		size := proto.Size(&api.Learnt{RunTimes: []*api.RunTimesLearnt{message}})
		if size > budget {
			known.unsaved = 0
		}
		if size > left {
			continue
		}
		left -= size
		known.unsaved, known.savedRound = 0, t.round
		saved = append(saved, message)
	}
	return saved
}

// pending returns the changed keys that were not saved in this round, the ones that
// changed most first: by the part of their distribution that is new.
func (t *RunTimes) pending() []runTimeKey {
	var keys []runTimeKey
	for key, known := range t.learnt {
		if known.unsaved > 0 && known.savedRound < t.round {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b runTimeKey) int {
		return cmp.Or(-cmp.Compare(t.learnt[a].change(), t.learnt[b].change()),
			cmp.Compare(a.image, b.image), cmp.Compare(a.queue, b.queue))
	})
	return keys
}

func (r *runTime) change() float64 { return float64(r.unsaved) / r.ratios.weight }

func (r *runTime) message(key runTimeKey) *api.RunTimesLearnt {
	e := &r.estimates
	return &api.RunTimesLearnt{
		Image: key.image, Queue: key.queue,
		Weight: float32(e.weight), MeanX: float32(e.meanX), MeanY: float32(e.meanY), VarX: float32(e.varX), CovXy: float32(e.covXY),
		Runs: float32(r.ratios.weight), Shares: r.ratios.shares(),
	}
}

// shares returns the shares of the buckets and beyond the highest edge, in savedShareUnit.
func (d *distribution) shares() []uint32 {
	shares := make([]uint32, len(d.beyond))
	above := 0.0
	for i := len(shares) - 1; i >= 0; i-- {
		beyond := max(math.Round(d.beyond[i]/savedShareUnit), above)
		shares[i], above = uint32(beyond-above), beyond
	}
	return shares
}

// setShares restores the shares. It returns false if they are not those of a
// distribution with the same buckets.
func (d *distribution) setShares(shares []uint32) bool {
	if len(shares) != len(d.beyond) {
		return false
	}
	beyond := 0.0
	for i := len(shares) - 1; i >= 0; i-- {
		beyond += float64(shares[i]) * savedShareUnit
		d.beyond[i] = beyond
	}
	return math.Abs(beyond-1) < 0.001 && shares[len(shares)-1] > 0
}

// Restore adds distributions that earlier leaders saved, the ones saved longest ago
// first. It leaves out what is not valid, and what exceeds maxRunTimeKeys.
func (t *RunTimes) Restore(saved []*api.RunTimesLearnt) {
	for _, r := range saved[max(len(saved)-maxRunTimeKeys, 0):] {
		known := &runTime{estimates: durationStats{
			weight: float64(r.Weight), meanX: float64(r.MeanX), meanY: float64(r.MeanY),
			varX: float64(r.VarX), covXY: float64(r.CovXy),
		}}
		known.ratios.weight = float64(r.Runs)
		if !known.valid() || !known.ratios.setShares(r.Shares) {
			continue
		}
		t.ends++
		known.lastEnd = t.ends
		t.learnt[runTimeKey{r.Image, r.Queue}] = known
	}
}

// valid reports whether restored moments and weights are in their ranges.
func (r *runTime) valid() bool {
	e := &r.estimates
	for _, x := range []float64{e.meanX, e.meanY, e.varX, e.covXY} {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return false
		}
	}
	return e.weight >= 0 && e.weight <= maxDurationWeight && e.varX >= 0 &&
		r.ratios.weight >= 1 && r.ratios.weight <= maxDistributionWeight
}
