package jobcontrol

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// idleJobs knows for how long jobs have had no run at work. Best-effort runs that their
// agents have paused are active and not at work. It is given the times. It is not safe for
// concurrent use.
type idleJobs struct {
	paused map[string]map[jobs.RunID]bool // by job: runs that their workers last listed as paused
	since  map[string]time.Time           // since when a job has had no run at work
	// tasks has since when tasks of long-running groups have had no run, by job.
	tasks map[string]map[jobs.TaskID]time.Time
}

func newIdleJobs() idleJobs {
	return idleJobs{paused: map[string]map[jobs.RunID]bool{}, since: map[string]time.Time{}, tasks: map[string]map[jobs.TaskID]time.Time{}}
}

// setPaused records whether a run is paused.
func (i *idleJobs) setPaused(run jobs.RunID, paused bool) {
	runs := i.paused[run.Task.Job]
	if !paused {
		if delete(runs, run); len(runs) == 0 {
			delete(i.paused, run.Task.Job)
		}
		return
	}
	if runs == nil {
		runs = map[jobs.RunID]bool{}
		i.paused[run.Task.Job] = runs
	}
	runs[run] = true
}

// idle returns for how long a job has had no run at work, 0 if it has one. The time counts
// from the first call that finds none.
func (i *idleJobs) idle(job *jobs.Job, now time.Time) time.Duration {
	if job.ActiveRuns() > len(i.paused[job.ID]) {
		delete(i.since, job.ID)
		return 0
	}
	since, known := i.since[job.ID]
	if !known {
		since = now
		i.since[job.ID] = now
	}
	return now.Sub(since)
}

// markAtWork records that a run of a job is listed as not paused.
func (i *idleJobs) markAtWork(job string) { delete(i.since, job) }

// taskIdle returns for how long a waiting task of a long-running group has had no run. The
// time counts from the first call since its latest start.
func (i *idleJobs) taskIdle(task jobs.TaskID, now time.Time) time.Duration {
	tasks := i.tasks[task.Job]
	if tasks == nil {
		tasks = map[jobs.TaskID]time.Time{}
		i.tasks[task.Job] = tasks
	}
	since, known := tasks[task]
	if !known {
		since = now
		tasks[task] = now
	}
	return now.Sub(since)
}

// begin records that a run of a task starts.
func (i *idleJobs) begin(task jobs.TaskID) {
	i.markAtWork(task.Job)
	if tasks := i.tasks[task.Job]; tasks != nil {
		if delete(tasks, task); len(tasks) == 0 {
			delete(i.tasks, task.Job)
		}
	}
}

// forget drops a job that has ended.
func (i *idleJobs) forget(job string) {
	delete(i.paused, job)
	delete(i.since, job)
	delete(i.tasks, job)
}

// Intervals of the look for jobs of which all runs are paused.
const (
	keepInterval = 200 * time.Millisecond
	// pausedTolerance is how long all runs of a job may be paused. Together with the intervals
	// of the agents' reports it is below the 3 s for which an accepted job may stand still.
	pausedTolerance = time.Second
	// minKeepTime is how long a run is kept at work at least: it starts at full pace, and its
	// agent may pause it after the next list.
	minKeepTime = 2 * time.Second
	// keptSampleTime is the time until the sample of a worker shows what a run uses: its
	// average covers half a second, and lists come about as often.
	keptSampleTime = time.Second
)

// keptRun is a best-effort run that its agent does not pause.
type keptRun struct {
	worker string // key
	since  time.Time
}

// keepJobsAtWork chooses a run of each job of which all runs have been paused for too long.
// Its agent does not pause it while the services on the worker recover: at the lowest pace
// it costs them little. The lock is held.
func (l *leadership) keepJobsAtWork() {
	now := l.server.now()
	if now.Sub(l.keptAt) < keepInterval {
		return
	}
	l.keptAt = now
	l.assumed.Read(func(state jobs.View) {
		for id, paused := range l.idleJobs.paused {
			job := state.Job(id)
			if job == nil || job.Phase.Ended() || l.idleJobs.idle(job, now) < pausedTolerance {
				continue
			}
			if run, found := l.leastAffecting(state, paused); found {
				l.keepAtWork(run, state.WorkerOf(run), "all runs of the job were paused")
			}
		}
	})
}

// leastAffecting returns the run on the worker whose services have most headroom. It returns
// false if one of the runs is kept at work already, or none may be. The lock is held.
func (l *leadership) leastAffecting(state jobs.View, paused map[jobs.RunID]bool) (best jobs.RunID, found bool) {
	type choice struct {
		run      jobs.RunID
		headroom dispatch.Headroom
	}
	var choices []choice
	for run := range paused {
		worker := state.WorkerOf(run)
		// A plan that was not committed may have kept it on another worker.
		if k, kept := l.kept[run]; kept && k.worker == worker {
			return run, false
		}
		if view := l.viewOf(worker); view != nil && l.mayKeep(state, view, run) {
			choices = append(choices, choice{run, view.sample.LeastHeadroom()})
		}
	}
	if len(choices) == 0 {
		return best, false
	}
	return slices.MinFunc(choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(b.headroom, a.headroom), cmp.Compare(a.run.String(), b.run.String()))
	}).run, true
}

// mayKeep reports whether the services on a worker can bear a run that is kept at work,
// beside those that its sample does not show yet. The lock is held.
func (l *leadership) mayKeep(state jobs.View, view *workerView, run jobs.RunID) bool {
	_, group, _ := state.Run(run)
	if group == nil {
		return false
	}
	unsampled := map[string]float64{}
	for other, k := range l.kept {
		if k.worker != view.key || l.server.now().Sub(k.since) >= keptSampleTime {
			continue
		}
		if _, g, _ := state.Run(other); g != nil {
			unsampled[g.Spec.Image] += dispatch.KeptCores(g.Spec.MilliCpu)
		}
	}
	return view.sample.MayKeep(l.knowledge.Interference.PerCore, group.Spec.Image, group.Spec.MilliCpu, unsampled)
}

// keepAtWork has the agent of a worker keep a best-effort run at work, until it works
// faster than at the lowest pace. The lock is held.
func (l *leadership) keepAtWork(run jobs.RunID, worker, reason string) {
	l.kept[run] = keptRun{worker, l.server.now()}
	telemetry.JobRunsKept.Add(1)
	klog.InfoS("Run kept at work", "job", run.Task.Job, "run", run.String(), "worker", worker, "reason", reason)
	l.sendKept(worker)
}

// releaseKept ends what keepAtWork has ordered for a run. The lock is held.
func (l *leadership) releaseKept(run jobs.RunID) {
	if k, kept := l.kept[run]; kept {
		delete(l.kept, run)
		l.sendKept(k.worker)
	}
}

// sendKept has the runs that are kept at work on a worker sent to its agent. The lock is held.
func (l *leadership) sendKept(worker string) {
	if session := l.sessionOfWorker(worker); session != nil {
		session.sendKept = true
		session.signal()
	}
}

// keptOn returns the runs that are kept at work on a worker. The lock is held.
func (l *leadership) keptOn(worker string) (runs []*api.RunRef) {
	for run, k := range l.kept {
		if k.worker == worker {
			runs = append(runs, run.Ref())
		}
	}
	return runs
}

// notePaces records from a worker's latest list which best-effort runs are paused, and
// releases those that work by themselves. A run that the log does not have on the worker
// is not active, and no committed end would clear it. The lock is held.
func (l *leadership) notePaces(view *workerView) {
	active := make(map[jobs.RunID]bool, len(view.runs))
	l.server.config.State.Read(func(state jobs.View) {
		for run := range view.runs {
			active[run] = state.WorkerOf(run) == view.key
		}
	})
	for run, status := range view.runs {
		l.idleJobs.setPaused(run, active[run] && status.Pace == 0)
		if active[run] && status.Pace > 0 { // an unknown pace is negative
			l.idleJobs.markAtWork(run.Task.Job)
		}
		if k, kept := l.kept[run]; kept && status.Pace > dispatch.MinPace && l.server.now().Sub(k.since) >= minKeepTime {
			l.releaseKept(run)
		}
	}
}
