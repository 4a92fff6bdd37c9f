package jobcontrol

import (
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

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
		if session := l.sessionOfWorker(key); l.loseRuns(key, reasonLeaseOver) > 0 && session != nil {
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

// mayHoldLease reports whether the agent of a worker's incarnation may hold a lease.
func (l *leadership) mayHoldLease(key string, now time.Time) bool {
	view := l.viewOf(key)
	return view != nil && now.Before(view.leaseUntil)
}

// formerLease returns for how long a worker may hold a lease from a call for an earlier
// incarnation, 0 if it holds none. The lock is held.
func (l *leadership) formerLease(key string) time.Duration {
	view := l.viewOf(key)
	if view == nil {
		return 0
	}
	return max(view.formerUntil.Sub(l.server.now()), 0)
}

// mayHoldFormerLease reports whether a worker's incarnation may hold a lease from a call
// for an earlier one, which no leader has granted. Of one that has not reported to this
// leader it is known from the starts of its runs. The lock is held.
func (l *leadership) mayHoldFormerLease(state jobs.View, key string, now time.Time) (may bool) {
	id, born := jobs.ParseWorkerKey(key)
	view := l.workers[id]
	switch {
	case view != nil && view.key == key:
		return now.Before(view.formerUntil)
	case view != nil || l.hasLaterWorker(state.VMOf(key), born):
		return false // a later incarnation, or a later worker of its VM, has reported
	}
	state.RunsOn(key, func(run jobs.RunID, _ *jobs.Group) {
		may = may || now.Before(l.server.runAges.since(run).Add(state.FormerLeaseOf(run)))
	})
	return may
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

// mayHaveBegun reports whether a worker that is not heard from may run something that no list
// has shown: a later incarnation may have carried out its start, until the last moment for
// that, and holds the longest lease from then on. A worker that has not reported to this
// leader has most likely answered the start: only the delay of the start counts there. The
// lock is held.
func (l *leadership) mayHaveBegun(key string, run jobs.RunID) bool {
	started, placed := l.startedAt[run]
	if !placed {
		started = l.server.runAges.since(run) // an earlier leader placed it
	}
	age := l.server.now().Sub(started)
	id, _ := jobs.ParseWorkerKey(key)
	switch view := l.workers[id]; {
	case view == nil:
		return !placed && age < jobs.StartDelayLimit
	case view.key != key || view.runs[run] != nil && hasBegun(view.runs[run]):
		return false
	}
	return age < jobs.StartDelayLimit+l.server.config.longestLease()
}

// loseRuns queues the ends, as lost, of all runs on a worker's incarnation that has
// ended or whose lease has expired, except those that a later incarnation carries out and
// those that may begin later. It returns their number. The lock is held.
func (l *leadership) loseRuns(key, reason string) (lost int) {
	l.assumed.Read(func(view jobs.View) {
		view.RunsOn(key, func(run jobs.RunID, _ *jobs.Group) {
			if l.queue.hasEnd(run, key) || l.isCarried(key, run) || reason == reasonLeaseOver && l.mayHaveBegun(key, run) {
				return
			}
			l.standstills.noteReason(run, reason)
			evidence := l.lossEvidence(key, run)
			klog.InfoS("Run lost", "job", run.Task.Job, "run", run.String(), "worker", key, "reason", reason,
				"crash_evidence", jobs.EvidenceName(evidence), "start_confirmed", l.survivedStart(key, run), "joined_ms", l.sinceJoined(key), "term", l.term)
			l.add(endChange(run, key, api.RunOutcome_RUN_OUTCOME_LOST, l.latestCheckpoint(key, run), evidence))
			lost++
		})
	})
	if lost > 0 {
		l.signal()
	}
	return lost
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
