package fleet

import (
	"math"
	"time"
)

// Parameters of flap damping. Each return of a VM after a loss and each restart
// of its agent adds flapPenalty to the VM's penalty, which halves every
// flapHalfLife and is capped at maxFlapPenalty. At flapSuppressThreshold the VM's
// backend servers are withdrawn until the penalty is below flapReuseThreshold.
const (
	flapPenalty           = 1.0
	flapSuppressThreshold = 3.5
	flapReuseThreshold    = 1.5
	maxFlapPenalty        = 6.0
	flapHalfLife          = 60 * time.Second
)

// flapScore is a penalty that decays exponentially with time.
type flapScore struct {
	penalty float64
	atMS    int64 // when penalty was computed, Unix milliseconds
}

// at returns the decayed penalty at nowMS.
func (f flapScore) at(nowMS int64) float64 {
	elapsed := float64(max(nowMS-f.atMS, 0))
	return f.penalty * math.Exp2(-elapsed/float64(flapHalfLife.Milliseconds()))
}

// add returns the score after one more flap.
func (f flapScore) add(nowMS int64) flapScore {
	return flapScore{min(f.at(nowMS)+flapPenalty, maxFlapPenalty), nowMS}
}
