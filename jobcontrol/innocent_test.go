package jobcontrol

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// Load pattern: seven workers crash one after the other, whatever they run, while each is
// starting up to twenty short tasks. Each suspect starts again alone, and some meet another
// crash by chance. Guards against jobs that are given up for that: 3 to 6 of 4,700.
func TestInnocentTasksOfAFleetThatCrashesAreNotGivenUp(t *testing.T) {
	const (
		workers  = 7
		interval = 1200 * time.Millisecond // between crashes
		starting = 100 * time.Millisecond  // time in which a crash blames a run
		seeds    = 40
	)
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		r := crashReplay{t: t, state: jobs.NewState(), outages: dispatch.NewOutages(time.Unix(0, 0)), workers: workers}
		r.apply(&api.JobChange{Body: &api.JobChange_Configure{Configure: testConfiguration(1)}})
		var onProbation []jobs.TaskID // suspects of the latest crash, which start again alone
		for now := interval; now < 88*time.Second; now += interval {
			suspects, evidence := []jobs.TaskID{}, api.CrashEvidence_CRASH_EVIDENCE_SUSPECT
			alone := float64(len(onProbation)) * starting.Seconds() / (workers * interval.Seconds())
			if random.Float64() < alone {
				suspects, evidence = append(suspects, onProbation[random.IntN(len(onProbation))]), api.CrashEvidence_CRASH_EVIDENCE_SOLE_SUSPECT
			} else {
				for range 20 {
					suspects = append(suspects, r.submit())
				}
			}
			for _, task := range suspects {
				r.crash(task, evidence, time.Duration(random.Int64N(int64(starting))), len(suspects)-1, time.Unix(0, 0).Add(now))
			}
			onProbation = suspects
		}
		r.state.Read(func(view jobs.View) {
			for _, id := range r.submitted {
				if job := view.Job(id); job.Phase == jobs.PhaseFailed {
					t.Errorf("seed %d: job %s was given up for run %v", seed, id, job.CrashedBy)
				}
			}
		})
	}
}

// crashReplay weighs crashes as a leader does, and applies the result.
type crashReplay struct {
	t         *testing.T
	state     *jobs.State
	outages   *dispatch.Outages
	workers   int
	submitted []string
	runs      map[jobs.TaskID]int32
}

func (r *crashReplay) apply(change *api.JobChange) {
	r.t.Helper()
	result := r.state.ApplyBatch(&api.JobBatch{NowUnixMs: 1, RetainMs: 1e6, Changes: []*api.JobChange{change}})
	if err := jobs.ResultError(result.Results[0]); err != nil {
		r.t.Fatal(err)
	}
}

// submit submits a job with one task and returns the task.
func (r *crashReplay) submit() jobs.TaskID {
	id := fmt.Sprintf("%016x", len(r.submitted))
	r.submitted = append(r.submitted, id)
	r.apply(&api.JobChange{Body: &api.JobChange_Submit{Submit: &api.SubmitJob{
		Key: &api.JobKey{Queue: "h /q/", Job: id}, Spec: &api.JobSpec{Groups: []*api.TaskGroup{{Count: 1, MilliCpu: 100}}},
	}}})
	return jobs.TaskID{Job: id}
}

// crash starts a run of a task and lets its worker crash some time after, beside others.
func (r *crashReplay) crash(task jobs.TaskID, reported api.CrashEvidence, ran time.Duration, others int, at time.Time) {
	if r.runs == nil {
		r.runs = map[jobs.TaskID]int32{}
	}
	r.runs[task]++
	run := jobs.RunID{Task: task, Number: r.runs[task]}
	key := at.String()
	r.outages.Crash(key, at, at)
	r.outages.Suspect(key, []jobs.TaskID{task}, at)
	weighing := dispatch.WorkerCrashCase{
		Ran: ran, Workers: r.workers, Rate: r.outages.Rate(r.workers, at), Others: make([]float64, others),
	}
	evidence := weighing.Weaken(reported)
	r.apply(&api.JobChange{Body: &api.JobChange_Start{Start: &api.StartRun{Run: run.Ref(), Worker: key}}})
	if evidence != api.CrashEvidence_CRASH_EVIDENCE_UNKNOWN {
		r.apply(&api.JobChange{Body: &api.JobChange_Crash{Crash: &api.RunCrash{
			Run: run.Ref(), Evidence: evidence, Weight: weighing.Weight(evidence), Conclusive: dispatch.ConclusiveSuspicion(r.outages.Suspects()),
		}}})
	}
	r.state.ApplyBatch(&api.JobBatch{NowUnixMs: 1, RetainMs: 1e6, Changes: []*api.JobChange{{Body: &api.JobChange_End{End: &api.EndRun{
		Run: run.Ref(), Worker: key, Outcome: api.RunOutcome_RUN_OUTCOME_LOST,
	}}}}})
}
