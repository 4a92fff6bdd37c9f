package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// crash ends runs as lost with their worker, which was starting all of them. A job that
// is given up in between takes no further crash.
func (w *fixture) crash(starts ...Start) {
	w.t.Helper()
	for _, start := range starts {
		w.state.ApplyBatch(&api.JobBatch{Changes: []*api.JobChange{{Body: &api.JobChange_Crash{Crash: &api.RunCrash{
			Run: start.Run.Ref(), Evidence: api.CrashEvidence_CRASH_EVIDENCE_SUSPECT,
		}}}}})
		w.end(start, api.RunOutcome_RUN_OUTCOME_LOST)
	}
}

// trackStarting makes the workers tell that they are starting all runs but those that
// survived.
func (w *fixture) trackStarting(survived map[jobs.RunID]bool) {
	for i := range w.workers {
		w.workers[i].Starting = func(run jobs.RunID) bool { return !survived[run] }
	}
}

func (w *fixture) onProbation(start Start) (probation bool) {
	w.state.Read(func(view jobs.View) {
		group, _ := view.Job(start.Run.Task.Job).Task(start.Run.Task)
		probation = onProbation(group, int(start.Run.Task.Index))
	})
	return probation
}

// Load pattern: a worker crashes while it starts seven tasks, one of which is the
// cause; callers go on handing in work. Started together again, the seven stay equally
// suspect, and innocent ones are given up (seen on the day deadly: 71 of 103 tasks that
// were suspects three times had crashed nothing).
func TestSuspectsOfACrashStartAlone(t *testing.T) {
	w := newFixture(t, 8)
	w.submit(urgentQueue, &api.TaskGroup{Count: 7, MilliCpu: 100})
	w.crash(w.plan()...)
	survived := map[jobs.RunID]bool{}
	w.trackStarting(survived)
	w.submit(urgentQueue, &api.TaskGroup{Count: 20, MilliCpu: 100})
	starts := w.plan()
	perWorker, alone := map[string]int{}, map[string]bool{}
	for _, start := range starts {
		perWorker[start.Worker]++
		if w.onProbation(start) {
			alone[start.Worker] = true
		}
	}
	if len(alone) != 4 {
		t.Errorf("suspects start on %d workers of 8, want 4", len(alone))
	}
	for worker := range alone {
		if perWorker[worker] != 1 {
			t.Errorf("%d starts on %s beside a suspect", perWorker[worker], worker)
		}
	}
	if len(starts) != 24 {
		t.Errorf("%d starts, want 4 suspects and 20 others", len(starts))
	}
	for _, start := range starts {
		survived[start.Run] = true
	}
	if again := w.plan(); len(again) != 3 {
		t.Errorf("%d starts once the first ones have survived, want the other 3 suspects", len(again))
	}
}

func TestSuspectStartsWhereLeastRuns(t *testing.T) {
	w := newFixture(t, 2)
	w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 4000, LongRunning: true, TargetLatencyMs: 10, Image: "x"})
	beside := w.plan()[0]
	w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 100})
	w.crash(w.plan()...)
	w.trackStarting(map[jobs.RunID]bool{beside.Run: true})
	starts := w.plan()
	if len(starts) != 1 || starts[0].Worker == beside.Worker {
		t.Errorf("starts %v, want one apart from %v", starts, beside)
	}
}

func TestSuspectGetsNoCopy(t *testing.T) {
	w := newFixture(t, 3)
	w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 100, Speculative: true})
	w.crash(w.plan()...)
	w.trackStarting(nil)
	second := w.plan()
	w.stragglers = map[jobs.RunID]bool{second[0].Run: true}
	if copies := w.plan(); len(copies) > 0 {
		t.Errorf("a task on probation got copies %v", copies)
	}
}

// Guards against a worker on which something else starts beside a suspect, in whatever
// order crashes, ends and submissions come.
func TestNothingStartsBesideASuspect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newFixture(t, rapid.IntRange(1, 5).Draw(rt, "workers"))
		survived := map[jobs.RunID]bool{}
		w.trackStarting(survived)
		for range rapid.IntRange(1, 8).Draw(rt, "rounds") {
			group := drawGroup(rt)
			group.Gang = false
			w.submit(rapid.SampledFrom([]string{urgentQueue, batchQueue}).Draw(rt, "queue"), group)
			for _, start := range w.plan() {
				switch rapid.IntRange(0, 3).Draw(rt, "fate") {
				case 0:
					w.crash(start)
				case 1:
					survived[start.Run] = true
				case 2:
					w.end(start, api.RunOutcome_RUN_OUTCOME_DONE)
				}
			}
			w.checkSuspectsAlone(rt, survived)
		}
	})
}

func (w *fixture) checkSuspectsAlone(t *rapid.T, survived map[jobs.RunID]bool) {
	w.state.Read(func(view jobs.View) {
		for _, worker := range w.workers {
			starting, suspects := 0, 0
			view.RunsOn(worker.Key, func(run jobs.RunID, group *jobs.Group) {
				if survived[run] {
					return
				}
				starting++
				if group.Tasks[run.Task.Index].OnProbation() {
					suspects++
				}
			})
			if suspects > 0 && starting > 1 {
				t.Fatalf("%s starts %d runs, %d of them suspects", worker.Key, starting, suspects)
			}
		}
	})
}

// Load pattern: a worker's capacity shrinks below what it holds, and grows again.
func TestWorkerThatShrankGetsNoStartsUntilTheyFit(t *testing.T) {
	w := newFixture(t, 1)
	full := w.workers[0].Capacity
	w.submit(urgentQueue, &api.TaskGroup{Count: 4, MilliCpu: 2000, MemoryMib: 10_000})
	running := w.plan()
	w.workers[0].Capacity.MilliCPU, w.workers[0].Capacity.MemoryMiB = 5000, 30_000
	w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 0, MemoryMib: 1})
	w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: 1, BestEffort: true})
	if starts := w.plan(); len(starts) > 0 {
		t.Fatalf("starts %v on a worker that holds more than its capacity", starts)
	}
	w.end(running[0], api.RunOutcome_RUN_OUTCOME_DONE)
	w.end(running[1], api.RunOutcome_RUN_OUTCOME_DONE)
	if starts := w.plan(); len(starts) != 2 {
		t.Errorf("%d starts once they fit, want 2", len(starts))
	}
	w.workers[0].Capacity = full
	w.submit(urgentQueue, &api.TaskGroup{Count: 2, MilliCpu: 3000, MemoryMib: 1})
	if starts := w.plan(); len(starts) != 2 {
		t.Errorf("%d starts after the capacity has grown again, want 2", len(starts))
	}
}

// Guards against two suspects that start on one worker, as the first of them has been
// starting for so long that it no longer closes the worker to others.
func TestALongStartOnProbationKeepsOtherSuspectsOff(t *testing.T) {
	w := newFixture(t, 1)
	w.trackStarting(nil)
	for range 2 {
		w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 100})
	}
	w.crash(w.plan()...)
	if starts := w.plan(); len(starts) != 1 {
		t.Fatalf("%d suspects start on the only worker, want 1", len(starts))
	}
	w.pass(maxProbationStart + time.Millisecond)
	w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 100})
	if starts := w.plan(); len(starts) != 1 || w.onProbation(starts[0]) {
		t.Errorf("starts %v, want the task that is not on probation only", starts)
	}
}

// Guards against a task that starts again on a VM that has crashed under it, as its job has
// waited, though another worker has room.
func TestACrashedWorkerIsAvoidedWhileAnotherTakesTheTask(t *testing.T) {
	w := newFixture(t, 2)
	w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 100})
	w.crash(w.plan()...)
	w.workers[1].HealthPenalty = 0.5 // the crashed one would be preferred
	w.change = func(in *Input) { in.CrashedUnder = func(jobs.TaskID) []string { return []string{"w0"} } }
	w.pass(maxCrashAvoidance + time.Second)
	if starts := w.plan(); len(starts) != 1 || starts[0].Worker != "w1" {
		t.Errorf("starts %v, want one on w1", starts)
	}
}
