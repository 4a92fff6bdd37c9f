package jobcontrol

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
	"amaranthpaddle/transport"
)

// stillLook is what one look at the committed state shows.
type stillLook struct {
	jobs    []standstill
	tasks   map[jobs.TaskID]time.Time
	missing []missingRun
}

// lookForStandstills goes through the committed state once. The lock is held.
func (l *leadership) lookForStandstills(now time.Time) stillLook {
	look := stillLook{tasks: map[jobs.TaskID]time.Time{}}
	l.server.config.State.Read(func(state jobs.View) {
		state.ActiveJobs(func(job *jobs.Job) {
			if !job.Phase.Ended() {
				l.lookAtJob(&look, job, now)
			}
		})
		l.lookAtRuns(&look, state, now)
	})
	return look
}

// maxStillTasks bounds the long-running tasks without a run that are listed of a job.
const maxStillTasks = 256

// lookAtJob adds a job that stands still, and its long-running tasks without a run.
func (l *leadership) lookAtJob(look *stillLook, job *jobs.Job, now time.Time) {
	found := job.ActiveRuns() > 0 // only a job without runs stands still
	longRunning := slices.ContainsFunc(job.Spec.GetGroups(), func(g *api.TaskGroup) bool { return g.LongRunning })
	listed := 0
	unixMS := l.server.config.UnixTime().UnixMilli()
	job.Due(unixMS, func(k int32, occurrence *jobs.Occurrence) bool {
		var due time.Time
		if dueMS, scheduled := job.DueMS(k); scheduled {
			due = now.Add(-time.Duration(unixMS-dueMS) * time.Millisecond)
		}
		for g, group := range occurrence.Groups {
			if group.Done() || found && !group.Spec.LongRunning || !occurrence.Ready(group) {
				continue
			}
			for i := range group.Tasks {
				task := group.Tasks[i]
				if task.Done || len(task.Runs) > 0 {
					continue
				}
				id := jobs.TaskID{Job: job.ID, Occurrence: k, Group: int32(g), Index: int32(i)}
				if !found {
					found = true
					look.jobs = append(look.jobs, standstill{job: job.ID, task: id, since: l.stillSince(job, due, now)})
				}
				if !group.Spec.LongRunning {
					break
				}
				look.tasks[id] = l.taskStillSince(id, task, due, now)
				if listed++; listed == maxStillTasks {
					return false
				}
			}
		}
		return !found || longRunning
	})
}

// stillSince returns since when a job without active runs has had none and a task's turn
// has come. Ends before this leadership are not known. The lock is held.
func (l *leadership) stillSince(job *jobs.Job, due, now time.Time) time.Time {
	if still := l.standstills.jobs[job.ID]; still != nil {
		return still.since
	}
	if end, known := l.standstills.ends[job.ID]; known {
		return laterOf(end.at, due)
	}
	first := l.firstSeenAt(job.ID, now)
	if job.HasRun() {
		first = laterOf(first, l.since)
	}
	return laterOf(first, due)
}

// taskStillSince is stillSince for one long-running task. The lock is held.
func (l *leadership) taskStillSince(id jobs.TaskID, task *jobs.Task, due, now time.Time) time.Time {
	if since, known := l.standstills.tasks[id]; known {
		return since
	}
	if task.LastRun > 0 {
		return laterOf(l.since, due)
	}
	return laterOf(l.firstSeenAt(id.Job, now), due)
}

// firstSeenAt returns when a job was first seen, now if it was not. The lock is held.
func (l *leadership) firstSeenAt(job string, now time.Time) time.Time {
	if first, known := l.firstSeen[job]; known {
		return first
	}
	return now
}

// lookAtRuns adds the active runs that the latest lists of their workers do not show. Runs
// that a later incarnation carries out are left out. The lock is held.
func (l *leadership) lookAtRuns(look *stillLook, state jobs.View, now time.Time) {
	state.Workers(func(key string, _ int) {
		view := l.viewOf(key)
		state.RunsOn(key, func(run jobs.RunID, _ *jobs.Group) {
			missing := missingRun{run: run, worker: key, since: now, known: view != nil}
			if view != nil {
				status, listed := view.runs[run]
				if listed && !status.Starting {
					return
				}
				missing.starting, missing.session = listed, l.hasSession(view)
				missing.lists, missing.now = view.lists, view.lists
			}
			if started, known := l.startedAt[run]; known && missing.starting {
				missing.since = started
			}
			if !l.isCarried(key, run) {
				look.missing = append(look.missing, missing)
			}
		})
	})
}

// logStandstills names the jobs and long-running groups that stand still and what keeps
// them, and the runs that their workers do not list. It returns what keeps all waiting
// groups. A panic ends the look alone. The lock is held.
func (l *leadership) logStandstills(waitingJobs int) (waits dispatch.Waits) {
	defer func() {
		if cause := recover(); cause != nil {
			_ = transport.LogPanic("look for standstills", cause)
		}
	}()
	now := l.server.now()
	look := l.lookForStandstills(now)
	still, otherJobs := l.standstills.look(look.jobs, now)
	groups, otherGroups := l.standstills.lookAtTasks(look.tasks, now)
	missing, otherRuns := l.standstills.lookAtLists(look.missing, now)
	var asked []jobs.GroupID
	for _, s := range still {
		asked = append(asked, s.task.GroupID())
	}
	for _, g := range groups {
		asked = append(asked, g.first.GroupID())
	}
	waits = l.explainWaits(waitingJobs, asked)
	for _, s := range still {
		klog.InfoS("Job stands still", l.describeStill(s, waits.Of[s.task.GroupID()], now, "others", otherJobs)...)
	}
	for _, g := range groups {
		wait := waits.Of[g.first.GroupID()]
		klog.InfoS("Long-running tasks have no run", append(l.describeGroup(g.first), "tasks", g.tasks,
			"since_ms", now.Sub(g.since).Milliseconds(), "state", wait.State, "obstacles", wait.Workers, "obstacle_details", wait.Details,
			"others", otherGroups)...)
	}
	for _, m := range missing {
		klog.InfoS("Run is not listed by its worker", "job", m.run.Task.Job, "run", m.run.String(), "worker", m.worker,
			"since_ms", now.Sub(m.since).Milliseconds(), "session", m.session, "worker_known", m.known, "starting", m.starting,
			"lists", m.now-m.lists, "others", otherRuns)
	}
	return waits
}

// describeStill returns the keys and values of a job that stands still, with more of them
// at the end. The lock is held.
func (l *leadership) describeStill(s standstill, wait dispatch.GroupWait, now time.Time, more ...any) []any {
	fields := append(l.describeGroup(s.task), "since_ms", now.Sub(s.since).Milliseconds(),
		"age_ms", now.Sub(l.firstSeenAt(s.job, now)).Milliseconds(), "state", wait.State)
	fields = append(fields, "obstacles", wait.Workers, "obstacle_details", wait.Details, "lateness", wait.Lateness,
		"waited_ms", wait.Waited.Milliseconds(), "starves", wait.Starves, "ignores_interference", wait.IgnoresInterference,
		"on_probation", wait.OnProbation, "paused", wait.Paused, "unplannable", l.unplannable[s.job])
	committed, _ := activeIn(l.server.config.State, s.job)
	assumed, state := activeIn(l.assumed, s.job)
	fields = append(fields, "active_committed", committed, "active_assumed", assumed, "assumed_state", state,
		"assumed_stale", l.assumedStale, "outstanding_batches", l.outstanding)
	if end, known := l.standstills.ends[s.job]; known {
		fields = append(fields, "last_run", end.run.String(), "last_worker", end.worker, "last_outcome", end.outcome,
			"last_reason", end.reason, "last_end_ms", now.Sub(end.at).Milliseconds())
	}
	return append(fields, more...)
}

// describeGroup returns the keys and values that name a task with its group and number of
// runs so far.
func (l *leadership) describeGroup(id jobs.TaskID) (fields []any) {
	l.server.config.State.Read(func(state jobs.View) {
		job := state.Job(id.Job)
		if job == nil {
			return
		}
		if group, task := job.Task(id); group != nil {
			fields = []any{"job", id.Job, "queue", job.QueueKey, "task", id.String(), "group", jobs.GroupShape(group.Spec),
				"runs", task.LastRun, "failures", task.Failures, "waiting", dispatch.CountWaiting(group)}
		}
	})
	return fields
}

// activeIn returns the number of active runs of a job in a state, and its phase.
func activeIn(state *jobs.State, id string) (runs int, phase string) {
	state.Read(func(view jobs.View) {
		if job := view.Job(id); job != nil {
			runs, phase = job.ActiveRuns(), job.Phase.String()
		}
	})
	return runs, phase
}

// endStandstill records that a job moves again by the start of a run, or that it has
// ended. The lock is held.
func (l *leadership) endStandstill(run jobs.RunID, lasted time.Duration, named bool) {
	if lasted == 0 {
		return
	}
	telemetry.JobStandstills.Observe(lasted)
	if !named {
		return
	}
	if run.Number > 0 {
		klog.InfoS("Job moves again", "job", run.Task.Job, "run", run.String(), "after_ms", lasted.Milliseconds())
	} else {
		klog.InfoS("Job ended while it stood still", "job", run.Task.Job, "after_ms", lasted.Milliseconds())
	}
}
