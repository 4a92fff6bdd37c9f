package jobcontrol

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// Guards against a job that stands still although all of its runs are active (issue 47): its
// agent pauses them for services that stay over their target, without an end.
func TestOneRunOfAJobIsKeptAtWorkWithinThreeSecondsWhileAllArePaused(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 2, MilliCpu: 1000, BestEffort: true, Image: "f"}}}, accepted)
		r.wait(100 * time.Millisecond)
		var runs []*api.RunStatus
		for i := range int32(2) {
			run := jobs.RunID{Task: jobs.TaskID{Job: testJob, Index: i}, Number: 1}
			runs = append(runs, &api.RunStatus{Run: run.Ref(), Percent: 10, Pace: 0, Begun: true})
		}
		list := func(pace int32) {
			runs[0].Pace = pace
			a.listed, a.lists = runs, a.lists+1
			a.report()
			r.wait(350 * time.Millisecond)
		}
		for range 6 { // 2.4 s
			list(0)
		}
		if kept := a.lastKept(); len(kept) != 1 {
			t.Fatalf("the agent keeps %v at work after 2.4 s, want one run", kept)
		}
		for range 6 {
			list(dispatch.FullPace)
		}
		if kept := a.lastKept(); len(kept) != 0 {
			t.Errorf("the agent keeps %v at work although a run works by itself", kept)
		}
	})
}

// lastKept returns the runs that the latest directive of those since the last call orders to
// keep at work.
func (a *fakeAgent) lastKept() (runs []jobs.RunID) {
	for len(a.stream.directives) > 0 {
		if d := <-a.stream.directives; d.KeptListed {
			runs = nil
			for _, ref := range d.KeptAtWork {
				runs = append(runs, jobs.RunIDOf(ref))
			}
		}
	}
	return runs
}

// Guards against a job that counts as one without a run at work although it has one: its
// worker listed an earlier, paused run once more after that was lost (issue 47).
func TestALostRunThatIsListedAsPausedIsForgotten(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 1, MilliCpu: 1000, BestEffort: true, Image: "f"}}}, accepted)
		r.wait(100 * time.Millisecond)
		r.wait(testLease + time.Second) // no report is sent, and the run is lost
		a.listed = []*api.RunStatus{{Run: testRun.Ref(), Pace: 0, Begun: true}}
		a.lists++
		r.reportFor(2*time.Second, a)
		a.listed = []*api.RunStatus{}
		a.lists++
		a.end(testRun, api.RunOutcome_RUN_OUTCOME_STOPPED)
		r.reportFor(time.Second, a)
		again := jobs.RunID{Task: testRun.Task, Number: 2}
		a.listed = []*api.RunStatus{{Run: again.Ref(), Pace: dispatch.FullPace, Begun: true}}
		a.lists++
		r.reportFor(time.Second, a)
		r.withLeadership(func(l *leadership) {
			l.assumed.Read(func(state jobs.View) {
				job := state.Job(testJob)
				if job.ActiveRuns() != 1 {
					t.Fatalf("%d active runs, want one", job.ActiveRuns())
				}
				l.idleJobs.idle(job, l.server.now())
			})
			if paused, since := l.idleJobs.paused[testJob], l.idleJobs.since[testJob]; len(paused) > 0 || !since.IsZero() {
				t.Errorf("the job is idle since %v, and %v are paused, although its run works at full pace", since, paused)
			}
		})
	})
}

// Guards against a run that stays paused for good: the plan of it on another worker, which
// was not committed, counted as if it was kept at work (issue 47).
func TestARunThatWasToBeKeptElsewhereIsKeptAtWork(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		r.withLeadership(func(l *leadership) { l.keepAtWork(testRun, "another worker", "its start was not committed") })
		a := r.connect("a")
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 1, MilliCpu: 1000, BestEffort: true, Image: "f"}}}, accepted)
		r.wait(100 * time.Millisecond)
		a.listed = []*api.RunStatus{{Run: testRun.Ref(), Pace: 0, Begun: true}}
		for range 6 { // 2.4 s
			a.lists++
			a.report()
			r.wait(400 * time.Millisecond)
		}
		if kept := a.lastKept(); len(kept) != 1 || kept[0] != testRun {
			t.Errorf("the agent keeps %v at work after 2.4 s, want %v", kept, testRun)
		}
	})
}

// Guards against a pause that is undone at once, while a service is over its target: the
// time without a run at work went on from an earlier pause, as nobody asked for it while
// the run worked (issue 47).
func TestThePausedTimeOfAJobBeginsAnewAfterItsRunWorked(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 1, MilliCpu: 1000, BestEffort: true, Image: "f"}}}, accepted)
		r.wait(100 * time.Millisecond)
		list := func(pace int32) {
			a.listed = []*api.RunStatus{{Run: testRun.Ref(), Pace: pace, Begun: true}}
			a.lists++
			a.report()
			r.wait(350 * time.Millisecond)
		}
		for range 6 {
			list(0)
		}
		if kept := a.lastKept(); len(kept) != 1 {
			t.Fatalf("the agent keeps %v at work after 2.1 s, want one run", kept)
		}
		for range 12 {
			list(dispatch.FullPace)
		}
		a.lastKept()
		list(0)
		list(0)
		if kept := a.lastKept(); len(kept) != 0 {
			t.Errorf("the agent keeps %v at work within %v after its run was paused again", kept, pausedTolerance)
		}
	})
}

// Guards against a long-running task whose wait goes on over its runs, or begins anew with
// the start of another task of its job.
func TestTasksOfOneJobAreIdleEachByItself(t *testing.T) {
	i, now := newIdleJobs(), time.Unix(0, 0)
	first, second := jobs.TaskID{Job: "a", Index: 0}, jobs.TaskID{Job: "a", Index: 1}
	expect := func(task jobs.TaskID, want time.Duration) {
		t.Helper()
		if got := i.taskIdle(task, now); got != want {
			t.Errorf("task %d: %v without a run, want %v", task.Index, got, want)
		}
	}
	expect(first, 0)
	expect(second, 0)
	now = now.Add(2 * time.Second)
	i.begin(first)
	expect(second, 2*time.Second)
	now = now.Add(time.Second)
	expect(first, 0) // its run has ended
	expect(second, 3*time.Second)
	i.begin(first)
	i.begin(second)
	if len(i.tasks) > 0 {
		t.Errorf("%v is kept of tasks that run", i.tasks)
	}
	expect(first, 0)
	i.forget("a")
	if len(i.tasks) > 0 {
		t.Errorf("%v is kept of a job that has ended", i.tasks)
	}
}
