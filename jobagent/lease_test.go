package jobagent

import (
	"testing"
	"time"

	"amaranthpaddle/api"
)

// Guards against a lease that the leader has counted for nobody, or for another worker's
// life, and that is passed on to the worker: its runs outlive what the leader waits for.
func TestLeaseIsNotPassedOnToAnotherIncarnation(t *testing.T) {
	grant := func(r *rig, worker string) {
		r.agent.mu.Lock()
		defer r.agent.mu.Unlock()
		s := &leaderSession{agent: r.agent, sentAt: map[int64]time.Time{1: time.Now()}, answerTimer: time.NewTimer(time.Hour)}
		s.handleAck(&api.WorkerDirective{Acknowledged: 1, LeaseMs: 4000, Worker: worker})
	}
	cases := []struct {
		name    string
		granted func(r *rig)
		passed  bool
	}{
		{"granted before a worker has registered", func(r *rig) { grant(r, ""); r.register(1, false) }, false},
		{"granted to the former incarnation", func(r *rig) {
			r.register(1, false)
			grant(r, r.agent.current.key)
			r.worker.set(func() { r.worker.born = 9 })
			r.register(1, false)
		}, false},
		{"granted to no worker", func(r *rig) { r.register(1, false); grant(r, "") }, false},
		{"granted to the incarnation", func(r *rig) { r.register(1, false); grant(r, r.agent.current.key) }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				c.granted(r)
				r.wait(100 * time.Millisecond)
				r.worker.set(func() { r.worker.deadline = 0 })
				r.wait(1500 * time.Millisecond)
				if passed := r.worker.deadline > 0; passed != c.passed {
					t.Errorf("lease passed on to the worker: %v", passed)
				}
			})
		})
	}
}
