package jobcontrol

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// Failure: inherently long tasks were copied and moved as stragglers. Guards as well
// against learnt run times that change answers while all features are off.
func TestLongTaskIsNoStragglerWithAFeatureOnOnly(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		group := &api.TaskGroup{Count: 1, MilliCpu: 1000, EstimatedMs: 1000, Image: "i"}
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{group}}, accepted)
		r.wait(100 * time.Millisecond)
		r.withLeadership(func(l *leadership) {
			for i := range 400 {
				took := 900*time.Millisecond + time.Duration(i%20)*10*time.Millisecond
				if i%33 == 0 {
					took *= 7
				}
				l.knowledge.Durations.RunTimes.Learn("h /q/", group, took)
			}
		})
		for percent := int32(7); percent <= 56; percent += 7 { // about 7 s in all
			r.wait(450 * time.Millisecond)
			a.list(testRun, percent)
		}
		r.withLeadership(func(l *leadership) {
			for _, c := range []struct {
				policy dispatch.Policy
				behind bool
			}{{dispatch.Policy{}, true}, {dispatch.Policy{Preemption: true}, false}} {
				l.server.config.Policy = c.policy
				r.state.Read(func(view jobs.View) {
					if got := l.behind(view, testRun, l.server.now()); got != c.behind {
						t.Errorf("%+v: a long task is a straggler: %v", c.policy, got)
					}
				})
			}
			l.server.config.Policy = dispatch.Policy{}
		})
	})
}

// Guards against a percent that is long in coming and counts as a stall with a feature
// on, and against the leniency with all features off.
func TestStallAllowsForTheRateOfTheRunWithAFeatureOnOnly(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.withLeadership(func(l *leadership) {
			from := l.server.now()
			for second := range 24 { // 1 percent takes 2 s, until 10 percent
				l.progress.Record(testRun, int32(min(second/2, 10)), 100, from.Add(time.Duration(second)*time.Second))
			}
			for _, c := range []struct {
				policy  dispatch.Policy
				after   time.Duration
				stalled bool
			}{
				{dispatch.Policy{}, 23 * time.Second, true},
				{dispatch.Policy{Reservations: 1}, 23 * time.Second, false},
				{dispatch.Policy{Reservations: 1}, 27 * time.Second, true},
			} {
				l.server.config.Policy = c.policy
				if got := l.stalled(testRun, time.Second, from.Add(c.after)); got != c.stalled {
					t.Errorf("%+v, after %v: stalled %v", c.policy, c.after, got)
				}
			}
			l.server.config.Policy = dispatch.Policy{}
		})
	})
}

// Guards against ends that are not learnt, time lost to a lower pace that is learnt as
// work, and forecasts that are kept after their runs.
func TestEndsFeedRunTimesAndForecasts(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		group := &api.TaskGroup{Count: 1, MilliCpu: 1000, EstimatedMs: 1000, Image: "i"}
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{group}}, accepted)
		r.wait(100 * time.Millisecond)
		for _, percent := range []int32{30, 60, 90} {
			a.lists++
			a.listed = []*api.RunStatus{{Run: testRun.Ref(), Percent: percent, Pace: 50}}
			a.report()
			r.wait(time.Second)
		}
		r.withLeadership(func(l *leadership) {
			if !l.forecasts.Has(testRun, dispatch.ForecastAtStart) || !l.forecasts.Has(testRun, dispatch.ForecastAtListing) {
				t.Error("no forecasts")
			}
			if lost, _ := l.progress.Lost(testRun, l.server.now()); lost < 1500*time.Millisecond || lost > 1700*time.Millisecond {
				t.Errorf("%v lost at half the pace for 3.15 s", lost)
			}
		})
		a.listed = nil
		a.end(testRun, api.RunOutcome_RUN_OUTCOME_DONE)
		r.wait(100 * time.Millisecond)
		r.withLeadership(func(l *leadership) {
			got := median(l.knowledge.Durations, group)
			for took, above := range map[time.Duration]bool{1500 * time.Millisecond: false, 1900 * time.Millisecond: true} {
				other := dispatch.NewDurations()
				other.RunTimes.Learn("h /q/", group, took)
				if m := median(other, group); m == got || m > got != above {
					t.Errorf("median %v after a run with 1.7 s of work, %v after one of %v", got, m, took)
				}
			}
			if l.forecasts.Has(testRun, dispatch.ForecastAtStart) {
				t.Error("the forecast is kept")
			}
		})
	})
}

func median(d *dispatch.Durations, group *api.TaskGroup) time.Duration {
	return d.RunTimes.Remaining("h /q/", group, dispatch.RunStatus{Pace: 100}, false).Likely
}
