package jobs

import (
	"maps"
	"slices"

	"amaranthpaddle/api"
)

// Occurrence is one execution of a job's groups.
type Occurrence struct {
	Groups     []*Group
	unfinished int // groups that are not done
	active     int // active runs
}

// Complete reports whether all groups are done.
func (o *Occurrence) Complete() bool { return o.unfinished == 0 }

// occurrences holds the occurrences of a job. Memory is used only for those that have begun
// and are not complete: the others share one value.
type occurrences struct {
	total     int32
	initial   *Occurrence           // of each one that no change has touched; shared and not modified
	completed *Occurrence           // of each complete one without active runs; shared and not modified
	first     int32                 // index of the first one that is not completed
	changed   map[int32]*Occurrence // from first on, those that differ from initial
}

func newOccurrences(spec *api.JobSpec) occurrences {
	return occurrences{total: max(1, spec.GetSchedule().GetTimes()), initial: newOccurrence(spec), changed: map[int32]*Occurrence{}}
}

// newOccurrence returns an occurrence whose tasks all wait to start.
func newOccurrence(spec *api.JobSpec) *Occurrence {
	occurrence := &Occurrence{unfinished: len(spec.Groups)}
	for _, group := range spec.Groups {
		occurrence.Groups = append(occurrence.Groups, &Group{
			Spec: group, Tasks: slices.Repeat([]*Task{untouchedTask}, int(group.Count)), unfinished: int(group.Count),
		})
	}
	return occurrence
}

// newCompletedOccurrence returns an occurrence whose tasks are all done.
func newCompletedOccurrence(spec *api.JobSpec) *Occurrence {
	occurrence := &Occurrence{}
	for _, group := range spec.Groups {
		occurrence.Groups = append(occurrence.Groups, &Group{Spec: group, Tasks: slices.Repeat([]*Task{completedTask}, int(group.Count))})
	}
	return occurrence
}

// at returns an occurrence for reading, nil if there is none with this index.
func (o *occurrences) at(k int32) *Occurrence {
	switch {
	case k < 0 || k >= o.total:
		return nil
	case k < o.first:
		return o.completed
	case o.changed[k] != nil:
		return o.changed[k]
	}
	return o.initial
}

// edit returns an occurrence for modification. It must exist and not be completed.
func (o *occurrences) edit(k int32) *Occurrence {
	if o.changed[k] != nil {
		return o.changed[k]
	}
	occurrence := o.initial.clone()
	if o.total == 1 {
		o.initial = nil // no other occurrence shares it
	}
	o.changed[k] = occurrence
	return occurrence
}

// release drops the state of an occurrence that is complete and has no active runs.
func (o *occurrences) release(k int32, spec *api.JobSpec) {
	occurrence := o.changed[k]
	if occurrence == nil || !occurrence.Complete() || occurrence.active > 0 {
		return
	}
	if o.completed == nil {
		o.completed = newCompletedOccurrence(spec)
	}
	o.changed[k] = o.completed
	for o.first < o.total && o.changed[o.first] == o.completed {
		delete(o.changed, o.first)
		o.first++
	}
}

func (o *occurrences) clone() occurrences {
	clone := *o
	clone.changed = make(map[int32]*Occurrence, len(o.changed))
	for k, occurrence := range o.changed {
		if occurrence != o.completed {
			occurrence = occurrence.clone()
		}
		clone.changed[k] = occurrence
	}
	return clone
}

func (o *Occurrence) clone() *Occurrence {
	clone := *o
	clone.Groups = make([]*Group, len(o.Groups))
	for g, group := range o.Groups {
		copied := *group
		copied.Tasks = make([]*Task, len(group.Tasks))
		for i, task := range group.Tasks {
			copied.Tasks[i] = task.clone()
		}
		clone.Groups[g] = &copied
	}
	return &clone
}

// Occurrence returns an occurrence, nil if there is none with this index.
func (j *Job) Occurrence(k int32) *Occurrence { return j.occurrences.at(k) }

// Unfinished calls f with the occurrences that are not complete, in order, until it returns
// false.
func (j *Job) Unfinished(f func(k int32, occurrence *Occurrence) bool) {
	for k := j.occurrences.first; k < j.occurrences.total; k++ {
		occurrence := j.occurrences.at(k)
		if !occurrence.Complete() && !f(k, occurrence) {
			return
		}
	}
}

// Due calls f with the occurrences that are due at a time, in Unix milliseconds, and not
// complete, in order, until it returns false.
func (j *Job) Due(unixMS int64, f func(k int32, occurrence *Occurrence) bool) {
	j.Unfinished(func(k int32, occurrence *Occurrence) bool {
		due, scheduled := j.DueMS(k)
		return (!scheduled || due <= unixMS) && f(k, occurrence)
	})
}

// Touched calls f, in order, with the occurrences that a change has touched and that are
// not both complete and without active runs. All active runs are in these.
func (j *Job) Touched(f func(k int32, occurrence *Occurrence)) {
	for _, k := range slices.Sorted(maps.Keys(j.occurrences.changed)) {
		if occurrence := j.occurrences.changed[k]; occurrence != j.occurrences.completed {
			f(k, occurrence)
		}
	}
}

// HasRun reports whether a task has had a run.
func (j *Job) HasRun() bool {
	if j.occurrences.first > 0 {
		return true
	}
	for _, occurrence := range j.occurrences.changed {
		for _, group := range occurrence.Groups {
			if slices.ContainsFunc(group.Tasks, func(t *Task) bool { return t.LastRun > 0 }) {
				return true
			}
		}
	}
	return false
}

// untouchedTask and completedTask are shared by many groups and not modified: the state of
// a task before its first run, and that of one whose first run has completed it.
var (
	untouchedTask = &Task{}
	completedTask = &Task{Done: true, LastRun: 1}
)

func (t *Task) shared() bool { return t == untouchedTask || t == completedTask }

// clone returns a copy for a state of its own.
func (t *Task) clone() *Task {
	if t.shared() {
		return t
	}
	clone := *t
	clone.Runs, clone.crashedRuns = slices.Clone(t.Runs), slices.Clone(t.crashedRuns)
	return &clone
}

// edit returns a task for modification.
func (g *Group) edit(index int32) *Task {
	if task := g.Tasks[index]; task.shared() {
		copied := *task
		g.Tasks[index] = &copied
	}
	return g.Tasks[index]
}

// compact replaces the state of a task that its first run has completed by the shared one.
func (g *Group) compact(index int32) {
	t := g.Tasks[index]
	if t.Done && t.LastRun == 1 && t.Failures == 0 && t.Checkpoint == "" && len(t.Runs) == 0 &&
		t.suspicion == 0 && t.survivedRun == 0 && len(t.crashedRuns) == 0 {
		g.Tasks[index] = completedTask
	}
}
