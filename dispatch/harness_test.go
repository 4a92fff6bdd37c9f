package dispatch

import (
	"fmt"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// fixture is a job state with workers and a clock that tests move.
type fixture struct {
	t          testing.TB
	state      *jobs.State
	workers    []Worker
	submitted  map[string]time.Duration
	zone       string // of the entry that takes the next submission
	demand     *ZoneDemand
	now        time.Duration
	unixMS     int64
	learned    Knowledge
	jobs       int
	advised    bool // the urgent queue has an adviser
	stragglers map[jobs.RunID]bool
	policy     Policy
	reserved   []Reservation
	since      map[jobs.RunID]time.Duration // when runs of a replay started
	took       map[jobs.RunID]time.Duration // how long they take, 0 for unknown
	tickets    map[string]string            // from that adviser, by worker; nil while it has not answered
}

const (
	urgentQueue = "h /urgent/"
	batchQueue  = "h /batch/"
)

func newFixture(t testing.TB, workers int) *fixture {
	w := &fixture{t: t, state: jobs.NewState(), submitted: map[string]time.Duration{}, learned: NewKnowledge(nil)}
	w.apply(&api.JobChange{Body: &api.JobChange_Configure{Configure: &api.JobConfiguration{
		Version:  1,
		Services: []*api.JobService{{Name: "s"}},
		Queues: []*api.JobQueue{
			{Name: "urgent", Host: "h", PathPrefix: "/urgent/", Service: "s", TimeoutMs: 1, MaxAttempts: 3, SlackFactor: 1.5, TargetCompletionMs: 400},
			{Name: "batch", Host: "h", PathPrefix: "/batch/", Service: "s", TimeoutMs: 1, MaxAttempts: 3, SlackFactor: 2, TargetCompletionMs: 1000, Priority: 2},
		},
	}}})
	for i := range workers {
		w.workers = append(w.workers, Worker{
			Key: fmt.Sprintf("w%d", i), Service: "s", Zone: "z", Rack: fmt.Sprintf("r%d", i/2), Labels: []string{"a"},
			Capacity: resource.Vector{MilliCPU: 10_000, MemoryMiB: 100_000}, Open: true,
		})
	}
	return w
}

func (w *fixture) apply(changes ...*api.JobChange) {
	w.t.Helper()
	for i, result := range w.state.ApplyBatch(&api.JobBatch{Changes: changes}).Results {
		if err := jobs.ResultError(result); err != nil {
			w.t.Fatalf("%v: %v", changes[i], err)
		}
	}
}

func (w *fixture) submit(queue string, groups ...*api.TaskGroup) string {
	w.t.Helper()
	w.jobs++
	return w.submitSpec(queue, &api.JobSpec{Groups: groups})
}

func (w *fixture) submitSpec(queue string, spec *api.JobSpec) string {
	w.t.Helper()
	id := fmt.Sprintf("job%d", w.jobs)
	w.apply(&api.JobChange{Body: &api.JobChange_Submit{Submit: &api.SubmitJob{
		Key: &api.JobKey{Queue: queue, Job: id}, Spec: spec, Zone: w.zone,
	}}})
	w.submitted[id] = w.now
	return id
}

// plan returns the starts of a plan and applies them to the state.
func (w *fixture) plan() []Start {
	w.t.Helper()
	starts := w.planOnly()
	for _, start := range starts {
		w.apply(&api.JobChange{Body: &api.JobChange_Start{Start: &api.StartRun{Run: start.Run.Ref(), Worker: start.Worker}}})
	}
	return starts
}

// planOnly returns the starts of a plan without applying them.
func (w *fixture) planOnly() (starts []Start) {
	w.state.Read(func(view jobs.View) {
		view.Queue(urgentQueue).Advice = nil
		if w.advised {
			view.Queue(urgentQueue).Advice = &api.PlacementAdvice{ValidityMs: 1000}
		}
		starts = Plan(view, w.input())
	})
	return starts
}

// schedule returns the schedule of a plan without applying it.
func (w *fixture) schedule() (s Schedule) {
	w.state.Read(func(view jobs.View) { s = MakeSchedule(view, w.input()) })
	return s
}

// input returns the input to a plan at the current time.
func (w *fixture) input() Input {
	return Input{
		UnixMS: w.unixMS, Workers: w.workers,
		Age:      func(job *jobs.Job) time.Duration { return w.now - w.submitted[job.ID] },
		Behind:   func(run jobs.RunID) bool { return w.stragglers[run] },
		Tickets:  func(*api.JobQueue, jobs.GroupID) (map[string]string, bool) { return w.tickets, w.tickets != nil },
		Panicked: func(job string, cause any) { w.t.Errorf("job %s: %v", job, cause) },
		Policy:   w.policy, Reserved: w.reserved, ZoneWeights: w.zoneWeights,
		Run: func(run jobs.RunID) (RunStatus, bool) {
			since, known := w.since[run]
			status := RunStatus{Age: w.now - since, Pace: FullPace}
			if took := w.took[run]; took > 0 {
				status.Percent = int32(100 * status.Age / took)
			}
			return status, known
		},
		PerCore: w.learned.Interference.PerCore, Durations: w.learned.Durations, QueueWork: w.learned.QueueWork,
	}
}

func (w *fixture) zoneWeights(queue string) map[string]float64 {
	if w.demand == nil {
		return nil
	}
	return w.demand.Weights(queue, time.Unix(0, 0).Add(w.now))
}

func (w *fixture) end(start Start, outcome api.RunOutcome) {
	w.t.Helper()
	w.apply(&api.JobChange{Body: &api.JobChange_End{End: &api.EndRun{
		Run: start.Run.Ref(), Worker: start.Worker, Outcome: outcome,
	}}})
}

// startsByWorker counts the starts of a job by worker.
func startsByWorker(starts []Start, job string) map[string]int {
	count := map[string]int{}
	for _, start := range starts {
		if start.Run.Task.Job == job {
			count[start.Worker]++
		}
	}
	return count
}

func total(count map[string]int) (n int) {
	for _, c := range count {
		n += c
	}
	return n
}
