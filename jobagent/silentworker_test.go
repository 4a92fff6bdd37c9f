package jobagent

import (
	"testing"
	"time"

	"amaranthpaddle/jobs"
)

// Guards against two runs of one task: the agent reports an unanswered start as lost while
// the next incarnation of a worker that it does not hear from may have carried it out, which
// takes the longest lease from then on.
func TestUnansweredStartOnASilentWorkerIsNotReportedLostWhileTheNextIncarnationMayRunIt(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.serve(4 * time.Second)
		r.worker.set(func() { r.worker.delayStarts = true })
		sent := time.Now()
		r.start(run)
		r.wait(50 * time.Millisecond)
		held := r.worker.delayedStarts[0]
		r.worker.set(func() { r.worker.hang = true })
		r.wait(jobs.StartDelayLimit - 100*time.Millisecond - time.Since(sent))
		r.worker.startedAt, r.worker.born = time.Now(), r.worker.born+1
		r.worker.fenced = map[jobs.RunID]bool{}
		if err := r.worker.executeStart(held); err != nil {
			r.t.Fatalf("a worker that has answered no call refused one for its earlier incarnation: %v", err)
		}
		begun := time.Now()
		for time.Since(begun) < testLeaseLimit {
			if r.outcome(run) == lost {
				r.t.Fatalf("reported lost %v after the next incarnation has begun it, whose lease lasts %v", time.Since(begun), testLeaseLimit)
			}
			r.wait(50 * time.Millisecond)
		}
	})
}
