package jobagent

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// startMany starts more runs than a worker lists ends at a time, and ends them while the
// leader records none.
func startMany(r *rig) []jobs.RunID {
	var runs []jobs.RunID
	for number := int32(1); number <= maxListedEnds+200; number++ {
		runs = append(runs, testRun(number))
	}
	r.serve(time.Minute)
	r.start(runs...)
	r.wait(time.Second)
	for _, run := range runs {
		r.worker.end(run, done)
	}
	return runs
}

// record makes the leader record what the agent reports until all runs have ended, and
// checks that each was reported as it ended.
func (r *rig) record(runs []jobs.RunID) {
	r.t.Helper()
	reported := map[jobs.RunID]api.RunOutcome{}
	for range 5 {
		r.wait(2 * time.Second)
		recorded := &api.WorkerDirective{}
		for _, end := range r.buildReport().Ends {
			if id := jobs.RunIDOf(end.Run); reported[id] == none {
				reported[id] = end.Outcome // the leader acts on the first
			}
			recorded.Recorded = append(recorded.Recorded, end.Run)
		}
		r.sendDirective(recorded)
	}
	wrong := 0
	for _, run := range runs {
		if reported[run] != done {
			wrong++
		}
	}
	if wrong > 0 {
		r.t.Errorf("%d of %d runs that ended were reported otherwise", wrong, len(runs))
	}
}

// Guards against ends that don't fit into a worker's response and are taken for lost runs,
// whose tasks then start elsewhere: while the leader records none, the worker returns the
// same ends again and again.
func TestRunsWhoseEndsAreNotListedYetAreNotLost(t *testing.T) {
	inBubble(t, func(r *rig) { r.record(startMany(r)) })
}

// Guards against the same at an agent that was restarted, and knows none of the runs that
// the leader expects on the worker.
func TestRestartedAgentWaitsForTheEndsThatAreNotListedYet(t *testing.T) {
	inBubble(t, func(r *rig) {
		runs := startMany(r)
		r.restartAgent()
		r.serve(time.Minute)
		directive := &api.WorkerDirective{ExpectedListed: true}
		for _, run := range runs {
			directive.Expected = append(directive.Expected, run.Ref())
		}
		r.sendDirective(directive)
		r.record(runs)
	})
}
