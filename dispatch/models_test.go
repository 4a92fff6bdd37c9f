package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// simulation generates samples of workers with one replica of a service each.
// The load of the replicas changes in step, and some best-effort images
// interfere with them.
type simulation struct {
	costs map[string]float64 // headroom per core, by image
	now   time.Time
}

const sampleInterval = 500 * time.Millisecond

// baseHeadroom returns the headroom of a replica without best-effort work on
// its worker.
func (s *simulation) baseHeadroom() float64 {
	phase := float64(s.now.UnixMilli()) / 20_000 * 2 * math.Pi
	return 6 * (1 - 0.48 - 0.24*math.Sin(phase))
}

// sample returns a sample of a worker on which best-effort work uses these
// cores.
func (s *simulation) sample(used map[string]float64) Sample {
	headroom := s.baseHeadroom()
	cores := map[string]float64{}
	for image, n := range used {
		headroom -= s.costs[image] * n
		cores[image] = n
	}
	return sampleOf(s.now, headroom, cores)
}

// sampleOf returns a sample of a worker with one service.
func sampleOf(at time.Time, headroom float64, cores map[string]float64) Sample {
	run := jobs.RunID{Task: jobs.TaskID{Job: "service"}, Number: 1}
	return Sample{At: at, Cores: cores, Services: map[jobs.RunID]ServiceSample{
		run: {Image: "s", Headroom: Headroom(max(headroom, 0.1))},
	}}
}

func wantCost(t *testing.T, d *Interference, image string, least, most float64) {
	t.Helper()
	if cost := d.PerCore(Pair{"s", image}); cost < least || cost > most {
		t.Errorf("image %s costs %.3f per core, want %.3f to %.3f", image, cost, least, most)
	}
}

// Load pattern: the load of the service changes with a period of 20 s while
// best-effort tasks of several images come and go every other second.
func TestCostsAreLearntDespiteLoadSwings(t *testing.T) {
	for _, workers := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d workers", workers), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			s := &simulation{now: time.Unix(1000, 0), costs: map[string]float64{"heavy": 0.25, "light": 0, "other": 0}}
			d := NewInterference()
			used := make([]map[string]float64, workers)
			for range 240 {
				s.now = s.now.Add(sampleInterval)
				for w := range used {
					if used[w] == nil {
						used[w] = map[string]float64{}
					}
					used[w][[]string{"heavy", "light", "other"}[random.IntN(3)]] = float64(random.IntN(3)) * 3
					d.Learn(fmt.Sprint(w), s.sample(used[w]))
				}
			}
			wantCost(t, d, "heavy", 0.15, 0.35)
			wantCost(t, d, "light", 0, harmlessCost)
			wantCost(t, d, "other", 0, harmlessCost)
		})
	}
}

// Load pattern: paces follow the headroom, so that costly work runs fastest
// when the load falls. Guards against learnt costs that drop for that reason,
// as seen on ballinure-sched: from 0.15 to 0 within 30 s.
func TestCostsAreStableWhenPacesFollowLoad(t *testing.T) {
	s := &simulation{now: time.Unix(1000, 0), costs: map[string]float64{"heavy": 0.15}}
	d := NewInterference()
	for range 240 {
		s.now = s.now.Add(sampleInterval)
		free := max(s.baseHeadroom()-reservedHeadroom, 0) / 0.15
		for w, most := range []float64{8, 4, 0} {
			d.Learn(fmt.Sprint(w), s.sample(map[string]float64{"heavy": min(free, most)}))
		}
	}
	wantCost(t, d, "heavy", 0.12, 0.18)
}

// Guards against costs that drop right after they were learnt, as seen on the
// small sites: a service over its target recovers only after its queue has
// drained, so removing the best-effort work shows no effect at first.
func TestServiceOverTargetIsNotLearntFrom(t *testing.T) {
	d := NewInterference()
	at := time.Unix(1000, 0)
	learn := func(headroom, cores float64) {
		at = at.Add(sampleInterval)
		d.Learn("w", sampleOf(at, headroom, map[string]float64{"heavy": cores}))
	}
	learn(3, 0)
	learn(0.3, 6)
	learnt := d.PerCore(Pair{"s", "heavy"})
	if learnt < 0.2 {
		t.Fatalf("cost %.2f after the best-effort work pushed a service over its target", learnt)
	}
	learn(0.2, 0) // paused; the queue still drains
	learn(0.4, 0)
	learn(2, 0)
	if cost := d.PerCore(Pair{"s", "heavy"}); cost < learnt {
		t.Errorf("the cost fell from %.2f to %.2f while the queue drained", learnt, cost)
	}
}

// Ends of runs cause samples at short intervals. Guards against a failure seen
// on ballinure-sched: the sample at which a service went over its target
// followed the previous one too soon to be used, and the next one did not count
// because the service was over its target, so the cause was never learnt.
func TestDropBetweenCloseSamplesIsLearnt(t *testing.T) {
	d := NewInterference()
	at := time.Unix(1000, 0)
	d.Learn("w", sampleOf(at, 3, nil))
	d.Learn("w", sampleOf(at.Add(200*time.Millisecond), 0.4, map[string]float64{"heavy": 6}))
	d.Learn("w", sampleOf(at.Add(500*time.Millisecond), 0.3, map[string]float64{"heavy": 6}))
	wantCost(t, d, "heavy", 0.2, 1)
}

func TestModelsSurviveLeaderChange(t *testing.T) {
	k := NewKnowledge(nil)
	k.Interference.Restore(PairCost{Pair{"s", "heavy"}, 0.3})
	for range 50 {
		k.Durations.Learn("q", 1000, 400)
	}
	k.QueueWork.Learn("q", 12)
	next := NewKnowledge(k.Learnt(2000))
	if cost := next.Interference.PerCore(Pair{"s", "heavy"}); cost != 0.3 {
		t.Errorf("cost %.2f", cost)
	}
	if a, b := k.Durations.Estimate("q", 900), next.Durations.Estimate("q", 900); a != b {
		t.Errorf("expected duration %.0f, before %.0f", b, a)
	}
	if a, b := k.QueueWork.Value("q", 6), next.QueueWork.Value("q", 6); a != b {
		t.Errorf("value %.2f, before %.2f", b, a)
	}
}

// Declared durations are far off: their logarithms have four times the spread
// of those of the real durations and hardly correlate with them.
func TestDurationEstimatesFollowObservations(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	d := NewDurations()
	if got := d.Estimate("q", 700); math.Abs(got-700) > 1 {
		t.Errorf("estimate %.0f ms for a queue without observations, want the declared duration", got)
	}
	for range 300 {
		truth := 800 * math.Exp(0.4*random.NormFloat64())
		declared := truth * math.Exp(0.9*random.NormFloat64())
		d.Learn("q", int64(declared), int64(truth))
	}
	for _, declared := range []int64{200, 800, 3000} {
		if got := d.Estimate("q", declared); got < 500 || got > 1300 {
			t.Errorf("estimate %.0f ms for a task declared with %d ms, want about 800", got, declared)
		}
	}
}

func TestPaceDropsForCostlyRunsOnlyAndRecovers(t *testing.T) {
	costs := map[Pair]float64{{"s", "heavy"}: 0.4, {"s", "light"}: 0}
	perCore := func(pair Pair) float64 { return costs[pair] }
	runs := []BestEffortRun{{Image: "heavy", Cores: 3, FullPaceCores: 3}, {Image: "light", Cores: 5, FullPaceCores: 5}}
	p := NewPacer()
	cases := []struct {
		name                string
		headroom            Headroom
		heavyLow, heavyHigh int
		light               int
	}{
		{"calm", 4, 100, 100, 100},
		{"the spare headroom is used up", 1.2, 1, 99, 100},
		{"over the target", 0.8, 0, 60, 100},
		{"still over it", 0.8, 0, 30, 100},
		{"over it a third time", 0.8, 0, 30, 100},
		{"over it for two seconds, all are paused", 0.8, 0, 0, 0},
		{"recovering", 1.1, 0, 30, 100},
		{"calm again", 4, 10, 100, 100},
		{"calm", 4, 10, 100, 100},
		{"calm", 4, 10, 100, 100},
		{"calm for long", 4, 100, 100, 100},
	}
	for _, c := range cases {
		paces := p.Update([]ServiceHeadroom{{"s", c.headroom}}, runs, perCore)
		if paces[0] < c.heavyLow || paces[0] > c.heavyHigh || paces[1] != c.light {
			t.Errorf("%s: paces %v, want %d to %d and %d", c.name, paces, c.heavyLow, c.heavyHigh, c.light)
		}
	}
}

// Load pattern: a worker has more best-effort work than the headroom of its
// service allows. Runs with a low cost per core continue, the costly ones are
// throttled.
func TestSpareHeadroomGoesToCheapestRuns(t *testing.T) {
	costs := map[Pair]float64{{"s", "heavy"}: 0.4, {"s", "mild"}: 0.1, {"s", "light"}: 0.01}
	perCore := func(pair Pair) float64 { return costs[pair] }
	runs := []BestEffortRun{{Image: "heavy", FullPaceCores: 4}, {Image: "mild", FullPaceCores: 4}, {Image: "light", FullPaceCores: 20}}
	paces := NewPacer().Update([]ServiceHeadroom{{"s", reservedHeadroom + 0.8}}, runs, perCore)
	if paces[0] < 20 || paces[0] > 30 || paces[1] != FullPace || paces[2] != FullPace {
		t.Errorf("paces %v, want about a quarter for the costly run and full pace for the others", paces)
	}
}

func TestObjectiveFollowsCriticalPath(t *testing.T) {
	spec := &api.JobSpec{Groups: []*api.TaskGroup{
		{EstimatedMs: 100}, {EstimatedMs: 300}, {EstimatedMs: 400, DependsOn: []int32{0, 1}}, {EstimatedMs: 500, DependsOn: []int32{0}},
	}}
	queue := &api.JobQueue{SlackFactor: 2, TargetCompletionMs: 1000}
	expect := func(g *api.TaskGroup) float64 { return float64(g.EstimatedMs) }
	if got := Objective(queue, spec, expect); got != 2400*time.Millisecond {
		t.Errorf("objective %v, want 2.4 s", got)
	}
}
