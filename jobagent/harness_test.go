package jobagent

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
)

const testLeaseLimit = 6 * time.Second

// fakeWorker keeps runs as a worker does. Its clock is that of the test.
type fakeWorker struct {
	mu       sync.Mutex
	born     int64
	began    time.Time
	running  map[jobs.RunID]string // checkpoint by run
	fenced   map[jobs.RunID]bool   // stopped or ended here
	ends     []ListedEnd
	acked    int64
	deadline int64
	calls    []string
	paces    map[jobs.RunID]int

	unhealthy error                // its word on its health
	asked     string               // path at which it was asked for it
	hang      bool                 // answers nothing
	dropStart bool                 // carries starts out late and answers nothing
	late      []StartCall          // dropped starts
	refuse    map[jobs.RunID]error // of starts
	changed   chan struct{}        // closed at the next end
	usage     map[jobs.RunID]int64 // listed beside a run
}

func newFakeWorker(born int64) *fakeWorker {
	return &fakeWorker{
		born: born, began: time.Now(), running: map[jobs.RunID]string{}, fenced: map[jobs.RunID]bool{},
		refuse: map[jobs.RunID]error{}, changed: make(chan struct{}), paces: map[jobs.RunID]int{},
		usage: map[jobs.RunID]int64{},
	}
}

func (f *fakeWorker) clockMS() int64 { return 1 + time.Since(f.began).Milliseconds() }

// answer waits as a worker that hangs does.
func (f *fakeWorker) answer(ctx context.Context) error {
	f.mu.Lock()
	hang := f.hang
	f.mu.Unlock()
	if !hang {
		return nil
	}
	<-ctx.Done()
	return fault.New(fault.ConnectionLost, "no answer")
}

func (f *fakeWorker) Start(ctx context.Context, _ Target, call StartCall) (int64, error) {
	f.mu.Lock()
	f.calls = append(f.calls, "start "+call.Run.String())
	drop, refusal := f.dropStart, f.refuse[call.Run]
	if drop {
		f.late = append(f.late, call)
	}
	f.mu.Unlock()
	if drop {
		<-ctx.Done()
		return 0, fault.New(fault.ConnectionLost, "no answer")
	}
	if err := f.answer(ctx); err != nil {
		return 0, err
	}
	if refusal != nil {
		return 0, refusal
	}
	return f.clockMS(), f.carryOut(call)
}

// carryOut begins a run, now or late.
func (f *fakeWorker) carryOut(call StartCall) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.fenced[call.Run]:
		return fault.New(fault.Fenced, "old")
	case call.DeadlineMS <= f.clockMS():
		return fault.New(fault.DeadlineNotRun, "late")
	}
	f.running[call.Run] = call.Checkpoint
	f.deadline = max(f.deadline, call.DeadlineMS)
	return nil
}

func (f *fakeWorker) Stop(ctx context.Context, _ Target, run jobs.RunID, _ uint64) (int64, error) {
	f.mu.Lock()
	f.calls = append(f.calls, "stop "+run.String())
	f.mu.Unlock()
	if err := f.answer(ctx); err != nil {
		return 0, err
	}
	f.end(run, api.RunOutcome_RUN_OUTCOME_STOPPED)
	return f.clockMS(), nil
}

// end ends a run and makes it impossible; only a run that is there is listed.
func (f *fakeWorker) end(run jobs.RunID, outcome api.RunOutcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fenced[run] = true
	checkpoint, runs := f.running[run]
	if !runs {
		return
	}
	delete(f.running, run)
	position := int64(1)
	if n := len(f.ends); n > 0 {
		position = f.ends[n-1].Position + 1
	}
	f.ends = append(f.ends, ListedEnd{Position: position, Run: run, Outcome: outcome, Checkpoint: checkpoint, Reason: "x"})
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeWorker) Hold(ctx context.Context, _ Target, call HoldCall) (*HoldAnswer, error) {
	if err := f.answer(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.deadline = max(f.deadline, call.DeadlineMS)
	f.acked = max(f.acked, call.Cursor)
	changed, waiting := f.changed, f.unacked() == 0
	f.mu.Unlock()
	if waiting && call.WaitMS > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(call.WaitMS) * time.Millisecond):
		case <-ctx.Done():
			return nil, fault.New(fault.ConnectionLost, "no answer")
		}
	}
	return f.list(), nil
}

func (f *fakeWorker) unacked() int {
	return len(f.ends) - slices.IndexFunc(append(slices.Clone(f.ends), ListedEnd{Position: 1 << 60}),
		func(e ListedEnd) bool { return e.Position > f.acked })
}

func (f *fakeWorker) list() *HoldAnswer {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := &HoldAnswer{ClockMS: f.clockMS(), Born: f.born}
	for run, checkpoint := range f.running {
		answer.Running = append(answer.Running, &api.RunStatus{
			Run: run.Ref(), Checkpoint: checkpoint, Percent: 100, Usage: f.usage[run],
		})
	}
	for _, end := range f.ends {
		if end.Position > f.acked {
			answer.Ends = append(answer.Ends, end)
		}
	}
	return answer
}

func (f *fakeWorker) Pace(_ context.Context, _ Target, run jobs.RunID, percent int, _ uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paces[run] = percent
	return nil
}

func (f *fakeWorker) CheckHealth(ctx context.Context, _ Target, path string) error {
	if err := f.answer(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = path
	return f.unhealthy
}

func (f *fakeWorker) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeWorker) runs(run jobs.RunID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, runs := f.running[run]
	return runs
}

// rig is an agent with a fake worker; the test plays the leader.
type rig struct {
	t      *testing.T
	agent  *Agent
	worker *fakeWorker
	stream int64
}

// inBubble runs a test with a rig on a clock of its own.
func inBubble(t *testing.T, test func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, worker: newFakeWorker(1)}
		r.restart()
		defer func() { r.agent.Stop() }()
		test(r)
	})
}

// restart replaces the agent's process.
func (r *rig) restart() {
	if r.agent != nil {
		r.agent.Stop()
	}
	r.stream++
	r.agent = New(Config{Name: "a", Worker: r.worker, Clock: time.Now, LeaseLimit: testLeaseLimit})
	r.agent.ctx, r.agent.cancel = context.WithCancel(context.Background())
}

func (r *rig) register(sequence int64, draining bool) {
	r.agent.Register(Registration{Address: "10.0.0.1:1", Sequence: sequence, Worker: &api.Worker{
		Id: "w", Born: r.worker.born, Service: "s", MilliCpu: 32000, Draining: draining,
	}})
}

// grant gives the agent a lease from now on.
func (r *rig) grant(lease time.Duration) {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.agent.term = 1
	r.agent.leaseUntil = time.Now().Add(lease)
}

func (r *rig) direct(d *api.WorkerDirective) {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.agent.current.obey(d)
}

func (r *rig) start(runs ...jobs.RunID) {
	d := &api.WorkerDirective{}
	for _, run := range runs {
		d.Starts = append(d.Starts, &api.RunOrder{Run: run.Ref()})
	}
	r.direct(d)
}

func (r *rig) report() *api.WorkerReport {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	return r.agent.report(1, r.stream)
}

// wait lets the given time pass and all that is due happen.
func (r *rig) wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (r *rig) outcome(run jobs.RunID) api.RunOutcome {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	if e := r.agent.current.ends[run]; e != nil {
		return e.message.Outcome
	}
	return api.RunOutcome_RUN_OUTCOME_UNSPECIFIED
}

func (r *rig) wantOutcome(run jobs.RunID, want api.RunOutcome) {
	r.t.Helper()
	if got := r.outcome(run); got != want {
		r.t.Fatalf("run %v: outcome %v, want %v", run, got, want)
	}
}

func testRun(number int32) jobs.RunID {
	return jobs.RunID{Task: jobs.TaskID{Job: "j"}, Number: number}
}

func known(service, filler string, perCore float64) dispatch.Known {
	return dispatch.Known{Pair: dispatch.Pair{Service: service, Filler: filler}, PerCore: perCore}
}
