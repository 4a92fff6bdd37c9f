package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// simulation shows what a worker with one service would, whose load swings and
// which some images of best-effort work disturb.
type simulation struct {
	random *rand.Rand
	truth  map[string]float64 // headroom for each core, by image
	now    time.Time
	cores  map[string]float64
}

const simulatedLook = 500 * time.Millisecond

func (s *simulation) look() Look {
	s.now = s.now.Add(simulatedLook)
	phase := float64(s.now.UnixMilli()) / 20_000 * 2 * math.Pi
	headroom := 6 * (1 - 0.48 - 0.24*math.Sin(phase))
	for image, cores := range s.cores {
		headroom -= s.truth[image] * cores
	}
	run := jobs.RunID{Task: jobs.TaskID{Job: "service"}, Number: 1}
	cores := map[string]float64{}
	for image, n := range s.cores {
		cores[image] = n
	}
	return Look{At: s.now, Cores: cores, Services: map[jobs.RunID]ServiceLook{
		run: {Image: "s", Headroom: Headroom(max(headroom, 0.1))},
	}}
}

// Load pattern: the service's load swings over 20 s while best-effort tasks of
// several images come and go every other second.
func TestCostsOfPairsAreLearntDespiteTheServicesOwnLoad(t *testing.T) {
	s := &simulation{
		random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0), cores: map[string]float64{},
		truth: map[string]float64{"heavy": 0.25, "light": 0, "other": 0},
	}
	d := NewDisturbance()
	for range 240 {
		image := []string{"heavy", "light", "other"}[s.random.IntN(3)]
		s.cores[image] = float64(s.random.IntN(3)) * 3
		d.Learn("w", s.look())
	}
	if cost := d.PerCore(Pair{"s", "heavy"}); cost < 0.15 || cost > 0.4 {
		t.Errorf("the heavy image costs %.2f a core, want about 0.25", cost)
	}
	for _, image := range []string{"light", "other"} {
		if cost := d.PerCore(Pair{"s", image}); cost > harmlessCore {
			t.Errorf("image %s costs %.2f a core, want it taken for harmless", image, cost)
		}
	}
}

// On the small sites costs were unlearnt as soon as they were met: a service
// over its target recovers only after its queue has drained.
func TestAServiceOverItsTargetTeachesNothing(t *testing.T) {
	d := NewDisturbance()
	run := jobs.RunID{Task: jobs.TaskID{Job: "service"}, Number: 1}
	at := time.Unix(1000, 0)
	show := func(headroom Headroom, cores float64) {
		at = at.Add(simulatedLook)
		d.Learn("w", Look{At: at, Cores: map[string]float64{"heavy": cores}, Services: map[jobs.RunID]ServiceLook{
			run: {Image: "s", Headroom: headroom},
		}})
	}
	show(3, 0)
	show(0.3, 6)
	learnt := d.PerCore(Pair{"s", "heavy"})
	if learnt <= harmlessCore {
		t.Fatalf("cost %.2f after it pushed a service over its target", learnt)
	}
	show(0.2, 0) // paused; the queue still drains
	show(0.4, 0)
	if cost := d.PerCore(Pair{"s", "heavy"}); cost < learnt {
		t.Errorf("the cost fell from %.2f to %.2f while the queue drained", learnt, cost)
	}
}

func TestWhatWasLearntOutlivesTheLeader(t *testing.T) {
	k := NewKnowledge(nil)
	k.Disturbance.Set(Known{Pair{"s", "heavy"}, 0.3})
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
