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

// maxListedEnds is the number of ends that a worker returns at a time.
const maxListedEnds = 500

const testLeaseLimit = 6 * time.Second

// fakeWorker is an in-memory Worker. Its clock is that of the test.
type fakeWorker struct {
	mu        sync.Mutex
	born      int64
	startedAt time.Time
	running   map[jobs.RunID]string // checkpoint by run
	fenced    map[jobs.RunID]bool   // runs that were stopped or have ended, and can't start any more
	tokens    map[int64]uint64      // highest fencing token seen, by incarnation
	ends      []ListedEnd
	acked     int64
	deadline  int64
	calls     []string
	paces     map[jobs.RunID]int

	healthErr     error                // result of CheckHealth
	pollErr       error                // result of Poll
	checkedPath   string               // path of the last CheckHealth
	hang          bool                 // leaves all calls except Pace unanswered
	down          bool                 // fails all calls except Pace
	delayStarts   bool                 // keeps starts in delayedStarts and leaves them unanswered
	delayedStarts []StartRequest       // for the test to execute later
	startErrors   map[jobs.RunID]error // answers to starts, by run
	answerTime    time.Duration        // of starts, stops and lists, after they have been carried out
	delayLists    time.Duration        // between the making of a list and its arrival
	lostStops     int                  // number of stops that are left unanswered and not carried out
	lostPolls     int                  // number of polls that are left unanswered
	paceDelays    []time.Duration      // of the next calls that set a pace, before they are carried out
	endAdded      chan struct{}        // closed when the next run ends
	usage         map[jobs.RunID]int64 // usage listed with a run
}

func newFakeWorker(born int64) *fakeWorker {
	return &fakeWorker{
		born: born, startedAt: time.Now(), running: map[jobs.RunID]string{}, fenced: map[jobs.RunID]bool{},
		tokens:      map[int64]uint64{},
		startErrors: map[jobs.RunID]error{}, endAdded: make(chan struct{}), paces: map[jobs.RunID]int{},
		usage: map[jobs.RunID]int64{},
	}
}

func (f *fakeWorker) clockMS() int64 { return 1 + time.Since(f.startedAt).Milliseconds() }

// goDown lets calls fail at once, also those in progress, until the worker restarts.
func (f *fakeWorker) goDown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = true
	close(f.endAdded)
	f.endAdded = make(chan struct{})
}

// blockIfHung blocks until ctx ends if the worker hangs, and fails if it is down.
func (f *fakeWorker) blockIfHung(ctx context.Context) error {
	f.mu.Lock()
	hang, down := f.hang, f.down
	f.mu.Unlock()
	switch {
	case down:
		return fault.New(fault.ConnectionLost, "EOF")
	case !hang:
		return nil
	}
	<-ctx.Done()
	return fault.Wrap(fault.ConnectionLost, ctx.Err(), "no answer")
}

// blockIfLost blocks until ctx ends if the counter of calls to lose is above 0.
func (f *fakeWorker) blockIfLost(ctx context.Context, counter *int) error {
	f.mu.Lock()
	lost := *counter > 0
	if lost {
		*counter--
	}
	f.mu.Unlock()
	if !lost {
		return nil
	}
	<-ctx.Done()
	return fault.New(fault.ConnectionLost, "no answer")
}

func (f *fakeWorker) Start(ctx context.Context, _ Target, request StartRequest) (int64, error) {
	f.mu.Lock()
	f.calls = append(f.calls, "start "+request.Run.String())
	delay, refusal := f.delayStarts, f.startErrors[request.Run]
	if delay {
		f.delayedStarts = append(f.delayedStarts, request)
	}
	f.mu.Unlock()
	if delay {
		<-ctx.Done()
		return 0, fault.Wrap(fault.ConnectionLost, ctx.Err(), "no answer")
	}
	if err := f.blockIfHung(ctx); err != nil {
		return 0, err
	}
	if refusal != nil {
		return 0, refusal
	}
	err := f.executeStart(request)
	return f.answer(ctx, err)
}

// answer returns the answer to a call after answerTime.
func (f *fakeWorker) answer(ctx context.Context, err error) (int64, error) {
	select {
	case <-time.After(f.answerTime):
		return f.clockMS(), err
	case <-ctx.Done():
		return 0, fault.New(fault.ConnectionLost, "no answer")
	}
}

// executeStart starts a run unless it is fenced or its deadline has passed.
func (f *fakeWorker) executeStart(request StartRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.fenced[request.Run]:
		return fault.New(fault.Fenced, "old")
	case f.outdated(request.Fence):
		return fault.New(fault.Stale, "fence")
	case request.DeadlineMS <= f.clockMS():
		return fault.New(fault.DeadlineNotRun, "late")
	}
	f.running[request.Run] = request.Checkpoint
	f.deadline = max(f.deadline, request.DeadlineMS)
	return nil
}

// outdated reports whether a fencing token is lower than the highest one that the
// incarnation has seen. The lock is held.
func (f *fakeWorker) outdated(token uint64) bool {
	seen := f.tokens[f.born]
	f.tokens[f.born] = max(seen, token)
	return token < seen
}

func (f *fakeWorker) Stop(ctx context.Context, _ Target, run jobs.RunID, token uint64) (int64, error) {
	f.mu.Lock()
	f.calls = append(f.calls, "stop "+run.String())
	f.mu.Unlock()
	if err := f.blockIfLost(ctx, &f.lostStops); err != nil {
		return 0, err
	}
	if err := f.blockIfHung(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	outdated := f.outdated(token)
	f.mu.Unlock()
	if outdated {
		return 0, fault.New(fault.Stale, "fence")
	}
	f.end(run, api.RunOutcome_RUN_OUTCOME_STOPPED)
	return f.answer(ctx, nil)
}

// end ends a run and fences it. Only a run that was running is listed as ended.
func (f *fakeWorker) end(run jobs.RunID, outcome api.RunOutcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fenced[run] = true
	checkpoint, found := f.running[run]
	if !found {
		return
	}
	delete(f.running, run)
	position := int64(1)
	if n := len(f.ends); n > 0 {
		position = f.ends[n-1].Position + 1
	}
	f.ends = append(f.ends, ListedEnd{Position: position, Run: run, Outcome: outcome, Checkpoint: checkpoint, Reason: "x"})
	close(f.endAdded)
	f.endAdded = make(chan struct{})
}

func (f *fakeWorker) Poll(ctx context.Context, _ Target, request PollRequest) (*PollResponse, error) {
	if err := f.blockIfLost(ctx, &f.lostPolls); err != nil {
		return nil, err
	}
	if err := f.blockIfHung(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	if err := f.pollErr; err != nil {
		f.mu.Unlock()
		return nil, err
	}
	if f.outdated(request.Fence) {
		f.mu.Unlock()
		return nil, fault.New(fault.Stale, "fence")
	}
	f.deadline = max(f.deadline, request.DeadlineMS)
	f.acked = max(f.acked, request.Cursor)
	changed, waiting := f.endAdded, f.unacked() == 0
	f.mu.Unlock()
	if waiting && request.WaitMS > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(request.WaitMS) * time.Millisecond):
		case <-ctx.Done():
			return nil, fault.New(fault.ConnectionLost, "no answer")
		}
	}
	if err := f.blockIfHung(ctx); err != nil {
		return nil, err
	}
	list := f.list()
	select {
	case <-time.After(f.delayLists + f.answerTime):
		return list, nil
	case <-ctx.Done():
		return nil, fault.New(fault.ConnectionLost, "no answer")
	}
}

func (f *fakeWorker) unacked() int {
	return len(f.ends) - slices.IndexFunc(append(slices.Clone(f.ends), ListedEnd{Position: 1 << 60}),
		func(e ListedEnd) bool { return e.Position > f.acked })
}

func (f *fakeWorker) list() *PollResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	answer := &PollResponse{ClockMS: f.clockMS(), Born: f.born}
	for run, checkpoint := range f.running {
		answer.Running = append(answer.Running, &api.RunStatus{
			Run: run.Ref(), Checkpoint: checkpoint, Percent: 100, Usage: f.usage[run],
		})
	}
	for _, end := range f.ends {
		if end.Position <= f.acked {
			continue
		}
		if len(answer.Ends) == maxListedEnds {
			answer.MoreEnds = true
			break
		}
		answer.Ends = append(answer.Ends, end)
	}
	return answer
}

func (f *fakeWorker) Pace(_ context.Context, _ Target, run jobs.RunID, percent int, _ uint64) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.paceDelays) > 0 {
		delay := f.paceDelays[0]
		f.paceDelays = f.paceDelays[1:]
		f.mu.Unlock()
		time.Sleep(delay)
		f.mu.Lock()
	}
	f.paces[run] = percent
	return f.clockMS(), nil
}

func (f *fakeWorker) CheckHealth(ctx context.Context, _ Target, path string) error {
	if err := f.blockIfHung(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkedPath = path
	return f.healthErr
}

func (f *fakeWorker) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeWorker) isRunning(run jobs.RunID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, found := f.running[run]
	return found
}

// rig is an agent with a fake worker; the test acts as the leader.
type rig struct {
	t         *testing.T
	agent     *Agent
	worker    *fakeWorker
	sessionID int64
}

// inBubble runs a test with a rig in a synctest bubble, which has a fake clock.
func inBubble(t *testing.T, test func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, worker: newFakeWorker(1)}
		r.restartAgent()
		defer func() { r.agent.Stop() }()
		test(r)
	})
}

// restartAgent replaces the agent by a new one, as a restart of its process does.
func (r *rig) restartAgent() {
	if r.agent != nil {
		r.agent.Stop()
	}
	r.sessionID++
	r.agent = New(Config{Name: "a", Worker: r.worker, Clock: time.Now, LeaseLimit: testLeaseLimit})
	r.agent.ctx, r.agent.cancel = context.WithCancel(context.Background())
}

func (r *rig) register(sequence int64, draining bool) {
	r.agent.Register(Registration{Address: "10.0.0.1:1", Sequence: sequence, Worker: &api.Worker{
		Id: "w", Born: r.worker.born, Service: "s", MilliCpu: 32000, Draining: draining,
	}})
}

// grantLease gives the worker that is registered a lease that starts now.
func (r *rig) grantLease(lease time.Duration) {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.agent.term = 1
	r.agent.current.leaseUntil = time.Now().Add(lease)
}

// serve registers the worker and gives its agent a lease.
func (r *rig) serve(lease time.Duration) {
	r.register(1, false)
	r.grantLease(lease)
	r.wait(100 * time.Millisecond)
}

func (r *rig) sendDirective(d *api.WorkerDirective) {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	r.agent.current.applyDirective(d)
}

func (r *rig) start(runs ...jobs.RunID) {
	d := &api.WorkerDirective{}
	for _, run := range runs {
		d.Starts = append(d.Starts, &api.RunOrder{Run: run.Ref()})
	}
	r.sendDirective(d)
}

func (r *rig) buildReport() *api.WorkerReport {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	return r.agent.buildReport(1, r.sessionID)
}

// wait lets d pass and waits until all goroutines are blocked.
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

func pairCost(service, bestEffort string, perCore float64) dispatch.PairCost {
	return dispatch.PairCost{Pair: dispatch.Pair{Service: service, BestEffort: bestEffort}, PerCore: perCore}
}
