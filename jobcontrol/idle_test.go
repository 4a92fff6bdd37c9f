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
