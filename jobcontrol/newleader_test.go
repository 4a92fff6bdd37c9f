package jobcontrol

import (
	"testing"
	"time"

	"amaranthpaddle/api"
)

// Guards against a task that waits for longer than 7 s after its worker and the leader have
// ended at the same moment. The worker's id was new, so no call to an earlier incarnation can
// have given it a lease.
func TestTaskOfAWorkerThatEndedWithTheLeaderStartsInTime(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		a.listed = []*api.RunStatus{}
		r.reportFor(20*time.Second, a)
		r.mustCall(submit, testPath, oneTask(), accepted)
		r.wait(100 * time.Millisecond)
		starts, _, _, _ := a.drainDirectives()
		a.listRuns(starts...)
		a.report()
		ended := time.Now()
		a.stream.cancel()
		r.changeLeader()
		b := r.connect("b")
		for {
			b.report()
			if again, _, _, _ := b.drainDirectives(); len(again) > 0 {
				break
			}
			r.wait(200 * time.Millisecond)
		}
		if waited := time.Since(ended); waited > 7*time.Second {
			r.t.Errorf("the task starts again %v after its worker and the leader have ended", waited)
		}
	})
}
