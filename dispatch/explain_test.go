package dispatch

import (
	"testing"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

func TestExplainCountsWhatKeepsTasksWaiting(t *testing.T) {
	w := newFixture(t, 4)
	w.workers[0].Open = false
	w.workers[1].Capacity.MemoryMiB = 100
	w.serve(2, "s", 1.5)
	w.learned.Interference.Set(PairCost{Pair{"s", "f"}, 1})
	full := w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: 10_000, EstimatedMs: 1000, BestEffort: true, Image: "g"})
	w.startOn(3, full, 0)
	w.submit(batchQueue, &api.TaskGroup{Count: 3, MilliCpu: 2000, MemoryMib: 1000, EstimatedMs: 1000, BestEffort: true, Image: "f"})
	obstacles := w.explain().Workers
	for _, obstacle := range []Obstacle{ObstacleClosed, ObstacleMemory, ObstacleCPU, ObstacleInterference} {
		if obstacles[obstacle] != 1 {
			t.Errorf("%s: %d workers, want 1", obstacle, obstacles[obstacle])
		}
	}
}

func (w *fixture) explain(groups ...jobs.GroupID) (waits Waits) {
	w.state.Read(func(view jobs.View) {
		view.Queue(urgentQueue).Advice = nil
		if w.advised {
			view.Queue(urgentQueue).Advice = &api.PlacementAdvice{ValidityMs: 1000}
		}
		waits = Explain(view, w.input(), Question{Groups: groups})
	})
	return waits
}

// Guards against a standstill that is told apart from no other: each rule that keeps a
// group from a worker, or from all, has an obstacle of its own, and only tasks that may
// start have none.
func TestEachRuleThatKeepsAGroupWaitingHasItsObstacle(t *testing.T) {
	plain := &api.TaskGroup{Count: 1, MilliCpu: 1000, EstimatedMs: 1000}
	labelled := &api.TaskGroup{Count: 1, MilliCpu: 1000, EstimatedMs: 1000, RequiredLabel: "b"}
	limited := &api.TaskGroup{Count: 2, MilliCpu: 1000, EstimatedMs: 1000, MaxPerWorker: 1}
	crash := func(w *fixture, job string) {
		start := w.startOn(0, job, 0)
		w.apply(&api.JobChange{Body: &api.JobChange_Crash{Crash: &api.RunCrash{Run: start.Run.Ref(), Evidence: api.CrashEvidence_CRASH_EVIDENCE_SUSPECT}}})
		w.end(start, api.RunOutcome_RUN_OUTCOME_LOST)
	}
	cases := []struct {
		name    string
		group   *api.TaskGroup
		prepare func(w *fixture, job string)
		state   Obstacle
		worker  Obstacle // of the only worker
	}{
		{"room", plain, func(*fixture, string) {}, GroupReady, ObstacleNone},
		{"not open", plain, func(w *fixture, _ string) { w.workers[0].Open, w.workers[0].Closed = false, ClosedDraining }, GroupReady, ClosedDraining},
		{"another service", plain, func(w *fixture, _ string) { w.workers[0].Service = "t" }, GroupReady, ClosedService},
		{"no label", labelled, func(*fixture, string) {}, GroupReady, ClosedLabel},
		{"at the limit", limited, func(w *fixture, job string) { w.startOn(0, job, 1) }, GroupReady, ClosedLimit},
		{"kept", plain, func(w *fixture, job string) { w.workers[0].ClearingFor = []jobs.GroupID{{Job: job}} }, GroupReady, ClosedKept},
		{"worker is starting a suspect", plain, func(w *fixture, _ string) {
			suspect := w.submit(urgentQueue, plain)
			crash(w, suspect)
			w.start(Start{jobs.RunID{Task: jobs.TaskID{Job: suspect}, Number: 2}, "w0"})
			w.workers[0].Starting = func(jobs.RunID) bool { return true }
		}, GroupReady, ClosedProbation},
		{"suspect beside a start", plain, func(w *fixture, job string) {
			crash(w, job)
			w.startOn(0, w.submit(batchQueue, plain), 0)
			w.workers[0].Starting = func(jobs.RunID) bool { return true }
		}, GroupReady, HeldStarting},
		{"paused", plain, func(w *fixture, _ string) {
			w.change = func(in *Input) { in.Paused = func(jobs.TaskID) bool { return true } }
		}, WaitsPaused, ""},
		{"plan ends by a panic", plain, func(w *fixture, job string) { w.change = panicOn(job) }, WaitsUnplanned, ""},
		{"adviser is silent", plain, func(w *fixture, _ string) { w.advised = true }, WaitsForAdvice, ""},
		{"no ticket", plain, func(w *fixture, _ string) { w.advised, w.tickets = true, map[string]string{"w9": "x"} }, GroupReady, ObstacleAdvice},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, 1)
			job := w.submit(urgentQueue, c.group, &api.TaskGroup{Count: 1, MilliCpu: 1000, DependsOn: []int32{0}})
			c.prepare(w, job)
			waits := w.explain(jobs.GroupID{Job: job}, jobs.GroupID{Job: job, Group: 1})
			of := waits.Of[jobs.GroupID{Job: job}]
			if of.State != c.state || c.worker != "" && (of.Workers[c.worker.class()] != 1 || c.worker.class() != c.worker && of.Details[c.worker] != 1) {
				t.Errorf("%+v, want state %s, worker %s", of, c.state, c.worker)
			}
			if of := waits.Of[jobs.GroupID{Job: job, Group: 1}]; of.State != GroupBlocked || waits.Groups[GroupBlocked] == 0 {
				t.Errorf("the dependent group is %+v", of)
			}
			if c.state != GroupReady && waits.Groups[c.state] != 1 {
				t.Errorf("groups %v, want one %s", waits.Groups, c.state)
			}
		})
	}
}
