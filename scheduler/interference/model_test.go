package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

const victimJob = "service/ledger"

// observeSamples adds noisy measurements of a victim: perCore is the true
// slowdown per core by job, offset the error of the reference, and load the
// true coefficient of the load.
func observeSamples(m *Model, rng *rand.Rand, at time.Time, count int, perCore map[string]float64, offset, load float64) time.Time {
	for range count {
		at = at.Add(10 * time.Second)
		x := Measurement{Job: victimJob, Offset: true, OwnLoad: 0.4, Load: 0.6 + 0.4*rng.Float64(), Slowdown: offset}
		x.Slowdown += load * (x.Load - loadThreshold)
		for i := range len(perCore) {
			job := fmt.Sprintf("job/%d", i)
			if rng.IntN(2) == 0 {
				continue
			}
			cores := 1 + 7*rng.Float64()
			x.Neighbours = append(x.Neighbours, Neighbour{job, cores})
			x.Slowdown += perCore[job] * cores
		}
		x.Slowdown += 0.05 * rng.NormFloat64()
		m.Observe(at, x)
	}
	return at
}

func wantNear(t *testing.T, what string, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance {
		t.Errorf("%s is %.4f, want %.4f", what, got, want)
	}
}

func TestInterferenceIsAttributedToTheRightPair(t *testing.T) {
	m := NewModel()
	rng := rand.New(rand.NewPCG(1, 1))
	perCore := map[string]float64{"job/0": 0.03, "job/1": 0, "job/2": 0.005, "job/3": 0}
	at := observeSamples(m, rng, start, 1500, perCore, -0.1, 0.5)
	view := m.View()
	for job, want := range perCore {
		wantNear(t, job, view.Slowdown(victimJob, job, 1), want, 0.003)
	}
	wantNear(t, "load", view.LoadSlowdown(victimJob, 1), 0.2, 0.06)
	wantNear(t, "offset", m.Offset(victimJob, 0.4), -0.1, 0.03)

	// When the roles change, the model follows, and the old view keeps its
	// values.
	perCore["job/0"], perCore["job/1"] = 0, 0.03
	observeSamples(m, rng, at.Add(5*halfLife), 1500, perCore, -0.1, 0.5)
	wantNear(t, "job/0 after the change", m.View().Slowdown(victimJob, "job/0", 1), 0, 0.004)
	wantNear(t, "job/1 after the change", m.View().Slowdown(victimJob, "job/1", 1), 0.03, 0.004)
	wantNear(t, "job/0 in the old view", view.Slowdown(victimJob, "job/0", 1), 0.03, 0.003)
}

func TestAnUnknownJobGetsTheDefaultSlowdown(t *testing.T) {
	wantNear(t, "unknown victim", NewModel().View().Slowdown(victimJob, "job/9", 2), 2*DefaultPerCore, 1e-9)
}

func TestThePairCountIsLimited(t *testing.T) {
	m := NewModel()
	for i := range 3 * maxPairs {
		m.Observe(start.Add(time.Duration(i)*time.Second), Measurement{
			Job: victimJob, Slowdown: 0.2, Neighbours: []Neighbour{{fmt.Sprintf("job/%d", i), 4}},
		})
	}
	v := m.victims[victimJob]
	if len(v.columns) != maxPairs || len(v.solution) != firstPairColumn+maxPairs {
		t.Errorf("%d pairs and %d columns", len(v.columns), len(v.solution))
	}
	if _, ok := v.columns[fmt.Sprintf("job/%d", 3*maxPairs-1)]; !ok {
		t.Error("the newest pair has no column")
	}
	m.Sweep(start.Add(time.Hour))
	if len(m.victims) != 0 {
		t.Error("an old victim was not deleted")
	}
}
