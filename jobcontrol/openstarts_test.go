package jobcontrol

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Guards against tasks that crash their workers together, again and again: they are to start
// again one after the other, also if their starts had no answer and stay open for a while.
func TestTasksWithUnansweredStartsAreSpreadAfterTheirWorkersWentDownTogether(t *testing.T) {
	for name, unanswered := range map[string]bool{"lost at once": false, "start stays open": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				r.configure()
				var agents []*fakeAgent
				for _, agent := range []string{"a", "b", "c", "d", "e", "f"} {
					agents = append(agents, r.connect(agent))
				}
				r.mustCall(submit, "/q/"+crashingJob, &api.JobSpec{Groups: []*api.TaskGroup{{Count: 4, MilliCpu: 2500}}}, accepted)
				r.wait(100 * time.Millisecond)
				sent := time.Now()
				down := r.letStartingWorkersGoDown(agents)
				if len(down) != 4 {
					t.Fatalf("%d workers are starting runs, want 4", len(down))
				}
				r.wait(300 * time.Millisecond)
				for a, started := range down {
					if unanswered {
						a.keepOpen(started)
					} else {
						a.crash(started...)
					}
				}
				if unanswered {
					for time.Since(sent) < jobs.StartDelayLimit {
						r.reportFor(time.Second, agents...)
					}
					for a, started := range down {
						a.listed = []*api.RunStatus{}
						a.send([]*api.WorkerEnd{{Run: started[0].Ref(), Outcome: api.RunOutcome_RUN_OUTCOME_LOST}})
					}
				}
				simultaneous, restarted := 0, 0
				for range 100 {
					r.wait(50 * time.Millisecond)
					now := 0
					for _, a := range agents {
						starts, _, _, _ := a.drainDirectives()
						for _, run := range starts {
							a.listRuns(run)
						}
						now += len(starts)
						a.send(nil)
					}
					simultaneous, restarted = max(simultaneous, now), restarted+now
				}
				if restarted != 4 || simultaneous > 1 {
					t.Errorf("%d tasks have started again, up to %d of them at a time, want 4, one at a time", restarted, simultaneous)
				}
			})
		})
	}
}

// keepOpen lets the worker start anew while its agent goes on reporting runs whose starts had
// no answer.
func (a *fakeAgent) keepOpen(runs []jobs.RunID) {
	crash := &api.WorkerCrash{Worker: jobs.WorkerKey(a.worker, a.born), Evidence: api.CrashEvidence_CRASH_EVIDENCE_SOLE_SUSPECT}
	a.listed = []*api.RunStatus{}
	for _, run := range runs {
		crash.Suspects, crash.RanMs = append(crash.Suspects, run.Ref()), append(crash.RanMs, 20)
		a.listed = append(a.listed, &api.RunStatus{Run: run.Ref(), Pace: 100})
	}
	a.downAt[crash.Worker], a.down = a.down, time.Time{}
	a.crashes = append(a.crashes, crash)
	a.born++
	a.report()
}
