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
	image := func(i int) *api.TaskGroup {
		return &api.TaskGroup{Image: fmt.Sprintf("registry/image-%02d", i), EstimatedMs: 1000}
	}
	forecast := func(k Knowledge, group *api.TaskGroup) Band {
		return k.Durations.RunTimes.Remaining(batchQueue, group, RunStatus{Pace: FullPace}, false)
	}
	savedIn, saved := map[string]int{}, map[string]Band{} // number of the latest save of an image, and the forecast then
	for save := range saves {
		for i := earlier * min(save, 1); i < images; i++ {
			ends := 1 + random.IntN(4)
			if i >= images-3 {
				ends = 270
			}
			for range ends {
				k.Durations.RunTimes.Learn(batchQueue, image(i), milliseconds(float64(300*(1+i))*math.Exp(0.3*random.NormFloat64())))
			}
		}
		learnt := k.Learnt(budget)
		if size := proto.Size(&api.Learnt{RunTimes: learnt.RunTimes}); size > budget {
			t.Errorf("a save has %d bytes", size)
		}
		for _, r := range learnt.RunTimes {
			savedIn[r.Image], saved[r.Image] = save, forecast(k, &api.TaskGroup{Image: r.Image, EstimatedMs: 1000})
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
		was, is, age := saved[image(i).Image], forecast(next, image(i)), saves-1-savedIn[image(i).Image]
		if age > 8 || math.Abs(toMS(is.Likely)/toMS(was.Likely)-1) > 0.001 || math.Abs(toMS(is.Latest)/toMS(was.Latest)-1) > 0.001 {
			t.Errorf("image %d: forecast %v, %v when saved, %d saves ago", i, is, was, age)
		}
	}
}

// Guards against a restored tail that differs from the saved one, a distribution that is
// taken from a message that is not valid or comes from a build with other buckets, and
// saves of what is unchanged or never fits.
func TestRestoredRunTimesAreTheSavedOnes(t *testing.T) {
	d, next, group := NewDurations(), NewDurations(), &api.TaskGroup{EstimatedMs: 1000}
	for i := range 500 {
		d.RunTimes.Learn(batchQueue, group, milliseconds(500+float64(i%97)*float64(i%13)))
	}
	saved := d.RunTimes.Learnt(2000)
	next.RunTimes.Restore(saved)
	was, is := d.RunTimes.of(batchQueue, group), next.RunTimes.of(batchQueue, group)
	for _, share := range []float64{0.99, 0.5, 0.1, 0.01, 0.001, 1e-6} {
		if a, b := was.estimate*was.ratios.exceededBy(share), is.estimate*is.ratios.exceededBy(share); math.Abs(a/b-1) > 0.02 {
			t.Errorf("%g of the runs exceed %.0f ms, restored %.0f ms", share, a, b)
		}
	}
	for i, change := range []func(*api.RunTimesLearnt){
		func(r *api.RunTimesLearnt) { r.Shares = nil },
		func(r *api.RunTimesLearnt) { r.Shares = append(r.Shares, 1) },
		func(r *api.RunTimesLearnt) { r.Shares[3] = 20_000_000 },
		func(r *api.RunTimesLearnt) { r.Shares[distributionBuckets] = 0 },
		func(r *api.RunTimesLearnt) { r.MeanY = float32(math.NaN()) },
		func(r *api.RunTimesLearnt) { r.Runs = 1e9 },
	} {
		bad, next := proto.CloneOf(saved[0]), NewDurations()
		change(bad)
		if next.RunTimes.Restore([]*api.RunTimesLearnt{bad}); len(next.RunTimes.learnt) > 0 {
			t.Errorf("invalid message %d restored", i)
		}
	}
	for range 2 {
		if d.RunTimes.Changed() || len(d.RunTimes.Learnt(2000)) > 0 {
			t.Error("run times are saved again, or wait for a save for ever")
		}
		d.RunTimes.Learn(batchQueue, &api.TaskGroup{Image: strings.Repeat("i", 3000), EstimatedMs: 1000}, milliseconds(500))
		d.RunTimes.Learnt(2000)
	}
}
