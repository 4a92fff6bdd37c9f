package jobcontrol

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// difference returns the encoded committed and assumed states if they differ while nothing is
// outstanding, and empty strings otherwise. settled is false while they may differ.
func (r *rig) difference() (committed, assumed string, settled bool) {
	r.t.Helper()
	r.withLeadership(func(l *leadership) {
		settled = l.outstanding == 0 && !l.assumedStale
		committed, assumed = r.describe(r.state), r.describe(l.assumed)
	})
	if !settled || committed == assumed {
		return "", "", settled
	}
	return committed, assumed, true
}

func (r *rig) describe(state *jobs.State) string {
	r.t.Helper()
	data, err := state.Snapshot()
	record := &api.JobStateSnapshot{}
	if err == nil {
		err = proto.Unmarshal(data, record)
	}
	if err != nil {
		r.t.Fatal(err)
	}
	record.Configuration = nil
	return record.String()
}

// Guards against jobs that stand still while workers are free, since the assumed state has
// aged otherwise than the committed one. It then takes a job for new that the committed
// state has, and holds room for it; or for an ended one that the committed state has as new.
func TestJobsStartWhateverHasBeenForgotten(t *testing.T) {
	const later, other = "00000000000000bb", "00000000000000dd"
	whole := func() *api.JobSpec { return &api.JobSpec{Groups: []*api.TaskGroup{{Count: 1, MilliCpu: 4000}}} }
	cases := map[string]struct {
		play func(r *rig, a *fakeAgent)
		want string // the job that has to start
	}{
		"a job is sent again after its retention in an idle fleet": {func(r *rig, a *fakeAgent) {
			r.runToEnd(a, testJob, whole())
			r.reportFor(r.retain+time.Second, a)
			r.mustCall(submit, testPath, whole(), accepted)
			r.mustCall(submit, "/q/"+later, whole(), accepted)
		}, later},
		"a refused job is sent again after the clock was set back": {func(r *rig, a *fakeAgent) {
			r.mustCall(submit, testPath, tooLarge(), refused)
			r.step.Add(int64(15 * time.Second))
			r.reportFor(time.Second, a)
			r.step.Add(-int64(15 * time.Second))
			r.mustCall(submit, testPath, whole(), refused)
			r.mustCall(submit, "/q/"+later, whole(), accepted)
		}, later},
		"an ended job is sent again after the clock was set back": {func(r *rig, a *fakeAgent) {
			r.step.Add(int64(15 * time.Second))
			r.reportFor(time.Second, a)
			r.step.Add(-int64(15 * time.Second))
			r.runToEnd(a, testJob, whole())
			r.reportFor(r.retain+time.Second, a)
			r.runToEnd(a, other, whole())
			r.mustCall(submit, testPath, whole(), accepted)
		}, testJob},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.retain = time.Minute
				r.serve(dispatch.Policy{})
				r.configure()
				a := r.connect("a")
				r.reportFor(agentReconnectTime, a)
				a.toldRuns()
				c.play(r, a)
				r.reportFor(3*time.Second, a)
				run := jobs.RunID{Task: jobs.TaskID{Job: c.want}, Number: 1}
				if told := a.toldRuns(); !slices.Contains(told, run) {
					t.Errorf("the agent was told of %v in 3 s, want %v", told, run)
				}
				if committed, assumed, settled := r.difference(); committed != assumed || !settled {
					t.Errorf("committed: %s\nassumed: %s\nsettled: %v", committed, assumed, settled)
				}
			})
		})
	}
}

// runToEnd submits a job of one task and lets the agent's worker run it to its end.
func (r *rig) runToEnd(a *fakeAgent, job string, spec *api.JobSpec) {
	r.t.Helper()
	r.mustCall(submit, "/q/"+job, spec, accepted)
	r.reportFor(time.Second, a)
	a.end(jobs.RunID{Task: jobs.TaskID{Job: job}, Number: 1}, api.RunOutcome_RUN_OUTCOME_DONE)
	r.reportFor(time.Second, a)
	a.toldRuns()
	if answer := r.mustCall(look, "/q/"+job, nil, stateAnswer); answer.State != "completed" {
		r.t.Fatalf("job %s is %s", job, answer.State)
	}
}

// Guards against a leadership that lacks, for its whole term, what the one before proposed
// in it: a replica that has lost an election and won the next one may propose for its
// former leadership until that is told. Here it is the start of a run, whose end was then
// taken for one that is proposed already, again and again.
func TestANewLeadershipKnowsBatchesThatTheOneBeforeItProposedInItsTerm(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{
			{Count: 1, MilliCpu: 1000}, {Count: 1, MilliCpu: 1000, DependsOn: []int32{0}},
		}}, accepted)
		r.reportFor(time.Second, a)
		r.replica.set(func() { r.replica.status.Term, r.replica.commitDelay = 3, 500*time.Millisecond })
		a.end(testRun, api.RunOutcome_RUN_OUTCOME_DONE)
		r.replica.lead(3, true)
		r.replica.set(func() { r.replica.commitDelay = commitDelay })
		r.wait(time.Second)
		a.toldRuns()
		a.reconnect()
		a.end(testRun, api.RunOutcome_RUN_OUTCOME_DONE) // again, as it was not acknowledged
		r.reportFor(3*time.Second, a)
		next := jobs.RunID{Task: jobs.TaskID{Job: testJob, Group: 1}, Number: 1}
		if told := a.toldRuns(); !slices.Contains(told, next) {
			t.Errorf("the agent was told of %v, want %v", told, next)
		}
		for range 3 {
			a.end(next, api.RunOutcome_RUN_OUTCOME_DONE)
			r.reportFor(time.Second, a)
		}
		if answer := r.mustCall(look, testPath, nil, stateAnswer); answer.State != "completed" {
			t.Errorf("the job is %s although its last run has ended", answer.State)
		}
	})
}
