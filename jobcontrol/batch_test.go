package jobcontrol

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against jobs that wait for good while workers are free: a batch that failed reset
// the assumed state to the committed one, and the changes of another batch, which was
// outstanding and committed later, were missing in what was planned on from then on.
func TestPlanFollowsBatchesThatWereOutstandingWhenAnotherFailed(t *testing.T) {
	other := jobs.RunID{Task: jobs.TaskID{Job: "00000000000000bb"}, Number: 1}
	next := jobs.RunID{Task: jobs.TaskID{Job: testJob, Group: 1}, Number: 1}
	wanted := map[string][]jobs.RunID{"not proposed": {next}, "commit not known in time": {other, next}}
	failures := map[string]func(r *rig){
		"not proposed": func(r *rig) {
			r.replica.set(func() { r.replica.refusals = 1 })
			_, _ = r.call(submit, "/q/00000000000000bb", oneTask())
		},
		"commit not known in time": func(r *rig) {
			r.replica.set(func() { r.replica.commitDelay = commitTimeout + time.Second })
			_, _ = r.call(submit, "/q/00000000000000bb", oneTask())
			r.replica.set(func() { r.replica.commitDelay = commitDelay })
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.configure()
				r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{
					{Count: 2, MilliCpu: 1000}, {Count: 1, MilliCpu: 1000, DependsOn: []int32{0}},
				}}, accepted)
				a := r.connect("a")
				r.wait(time.Second)
				a.drainDirectives()
				r.replica.set(func() { r.replica.commitDelay = 200 * time.Millisecond })
				a.end(testRun, api.RunOutcome_RUN_OUTCOME_DONE)
				r.replica.set(func() { r.replica.commitDelay = commitDelay })
				fail(r)
				r.wait(time.Second)
				a.end(jobs.RunID{Task: jobs.TaskID{Job: testJob, Index: 1}, Number: 1}, api.RunOutcome_RUN_OUTCOME_DONE)
				for range 10 {
					a.report()
					r.wait(time.Second)
				}
				told := a.toldRuns()
				for _, run := range wanted[name] {
					if !slices.Contains(told, run) {
						t.Errorf("the agent was told of %v after the first group has ended, want %v", told, run)
					}
				}
			})
		})
	}
}

// Guards against a leader that plans nothing after a failed batch while each commit is
// slow: the empty batch that settles the state was given up sooner than others.
func TestPlanningGoesOnAfterAFailedBatchWhileCommitsAreSlow(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.replica.set(func() { r.replica.commitDelay, r.replica.refusals = 700*time.Millisecond, 1 })
		_, _ = r.call(submit, "/q/00000000000000bb", oneTask())
		r.mustCall(submit, testPath, oneTask(), accepted)
		for range 5 {
			a.report()
			r.wait(time.Second)
		}
		if told := a.toldRuns(); !slices.Contains(told, testRun) {
			t.Errorf("the agent was told of %v in 5 s, want %v", told, testRun)
		}
	})
}

// toldRuns returns the runs that the directives since the last call order to start or
// expect on the worker. An agent fences those that it doesn't know.
func (a *fakeAgent) toldRuns() (runs []jobs.RunID) {
	for len(a.stream.directives) > 0 {
		d := <-a.stream.directives
		for _, order := range d.Starts {
			runs = append(runs, jobs.RunIDOf(order.Run))
		}
		for _, run := range d.Expected {
			runs = append(runs, jobs.RunIDOf(run))
		}
	}
	return runs
}

// Guards against a change that makes the batch with all other changes too large for the
// log, such as a configuration with many routes.
func TestLargeChangeIsABatchOfItsOwn(t *testing.T) {
	change := func(size int) *pendingChange {
		return &pendingChange{change: &api.JobChange{Body: &api.JobChange_Configure{
			Configure: &api.JobConfiguration{Document: bytes.Repeat([]byte("x"), size)},
		}}}
	}
	var q changeQueue
	for _, size := range []int{10, 20, 3 * maxBatchBytes, 30, maxBatchBytes / 2, maxBatchBytes / 2, 40} {
		q.add(change(size))
	}
	for i, want := range []int{2, 1, 2, 2} {
		if taken := q.take(maxBatchChanges, maxBatchBytes); len(taken) != want {
			t.Errorf("batch %d has %d changes, want %d", i, len(taken), want)
		}
	}
}
