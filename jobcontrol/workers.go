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

// noteOutage records since when a worker has not answered its agent. The lock is held.
func (l *leadership) noteOutage(view *workerView) {
	var since time.Time
	if view.unanswered > 0 {
		since = view.heard.Add(-view.unanswered)
	}
	l.outages.Note(view.key, since, view.heard)
}

// hasSession reports whether a worker's agent has a session that reports on this
// worker. The lock is held.
func (l *leadership) hasSession(view *workerView) bool {
	session := l.sessions[view.agent]
	return session != nil && session.key == view.key
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
