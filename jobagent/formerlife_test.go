package jobagent

import (
	"testing"
	"time"
)

// Guards against a run that is placed elsewhere while its worker still runs it: until an
// incarnation has answered its first call, it takes the lease of any call that was meant for
// the incarnation before, which is as long as the worker grants on its new clock.
func TestLeaseOfAnEarlierIncarnationIsCountedFromTheFirstAnswer(t *testing.T) {
	inBubble(t, func(r *rig) {
		run := testRun(1)
		r.register(1, false)
		r.grantLease(4 * time.Second)
		r.wait(time.Minute)
		late := StartRequest{Run: testRun(9), DeadlineMS: r.worker.clockMS() + 4000, Fence: fencingToken(r.worker.born, 1)}
		r.restartWorker(0)
		r.worker.set(func() { r.worker.hang = true })
		r.register(1, false)
		r.wait(2 * time.Second)
		late.DeadlineMS = min(late.DeadlineMS, r.worker.clockMS()+testLeaseLimit.Milliseconds()) // as the worker shortens it
		if err := r.worker.executeStart(late); err != nil {
			t.Fatalf("a worker that has answered no call refused one for its earlier incarnation: %v", err)
		}
		r.worker.set(func() { r.worker.hang = false })
		r.grantLease(4 * time.Second)
		r.wait(600 * time.Millisecond)
		r.start(run)
		r.wait(100 * time.Millisecond)
		r.worker.set(func() { r.worker.hang = true })
		for r.outcome(run) == none {
			r.wait(50 * time.Millisecond)
		}
		if remaining := r.worker.deadline - r.worker.clockMS(); remaining > 0 {
			t.Errorf("the run is reported lost, but the worker's lease lasts for another %d ms", remaining)
		}
	})
}
