package jobcontrol

import (
	"context"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// completeBatches waits for the proposed batches in order and delivers their
// results.
func (l *leadership) completeBatches() {
	for b := range l.inFlight {
		ctx, cancel := context.WithTimeout(l.ctx, commitTimeout-l.server.now().Sub(b.proposed))
		data, err := b.wait(ctx)
		cancel()
		result := &api.JobBatchResult{}
		if err == nil {
			err = fault.Wrap(fault.Internal, proto.Unmarshal(data, result), "decode results")
		}
		if err == nil && len(result.Results) != len(b.changes) {
			err = fault.New(fault.Internal, "the results do not match the changes")
		}
		if err != nil {
			klog.ErrorS(err, "Batch not committed", "changes", len(b.changes))
			b.fail(err)
			l.mu.Lock()
			l.outstanding--
			l.zoneOrders.settle(b.changes, l.server.appliedIndex())
			l.markAssumedStale()
			l.requeueCrashes(b)
			l.mu.Unlock()
			continue
		}
		l.deliverResults(b, result)
	}
}

// deliverResults passes the results of a committed batch to waiting callers and
// to the agents.
func (l *leadership) deliverResults(b *batch, result *api.JobBatchResult) {
	telemetry.JobBatchSeconds.Observe(l.server.now().Sub(b.proposed))
	l.mu.Lock()
	l.outstanding--
	l.zoneOrders.settle(b.changes, l.server.appliedIndex())
	if b.barrier {
		l.assumed, l.assumedStale = l.server.config.State.Clone(), false
		l.sendExpectedRuns()
	}
	l.compareResults(b, result.Results)
	for i, p := range b.changes {
		l.handleCommitted(p.change, jobs.ResultError(result.Results[i]))
	}
	l.queueStops()
	l.mu.Unlock()
	for i, p := range b.changes {
		p.finish(jobs.ResultError(result.Results[i]))
	}
	l.signal()
}

// sendExpectedRuns makes every session send the runs that its agent has to know. A batch
// whose commit was not known in time may be committed after all, and its starts have not
// been sent: the agents fence them, so that their tasks start again. The lock is held.
func (l *leadership) sendExpectedRuns() {
	for _, session := range l.sessions {
		session.sendExpected = true
		session.signal()
	}
}

// handleCommitted updates the leader's soft state for one committed change; err is
// the result of the change. The lock is held.
func (l *leadership) handleCommitted(change *api.JobChange, err error) {
	switch body := change.Body.(type) {
	case *api.JobChange_Submit:
		l.learnWork(body.Submit, err)
	case *api.JobChange_Cancel:
		l.forgetJob(body.Cancel.Job)
	case *api.JobChange_Start:
		l.handleCommittedStart(body.Start, err)
	case *api.JobChange_End:
		l.handleCommittedEnd(body.End, err)
	case *api.JobChange_Crash:
		l.handleCommittedCrash(body.Crash, err)
	case *api.JobChange_Begun:
		handleCommittedBegun(body.Begun, err)
	case *api.JobChange_Configure:
		klog.InfoS("Configuration committed", "version", body.Configure.Version,
			"in_force", l.configurationVersion(), "error", err)
	case *api.JobChange_Zone:
		klog.InfoS("Zone order committed", "zone", body.Zone.Zone, "out", body.Zone.Out)
	}
}

func (l *leadership) configurationVersion() (version int64) {
	l.server.config.State.Read(func(view jobs.View) { version = view.Configuration().GetVersion() })
	return version
}

func (l *leadership) handleCommittedStart(start *api.StartRun, err error) {
	run := jobs.RunIDOf(start.Run)
	if err != nil {
		klog.InfoS("Start not committed", "run", run.String(), "worker", start.Worker, "error", err)
		l.releaseKept(run)
		return
	}
	l.startedAt[run] = l.server.now()
	lasted, named := l.standstills.start(run, l.server.now())
	l.endStandstill(run, lasted, named)
	l.idleJobs.begin(run.Task)
	setFirst(&l.recovery.start, l.server.now())
	l.observeWait(run)
	l.forecastStart(run)
	l.server.config.State.Read(func(view jobs.View) {
		if _, group, task := view.Run(run); group != nil {
			klog.InfoS("Run placed", "job", run.Task.Job, "run", run.String(), "worker", start.Worker, "term", l.term,
				"group", jobs.GroupShape(group.Spec), "from_checkpoint", task.Checkpoint != "", "failures", task.Failures)
		}
	})
	if session := l.sessionOfWorker(start.Worker); session != nil {
		session.queueStart(l.server.config.State, run, start)
	}
}

func (l *leadership) handleCommittedEnd(end *api.EndRun, err error) {
	run := jobs.RunIDOf(end.Run)
	if err == nil {
		l.learnDuration(run, end)
		l.learnRunTime(run, end)
		l.learnHealth(end)
	}
	l.checkForecasts(run, err == nil && end.Outcome == api.RunOutcome_RUN_OUTCOME_DONE)
	delete(l.startedAt, run)
	delete(l.spreadRuns, run)
	defer delete(l.standstills.reasons, run)
	delete(l.movingRuns, run)
	l.idleJobs.setPaused(run, false)
	l.releaseKept(run)
	if err == nil && end.CrashEvidence == api.CrashEvidence_CRASH_EVIDENCE_SURVIVED {
		delete(l.crashedUnder, run.Task)
	}
	l.progress.Forget(run)
	phase := "forgotten"
	l.server.config.State.Read(func(view jobs.View) {
		if job := view.Job(run.Task.Job); job != nil {
			phase = job.Phase.String()
			if err == nil {
				group, _ := job.Task(run.Task)
				l.standstills.end(run, end.Worker, jobs.OutcomeName(end.Outcome), group != nil && group.Spec.LongRunning, l.server.now())
			}
			if job.Phase.Ended() {
				l.forgetJob(job.ID)
			}
		}
	})
	telemetry.JobRunsEnded.Add(1, jobs.OutcomeName(end.Outcome))
	klog.InfoS("Run ended", "job", run.Task.Job, "run", run.String(), "worker", end.Worker,
		"outcome", jobs.OutcomeName(end.Outcome), "job_state", phase, "stale", err != nil)
	if session := l.sessionOfRun(end.Worker, run); session != nil {
		session.queueRecorded(run)
	}
}
