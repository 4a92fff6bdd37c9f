package jobcontrol

import (
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// A worker may start again under the id that it had. Starts that were sent to its earlier
// incarnation are then carried out by the later one until that has answered a call, and
// refused afterwards, for their fencing token. So the first report on an incarnation,
// which holds its list, settles the runs of the earlier ones: those that it names are
// carried out by this one until they end, all others are lost.

// carriedRun is an active run that a worker's later incarnation carries out.
type carriedRun struct {
	ordered string    // key of the incarnation that the run was ordered for, as in the log
	carrier string    // key of the one that carries it out
	until   time.Time // end of the longest lease that the run may have by itself
}

// carryRuns records which runs of earlier incarnations a report on a worker names as
// running or ended. The lock is held.
func (l *leadership) carryRuns(report *api.WorkerReport) {
	worker := report.Worker
	carrier := jobs.WorkerKey(worker.Id, worker.Born)
	for run, c := range l.carried {
		if id, born := jobs.ParseWorkerKey(c.carrier); id == worker.Id && born < worker.Born {
			delete(l.carried, run)
		}
	}
	l.assumed.Read(func(state jobs.View) {
		carry := func(ref *api.RunRef) {
			run := jobs.RunIDOf(ref)
			ordered := state.WorkerOf(run)
			id, born := jobs.ParseWorkerKey(ordered)
			if _, known := l.carried[run]; known || id != worker.Id || born >= worker.Born {
				return
			}
			l.carried[run] = carriedRun{ordered: ordered, carrier: carrier, until: l.server.now().Add(l.server.config.longestLease())}
			klog.InfoS("Run was started by an order for an earlier incarnation", "job", run.Task.Job, "run", run.String(),
				"worker", carrier, "ordered_for", ordered)
		}
		for _, status := range report.Runs {
			carry(status.Run)
		}
		for _, end := range report.Ends {
			carry(end.Run)
		}
	})
}

// dropCarried drops the carried runs that have ended in the log, and those whose leases
// have certainly expired. The lock is held.
func (l *leadership) dropCarried() {
	now := l.server.now()
	l.server.config.State.Read(func(state jobs.View) {
		for run, c := range l.carried {
			if state.WorkerOf(run) != c.ordered || !now.Before(c.until) && !l.mayHoldLease(c.carrier, now) {
				delete(l.carried, run)
			}
		}
	})
}

// carriedKey returns the key that the log has for a run which an agent reports of an
// incarnation: that of an earlier one for a carried run. The lock is held.
func (l *leadership) carriedKey(key string, run jobs.RunID) string {
	if c, carried := l.carried[run]; carried && c.carrier == key {
		return c.ordered
	}
	return key
}

// isCarried reports whether a later incarnation carries out a run that was ordered for
// the one with the key. The lock is held.
func (l *leadership) isCarried(key string, run jobs.RunID) bool { return l.carried[run].ordered == key }

// refusesCarried reports whether an incarnation refuses the start of a run that was ordered for
// an earlier one: it needs no room there. The run counts as carried all the same, since the
// incarnation after this one may carry the start out. The lock is held.
func (l *leadership) refusesCarried(run jobs.RunID, status *api.RunStatus) bool {
	_, carried := l.carried[run]
	return carried && !hasBegun(status)
}

// stopCarried orders stops for the carried runs. The lock is held.
func (l *leadership) stopCarried(now time.Time) {
	for run, c := range l.carried {
		if session := l.sessionOfWorker(c.carrier); session != nil {
			session.queueStop(run, now)
		}
	}
}

// sessionOfRun returns the session of the agent that controls a run, nil for none. key is
// that of the incarnation that the run was ordered for. The lock is held.
func (l *leadership) sessionOfRun(key string, run jobs.RunID) *session {
	if l.isCarried(key, run) {
		key = l.carried[run].carrier
	}
	return l.sessionOfWorker(key)
}
