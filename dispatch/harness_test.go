package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// fixture is a job state with workers and a clock that tests move. It replays loads:
// it plans, starts the runs, and ends those that have taken their time.
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
	tickets    map[string]string // from that adviser, by worker; nil while it has not answered
	change     func(*Input)      // of each plan, may be nil

	active   map[jobs.RunID]Start
	since    map[jobs.RunID]time.Duration                  // when runs started
	due      map[jobs.RunID]time.Duration                  // when they end
	takes    func(*jobs.Job, *api.TaskGroup) time.Duration // how long a run takes from its start, may be nil
	listing  bool                                          // workers list how much of their work runs have done
	pace     int32
	percent  int32 // of their work that all runs have done, unless workers list it
	stopping map[jobs.RunID]bool
	waits    map[jobs.GroupID]time.Duration // when groups began to wait for a rack

	missed, backfilled int // reservations and starts of all plans
}

const (
	urgentQueue = "h /urgent/"
	batchQueue  = "h /batch/"
)

func newFixture(t testing.TB, workers int) *fixture {
	w := &fixture{
		t: t, state: jobs.NewState(), submitted: map[string]time.Duration{}, learned: NewKnowledge(nil), pace: FullPace,
		active: map[jobs.RunID]Start{}, since: map[jobs.RunID]time.Duration{}, due: map[jobs.RunID]time.Duration{}, stopping: map[jobs.RunID]bool{},
		waits: map[jobs.GroupID]time.Duration{},
	}
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

// plan returns the starts of a plan, applies them to the state and keeps the
// reservations for the next plan.
func (w *fixture) plan() []Start {
	w.t.Helper()
	s := w.schedule()
	for _, start := range s.Starts {
		w.start(start)
	}
	for _, group := range s.HeldForRack {
		if _, known := w.waits[group]; !known {
			w.waits[group] = w.now
		}
	}
	w.reserved, w.missed, w.backfilled = s.Reservations, w.missed+len(s.Missed), w.backfilled+s.Backfilled
	return s.Starts
}

func (w *fixture) start(start Start) {
	w.t.Helper()
	w.apply(&api.JobChange{Body: &api.JobChange_Start{Start: &api.StartRun{Run: start.Run.Ref(), Worker: start.Worker}}})
	w.active[start.Run], w.since[start.Run] = start, w.now
	if w.takes != nil {
		w.state.Read(func(view jobs.View) {
			job, group, _ := view.Run(start.Run)
			w.due[start.Run] = w.now + w.takes(job, group.Spec)
		})
	}
}

// startOn starts the first run of a task on a worker, whatever a plan would do.
func (w *fixture) startOn(worker int, job string, index int32) Start {
	w.t.Helper()
	start := Start{Run: jobs.RunID{Task: jobs.TaskID{Job: job, Index: index}, Number: 1}, Worker: w.workers[worker].Key}
	w.start(start)
	return start
}

// endDue ends the runs that have taken their time, and returns the jobs that are done.
func (w *fixture) endDue() (done []string) {
	w.t.Helper()
	var due []Start
	for run, at := range w.due {
		if at <= w.now {
			due = append(due, w.active[run])
		}
	}
	slices.SortFunc(due, func(a, b Start) int { return cmp.Compare(a.Run.String(), b.Run.String()) })
	for _, start := range due {
		var group *jobs.Group
		w.state.Read(func(view jobs.View) { _, group, _ = view.Run(start.Run) })
		if group == nil {
			w.forget(start.Run) // its job has ended
			continue
		}
		w.end(start, api.RunOutcome_RUN_OUTCOME_DONE)
		if job := start.Run.Task.Job; w.ended(job) {
			done = append(done, job)
		}
	}
	return done
}

// endStopped ends the runs that are being stopped.
func (w *fixture) endStopped() {
	w.t.Helper()
	for run := range w.stopping {
		w.end(w.active[run], api.RunOutcome_RUN_OUTCOME_STOPPED)
	}
}

func (w *fixture) ended(job string) (ended bool) {
	w.state.Read(func(view jobs.View) { ended = view.Job(job).Phase.Ended() })
	return ended
}

// pass moves the clock and lets the reservations age.
func (w *fixture) pass(d time.Duration) {
	w.now += d
	for i := range w.reserved {
		h := &w.reserved[i]
		h.At.Likely, h.At.Latest, h.Due = max(h.At.Likely-d, 0), max(h.At.Latest-d, 0), h.Due-d
	}
}

// planOnly returns the starts of a plan without applying them.
func (w *fixture) planOnly() []Start { return w.schedule().Starts }

// schedule returns the schedule of a plan without applying it.
func (w *fixture) schedule() (s Schedule) {
	w.state.Read(func(view jobs.View) {
		view.Queue(urgentQueue).Advice = nil
		if w.advised {
			view.Queue(urgentQueue).Advice = &api.PlacementAdvice{ValidityMs: 1000}
		}
		s = MakeSchedule(view, w.input())
	})
	return s
}

// roomAt returns when a worker is foreseen to have room for a demand.
func (w *fixture) roomAt(worker int, need resource.Vector) (at Band, foreseen bool) {
	w.state.Read(func(view jobs.View) {
		at, foreseen = newForecast(view, w.input()).roomAt(newFleetLoad(view, w.workers).workers[worker], need)
	})
	return at, foreseen
}

// input returns the input to a plan at the current time.
func (w *fixture) input() Input {
	in := Input{
		UnixMS: w.unixMS, Workers: w.workers,
		Age:      func(job *jobs.Job) time.Duration { return w.now - w.submitted[job.ID] },
		Behind:   func(run jobs.RunID) bool { return w.stragglers[run] },
		Tickets:  func(*api.JobQueue, jobs.GroupID) (map[string]string, bool) { return w.tickets, w.tickets != nil },
		Panicked: func(job string, cause any) { w.t.Errorf("job %s: %v", job, cause) },
		Policy:   w.policy, Reserved: w.reserved, ZoneWeights: w.zoneWeights,
		Run: func(run jobs.RunID) (RunStatus, bool) {
			since, known := w.since[run]
			status := RunStatus{Age: w.now - since, Pace: w.pace, Percent: w.percent, Stopping: w.stopping[run]}
			if took := w.due[run] - since; w.listing && took > 0 {
				status.Percent = int32(100 * status.Age / took)
			}
			return status, known
		},
		HeldForRack: func(group jobs.GroupID) time.Duration {
			if since, known := w.waits[group]; known {
				return w.now - since
			}
			return 0
		},
		PerCore: w.learned.Interference.PerCore, Durations: w.learned.Durations, QueueWork: w.learned.QueueWork,
	}
	if w.change != nil {
		w.change(&in)
	}
	return in
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
	w.forget(start.Run)
}

func (w *fixture) forget(run jobs.RunID) {
	delete(w.active, run)
	delete(w.due, run)
	delete(w.stopping, run)
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

// declaredTime returns how long runs take that need a multiple of their declared duration.
func declaredTime(times int64) func(*jobs.Job, *api.TaskGroup) time.Duration {
	return func(_ *jobs.Job, group *api.TaskGroup) time.Duration {
		return time.Duration(times*group.EstimatedMs) * time.Millisecond
	}
}

// panicOn makes plans panic while they look at a job.
func panicOn(id string) func(*Input) {
	return func(in *Input) {
		age := in.Age
		in.Panicked = func(string, any) {}
		in.Age = func(job *jobs.Job) time.Duration {
			if job.ID == id {
				panic("age")
			}
			return age(job)
		}
	}
}

// twoFull returns a fleet with reservations of two workers, which 20 tasks of one core
// and 1 s fill, and their starts.
func twoFull(t testing.TB, reservations int) (*fixture, []Start) {
	w := newFixture(t, 2)
	w.policy.Reservations = reservations
	w.submit(batchQueue, &api.TaskGroup{Count: 20, MilliCpu: 1000, EstimatedMs: 1000})
	return w, w.plan()
}
