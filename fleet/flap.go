package fleet

import (
	"math"
	"time"
)

// Limits of flap damping. Each return of a VM after a loss or a restart of its
// agent adds flapPenalty, which halves every flapHalfLife. At flapSuppress the
// VM's backend servers are withheld until the penalty is below flapReuse.
const (
	flapPenalty  = 1.0
	flapSuppress = 3.5
	flapReuse    = 1.5
	flapMaximum  = 6.0
	flapHalfLife = 60 * time.Second
)

// flapScore is a penalty that decays with time.
type flapScore struct {
	penalty float64
	atMS    int64 // when penalty was computed
}

// at returns the decayed penalty at nowMS.
func (f flapScore) at(nowMS int64) float64 {
	elapsed := float64(max(nowMS-f.atMS, 0))
	return f.penalty * math.Exp2(-elapsed/float64(flapHalfLife.Milliseconds()))
}

// add returns the score after one more flap.
func (f flapScore) add(nowMS int64) flapScore {
	return flapScore{min(f.at(nowMS)+flapPenalty, flapMaximum), nowMS}
}
