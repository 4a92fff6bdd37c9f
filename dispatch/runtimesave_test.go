package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against forecasts that begin anew with a leader, saves beyond their budget, and
// keys that are not saved because others change faster: three of 64 images have most of
// the ends, and some more were in use before. What the log keeps goes through a snapshot.
func TestNextLeaderForecastsWithSavedRunTimes(t *testing.T) {
	const images, earlier, saves, budget = 70, 6, 24, 2000
	random, k, w := rand.New(rand.NewPCG(1, 1)), NewKnowledge(nil), newFixture(t, 0)
	ageOfSave, forecast := map[string]int{}, map[string]Band{} // at the latest save of an image
	for save := range saves {
		for i := range images {
			if i < earlier && save > 0 {
				continue
			}
			ends := 1 + random.IntN(4)
			if i >= images-3 {
				ends = 270
			}
			group := &api.TaskGroup{Image: fmt.Sprintf("registry/image-%02d", i), EstimatedMs: 1000}
			for range ends {
				took := milliseconds(float64(300*(1+i)) * math.Exp(0.3*random.NormFloat64()))
				k.Durations.RunTimes.Learn(batchQueue, group, took)
			}
		}
		learnt := k.Learnt(budget)
		if size := proto.Size(&api.Learnt{RunTimes: learnt.RunTimes}); size > budget {
			t.Errorf("a save has %d bytes", size)
		}
		for _, r := range learnt.RunTimes {
			group := &api.TaskGroup{Image: r.Image, EstimatedMs: 1000}
			ageOfSave[r.Image], forecast[r.Image] = save, k.Durations.RunTimes.Remaining(batchQueue, group, RunStatus{Pace: FullPace}, false)
		}
		w.apply(&api.JobChange{Body: &api.JobChange_Learnt{Learnt: learnt}})
	}
	data, err := w.state.Snapshot()
	if err != nil || w.state.Restore(data) != nil {
		t.Fatal(err)
	}
	var next Knowledge
	w.state.Read(func(view jobs.View) { next = NewKnowledge(view.Learnt()) })
	if n := len(next.Durations.RunTimes.learnt); n != maxRunTimeKeys {
		t.Errorf("%d keys are kept", n)
	}
	for i := earlier; i < images; i++ {
		group := &api.TaskGroup{Image: fmt.Sprintf("registry/image-%02d", i), EstimatedMs: 1000}
		if age := saves - 1 - ageOfSave[group.Image]; age > 8 {
			t.Errorf("%s was saved %d saves ago", group.Image, age)
		}
		was, is := forecast[group.Image], next.Durations.RunTimes.Remaining(batchQueue, group, RunStatus{Pace: FullPace}, false)
		for _, b := range [][2]float64{{toMS(was.Likely), toMS(is.Likely)}, {toMS(was.Latest), toMS(is.Latest)}} {
			if math.Abs(b[1]/b[0]-1) > 0.001 {
				t.Errorf("%s: forecast %v, before %v", group.Image, is, was)
			}
		}
	}
}

// Guards against a restored distribution that differs from the saved one, or that is
// taken from a message that is not valid or comes from a build with other buckets.
func TestRestoredRunTimesAreTheSavedOnes(t *testing.T) {
	d := NewDurations()
	group := &api.TaskGroup{EstimatedMs: 1000}
	for i := range 500 {
		d.RunTimes.Learn(batchQueue, group, milliseconds(500+float64(i%97)*float64(i%13)))
	}
	saved := d.RunTimes.Learnt(2000)
	next := NewDurations()
	next.RunTimes.Restore(saved)
	was, is := d.RunTimes.of(batchQueue, group), next.RunTimes.of(batchQueue, group)
	for _, share := range []float64{0.99, 0.5, 0.1, 0.01, 0.001, 1e-6} {
		if a, b := was.estimate*was.ratios.exceededBy(share), is.estimate*is.ratios.exceededBy(share); math.Abs(a/b-1) > 0.02 {
			t.Errorf("%g of the runs exceed %.0f ms, restored %.0f ms", share, a, b)
		}
	}
	if d.RunTimes.Changed() || len(d.RunTimes.Learnt(2000)) > 0 {
		t.Error("what is unchanged is saved again")
	}
	for name, change := range map[string]func(*api.RunTimesLearnt){
		"no shares":       func(r *api.RunTimesLearnt) { r.Shares = nil },
		"other buckets":   func(r *api.RunTimesLearnt) { r.Shares = append(r.Shares, 1) },
		"shares beyond 1": func(r *api.RunTimesLearnt) { r.Shares[3] = 20_000_000 },
		"no tail":         func(r *api.RunTimesLearnt) { r.Shares[distributionBuckets] = 0 },
		"not a number":    func(r *api.RunTimesLearnt) { r.MeanY = float32(math.NaN()) },
		"weight":          func(r *api.RunTimesLearnt) { r.Runs = 1e9 },
	} {
		bad, next := proto.CloneOf(saved[0]), NewDurations()
		change(bad)
		if next.RunTimes.Restore([]*api.RunTimesLearnt{bad}); len(next.RunTimes.learnt) > 0 {
			t.Errorf("%s: restored", name)
		}
	}
	long := &api.TaskGroup{Image: strings.Repeat("i", 3000), EstimatedMs: 1000}
	d.RunTimes.Learn(batchQueue, long, milliseconds(500))
	if len(d.RunTimes.Learnt(2000)) > 0 || d.RunTimes.Changed() {
		t.Error("a key that exceeds the budget waits for its save for ever")
	}
}
