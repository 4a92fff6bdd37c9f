package jobcontrol

import (
	"testing"
	"time"

	"amaranthpaddle/jobs"
)

// Guards against two runs of one task: an agent that was paused sends a start at any time
// within the lease under which it was ordered, and is then cut off. The start may be carried
// out until jobs.StartDelayLimit after it was sent, not after it was ordered.
func TestStartThatIsSentLateInTheLeaseStaysOpenFromThenOn(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.mustCall(submit, testPath, oneTask(), accepted)
		r.wait(100 * time.Millisecond)
		var sent time.Time
		for len(a.stream.directives) > 0 {
			d := <-a.stream.directives
			if len(d.Starts) > 0 {
				sent = time.Now().Add(3 * time.Second) // the lease that the agent was granted 150 ms ago lasts
			}
		}
		if sent.IsZero() {
			r.t.Fatal("no start on a")
		}
		a.stream.cancel()
		b := r.connect("b")
		for time.Since(sent) < jobs.StartDelayLimit {
			b.report()
			if again, _, _, _ := b.drainDirectives(); len(again) > 0 {
				r.t.Fatalf("run %v starts %v after the start of %v was sent, which has no answer", again[0], time.Since(sent), testRun)
			}
			r.wait(200 * time.Millisecond)
		}
	})
}
