package dispatch

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// taskKind draws tasks of an image: 3 of 100 take seven times as long, and declared
// durations are off.
type taskKind struct {
	random                 *rand.Rand
	typical, spread, error float64 // milliseconds; standard deviations of logarithms
	latency                float64 // milliseconds before a run progresses
	durations              *Durations
}

func drawKind(t *rapid.T) *taskKind {
	k := &taskKind{
		random:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		typical: rapid.Float64Range(300, 5000).Draw(t, "typical"),
		spread:  rapid.Float64Range(0.1, 0.6).Draw(t, "spread"),
		error:   rapid.Float64Range(0.2, 0.9).Draw(t, "error"),
		latency: rapid.Float64Range(0, toMS(startLatency)).Draw(t, "latency"), durations: NewDurations(),
	}
	k.learn()
	return k
}

func (k *taskKind) learn() {
	for range 2000 {
		group, took := k.draw()
		k.durations.Learn("q", group.EstimatedMs, took.Milliseconds())
		k.durations.RunTimes.Learn("q", group, took)
	}
}

func (k *taskKind) draw() (*api.TaskGroup, time.Duration) {
	usual := k.typical * math.Exp(k.spread*k.random.NormFloat64())
	declared := usual * math.Exp(k.error*k.random.NormFloat64())
	if k.random.Float64() < 0.03 {
		usual *= 7
	}
	return &api.TaskGroup{EstimatedMs: int64(declared) + 1, Image: "i"}, milliseconds(usual + k.latency)
}

// statusAt returns the status of a run that takes this long at full pace, after some
// work, and the time that is left. It was listed up to a second ago.
func (k *taskKind) statusAt(took, worked float64, pace int32) (RunStatus, time.Duration) {
	slow := FullPace / float64(pace)
	since := min(k.random.Float64()*1000, worked*slow)
	listed := max(worked-since/slow-k.latency, 0) / (took - k.latency)
	return RunStatus{
		Age: milliseconds(worked * slow), Lost: milliseconds(worked * (slow - 1)), Pace: pace,
		Percent: int32(listed * FullPace), ListedAgo: milliseconds(since),
	}, milliseconds((took - worked) * slow)
}

// Guards against bands that promise more or less than nine ends in ten, at the start
// of a run, later by its age, and by its percent. The tolerance is 0.06. The
// standard errors of 800 runs and of a decile of what is learnt are about 0.01 each.
func TestForecastsHoldInNineOfTenCases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := drawKind(t)
		pace := int32(rapid.SampledFrom([]int{100, 60, 20}).Draw(t, "pace"))
		var held, runs [3]float64
		for range 1600 {
			group, took := k.draw()
			check := func(i int, status RunStatus, left time.Duration) {
				band := k.durations.RunTimes.Remaining("q", group, status, false)
				runs[i]++
				if left <= band.Latest {
					held[i]++
				}
			}
			check(0, RunStatus{Pace: pace}, took*FullPace/time.Duration(pace))
			worked := k.random.Float64() * k.typical // whatever the run takes
			if worked >= toMS(took) {
				continue
			}
			status, left := k.statusAt(toMS(took), worked, pace)
			check(2, status, left)
			status.Percent = 0
			check(1, status, left)
		}
		for i, when := range []string{"at the start", "by age", "by percent"} {
			if share := held[i] / runs[i]; share < 0.84 || i < 2 && share > 0.96 {
				t.Errorf("%s: %.3f of %.0f forecasts held", when, share, runs[i])
			}
		}
	})
}

// Guards against times that a plan can't use: negative ones, and bands upside down,
// for any status that agents may report.
func TestBandsAreOrderedAndNeverNegative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := drawKind(t)
		duration := rapid.Int64Range(-1000, 1<<40)
		status := RunStatus{
			Age: time.Duration(duration.Draw(t, "age")), Percent: rapid.Int32Range(-1, 101).Draw(t, "percent"),
			Pace: rapid.Int32Range(-1, 100).Draw(t, "pace"), Lost: time.Duration(duration.Draw(t, "lost")),
			ListedAgo: time.Duration(duration.Draw(t, "listed")), BasePercent: rapid.Int32Range(0, 100).Draw(t, "base"),
			BaseAge: time.Duration(duration.Draw(t, "base age")),
		}
		group := &api.TaskGroup{EstimatedMs: rapid.Int64().Draw(t, "declared"), Image: rapid.SampledFrom([]string{"i", "new"}).Draw(t, "image")}
		band := k.durations.RunTimes.Remaining("q", group, status, rapid.Bool().Draw(t, "resumed"))
		if band.Likely < 0 || band.Likely > band.Latest || band.Latest > maxRemaining {
			t.Errorf("%+v", band)
		}
	})
}

// Guards against forecasts that ignore what is known of a run: a paced run, one that
// began from a checkpoint, and a long one that its percent gives away.
func TestRemainingFollowsPaceAndPercent(t *testing.T) {
	d := NewDurations()
	group := &api.TaskGroup{EstimatedMs: 2000, Image: "i"}
	for range 300 {
		d.RunTimes.Learn("q", group, 2*time.Second)
	}
	const s = time.Second
	for _, c := range []struct {
		name    string
		status  RunStatus
		resumed bool
		least   time.Duration // of the median
		most    time.Duration
	}{
		{"at the start", RunStatus{Pace: 100}, false, 19 * s / 10, 21 * s / 10},
		{"at a quarter of the pace", RunStatus{Pace: 25}, false, 76 * s / 10, 84 * s / 10},
		{"after 1 s", RunStatus{Age: s, Pace: 100}, false, 9 * s / 10, 11 * s / 10},
		{"after 1 s, half of it lost", RunStatus{Age: s, Lost: s / 2, Pace: 100}, false, 14 * s / 10, 16 * s / 10},
		{"resumed", RunStatus{Age: s / 10, Percent: 75, Pace: 100}, true, 4 * s / 10, 6 * s / 10},
		{"resumed, on a slow worker", RunStatus{Age: 3 * s, Percent: 60, BasePercent: 40, BaseAge: s, Pace: 100}, true, 35 * s / 10, 45 * s / 10},
		{"long, by its percent", RunStatus{Age: 7 * s, Percent: 50, Pace: 100}, false, 65 * s / 10, 75 * s / 10},
		{"outlived all that was learnt, without a percent", RunStatus{Age: 200 * s, Pace: 100}, false, 50 * s, 150 * s},
	} {
		if band := d.RunTimes.Remaining("q", group, c.status, c.resumed); band.Likely < c.least || band.Likely > c.most {
			t.Errorf("%s: %v, want a median from %v to %v", c.name, band, c.least, c.most)
		}
	}
}

// Failure: 3 of 100 tasks take seven times as long, and each got a copy that took as
// long. Guards as well against a slow worker that passes for a long task.
func TestLongTasksAreToldFromStragglers(t *testing.T) {
	d := NewDurations()
	group := &api.TaskGroup{EstimatedMs: 1000, Image: "i"}
	at := func(slower int) RunStatus {
		return RunStatus{Age: milliseconds(float64(400 * slower)), Percent: 40, Pace: 100}
	}
	if d.RunTimes.InherentlyLong("q", group, at(7), false) {
		t.Error("long tasks are known before any has ended")
	}
	for i := range 400 {
		took := time.Duration(900+i%20*10) * time.Millisecond
		if i%33 == 0 {
			took *= 7
		}
		d.RunTimes.Learn("q", group, took)
	}
	for slower, long := range map[int]bool{3: false, 7: true, 20: false} {
		if got := d.RunTimes.InherentlyLong("q", group, at(slower), false); got != long {
			t.Errorf("%d times as slow: inherently long %v", slower, got)
		}
	}
}

// Guards against memory that grows with the images that callers name, and against
// the loss of those in use.
func TestNumberOfLearntImagesIsBounded(t *testing.T) {
	d := NewDurations()
	used := &api.TaskGroup{EstimatedMs: 1000, Image: "used"}
	for i := range 10 * maxRunTimeKeys {
		d.RunTimes.Learn("q", &api.TaskGroup{EstimatedMs: 1000, Image: string(rune('a' + i))}, time.Second)
		d.RunTimes.Learn("other queue", used, 5*time.Second)
	}
	if n := len(d.RunTimes.learnt); n > maxRunTimeKeys {
		t.Errorf("%d keys", n)
	}
	if band := d.RunTimes.Remaining("q", used, RunStatus{Pace: 100}, false); band.Likely < 4*time.Second {
		t.Errorf("%v for an image that another queue runs, want about 5 s", band)
	}
}

// Failure: room that needs the ends of all of ten runs was there by Latest in 80 of
// 100 cases only, as each single end may come late. The tolerance is 0.06 as above.
func TestRoomThatNeedsAllEndsHoldsInNineOfTenCases(t *testing.T) {
	k := &taskKind{random: rand.New(rand.NewPCG(0, 1)), typical: 2000, spread: 0.4, error: 0.5, latency: 50, durations: NewDurations()}
	k.learn()
	held, cases := 0, 600
	for range cases {
		w := newFixture(t, 1)
		w.learned.Durations = k.durations
		var groups []*api.TaskGroup
		var statuses []RunStatus
		var last time.Duration
		for len(groups) < 10 {
			group, took := k.draw()
			if worked := k.random.Float64() * k.typical; worked < toMS(took) {
				status, left := k.statusAt(toMS(took), worked, 100)
				group.Count, group.MilliCpu = 1, 1000
				groups, statuses, last = append(groups, group), append(statuses, status), max(last, left)
			}
		}
		w.submit(urgentQueue, groups...)
		w.plan()
		w.change = func(in *Input) {
			in.Run = func(run jobs.RunID) (RunStatus, bool) { return statuses[run.Task.Group], true }
		}
		if at, known := w.roomAt(0, resource.Vector{MilliCPU: 10_000}); known && last <= at.Latest {
			held++
		}
	}
	if share := float64(held) / float64(cases); share < 0.84 {
		t.Errorf("%.3f held", share)
	}
}

func BenchmarkLearnRunTime(b *testing.B) {
	d, group := NewDurations(), &api.TaskGroup{EstimatedMs: 1000, Image: "i"}
	for b.Loop() {
		d.RunTimes.Learn("q", group, 1200*time.Millisecond)
	}
}
