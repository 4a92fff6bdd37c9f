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

// simulation shows what workers with a replica of one service each would, whose
// load swings alike and which some images of best-effort work disturb.
type simulation struct {
	truth map[string]float64 // headroom for each core, by image
	now   time.Time
}

const simulatedLook = 500 * time.Millisecond

// undisturbed returns the headroom of a replica without neighbours.
func (s *simulation) undisturbed() float64 {
	phase := float64(s.now.UnixMilli()) / 20_000 * 2 * math.Pi
	return 6 * (1 - 0.48 - 0.24*math.Sin(phase))
}

// look shows one worker with these cores of best-effort work in use.
func (s *simulation) look(used map[string]float64) Look {
	headroom := s.undisturbed()
	cores := map[string]float64{}
	for image, n := range used {
		headroom -= s.truth[image] * n
		cores[image] = n
	}
	return showing(s.now, headroom, cores)
}

// showing returns a look at a worker with one service.
func showing(at time.Time, headroom float64, cores map[string]float64) Look {
	run := jobs.RunID{Task: jobs.TaskID{Job: "service"}, Number: 1}
	return Look{At: at, Cores: cores, Services: map[jobs.RunID]ServiceLook{
		run: {Image: "s", Headroom: Headroom(max(headroom, 0.1))},
	}}
}

func wantCost(t *testing.T, d *Disturbance, image string, least, most float64) {
	t.Helper()
	if cost := d.PerCore(Pair{"s", image}); cost < least || cost > most {
		t.Errorf("image %s costs %.3f a core, want %.3f to %.3f", image, cost, least, most)
	}
}

// Load pattern: the service's load swings over 20 s while best-effort tasks of
// several images come and go every other second.
func TestCostsOfPairsAreLearntDespiteTheServicesOwnLoad(t *testing.T) {
	for _, workers := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d workers", workers), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			s := &simulation{now: time.Unix(1000, 0), truth: map[string]float64{"heavy": 0.25, "light": 0, "other": 0}}
			d := NewDisturbance()
			used := make([]map[string]float64, workers)
			for range 240 {
				s.now = s.now.Add(simulatedLook)
				for w := range used {
					if used[w] == nil {
						used[w] = map[string]float64{}
					}
					used[w][[]string{"heavy", "light", "other"}[random.IntN(3)]] = float64(random.IntN(3)) * 3
					d.Learn(fmt.Sprint(w), s.look(used[w]))
				}
			}
			wantCost(t, d, "heavy", 0.15, 0.35)
			wantCost(t, d, "light", 0, harmlessCore)
			wantCost(t, d, "other", 0, harmlessCore)
		})
	}
}

// Load pattern: paces follow the headroom, so that costly work runs fastest when
// the load falls. Seen on ballinure-sched: costs of 0.15 fell to 0 within 30 s.
func TestCostsAreNotUnlearntWhenPacesFollowTheLoad(t *testing.T) {
	s := &simulation{now: time.Unix(1000, 0), truth: map[string]float64{"heavy": 0.15}}
	d := NewDisturbance()
	for range 240 {
		s.now = s.now.Add(simulatedLook)
		free := max(s.undisturbed()-spareHeadroom, 0) / 0.15
		for w, most := range []float64{8, 4, 0} {
			d.Learn(fmt.Sprint(w), s.look(map[string]float64{"heavy": min(free, most)}))
		}
	}
	wantCost(t, d, "heavy", 0.12, 0.18)
}

// On the small sites costs were unlearnt as soon as they were met: a service
// over its target recovers only after its queue has drained.
func TestAServiceOverItsTargetIsNotLearntFrom(t *testing.T) {
	d := NewDisturbance()
	at := time.Unix(1000, 0)
	show := func(headroom, cores float64) {
		at = at.Add(simulatedLook)
		d.Learn("w", showing(at, headroom, map[string]float64{"heavy": cores}))
	}
	show(3, 0)
	show(0.3, 6)
	learnt := d.PerCore(Pair{"s", "heavy"})
	if learnt < 0.2 {
		t.Fatalf("cost %.2f after it pushed a service over its target", learnt)
	}
	show(0.2, 0) // paused; the queue still drains
	show(0.4, 0)
	show(2, 0)
	if cost := d.PerCore(Pair{"s", "heavy"}); cost < learnt {
		t.Errorf("the cost fell from %.2f to %.2f while the queue drained", learnt, cost)
	}
}

// Ends of runs bring looks that are close to each other. Seen on ballinure-sched:
// the look at which a service went over its target followed another too soon,
// and the next one did not count, so that its cause was never learnt.
func TestAFallBetweenTwoCloseLooksIsLearnt(t *testing.T) {
	d := NewDisturbance()
	at := time.Unix(1000, 0)
	d.Learn("w", showing(at, 3, nil))
	d.Learn("w", showing(at.Add(200*time.Millisecond), 0.4, map[string]float64{"heavy": 6}))
	d.Learn("w", showing(at.Add(500*time.Millisecond), 0.3, map[string]float64{"heavy": 6}))
	wantCost(t, d, "heavy", 0.2, 1)
}

func TestWhatWasLearntOutlivesTheLeader(t *testing.T) {
	k := NewKnowledge(nil)
	k.Disturbance.Recall(Known{Pair{"s", "heavy"}, 0.3})
	for range 50 {
		k.Durations.Learn("q", 1000, 400)
	}
	k.Works.Learn("q", 12)
	next := NewKnowledge(k.Learnt())
	if cost := next.Disturbance.PerCore(Pair{"s", "heavy"}); cost != 0.3 {
		t.Errorf("cost %.2f", cost)
	}
	if a, b := k.Durations.Expect("q", 900), next.Durations.Expect("q", 900); a != b {
		t.Errorf("expected duration %.0f, before %.0f", b, a)
	}
	if a, b := k.Works.Worth("q", 6), next.Works.Worth("q", 6); a != b {
		t.Errorf("worth %.2f, before %.2f", b, a)
	}
}

// Declared durations are far off: the logarithm of a declaration has four times
// the spread of the truth and hardly follows it.
func TestDurationsAreExpectedFromWhatWasSeen(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	d := NewDurations()
	if got := d.Expect("q", 700); math.Abs(got-700) > 1 {
		t.Errorf("%.0f ms expected of a queue not met, want what is declared", got)
	}
	for range 300 {
		truth := 800 * math.Exp(0.4*random.NormFloat64())
		declared := truth * math.Exp(0.9*random.NormFloat64())
		d.Learn("q", int64(declared), int64(truth))
	}
	for _, declared := range []int64{200, 800, 3000} {
		if got := d.Expect("q", declared); got < 500 || got > 1300 {
			t.Errorf("%.0f ms expected of a task declared with %d ms, want about 800", got, declared)
		}
	}
}

func TestPaceGoesDownForCostlyRunsOnlyAndComesBack(t *testing.T) {
	costs := map[Pair]float64{{"s", "heavy"}: 0.4, {"s", "light"}: 0}
	perCore := func(pair Pair) float64 { return costs[pair] }
	fillers := []Filler{{"heavy", 3, 3}, {"light", 5, 5}}
	p := NewPacing()
	cases := []struct {
		name             string
		headroom         Headroom
		heavyLow, heavyH int
		light            int
	}{
		{"calm", 4, 100, 100, 100},
		{"the spare headroom is used up", 1.2, 1, 99, 100},
		{"over the target", 0.8, 0, 60, 100},
		{"still over it", 0.8, 0, 30, 100},
		{"and on", 0.8, 0, 30, 100},
		{"for two seconds: all are paused", 0.8, 0, 0, 0},
		{"recovering", 1.1, 0, 30, 100},
		{"calm again", 4, 10, 100, 100},
		{"calm", 4, 10, 100, 100},
		{"calm", 4, 10, 100, 100},
		{"calm for long", 4, 100, 100, 100},
	}
	for _, c := range cases {
		paces := p.Look([]Serving{{"s", c.headroom}}, fillers, perCore)
		if paces[0] < c.heavyLow || paces[0] > c.heavyH || paces[1] != c.light {
			t.Errorf("%s: paces %v, want %d to %d and %d", c.name, paces, c.heavyLow, c.heavyH, c.light)
		}
	}
}

// Load pattern: more best-effort work stands beside a service than it can spare
// headroom for. Work that costs it little goes on; the costly waits.
func TestSpareHeadroomGoesToWhatCostsLeast(t *testing.T) {
	costs := map[Pair]float64{{"s", "heavy"}: 0.4, {"s", "mild"}: 0.1, {"s", "light"}: 0.01}
	perCore := func(pair Pair) float64 { return costs[pair] }
	fillers := []Filler{{"heavy", 0, 4}, {"mild", 0, 4}, {"light", 0, 20}}
	paces := NewPacing().Look([]Serving{{"s", spareHeadroom + 0.8}}, fillers, perCore)
	if paces[0] < 20 || paces[0] > 30 || paces[1] != FullPace || paces[2] != FullPace {
		t.Errorf("paces %v, want about a quarter for the costly and full pace for the others", paces)
	}
}

func TestObjectiveFollowsTheLongestChain(t *testing.T) {
	spec := &api.JobSpec{Groups: []*api.TaskGroup{
		{EstimatedMs: 100}, {EstimatedMs: 300}, {EstimatedMs: 400, DependsOn: []int32{0, 1}}, {EstimatedMs: 500, DependsOn: []int32{0}},
	}}
	queue := &api.JobQueue{SlackFactor: 2, TargetCompletionMs: 1000}
	expect := func(g *api.TaskGroup) float64 { return float64(g.EstimatedMs) }
	if got := Objective(queue, spec, expect); got != 2400*time.Millisecond {
		t.Errorf("objective %v, want 2.4 s", got)
	}
}
