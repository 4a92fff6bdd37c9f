package jobcontrol

import (
	"fmt"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against jobs that are missing among the pending ones although no worker has
// begun any of their tasks: all workers restart while their starts are unanswered (MIXED
// on the day late-quick-restart, issue 37). Once begun, a job is pending no more, under
// any leader.
func TestJobIsPendingUntilAWorkerHasBegunARun(t *testing.T) {
	for name, changeLeader := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) { inBubble(t, func(r *rig) { r.testPendingAcrossRestarts(changeLeader) }) })
	}
}

func (r *rig) testPendingAcrossRestarts(changeLeader bool) {
	const submitted = 6
	r.configure()
	agents := []*fakeAgent{r.connect("a"), r.connect("b"), r.connect("c")}
	for i := range submitted {
		r.mustCall(submit, fmt.Sprintf("/q/%016x", i), oneTask(), accepted)
	}
	restart := func(between func()) {
		if changeLeader {
			r.changeLeader()
		}
		between()
		for _, a := range agents {
			a.born++
			a.listed = []*api.RunStatus{}
			if changeLeader {
				a.reconnect()
			} else {
				a.report()
			}
		}
	}
	for range 3 {
		r.wait(200 * time.Millisecond)
		if starts := r.listOrdered(agents, false); starts != submitted {
			r.t.Fatalf("%d runs are ordered, want %d", starts, submitted)
		}
		r.wantPending(submitted, "while all starts are unanswered", "queued")
		restart(func() {})
		r.wantPending(submitted, "after a restart of all workers", "queued")
	}
	r.wait(200 * time.Millisecond)
	r.listOrdered(agents, true)
	r.wait(200 * time.Millisecond)
	r.wantPending(0, "once the workers have begun the runs", "running")
	restart(func() { r.wantPending(0, "before any report to the leader", "running") })
	r.wait(200 * time.Millisecond)
	r.wantPending(0, "although the runs are lost", "running")
}

// changeLeader ends the term and starts the next one.
func (r *rig) changeLeader() {
	term := r.replica.Status().Term
	r.replica.lead(term, false)
	r.wait(100 * time.Millisecond)
	r.replica.lead(term+1, true)
	r.wait(100 * time.Millisecond)
}

// listOrdered makes the agents report all runs that are ordered on their workers, as begun
// or as unanswered. It returns the number of these runs.
func (r *rig) listOrdered(agents []*fakeAgent, begun bool) (ordered int) {
	for _, a := range agents {
		a.listed = []*api.RunStatus{}
		r.state.Read(func(view jobs.View) {
			view.RunsOn(jobs.WorkerKey(a.worker, a.born), func(run jobs.RunID, _ *jobs.Group) {
				a.listed = append(a.listed, &api.RunStatus{Run: run.Ref(), Pace: 100, Starting: !begun, Begun: begun})
			})
		})
		ordered += len(a.listed)
		a.report()
	}
	return ordered
}

func (r *rig) wantPending(want int64, when, state string) {
	r.t.Helper()
	answer := r.mustCall(look, "/q/", nil, api.JobAnswerKind_JOB_ANSWER_KIND_PENDING)
	if answer.Pending != want {
		r.t.Errorf("%d jobs pending %s, want %d", answer.Pending, when, want)
	}
	if answer := r.mustCall(look, "/q/"+fmt.Sprintf("%016x", 0), nil, stateAnswer); answer.State != state {
		r.t.Errorf("a job is %s %s, want %s", answer.State, when, state)
	}
	r.withLeadership(func(l *leadership) {
		if n := l.summary().pendingJobs; n != int(want) {
			r.t.Errorf("the summary has %d pending jobs %s, want %d", n, when, want)
		}
	})
}

// Guards against a report whose evidence that a run has begun goes unheard, and against
// one that is taken for evidence and is none. An agent of an earlier build tells the
// progress of a run, but not whether it has begun.
func TestReportShowsWhetherARunHasBegun(t *testing.T) {
	run := jobs.RunID{Task: jobs.TaskID{Job: testJob}, Number: 1}.Ref()
	lost := api.RunOutcome_RUN_OUTCOME_LOST
	cases := map[string]struct {
		status *api.RunStatus
		end    *api.WorkerEnd
		want   string
	}{
		"ordered":                    {&api.RunStatus{Run: run, Pace: 100}, nil, "queued"},
		"begun":                      {&api.RunStatus{Run: run, Pace: 100, Begun: true}, nil, "running"},
		"earlier agent, in progress": {&api.RunStatus{Run: run, Pace: 100, Percent: 1}, nil, "running"},
		"fenced":                     {nil, &api.WorkerEnd{Run: run, Outcome: lost}, "queued"},
		"begun, then lost":           {nil, &api.WorkerEnd{Run: run, Outcome: lost, Begun: true}, "running"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.configure()
				a := r.connect("a")
				r.mustCall(submit, testPath, oneTask(), accepted)
				r.wait(200 * time.Millisecond)
				a.listed = []*api.RunStatus{}
				var ends []*api.WorkerEnd
				if c.status != nil {
					a.listed = append(a.listed, c.status)
				} else {
					ends = append(ends, c.end)
				}
				a.report(ends...)
				r.wait(200 * time.Millisecond)
				if answer := r.mustCall(look, testPath, nil, stateAnswer); answer.State != c.want {
					t.Errorf("the job is %s, want %s", answer.State, c.want)
				}
			})
		})
	}
}

// Guards against a job that stays pending for as long as it runs, since the batch with the
// news that it has begun was not committed.
func TestBegunJobIsAddedAgainIfItIsNotCommitted(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.mustCall(submit, testPath, oneTask(), accepted)
		r.wait(200 * time.Millisecond)
		a.listRuns(jobs.RunID{Task: jobs.TaskID{Job: testJob}, Number: 1})
		r.replica.set(func() { r.replica.cutOff = true })
		a.report()
		r.replica.set(func() { r.replica.cutOff = false })
		for waited := time.Duration(0); waited <= commitTimeout; waited += time.Second {
			r.wait(time.Second) // the agent reports on, and no other batch is lost
			a.report()
		}
		r.wait(200 * time.Millisecond)
		if answer := r.mustCall(look, testPath, nil, stateAnswer); answer.State != "running" {
			t.Errorf("the job is %s, want running", answer.State)
		}
	})
}
