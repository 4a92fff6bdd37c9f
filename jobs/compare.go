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
	case a.Phase != b.Phase || a.SubmittedMS != b.SubmittedMS || a.EndedMS != b.EndedMS:
		return fmt.Sprintf("%s since %d and %s since %d", a.Phase, a.SubmittedMS, b.Phase, b.SubmittedMS)
	case a.occurrences.total != b.occurrences.total || a.occurrences.first != b.occurrences.first ||
		len(a.occurrences.changed) != len(b.occurrences.changed):
		return fmt.Sprintf("%d of %d occurrences and %d of %d are completed", a.occurrences.first, a.occurrences.total,
			b.occurrences.first, b.occurrences.total)
	}
	for k, occurrence := range a.occurrences.changed {
		if difference := occurrenceDifference(occurrence, b.occurrences.at(k)); difference != "" {
			return fmt.Sprintf("occurrence %d: %s", k, difference)
		}
	}
	return ""
}

func occurrenceDifference(a, b *Occurrence) string {
	if len(a.Groups) != len(b.Groups) {
		return "groups"
	}
	for g, group := range a.Groups {
		if i := differentTask(group.Tasks, b.Groups[g].Tasks); i >= 0 {
			return fmt.Sprintf("task %d/%d", g, i)
		}
	}
	return ""
}

// differentTask returns the index of the first task that differs, -1 for none.
func differentTask(a, b []*Task) int {
	for i := range a {
		if i >= len(b) {
			return i
		}
		x, y := a[i], b[i]
		if x == y {
			continue
		}
		if x.Done != y.Done || x.LastRun != y.LastRun || x.Failures != y.Failures || x.suspicion != y.suspicion ||
			x.Checkpoint != y.Checkpoint || !slices.Equal(x.Runs, y.Runs) {
			return i
		}
	}
	return -1
}
