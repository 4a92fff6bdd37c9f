package jobs

import (
	"fmt"
	"testing"

	"amaranthpaddle/api"
)

// Guards against run times that are lost with a save that leaves them out, as of an older
// leader, that grow without bound, or that change in a state that shares them.
func TestSavedRunTimesAreMerged(t *testing.T) {
	f := newFixture(t)
	save := func(runTimes ...*api.RunTimesLearnt) {
		learnt := &api.Learnt{RunTimes: runTimes, Queues: []*api.QueueLearnt{{Queue: testQueue}}}
		f.mustApply(&api.JobChange{Body: &api.JobChange_Learnt{Learnt: learnt}})
	}
	read := func(s *State) (learnt *api.Learnt) {
		s.Read(func(view View) { learnt = view.Learnt() })
		return learnt
	}
	save(&api.RunTimesLearnt{Image: "a", Weight: 1}, &api.RunTimesLearnt{Queue: "a", Weight: 2})
	save(&api.RunTimesLearnt{Image: "a", Weight: 3})
	save()
	shared := f.state.Clone()
	if r := read(shared).RunTimes; len(r) != 2 || r[0].Weight != 2 || r[1].Weight != 3 || len(read(shared).Queues) != 1 {
		t.Errorf("%v", read(shared))
	}
	for i := range MaxRunTimeKeys {
		save(&api.RunTimesLearnt{Image: fmt.Sprint(i)})
	}
	if r := read(f.state).RunTimes; len(r) != MaxRunTimeKeys || r[0].Image != "0" {
		t.Errorf("%d keys, the oldest is %q", len(r), r[0].Image)
	}
	if r := read(shared).RunTimes; len(r) != 2 || r[1].Weight != 3 {
		t.Errorf("the copy changed: %v", r)
	}
}
