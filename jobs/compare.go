package jobs

import (
	"fmt"
	"maps"
	"slices"
)

// Difference describes the first difference that it finds between two states in what
// planning depends on, empty for none. Of ended jobs without active runs it compares only
// the number. It takes the locks of both, that of a first.
func Difference(a, b *State) string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	b.mu.RLock()
	defer b.mu.RUnlock()
	switch {
	case a.nowMS != b.nowMS:
		return fmt.Sprintf("clock %d and %d", a.nowMS, b.nowMS)
	case a.configuration.GetVersion() != b.configuration.GetVersion():
		return fmt.Sprintf("configuration %d and %d", a.configuration.GetVersion(), b.configuration.GetVersion())
	case !maps.Equal(a.zonesOut, b.zonesOut):
		return fmt.Sprintf("zones out of service %v and %v", a.zonesOut, b.zonesOut)
	case len(a.waves) != len(b.waves) || !maps.Equal(a.lent, b.lent):
		return "maintenance waves or lent VMs"
	}
	for id, job := range a.active {
		if difference := jobDifference(job, b.active[id]); difference != "" {
			return fmt.Sprintf("job %s: %s", id, difference)
		}
	}
	for id, job := range b.active {
		if a.active[id] == nil {
			return fmt.Sprintf("job %s: not active, and %s", id, job.Phase)
		}
	}
	if len(a.jobs) != len(b.jobs) || len(a.refusals) != len(b.refusals) {
		return fmt.Sprintf("%d and %d jobs, %d and %d refusals", len(a.jobs), len(b.jobs), len(a.refusals), len(b.refusals))
	}
	return ""
}

func jobDifference(a, b *Job) string {
	switch {
	case b == nil:
		return fmt.Sprintf("%s, and not active", a.Phase)
	case a.Phase != b.Phase || a.SubmittedMS != b.SubmittedMS || a.EndedMS != b.EndedMS || len(a.Occurrences) != len(b.Occurrences):
		return fmt.Sprintf("%s since %d and %s since %d", a.Phase, a.SubmittedMS, b.Phase, b.SubmittedMS)
	}
	for k, occurrence := range a.Occurrences {
		if len(occurrence.Groups) != len(b.Occurrences[k].Groups) {
			return fmt.Sprintf("groups of occurrence %d", k)
		}
		for g, group := range occurrence.Groups {
			if i := differentTask(group.Tasks, b.Occurrences[k].Groups[g].Tasks); i >= 0 {
				return fmt.Sprintf("task %d/%d/%d", k, g, i)
			}
		}
	}
	return ""
}

// differentTask returns the index of the first task that differs, -1 for none.
func differentTask(a, b []Task) int {
	for i := range a {
		if i >= len(b) {
			return i
		}
		x, y := &a[i], &b[i]
		if x.Done != y.Done || x.LastRun != y.LastRun || x.Failures != y.Failures || x.suspicion != y.suspicion ||
			x.Checkpoint != y.Checkpoint || !slices.Equal(x.Runs, y.Runs) {
			return i
		}
	}
	return -1
}
