package jobcontrol

import (
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// workerView is the leader's soft state of a worker's latest incarnation.
type workerView struct {
	worker      *api.Worker
	key         string
	agent       string
	leaving     bool
	leaseUntil  time.Time                     // when the lease of its agent has certainly expired, margin included
	formerUntil time.Time                     // when a lease from a call for an earlier incarnation has certainly expired
	joined      time.Time                     // when its agent first reported it
	heard       time.Time                     // when its agent last reported
	runs        map[jobs.RunID]*api.RunStatus // from the worker's latest list
	unreachable bool                          // it refuses connections or polls of its agent
	unanswered  time.Duration                 // how long the worker has not answered its agent
	lists       int64                         // number of the worker's lists that its agent has received
	sample      dispatch.Sample               // of its services and best-effort runs
	suspect     bool                          // its runs fail more often than those on other workers
	unbooked    map[jobs.RunID]time.Time      // runs of its latest list that are not counted on it, since when
}

// starting reports whether the worker may not have survived the start of a run yet.
func (v *workerView) starting(run jobs.RunID) bool {
	status := v.runs[run]
	return status == nil || status.Starting
}

// atFullPace reports whether a best-effort run is not throttled. One that has not
// started yet is not.
func (v *workerView) atFullPace(run jobs.RunID) bool {
	return v.starting(run) || v.runs[run].Pace >= dispatch.FullPace
}

// setSuspect records whether a worker is suspect, and logs a change.
func (v *workerView) setSuspect(suspect bool) {
	if v.suspect != suspect {
		klog.InfoS("Worker suspicion changed", "worker", v.key, "suspect", suspect)
		v.suspect = suspect
	}
}

// updateWorker updates the worker of a report and returns its view, nil for an
// incarnation that a later one has replaced. The runs of earlier incarnations that this
// one does not carry out are marked lost. The lock is held.
func (l *leadership) updateWorker(agent string, report *api.WorkerReport) *workerView {
	worker := report.Worker
	key := jobs.WorkerKey(worker.Id, worker.Born)
	view := l.workers[worker.Id]
	if view != nil && view.key != key && worker.Born < view.worker.Born {
		return nil // the report is late, of an earlier incarnation
	}
	l.carryRuns(report)
	if view == nil || view.key != key {
		klog.InfoS("Worker joined", "worker", key, "agent", agent, "zone", worker.Zone, "rack", worker.Rack,
			"service", worker.Service, "milli_cpu", worker.MilliCpu, "memory_mib", worker.MemoryMib)
		if view != nil {
			l.forgetWorker(view.key)
		}
		l.loseEarlierRuns(worker)
		l.dropPredecessors(worker)
		view = &workerView{key: key, joined: l.server.now(), runs: map[jobs.RunID]*api.RunStatus{}}
		l.workers[worker.Id] = view
	}
	if view.worker != nil && worker.Draining != view.worker.Draining {
		klog.InfoS("Worker draining changed", "worker", key, "draining", worker.Draining,
			"remaining_ms", worker.DrainRemainingMs)
	}
	view.worker, view.agent, view.leaving = worker, agent, report.Leaving
	view.heard = l.server.now()
	l.noteFormerLease(view, report)
	view.unreachable = report.Unreachable
	view.unanswered = time.Duration(report.UnansweredMs) * time.Millisecond
	l.noteOutage(view)
	l.health.SetSelfReport(key, report.Unhealthy)
	return view
}

// noteFormerLease records until when a worker may hold a lease from a call for an earlier
// incarnation. It has held that one when it first answered its agent, so before it was first
// reported here. The lock is held.
func (l *leadership) noteFormerLease(view *workerView, report *api.WorkerReport) {
	if report.FormerLeaseMs == 0 {
		return
	}
	config := &l.server.config
	until := view.heard.Add(time.Duration(report.FormerLeaseMs)*time.Millisecond + config.LeaseLimit/leaseMarginDivisor)
	if latest := view.joined.Add(config.longestLease()); until.After(latest) {
		until = latest
	}
	view.formerUntil = laterOf(view.formerUntil, until)
}

// noteOutage records since when a worker has not answered its agent. The lock is held.
func (l *leadership) noteOutage(view *workerView) {
	var since time.Time
	if view.unanswered > 0 {
		since = view.heard.Add(-view.unanswered)
	}
	l.outages.Note(view.key, since, view.heard)
}

// loseEarlierRuns queues the ends, as lost, of all runs on earlier incarnations of a
// worker and on earlier workers of its VM, also those that an earlier leader knew: a
// VM has one worker at a time, which starts without runs. Those that the worker carries
// out go on. The lock is held.
func (l *leadership) loseEarlierRuns(worker *api.Worker) {
	var earlier []string
	l.assumed.Read(func(view jobs.View) {
		view.Workers(func(key string, _ int) {
			id, born := jobs.ParseWorkerKey(key)
			sameVM := worker.Machine != "" && view.VMOf(key) == worker.Machine
			if (id == worker.Id || sameVM) && born < worker.Born {
				earlier = append(earlier, key)
			}
		})
	})
	for _, key := range earlier {
		l.recovery.listed(key, l.server.now())
		l.loseRuns(key, "the worker started anew")
	}
}

// dropPredecessors drops the earlier workers of a worker's VM. The lock is held.
func (l *leadership) dropPredecessors(worker *api.Worker) {
	for id, view := range l.workers {
		if id != worker.Id && worker.Machine != "" && view.worker.Machine == worker.Machine && view.worker.Born < worker.Born {
			delete(l.workers, id)
			l.forgetWorker(view.key)
		}
	}
}

// hasSession reports whether a worker's agent has a session that reports on this
// worker. The lock is held.
func (l *leadership) hasSession(view *workerView) bool {
	session := l.sessions[view.agent]
	return session != nil && session.key == view.key
}

// dropLostWorkers queues the ends of runs on workers whose leases have certainly
// expired, and drops those workers that have neither runs nor a session. The lock is held.
func (l *leadership) dropLostWorkers() {
	now := l.server.now()
	// By this time all leases granted by earlier leaders have expired.
	start := l.since.Add(l.server.config.Lease + l.server.config.leaseMargin())
	var lost []string
	withRuns := map[string]bool{}
	l.assumed.Read(func(view jobs.View) {
		view.Workers(func(key string, _ int) {
			withRuns[key] = true
			if !now.Before(start) && !l.mayHoldLease(key, now) && !l.mayHoldFormerLease(view, key, now) {
				lost = append(lost, key)
			}
		})
	})
	for _, key := range lost {
		l.recovery.lose(key, now)
		l.loseRuns(key, reasonLeaseOver)
		if session := l.sessionOfWorker(key); session != nil {
			session.rebind(key) // an agent that was paused may go on with this session
		}
	}
	for id, view := range l.workers {
		if now.After(view.leaseUntil) && !withRuns[view.key] && !now.Before(start) && !l.hasSession(view) {
			klog.InfoS("Worker lost", "worker", view.key, "agent", view.agent, "unheard_ms", now.Sub(view.heard).Milliseconds())
			delete(l.workers, id)
			l.forgetWorker(view.key)
		}
	}
}

// forgetWorker drops what was learned about an incarnation that has ended. The lock
// is held.
func (l *leadership) forgetWorker(key string) {
	l.health.Forget(key)
	l.knowledge.Interference.Forget(key)
}

// viewOf returns the view of a worker's incarnation, nil when it is not the latest
// one. The lock is held.
func (l *leadership) viewOf(key string) *workerView {
	id, _ := jobs.ParseWorkerKey(key)
	if view := l.workers[id]; view != nil && view.key == key {
		return view
	}
	return nil
}

// vmOf returns the VM of a worker's incarnation, empty when it is not known. The lock
// is held.
func (l *leadership) vmOf(key string) string {
	if view := l.viewOf(key); view != nil {
		return view.worker.Machine
	}
	return ""
}

// mayHoldLease reports whether the agent of a worker's incarnation may hold a lease.
func (l *leadership) mayHoldLease(key string, now time.Time) bool {
	view := l.viewOf(key)
	return view != nil && now.Before(view.leaseUntil)
}

// mayHoldFormerLease reports whether a worker's incarnation may hold a lease from a call
// for an earlier one, which no leader has granted. Of one that has not reported to this
// leader it is only known since when the log has had runs on it. The lock is held.
func (l *leadership) mayHoldFormerLease(state jobs.View, key string, now time.Time) bool {
	id, born := jobs.ParseWorkerKey(key)
	view := l.workers[id]
	switch {
	case view != nil && view.key == key:
		return now.Before(view.formerUntil)
	case view != nil || l.hasLaterWorker(state.VMOf(key), born):
		return false // a later incarnation, or a later worker of its VM, has reported
	}
	since, known := l.server.workerAges.since(key)
	return known && now.Before(since.Add(l.server.config.longestLease()))
}

// hasLaterWorker reports whether a worker that was born later than a time has reported from a
// VM, which has one worker at a time. The lock is held.
func (l *leadership) hasLaterWorker(vm string, born int64) bool {
	for _, view := range l.workers {
		if vm != "" && view.worker.Machine == vm && view.worker.Born > born {
			return true
		}
	}
	return false
}

// reasonLeaseOver is the reason of runs that are lost with their worker's lease.
const reasonLeaseOver = "the lease is over"

// mayBegin reports whether the start of a run may still be carried out, which no lease
// prevents: it was sent a short time ago, and no list has shown that the worker has begun the
// run. The lock is held.
func (l *leadership) mayBegin(key string, run jobs.RunID) bool {
	started, placed := l.startedAt[run]
	if !placed {
		started = l.server.workerAges.runSince(run) // an earlier leader placed it
	}
	if l.server.now().Sub(started) >= jobs.StartDelayLimit {
		return false
	}
	id, _ := jobs.ParseWorkerKey(key)
	view := l.workers[id]
	if view == nil {
		return !placed // its agent has not reported to this leader
	}
	return view.key == key && (view.runs[run] == nil || !hasBegun(view.runs[run]))
}

// loseRuns queues the ends, as lost, of all runs on a worker's incarnation that has
// ended or whose lease has expired, except those that a later incarnation carries out.
// The lock is held.
func (l *leadership) loseRuns(key, reason string) {
	l.assumed.Read(func(view jobs.View) {
		view.RunsOn(key, func(run jobs.RunID, _ *jobs.Group) {
			if l.queue.hasEnd(run, key) || l.isCarried(key, run) || reason == reasonLeaseOver && l.mayBegin(key, run) {
				return
			}
			l.standstills.noteReason(run, reason)
			evidence := l.lossEvidence(key, run)
			klog.InfoS("Run lost", "job", run.Task.Job, "run", run.String(), "worker", key, "reason", reason,
				"crash_evidence", jobs.EvidenceName(evidence), "start_confirmed", l.survivedStart(key, run), "joined_ms", l.sinceJoined(key), "term", l.term)
			l.add(endChange(run, key, api.RunOutcome_RUN_OUTCOME_LOST, l.latestCheckpoint(key, run), evidence))
		})
	})
	l.signal()
}

// sinceJoined returns for how many ms this leader has known a worker's incarnation, -1 if it
// doesn't. The lock is held.
func (l *leadership) sinceJoined(key string) int64 {
	view := l.viewOf(key)
	if view == nil {
		return -1
	}
	return l.server.now().Sub(view.joined).Milliseconds()
}

// latestCheckpoint returns the checkpoint of a run in the worker's latest list.
func (l *leadership) latestCheckpoint(key string, run jobs.RunID) string {
	if view := l.viewOf(key); view != nil {
		return view.runs[run].GetCheckpoint()
	}
	return ""
}

func endChange(run jobs.RunID, worker string, outcome api.RunOutcome, checkpoint string, evidence api.CrashEvidence) *api.JobChange {
	return &api.JobChange{Body: &api.JobChange_End{End: &api.EndRun{
		Run: run.Ref(), Worker: worker, Outcome: outcome, Checkpoint: checkpoint, CrashEvidence: evidence,
	}}}
}

// unbookedGrace is the time in which the members of a gang end by themselves once the end
// of one of them, which completes the gang, is in the log.
const unbookedGrace = 500 * time.Millisecond

// stopUnbooked closes a worker while it lists runs that the log does not have on it, and
// orders stops for those that do not end by themselves: they were ordered for an earlier
// incarnation, or lost meanwhile. Their room is not counted. The lock is held.
func (l *leadership) stopUnbooked(session *session, view *workerView) {
	now, earlier := l.server.now(), view.unbooked
	view.unbooked = map[jobs.RunID]time.Time{}
	l.server.config.State.Read(func(state jobs.View) {
		for run, status := range view.runs {
			if state.WorkerOf(run) == view.key || l.refusesCarried(run, status) {
				continue
			}
			since, known := earlier[run]
			if !known {
				since = now
			}
			view.unbooked[run] = since
			if now.Sub(since) >= unbookedGrace {
				session.queueStop(run, now)
			}
		}
	})
	if len(view.unbooked) != len(earlier) {
		klog.InfoS("Runs that the log does not have changed", "worker", view.key, "runs", len(view.unbooked))
	}
}

// sampleWorker returns what the worker's latest list shows of its services and
// best-effort runs. The lock is held.
func (l *leadership) sampleWorker(view *workerView) dispatch.Sample {
	sample := dispatch.Sample{
		At: view.heard, Services: map[jobs.RunID]dispatch.ServiceSample{}, Cores: map[string]float64{},
	}
	l.server.config.State.Read(func(state jobs.View) {
		for run, status := range view.runs {
			_, group, _ := state.Run(run)
			switch {
			case group == nil:
			case group.Spec.TargetLatencyMs > 0:
				sample.Services[run] = dispatch.ServiceSample{
					Image:    group.Spec.Image,
					Headroom: dispatch.HeadroomOf(status.Usage, group.Spec.TargetLatencyMs),
				}
			case group.Spec.BestEffort:
				sample.Cores[group.Spec.Image] += float64(status.Usage) / 1000
			}
		}
	})
	return sample
}

// maxUnanswered is how long a worker may leave its agent's calls unanswered before
// it gets no new runs.
const maxUnanswered = 700 * time.Millisecond

// openFor reports whether a worker's lease lasts for long enough to start runs there:
// more than half of it remains until leaseUntil.
func (l *leadership) openFor(view *workerView, now time.Time) bool {
	return now.Before(view.leaseUntil.Add(-l.server.config.Lease / 2))
}

// closedReason returns why a worker gets no new runs, empty if it is open. The lock is held.
func (l *leadership) closedReason(state jobs.View, view *workerView, suspect bool, now time.Time) dispatch.Obstacle {
	w := view.worker
	switch _, maintained := l.maintenance.closed[w.Machine]; {
	case !l.hasSession(view):
		return dispatch.ClosedSession
	case !l.openFor(view, now):
		return dispatch.ClosedLease
	case w.Draining:
		return dispatch.ClosedDraining
	case view.leaving:
		return dispatch.ClosedLeaving
	case state.ZoneOut(w.Zone):
		return dispatch.ClosedZone
	case view.unreachable:
		return dispatch.ClosedUnreachable
	case view.unanswered >= maxUnanswered:
		return dispatch.ClosedUnanswered
	case suspect:
		return dispatch.ClosedSuspect
	case len(view.unbooked) > 0:
		return dispatch.ClosedUnbooked
	case maintained, l.isReturning(w.Machine, now):
		return dispatch.ClosedMaintenance
	}
	return ""
}

// dispatchWorkers returns the workers as input of the planner. The lock is held.
func (l *leadership) dispatchWorkers(state jobs.View, now time.Time) []dispatch.Worker {
	workers := make([]dispatch.Worker, 0, len(l.workers))
	keys := make([]string, 0, len(l.workers))
	for _, view := range l.workers {
		keys = append(keys, view.key)
	}
	suspects := l.health.Suspects(now, keys)
	for _, view := range l.workers {
		w := view.worker
		closed := l.closedReason(state, view, suspects[view.key], now)
		view.setSuspect(suspects[view.key])
		var starting func(jobs.RunID) bool
		if state.TasksOnProbation() > 0 {
			starting = view.starting
		}
		workers = append(workers, dispatch.Worker{
			Key: view.key, Service: w.Service, Zone: w.Zone, Region: w.Region, Rack: w.Rack, Labels: w.Labels,
			Capacity: dispatch.Capacity(w), Open: closed == "", Closed: closed, Sample: view.sample,
			HealthPenalty: l.health.Penalty(view.key, now), Starting: starting, AtFullPace: view.atFullPace,
		})
	}
	return workers
}
