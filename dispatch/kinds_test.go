package dispatch

import (
	"fmt"
	"testing"
	"time"

	"amaranthpaddle/jobs"
)

// kindsOf returns a model of 4 services and 8 best-effort images of two kinds each,
// in which interfering pairs cost 0.25. Of the last service only one image is known.
func kindsOf(t *testing.T) *kindModel {
	t.Helper()
	m := &kindModel{}
	for b := range 8 {
		m.bestEffort = append(m.bestEffort, fmt.Sprintf("b%d", b))
	}
	for s := range 4 {
		m.services = append(m.services, fmt.Sprintf("s%d", s))
		row := make([]evidence, 8)
		for b := range row {
			if s < 3 || b == 0 {
				row[b] = evidence{confidence: 0.9}
			}
			if s%2 == b%2 && row[b].confidence > 0 {
				row[b].cost = 0.25
			}
		}
		m.known = append(m.known, row)
	}
	return m
}

// Load pattern: a service begins beside best-effort images that were seen with other
// services. Seen on nilefeather-loft-grown and the large ballinure site: costs are
// either near 0 or 0.2 to 0.3, and services fall into three kinds by the images that
// interfere with them.
func TestCostsOfANewServiceArePredictedFromServicesOfItsKind(t *testing.T) {
	m := kindsOf(t)
	m.known[3][0] = evidence{}
	m.known[3][1] = evidence{cost: 0.25, confidence: 0.9} // as with s1
	predicted := m.predict()
	for b, cost := range predicted[3] {
		if interferes := b%2 == 1; interferes != (cost > interferingCost) {
			t.Errorf("image %d: predicted cost %.2f, interferes %v", b, cost, interferes)
		}
	}
}

func TestWithoutSamplesThePriorCostIsPredicted(t *testing.T) {
	m := kindsOf(t)
	for s := range m.known {
		clear(m.known[s])
	}
	for _, row := range m.predict() {
		for _, cost := range row {
			if cost != priorCost {
				t.Errorf("predicted cost %v", cost)
			}
		}
	}
}

// Guards against predictions that outweigh samples, on a fleet without kinds.
func TestSamplesOutweighPredictions(t *testing.T) {
	r := newRegression()
	r.prior["b"] = 0.25
	at := time.Unix(0, 0)
	for range 60 {
		at = at.Add(time.Second)
		r.add(at, observation{headroom: 0, cores: map[string]float64{"b": 2}, weight: 1})
	}
	if cost := r.solve()["b"]; cost > harmlessCost {
		t.Errorf("cost %.3f of a pair that does not interfere", cost)
	}
}

// Load pattern: the first seconds of a day. All pairs begin at once, and each best-effort
// image runs beside few services.
func TestInterferenceKnowsPairsThatNeverRanTogether(t *testing.T) {
	d := NewInterference()
	now := time.Unix(0, 0)
	cost := func(s, b int) float64 {
		if s%2 == b%2 {
			return 0.25
		}
		return 0
	}
	for step := range 80 {
		now = now.Add(500 * time.Millisecond)
		for worker := range 12 {
			s, b := worker%4, (worker+step)%8
			if s == 3 && b >= 4 {
				b -= 4 // these pairs never run together
			}
			cores := float64(2 + 2*(worker%3))
			run := jobs.RunID{Task: jobs.TaskID{Job: fmt.Sprintf("service%d", s), Index: int32(worker)}}
			headroom := 4 - cost(s, b)*cores
			d.Learn(fmt.Sprintf("w%d", worker), Sample{
				At:       now,
				Services: map[jobs.RunID]ServiceSample{run: {Image: fmt.Sprintf("s%d", s), Headroom: Headroom(headroom)}},
				Cores:    map[string]float64{fmt.Sprintf("b%d", b): cores},
			})
		}
	}
	for b := 4; b < 8; b++ {
		pair := Pair{"s3", fmt.Sprintf("b%d", b)}
		if got, want := d.PerCore(pair), cost(3, b); got > want+0.08 || got < want-0.1 {
			t.Errorf("%v costs %.2f, want about %.2f", pair, got, want)
		}
	}
}
