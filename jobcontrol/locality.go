package jobcontrol

import (
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// rackWaits is the time since when tasks of each group have waited for the rack of their
// data or peers although another worker had room. It is soft state: a new leader starts without,
// and lets each group wait once more at most.
type rackWaits map[jobs.GroupID]time.Time

// update takes over the groups that wait by the latest plan. A group waits once: it
// keeps its time while it has tasks that wait, also between plans that start them.
func (w rackWaits) update(held []jobs.GroupID, now time.Time) {
	for _, group := range held {
		if _, known := w[group]; known {
			continue
		}
		w[group] = now
		telemetry.JobRackWaits.Add(1)
		klog.InfoS("Group waits for the rack of its data or peers", "job", group.Job, "group", group.Group)
	}
}

// waited returns for how long a group has waited, 0 if it has not.
func (w rackWaits) waited(group jobs.GroupID, now time.Time) time.Duration {
	since, known := w[group]
	if !known {
		return 0
	}
	return now.Sub(since)
}

// forget drops the groups of a job that has ended.
func (w rackWaits) forget(job string) {
	for group := range w {
		if group.Job == job {
			delete(w, group)
		}
	}
}

// rackOf returns the rack of the worker on which a run of a task is active, empty if it
// is not known. The lock is held.
func (l *leadership) rackOf(task *jobs.Task, run jobs.RunID) string {
	for _, active := range task.Runs {
		if active.Number != run.Number {
			continue
		}
		if view := l.viewOf(active.Worker); view != nil {
			return view.worker.Rack
		}
	}
	return ""
}
