package jobcontrol

import (
	"fmt"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Load pattern: a worker's capacity shrinks below what it holds while jobs wait, and
// grows again. What it holds counts until its end is known, also under a new leader.
func TestStartsFollowTheCapacityThatAWorkerReports(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		submitted := 0
		submitTask := func() {
			submitted++
			r.mustCall(submit, fmt.Sprintf("/q/%016x", submitted), &api.JobSpec{Groups: []*api.TaskGroup{{Count: 1, MilliCpu: 1000}}}, accepted)
			r.wait(100 * time.Millisecond)
		}
		wantStarts := func(when string, want int) {
			t.Helper()
			r.wait(100 * time.Millisecond)
			if starts, _, _, _ := a.drainDirectives(); len(starts) != want {
				t.Fatalf("%s: starts %v, want %d", when, starts, want)
			}
		}
		submitTask()
		submitTask()
		submitTask()
		wantStarts("at full capacity", 3)
		a.milliCPU = 2000
		a.report()
		submitTask()
		wantStarts("below what it holds", 0)
		r.replica.lead(1, false)
		r.wait(100 * time.Millisecond)
		r.replica.lead(2, true)
		r.wait(100 * time.Millisecond)
		a.reconnect()
		wantStarts("under a new leader", 0)
		for index := int32(1); index <= 2; index++ {
			run := testRun
			run.Task.Job = fmt.Sprintf("%016x", index)
			a.end(run, api.RunOutcome_RUN_OUTCOME_DONE)
		}
		wantStarts("once one more fits", 1)
		submitTask()
		a.milliCPU = 4000
		a.report()
		wantStarts("after it has grown", 1)
	})
}

// Load pattern: a burst of 1.4 times what the workers complete, during which all of them
// shrink to 0.55 of their capacity for 14 s. Guards against starts beyond the new
// capacity, and against services that are stopped beyond their disruption budget.
func TestNoStartBeyondShrunkenWorkersInABurst(t *testing.T) {
	const step, full, task = 500 * time.Millisecond, 4000, 1000
	inBubble(t, func(r *rig) {
		r.configure()
		agents := []*fakeAgent{r.connect("a"), r.connect("b"), r.connect("c")}
		r.mustCall(submit, testPath, &api.JobSpec{Groups: []*api.TaskGroup{
			{Count: 3, MilliCpu: task, LongRunning: true, DisruptionBudget: 1, MaxPerWorker: 1},
		}}, accepted)
		holds := map[*fakeAgent]map[jobs.RunID]time.Time{}
		started, stopped, shrunkStarts := 0, 0, 0
		for began := time.Now(); time.Since(began) < 24*time.Second; {
			since := time.Since(began)
			shrunk := since >= 5*time.Second && since < 19*time.Second
			// Nine tasks of one second fit beside the services at full capacity.
			path := fmt.Sprintf("/q/%016x", int64(since)+1)
			_, _ = r.call(submit, path, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 6 + int32(since/step)%2, MilliCpu: task, EstimatedMs: 1000}}})
			for _, a := range agents {
				if a.milliCPU = full; shrunk {
					a.milliCPU = full * 55 / 100
				}
				a.report()
				starts, stops, _, _ := a.drainDirectives()
				if holds[a] == nil {
					holds[a] = map[jobs.RunID]time.Time{}
				}
				for _, run := range starts {
					if _, repeated := holds[a][run]; !repeated {
						holds[a][run] = time.Now()
						started++
						if shrunk && since > 5*time.Second+step {
							shrunkStarts++
							if used := int64(len(holds[a]) * task); used > a.milliCPU {
								t.Errorf("%v: start %v on %s, which holds %d of %d", since, run, a.name, used, a.milliCPU)
							}
						}
					}
				}
				for _, run := range stops {
					if run.Task.Job == testJob {
						stopped++
					}
				}
				for run, at := range holds[a] {
					if run.Task.Job != testJob && time.Since(at) >= time.Second {
						a.end(run, api.RunOutcome_RUN_OUTCOME_DONE)
						delete(holds[a], run)
					}
				}
			}
			r.wait(step - (time.Since(began) - since))
		}
		if stopped > 1 || shrunkStarts == 0 {
			t.Errorf("%d stops of services with a budget of 1; %d starts, %d of them on shrunken workers", stopped, started, shrunkStarts)
		}
		t.Logf("%d starts, %d of them on shrunken workers", started, shrunkStarts)
	})
}
