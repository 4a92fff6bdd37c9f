package jobcontrol

import (
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

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

// Guards against a leader that goes on planning on an assumed state that has parted from the
// committed one, whatever the cause, without a trace: jobs stand still beside free workers
// until the term ends.
func TestAnAssumedStateThatHasPartedIsReplaced(t *testing.T) {
	const phantom, other = "00000000000000bb", "00000000000000dd"
	whole := &api.JobSpec{Groups: []*api.TaskGroup{{Count: 1, MilliCpu: 4000}}}
	submission := func(job string) *api.JobChange {
		return &api.JobChange{Body: &api.JobChange_Submit{Submit: &api.SubmitJob{Key: &api.JobKey{Queue: "h /q/", Job: job}, Spec: whole}}}
	}
	first := func(job string) jobs.RunID { return jobs.RunID{Task: jobs.TaskID{Job: job}, Number: 1} }
	cases := map[string]struct {
		running []string // jobs that run before the states part
		assumed *api.JobChange
		found   string
	}{
		"a job that the committed state lacks": {assumed: submission(phantom), found: differentResult},
		"an end that was not committed": {
			running: []string{other},
			assumed: endChange(first(other), "w-a@1", api.RunOutcome_RUN_OUTCOME_DONE, "", api.CrashEvidence_CRASH_EVIDENCE_UNKNOWN),
			found:   differentState,
		},
		"a cancellation that was not committed": {
			assumed: &api.JobChange{Body: &api.JobChange_Cancel{Cancel: &api.JobKey{Queue: "h /q/", Job: testJob}}}, found: differentState,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			count := metrics.GetOrCreateCounter(`paddle_jobs_assumed_differences_total{found="` + c.found + `"}`)
			inBubble(t, func(r *rig) {
				r.configure()
				a := r.connect("a")
				for _, job := range c.running {
					r.mustCall(submit, "/q/"+job, whole, accepted)
				}
				r.reportFor(time.Second, a)
				before := count.Get()
				r.withLeadership(func(l *leadership) {
					l.assumed.ApplyBatch(&api.JobBatch{Changes: []*api.JobChange{c.assumed}})
					l.assumedCheckedAt = time.Now() // so that results show the difference first, if they can
				})
				r.wait(300 * time.Millisecond) // a round plans on it
				r.mustCall(submit, testPath, whole, accepted)
				r.wait(100 * time.Millisecond)
				for _, job := range c.running {
					a.end(first(job), api.RunOutcome_RUN_OUTCOME_DONE)
				}
				r.reportFor(4*time.Second, a)
				if told := a.toldRuns(); !slices.Contains(told, testRun) {
					t.Errorf("the agent was told of %v, want %v", told, testRun)
				}
				if committed, assumed, settled := r.difference(); committed != assumed || !settled {
					t.Errorf("committed: %s\nassumed: %s\nsettled: %v", committed, assumed, settled)
				}
				if count.Get() == before {
					t.Error("no difference was counted")
				}
			})
		})
	}
}

// assumedStep is one step of TestAssumedStateFollowsTheCommittedOne.
type assumedStep struct {
	kind    string
	job     int
	agent   int
	outcome api.RunOutcome
	gang    bool
	length  time.Duration
}

func drawAssumedStep(t *rapid.T) assumedStep {
	return assumedStep{
		kind: rapid.SampledFrom([]string{
			"submit", "submit", "submit", "cancel", "end", "end", "end", "end twice", "list", "crash", "restart", "silence", "reconnect",
			"set clock", "slow commits", "late commit", "refused proposal", "late notice", "wait", "wait", "long wait",
		}).Draw(t, "kind"),
		job: rapid.IntRange(0, 4).Draw(t, "job"), agent: rapid.IntRange(0, 1).Draw(t, "agent"), gang: rapid.Bool().Draw(t, "gang"),
		outcome: rapid.SampledFrom([]api.RunOutcome{
			api.RunOutcome_RUN_OUTCOME_DONE, api.RunOutcome_RUN_OUTCOME_DONE, api.RunOutcome_RUN_OUTCOME_FAILED,
			api.RunOutcome_RUN_OUTCOME_STOPPED, api.RunOutcome_RUN_OUTCOME_REFUSED,
		}).Draw(t, "outcome"),
		length: time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "length")) * time.Millisecond,
	}
}

// Property: whatever is submitted, ends and fails, whichever commits are slow or not known,
// and however the time of day is set, the assumed state is the committed one whenever
// nothing is outstanding. Ended jobs are forgotten after seconds here.
func TestAssumedStateFollowsTheCommittedOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawAssumedStep), 5, 40).Draw(rt, "steps")
		var committed, assumed string
		settled, at := true, -1
		before := countedDifferences()
		inBubble(t, func(r *rig) {
			r.retain = 8 * time.Second
			r.serve(dispatch.Policy{})
			r.configure()
			agents := []*fakeAgent{r.connect("a"), r.connect("b")}
			for i, step := range steps {
				r.playStep(step, agents)
				if committed, assumed, _ = r.difference(); committed != assumed {
					at = i
					return
				}
			}
			r.reportFor(20*time.Second, agents...)
			committed, assumed, settled = r.difference()
		})
		if counted := countedDifferences() - before; counted > 0 || committed != assumed || !settled {
			rt.Fatalf("after step %d, settled %v, %d differences counted\ncommitted: %s\nassumed: %s", at, settled, counted, committed, assumed)
		}
	})
}

func countedDifferences() (n uint64) {
	for _, found := range []string{differentResult, differentState} {
		n += metrics.GetOrCreateCounter(`paddle_jobs_assumed_differences_total{found="` + found + `"}`).Get()
	}
	return n
}

// playStep plays a step. Calls go on in the background.
func (r *rig) playStep(step assumedStep, agents []*fakeAgent) {
	a := agents[step.agent]
	path := "/q/" + "00000000000000a" + string(rune('0'+step.job))
	switch step.kind {
	case "submit":
		go func() {
			_, _ = r.call(submit, path, &api.JobSpec{Groups: []*api.TaskGroup{
				{Count: 2, MilliCpu: 900, Gang: step.gang}, {Count: 1, MilliCpu: 900, DependsOn: []int32{0}, Speculative: step.gang},
			}})
		}()
	case "cancel":
		go func() { _, _ = r.call(cancel, path, nil) }()
	case "end", "end twice":
		if runs := r.runsOn(a); len(runs) > 0 {
			end := &api.WorkerEnd{Run: runs[step.job%len(runs)].Ref(), Outcome: step.outcome, Begun: step.gang}
			a.send([]*api.WorkerEnd{end})
			if step.kind == "end twice" {
				r.wait(step.length.Abs() / 100)
				a.send([]*api.WorkerEnd{end})
			}
		}
	case "list":
		a.listed = nil
		a.listRuns(r.runsOn(a)...)
		a.send(nil)
	case "crash":
		runs := r.runsOn(a)
		a.crash(runs[:min(len(runs), step.job)]...)
	case "restart":
		a.born, a.listed = a.born+1, []*api.RunStatus{}
		a.send(nil)
	case "silence":
		r.wait(2 * testLease)
	case "reconnect":
		a.stream.cancel()
		r.wait(10 * time.Millisecond)
		a.reconnect()
	case "set clock":
		r.step.Store(int64(step.length))
	case "slow commits":
		r.replica.set(func() { r.replica.commitDelay = step.length.Abs() / 5 })
		time.AfterFunc(2*time.Second, func() { r.replica.set(func() { r.replica.commitDelay = commitDelay }) })
	case "late commit":
		r.replica.set(func() { r.replica.commitDelay = commitTimeout + time.Second })
		time.AfterFunc(step.length.Abs()/10, func() { r.replica.set(func() { r.replica.commitDelay = commitDelay }) })
	case "refused proposal":
		r.replica.set(func() { r.replica.refusals = 1 + step.job%2 })
	case "late notice":
		r.noticeLate(step, path, agents)
	case "wait":
		r.wait(step.length.Abs() / 50)
	case "long wait":
		r.reportFor(step.length.Abs()*2, agents...)
	}
	r.wait(time.Millisecond)
}

// noticeLate lets the replica lose an election and win the next one, and tells its server
// only after a submission.
func (r *rig) noticeLate(step assumedStep, path string, agents []*fakeAgent) {
	r.reportFor(10*time.Second, agents...) // what the former term proposed is committed
	r.replica.set(func() { r.replica.status.Term++ })
	go func() { _, _ = r.call(submit, path, oneTask()) }()
	r.wait(step.length.Abs() / 500)
	r.replica.lead(r.replica.Status().Term, true)
	r.wait(100 * time.Millisecond)
	for _, a := range agents {
		a.reconnect()
	}
}

// runsOn returns the committed runs on an agent's worker, sorted.
func (r *rig) runsOn(a *fakeAgent) (runs []jobs.RunID) {
	r.state.Read(func(view jobs.View) {
		view.RunsOn(jobs.WorkerKey(a.worker, a.born), func(run jobs.RunID, _ *jobs.Group) { runs = append(runs, run) })
	})
	slices.SortFunc(runs, func(a, b jobs.RunID) int { return slices.Compare([]byte(a.String()), []byte(b.String())) })
	return runs
}
