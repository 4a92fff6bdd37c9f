package jobcontrol

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/jobs"
)

// Limits of the log of standstills.
const (
	// minStandstill is the time without a run from which a job counts as standing still.
	// The users allow 3 s.
	minStandstill      = 2 * time.Second
	maxNamedStandstill = 8    // jobs, groups of long-running tasks and unlisted runs that a summary names
	maxRememberedEnds  = 8192 // and reasons of ends that are not committed
)

// standstills follows which jobs have no active run in the committed state although it is
// the turn of one of their tasks, and which long-running tasks have none. It is given the
// times. It is soft state, and not safe for concurrent use.
type standstills struct {
	jobs    map[string]*standstill     // jobs that stood still at the latest look
	tasks   map[jobs.TaskID]time.Time  // long-running tasks without a run, since when
	ends    map[string]runEnd          // latest end of a run of each job that has not ended
	reasons map[jobs.RunID]string      // of ends that are not committed
	missing map[jobs.RunID]*missingRun // active runs that were not in a list of their workers at the latest look

	// Of the latest look, for the metrics.
	longest                        time.Duration
	stillJobs, stillTasks, notSeen int
}

// standstill is a job without an active run, with the task that waits first.
type standstill struct {
	job   string
	task  jobs.TaskID
	since time.Time
	named bool // in the log
}

// runEnd is the committed end of a run.
type runEnd struct {
	run     jobs.RunID
	worker  string
	outcome string
	reason  string // empty if it is not known
	at      time.Time
}

func newStandstills() standstills {
	return standstills{
		jobs: map[string]*standstill{}, tasks: map[jobs.TaskID]time.Time{}, ends: map[string]runEnd{},
		reasons: map[jobs.RunID]string{}, missing: map[jobs.RunID]*missingRun{},
	}
}

// noteReason keeps the reason of an end until that is committed.
func (s *standstills) noteReason(run jobs.RunID, reason string) {
	if len(s.reasons) >= maxRememberedEnds {
		clear(s.reasons) // of ends that were never committed
	}
	s.reasons[run] = reason
}

// end records a committed end. longRunning says whether its task starts again.
func (s *standstills) end(run jobs.RunID, worker, outcome string, longRunning bool, now time.Time) {
	if _, known := s.ends[run.Task.Job]; known || len(s.ends) < maxRememberedEnds {
		s.ends[run.Task.Job] = runEnd{run: run, worker: worker, outcome: outcome, reason: s.reasons[run], at: now}
	}
	if longRunning {
		s.tasks[run.Task] = now
	}
}

// start records a committed start. It returns how long the job stood still, 0 if it did
// not, and whether the log has named it.
func (s *standstills) start(run jobs.RunID, now time.Time) (lasted time.Duration, named bool) {
	delete(s.tasks, run.Task)
	return s.finish(run.Task.Job, now)
}

// forget drops a job that has ended. The results are those of start.
func (s *standstills) forget(job string, now time.Time) (lasted time.Duration, named bool) {
	delete(s.ends, job)
	return s.finish(job, now)
}

func (s *standstills) finish(job string, now time.Time) (lasted time.Duration, named bool) {
	still := s.jobs[job]
	if still == nil {
		return 0, false
	}
	delete(s.jobs, job)
	if lasted = now.Sub(still.since); lasted < minStandstill {
		return 0, false
	}
	return lasted, still.named
}

// look takes over the jobs that stand still. It returns those to name, the longest first,
// and the number of the others.
func (s *standstills) look(found []standstill, now time.Time) (name []standstill, others int) {
	before := s.jobs
	s.jobs, s.longest, s.stillJobs = make(map[string]*standstill, len(found)), 0, 0
	slices.SortFunc(found, func(a, b standstill) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.job, b.job))
	})
	for i := range found {
		still := &found[i]
		s.jobs[still.job] = still
		if earlier := before[still.job]; earlier != nil {
			still.named = earlier.named
		}
		if lasted := now.Sub(still.since); lasted >= minStandstill {
			s.stillJobs, s.longest = s.stillJobs+1, max(s.longest, lasted)
			if len(name) < maxNamedStandstill {
				still.named = true
				name = append(name, *still)
			}
		}
	}
	return name, s.stillJobs - len(name)
}

// stillGroup is a long-running group with tasks that have no run.
type stillGroup struct {
	first jobs.TaskID // that has waited longest
	tasks int         // that have waited for minStandstill
	since time.Time
}

// lookAtTasks takes over the long-running tasks without a run, with the times since when
// they have none. It returns the groups to name, the longest first, and the number of
// the others.
func (s *standstills) lookAtTasks(found map[jobs.TaskID]time.Time, now time.Time) (name []stillGroup, others int) {
	s.tasks, s.stillTasks = found, 0
	groups := map[jobs.GroupID]*stillGroup{}
	for task, since := range found {
		if now.Sub(since) < minStandstill {
			continue
		}
		s.stillTasks++
		g := groups[task.GroupID()]
		if g == nil {
			g = &stillGroup{first: task, since: since}
			groups[task.GroupID()] = g
		}
		g.tasks++
		if by := cmp.Or(since.Compare(g.since), cmp.Compare(task.Index, g.first.Index)); by < 0 {
			g.first, g.since = task, since
		}
	}
	for _, g := range groups {
		name = append(name, *g)
	}
	slices.SortFunc(name, func(a, b stillGroup) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.first.String(), b.first.String()))
	})
	named := min(len(name), maxNamedStandstill)
	return name[:named], len(name) - named
}

// missingRun is an active run that was not in its worker's list at a look.
type missingRun struct {
	run      jobs.RunID
	worker   string
	since    time.Time // when a look first missed it, or its start
	lists    int64     // number of the worker's lists at that look
	now      int64     // at the latest look
	starting bool      // its agent reports that the worker has not shown it yet
	known    bool      // the worker's incarnation is known to the leader
	session  bool      // its agent has a session
}

// lookAtLists takes over the active runs that are missing in the lists. It returns those
// to name, the longest first, and the number of the others: runs that are missing for
// minStandstill although lists arrive, or whose worker is unknown.
func (s *standstills) lookAtLists(found []missingRun, now time.Time) (name []missingRun, others int) {
	before := s.missing
	s.missing = make(map[jobs.RunID]*missingRun, len(found))
	for i := range found {
		m := &found[i]
		s.missing[m.run] = m
		if earlier := before[m.run]; earlier != nil {
			m.since, m.lists = earlier.since, earlier.lists
		}
		if now.Sub(m.since) >= minStandstill && (!m.known || m.now != m.lists) {
			name = append(name, *m)
		}
	}
	s.notSeen = len(name)
	slices.SortFunc(name, func(a, b missingRun) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.run.String(), b.run.String()))
	})
	named := min(len(name), maxNamedStandstill)
	return name[:named], s.notSeen - named
}
