package jobcontrol

import (
	"sync/atomic"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against a leader that plans without a pause, and orders the same stops in each round,
// while it waits for a start that may still be carried out.
func TestOpenStartsDoNotCauseRounds(t *testing.T) {
	for name, open := range map[string]func(*fakeAgent, jobs.RunID){
		"agent is silent":                       func(*fakeAgent, jobs.RunID) {},
		"agent is silent, the job is cancelled": func(a *fakeAgent, _ jobs.RunID) { a.r.mustCall(cancel, testPath, nil, cancelled) },
		"agent has lost its session":            func(a *fakeAgent, _ jobs.RunID) { a.stream.cancel() },
		"next incarnation refuses the start":    func(a *fakeAgent, run jobs.RunID) { a.keepOpen([]jobs.RunID{run}) },
		"next incarnation, agent has lost its session": func(a *fakeAgent, run jobs.RunID) {
			a.keepOpen([]jobs.RunID{run})
			a.stream.cancel()
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				var rounds atomic.Int64
				r.server.Stop()
				r.server = New(Config{Replica: r.replica, State: r.state, Lease: testLease, Clock: time.Now, UnixTime: func() time.Time {
					rounds.Add(1) // a round takes the time of its batch
					return time.Now()
				}})
				r.server.Start()
				r.wait(100 * time.Millisecond)
				r.configure()
				a, b := r.connect("a"), r.connect("b")
				a.listed, b.listed = []*api.RunStatus{}, []*api.RunStatus{}
				r.reportFor(testLease+time.Second, a, b) // a new leader loses no runs
				a.drainDirectives()
				b.drainDirectives()
				r.mustCall(submit, testPath, oneTask(), accepted)
				r.wait(100 * time.Millisecond)
				ordered := a
				starts, _, _, _ := a.drainDirectives()
				if len(starts) == 0 {
					ordered = b
					starts, _, _, _ = b.drainDirectives()
				}
				open(ordered, starts[0])
				other := map[*fakeAgent]*fakeAgent{a: b, b: a}[ordered]
				rounds.Store(0)
				const waited = 6
				r.reportFor(waited*time.Second, other)
				if n := rounds.Load(); n > 20*waited {
					r.t.Errorf("%d rounds in %d s", n, waited)
				}
				n := 0
				for len(ordered.stream.directives) > 0 {
					if d := <-ordered.stream.directives; len(d.Stops) > 0 || d.ExpectedListed {
						n++
					}
				}
				if n > 2*waited {
					r.t.Errorf("%d directives with stops or the expected runs in %d s", n, waited)
				}
			})
		})
	}
}
