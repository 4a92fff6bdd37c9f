package session

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/worker"
)

// fakeWorker is an in-memory Worker that follows the generation rules of package
// worker.
type fakeWorker struct {
	epoch             string
	startedAt         time.Time
	runs              map[string]worker.TaskStatus
	highestGeneration map[string]uint64
	leaseMS           int64
	silent            bool
	starts            int
	forgets           int
}

func newFakeWorker() *fakeWorker {
	return &fakeWorker{
		epoch: "a", startedAt: time.Now(),
		runs: map[string]worker.TaskStatus{}, highestGeneration: map[string]uint64{},
	}
}

var errSilent = fault.New(fault.BackendUnavailable, "worker is silent")

func (f *fakeWorker) Start(_ context.Context, task string, request worker.StartRequest) error {
	if f.silent {
		return errSilent
	}
	if request.Epoch != f.epoch || request.Generation <= f.highestGeneration[task] {
		return fault.New(fault.Stale, "old generation or epoch")
	}
	f.highestGeneration[task] = request.Generation
	f.starts++
	f.runs[task] = worker.TaskStatus{Task: task, Generation: request.Generation, Phase: worker.PhaseRunning}
	return nil
}

func (f *fakeWorker) Throttle(context.Context, string, worker.ThrottleRequest) error { return nil }

func (f *fakeWorker) Stop(_ context.Context, task string, request worker.StopRequest) error {
	run, known := f.runs[task]
	if !known || run.Generation != request.Generation {
		f.highestGeneration[task] = max(f.highestGeneration[task], request.Generation)
		return fault.New(fault.NotFound, "no such run")
	}
	f.finish(task, worker.PhaseStopped)
	return nil
}

func (f *fakeWorker) finish(task string, phase worker.Phase) {
	run := f.runs[task]
	run.Phase = phase
	f.runs[task] = run
}

func (f *fakeWorker) ExtendLease(_ context.Context, request worker.LeaseRequest) error {
	if request.Epoch != f.epoch {
		return fault.New(fault.Stale, "another epoch")
	}
	f.leaseMS = max(f.leaseMS, request.UntilMS)
	return nil
}

func (f *fakeWorker) Forget(_ context.Context, task string, _ uint64) error {
	f.forgets++
	delete(f.runs, task)
	return nil
}

func (f *fakeWorker) Tasks(context.Context) (*worker.TaskList, error) {
	if f.silent {
		return nil, errSilent
	}
	list := &worker.TaskList{Epoch: f.epoch, ClockMS: time.Since(f.startedAt).Milliseconds()}
	for _, run := range f.runs {
		list.Tasks = append(list.Tasks, run)
	}
	return list, nil
}

func (f *fakeWorker) Usage(context.Context, int64) (*worker.UsageList, error) {
	return &worker.UsageList{}, nil
}

type noServers struct{}

func (noServers) Servers() []*api.BackendServer { return nil }
func (noServers) Changed() <-chan struct{}      { return make(chan struct{}) }

// rig is a session without a network; the test acts as the leader.
type rig struct {
	t       *testing.T
	worker  *fakeWorker
	session *Session
}

func newRig(t *testing.T) *rig {
	fake := newFakeWorker()
	r := &rig{t: t, worker: fake, session: New(Config{VM: &api.VM{Id: "vm-1"}, Worker: fake, Announcer: noServers{}})}
	r.session.beginSession()
	r.drive()
	return r
}

func (r *rig) drive() { r.session.driveOnce(context.Background()) }

// grant takes the next report and answers it with the directive, which it
// completes with a lease and a freshness bound.
func (r *rig) grant(directive *api.Directive) *api.AgentReport {
	r.t.Helper()
	report := r.session.nextReport(time.Now())
	if report == nil {
		r.t.Fatal("no report while the worker answers")
	}
	directive.Acknowledged = report.Sequence
	directive.LeaseMs = 10_000
	directive.FreshMs = 2_000
	directive.ZoneInService = true
	r.session.handleDirective(directive)
	return report
}

// report returns the state of the task in the next report, nil if it has none.
func (r *rig) report(task string) *api.TaskStatus {
	for _, status := range r.session.nextReport(time.Now()).GetTasks() {
		if status.Task == task {
			return status
		}
	}
	return nil
}

func start(task string, generation uint64) *api.StartTask {
	return &api.StartTask{Task: task, Generation: generation}
}

func TestRepeatedStartDirectiveStartsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.grant(&api.Directive{Start: []*api.StartTask{start("a", 1)}})
		r.drive()
		r.grant(&api.Directive{Start: []*api.StartTask{start("a", 1)}})
		r.drive()
		if r.worker.starts != 1 {
			t.Errorf("%d starts, want 1", r.worker.starts)
		}
		if status := r.report("a"); status.GetPhase() != api.TaskPhase_TASK_PHASE_RUNNING {
			t.Errorf("a repeated start directive must be answered with the run's state, got %v", status)
		}
	})
}

func TestNoStartAfterFreshnessBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.grant(&api.Directive{Start: []*api.StartTask{start("a", 1)}})
		time.Sleep(2 * time.Second)
		r.drive()
		if r.worker.starts != 0 {
			t.Fatal("a task started after the freshness bound")
		}
		time.Sleep(startTimeout)
		r.drive()
		if status := r.report("a"); status.GetPhase() != api.TaskPhase_TASK_PHASE_STOPPED {
			t.Errorf("a refused start must be reported as stopped, got %v", status)
		}
		r.grant(&api.Directive{Start: []*api.StartTask{start("a", 1)}})
		r.drive()
		if r.worker.starts != 0 {
			t.Error("a run that was reported as stopped started later")
		}
	})
}

func TestStartProceedsOncePermissionIsConfirmedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.grant(&api.Directive{Start: []*api.StartTask{start("a", 1)}})
		time.Sleep(2 * time.Second)
		r.drive()
		r.grant(&api.Directive{})
		r.drive()
		if r.worker.starts != 1 {
			t.Errorf("%d starts after a fresh confirmation, want 1", r.worker.starts)
		}
	})
}

func TestStartIsRefusedOnceZoneIsOutOfService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.grant(&api.Directive{Start: []*api.StartTask{start("a", 1)}})
		report := r.session.nextReport(time.Now())
		r.session.handleDirective(&api.Directive{Acknowledged: report.Sequence, LeaseMs: 10_000, FreshMs: 2_000})
		r.drive()
		if r.worker.starts != 0 {
			t.Error("a task started in a zone that is out of service")
		}
		if status := r.report("a"); status.GetPhase() != api.TaskPhase_TASK_PHASE_STOPPED {
			t.Errorf("got %v, want stopped", status)
		}
	})
}

func TestStopBeforeStartFencesRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.grant(&api.Directive{
			Start: []*api.StartTask{start("a", 1)},
			Stop:  []*api.StopTask{{Task: "a", Generation: 1}},
		})
		r.drive()
		if status := r.report("a"); status.GetPhase() != api.TaskPhase_TASK_PHASE_STOPPED {
			t.Errorf("got %v, want stopped", status)
		}
		r.grant(&api.Directive{Start: []*api.StartTask{start("a", 1)}})
		r.drive()
		if r.worker.starts != 0 {
			t.Error("a stopped run started")
		}
	})
}

func TestEndedRunIsForgottenOnlyOnceAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.grant(&api.Directive{Start: []*api.StartTask{start("a", 1)}})
		r.drive()
		r.grant(&api.Directive{})
		r.worker.finish("a", worker.PhaseFinished)
		r.drive()
		unacknowledged := r.session.nextReport(time.Now())
		if len(unacknowledged.Tasks) != 1 {
			t.Fatalf("the end was not reported: %v", unacknowledged)
		}
		r.drive()
		if r.worker.forgets != 0 {
			t.Fatal("the worker was told to forget an end that was not acknowledged")
		}
		r.session.beginSession()
		report := r.grant(&api.Directive{})
		if len(report.Tasks) != 1 || report.Tasks[0].Phase != api.TaskPhase_TASK_PHASE_FINISHED {
			t.Fatalf("the end must be reported again in a new session, got %v", report.Tasks)
		}
		r.drive()
		if r.worker.forgets != 1 {
			t.Errorf("%d forgets after the acknowledgement, want 1", r.worker.forgets)
		}
	})
}

func TestNoReportWhileWorkerIsUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.worker.silent = true
		time.Sleep(maxWorkerSilence + time.Millisecond)
		r.drive()
		if r.session.nextReport(time.Now()) != nil {
			t.Error("a report was sent although the worker does not answer")
		}
	})
}

func TestRestartedWorkerGetsNoLeaseFromEarlierClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		time.Sleep(time.Hour)
		r.drive()
		report := r.session.nextReport(time.Now())
		r.worker.epoch, r.worker.startedAt = "b", time.Now()
		r.drive()
		r.session.handleDirective(&api.Directive{Acknowledged: report.Sequence, LeaseMs: 10_000})
		r.drive()
		if r.worker.leaseMS != 0 {
			t.Errorf("lease until %d ms on a clock that has just started", r.worker.leaseMS)
		}
	})
}

func TestRunsLostInWorkerRestartAreReportedStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.grant(&api.Directive{Start: []*api.StartTask{start("a", 1)}})
		r.drive()
		r.grant(&api.Directive{})
		r.worker.epoch, r.worker.startedAt = "b", time.Now()
		clear(r.worker.runs)
		r.drive()
		if status := r.report("a"); status.GetPhase() != api.TaskPhase_TASK_PHASE_STOPPED {
			t.Errorf("got %v, want stopped", status)
		}
	})
}

func TestStartExpiresWithLeaseItWasReceivedUnder(t *testing.T) {
	for _, newSession := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t)
			r.grant(&api.Directive{Start: []*api.StartTask{start("a", 1)}})
			time.Sleep(10 * time.Second)
			r.session.readTasks(context.Background())
			if newSession {
				r.session.beginSession()
			}
			r.grant(&api.Directive{})
			r.drive()
			if r.worker.starts != 0 {
				t.Errorf("new session %v: a start took effect after the lease it was received under had ended", newSession)
			}
		})
	}
}

func TestUnresponsiveReplicaIsAbandonedBeforeLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.grant(&api.Directive{HeartbeatMs: 4000})
		time.Sleep(4 * time.Second)
		r.session.readTasks(context.Background())
		if r.session.answerOverdue(time.Now()) {
			t.Fatal("an answer counts as overdue although every report was answered")
		}
		r.session.nextReport(time.Now())
		if wait := r.session.untilNextCheck(time.Now(), time.Now().Add(4*time.Second)); wait > answerTimeout {
			t.Errorf("the next check is in %v, the answer is due in %v", wait, answerTimeout)
		}
		time.Sleep(answerTimeout)
		if !r.session.answerOverdue(time.Now()) {
			t.Error("an unanswered report does not count as overdue after answerTimeout")
		}
	})
}

// fakeLeaderStream is the stream of a leader that answers every report after
// answerDelay and requests the longest heartbeat.
type fakeLeaderStream struct {
	grpc.ClientStream
	session *Session
	reports int
}

func (a *fakeLeaderStream) Send(report *api.AgentReport) error {
	a.reports++
	time.AfterFunc(answerDelay, func() {
		a.session.handleDirective(&api.Directive{Acknowledged: report.Sequence, HeartbeatMs: 4000})
	})
	return nil
}

const answerDelay = 50 * time.Millisecond

func (a *fakeLeaderStream) Recv() (*api.Directive, error) { select {} }

func TestReportsAreNoMoreFrequentThanRequested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		stream := &fakeLeaderStream{session: r.session}
		ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
		defer cancel()
		var polling sync.WaitGroup
		polling.Go(func() {
			for ctx.Err() == nil {
				r.session.readTasks(ctx)
				time.Sleep(pollInterval)
			}
		})
		_ = r.session.sendLoop(ctx, stream, make(chan error))
		polling.Wait()
		time.Sleep(answerDelay)
		shortest := time.Duration(float64(4*time.Second) * (1 - heartbeatJitter))
		// Two more reports are sent: one before the leader's interval is known, and one
		// at the first poll of the worker.
		if most := int(40*time.Second/shortest) + 2; stream.reports > most || stream.reports < 5 {
			t.Errorf("%d reports in 40 s at a heartbeat of 4 s, want 5 to %d", stream.reports, most)
		}
	})
}

// Directives repeat the refused servers. A log line for each would fill the log of
// a VM whose server stays refused.
func TestRefusedServerIsLoggedOnce(t *testing.T) {
	r := newRig(t)
	var log bytes.Buffer
	defer klog.CaptureState().Restore()
	klog.LogToStderr(false)
	klog.SetOutput(&log)
	for range 3 {
		r.grant(&api.Directive{RefusedServers: []*api.RefusedServer{{Id: "s1", Vm: "vm-2"}}})
	}
	r.grant(&api.Directive{RefusedServers: []*api.RefusedServer{{Id: "s1", Vm: "vm-3"}}})
	klog.Flush()
	if lines := strings.Count(log.String(), "Backend server not published"); lines != 2 {
		t.Errorf("%d lines for two VMs that the server's id was published for, want 2:\n%s", lines, &log)
	}
}
