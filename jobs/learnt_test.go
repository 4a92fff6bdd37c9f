package jobs

import (
	"fmt"
	"testing"

	"amaranthpaddle/api"
)

// Guards against a zone that is lost with a snapshot, or that changes when a caller repeats
// its submission through another zone: the job would count for two callers. Guards also
// against saved run times that are lost with a save that leaves them out, as of an older
// leader, that grow without bound, or that change in a state that shares them.
func TestZonesAndRunTimesAreKept(t *testing.T) {
	f, copied := newFixture(t), NewState()
	for _, zone := range []string{"za", "zb", ""} { // older entries name none
		submission := submitChange(testJob, &api.TaskGroup{Count: 1})
		submission.GetSubmit().Zone = zone
		f.mustApply(submission)
	}
	save := func(runTimes ...*api.RunTimesLearnt) {
		f.mustApply(&api.JobChange{Body: &api.JobChange_Learnt{Learnt: &api.Learnt{RunTimes: runTimes}}})
	}
	save(&api.RunTimesLearnt{Image: "a", Weight: 1}, &api.RunTimesLearnt{Queue: "a", Weight: 2})
	save(&api.RunTimesLearnt{Image: "a", Weight: 3})
	save()
	snapshot, err := f.state.Snapshot()
	if err != nil || copied.Restore(snapshot) != nil {
		t.Fatal(err)
	}
	shared := f.state.Clone()
	for i := range MaxRunTimeKeys {
		save(&api.RunTimesLearnt{Image: fmt.Sprint(i)})
	}
	for _, state := range []*State{copied, shared} {
		state.Read(func(view View) {
			if r := view.Learnt().RunTimes; len(r) != 2 || r[0].Weight != 2 || r[1].Weight != 3 || view.Job(testJob).Zone != "za" {
				t.Errorf("%v, zone %q", r, view.Job(testJob).Zone)
			}
		})
	}
	if r := f.state.learnt.RunTimes; len(r) != MaxRunTimeKeys || r[0].Image != "0" {
		t.Errorf("%d keys, the oldest is %q", len(r), r[0].Image)
	}
}
