package dispatch

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/jobs"
)

// lateValue is the share of its value that a late job has, as the users state it: 0.15
// of the value.
const lateValue = 0.15

// valueFactor returns the share of its value that a job has.
func valueFactor(l lateness) float64 {
	switch l {
	case inTime:
		return 1
	case late:
		return lateValue
	}
	return 0
}

// activeGroup is a group with active runs.
type activeGroup struct {
	job        *jobs.Job
	group      *jobs.Group
	occurrence int32
	groupIndex int32
	ended      bool // the job has ended; its runs are being stopped
}

// worth is what the runs of a group are worth, as possible victims.
type worth struct {
	activeGroup
	priority  int32
	age       time.Duration
	needed    time.Duration // remaining critical path, without the progress of runs
	objective time.Duration
	expected  time.Duration // duration of a task at full pace
	value     float64       // of the job in time
	work      float64       // remaining core-seconds
	// requeued is the lateness of the job among the candidates, if a run ended now. It
	// decides on the order and ignores the progress of runs, as the plan does; the lateness
	// of a victim counts the progress of that run and decides on the loss.
	requeued lateness
	givesWay bool // to some candidate
}

// groupsToStop returns the groups with active runs, if runs of some of them may give
// way to a candidate that is in time, and nil otherwise. The runs of a job give way to
// none after a panic.
func groupsToStop(view jobs.View, in Input, state PreemptionState, waiting []candidate) (groups []*worth) {
	view.ActiveJobs(func(job *jobs.Job) {
		if job.ActiveRuns() > 0 {
			own := activeGroups(job)
			tryEvaluate(view, in, state, own, waiting)
			groups = append(groups, own...)
		}
	})
	if !slices.ContainsFunc(groups, func(w *worth) bool { return w.givesWay }) {
		return nil
	}
	return groups
}

// activeGroups returns the groups of a job with active runs.
func activeGroups(job *jobs.Job) (groups []*worth) {
	job.Touched(func(k int32, occurrence *jobs.Occurrence) {
		for g, group := range occurrence.Groups {
			if slices.ContainsFunc(group.Tasks, func(t *jobs.Task) bool { return len(t.Runs) > 0 }) {
				groups = append(groups, &worth{activeGroup: activeGroup{
					job: job, group: group, occurrence: k, groupIndex: int32(g), ended: job.Phase.Ended(),
				}})
			}
		}
	})
	return groups
}

// eachRun calls f with each active run of the group and the key of its worker.
func (w *activeGroup) eachRun(f func(run jobs.RunID, worker string)) {
	for i := range w.group.Tasks {
		for _, run := range w.group.Tasks[i].Runs {
			task := jobs.TaskID{Job: w.job.ID, Occurrence: w.occurrence, Group: w.groupIndex, Index: int32(i)}
			f(jobs.RunID{Task: task, Number: run.Number}, run.Worker)
		}
	}
}

// mustStop reports whether a run is of no use any more.
func (w *activeGroup) mustStop(run jobs.RunID) bool {
	return w.ended || w.group.Tasks[run.Task.Index].Done || w.group.Broken(run.Number)
}

// tryEvaluate determines which groups of a job may give way, none after a panic.
func tryEvaluate(view jobs.View, in Input, state PreemptionState, groups []*worth, waiting []candidate) {
	defer func() {
		if cause := recover(); cause != nil {
			for _, w := range groups {
				w.givesWay = false
			}
			in.Panicked(groups[0].job.ID, cause)
		}
	}()
	for _, w := range groups {
		if w.ended || w.group.Spec.LongRunning || w.group.Spec.Gang || view.QueueOf(w.job).Advice != nil || state.Recently(w.job.ID) {
			continue
		}
		w.evaluate(view, in, w.job.Occurrence(w.occurrence))
		w.givesWay = slices.ContainsFunc(waiting, func(c candidate) bool { return c.lateness == inTime && w.mayComeAfter(c) })
	}
}

// evaluate determines the lateness and the value of the job.
func (w *worth) evaluate(view jobs.View, in Input, occurrence *jobs.Occurrence) {
	queue, estimate := view.QueueOf(w.job), in.Durations.ForQueue(w.job.QueueKey)
	w.priority = queue.Priority
	w.age = ageOf(in, w.job, w.occurrence)
	w.needed = remainingCriticalPath(occurrence, estimate)
	w.objective = Objective(queue, w.job.Spec, estimate)
	w.expected = milliseconds(estimate(w.group.Spec))
	w.value = in.QueueWork.Value(w.job.QueueKey, Work(w.job.Spec, estimate))
	w.work = remainingWork(occurrence, estimate)
	w.requeued = latenessOf(w.age, w.needed, w.objective)
}

// ageOf returns the time since the submission of a job or, if it is scheduled, since
// its occurrence was due.
func ageOf(in Input, job *jobs.Job, occurrence int32) time.Duration {
	if due, scheduled := job.DueMS(occurrence); scheduled {
		return time.Duration(in.UnixMS-due) * time.Millisecond
	}
	return in.Age(job)
}

// mayComeAfter reports whether a task of the group, if it were requeued, comes after
// the candidate, which is in time, in the order of candidates. Only best-effort runs
// give way to best-effort tasks.
func (w *worth) mayComeAfter(c candidate) bool {
	if c.group.Spec.BestEffort && !w.group.Spec.BestEffort || w.job == c.job {
		return false
	}
	return w.requeued == expired || w.priority > c.queue.Priority || w.priority == c.queue.Priority && w.requeued == late
}

// victim is a run that may be preempted.
type victim struct {
	*worth
	run       jobs.RunID
	assessed  bool
	spared    bool     // the run is protected or chosen already
	lateness  lateness // of the job, if the run goes on
	loss      float64  // of value, if the run is preempted
	discarded float64  // core-seconds
}

// reasonFor returns why the run may be preempted for the candidate, empty if it may
// not.
func (v *victim) reasonFor(c candidate) PreemptionReason {
	switch {
	case v.spared || !v.mayComeAfter(c):
		return ""
	case v.lateness == expired:
		return PreemptedExpired
	case v.lateness == late:
		return PreemptedLate
	case v.priority > c.queue.Priority:
		return PreemptedLessUrgent
	}
	return ""
}

// assessed returns the runs on a worker that are not protected, the first victims
// first.
func (p *preemptor) assessed(l *load) []*victim {
	runs := p.runsOn(l)
	if len(runs) == 0 || runs[0].assessed {
		return runs
	}
	for _, v := range runs {
		p.assess(v)
	}
	slices.SortFunc(runs, func(a, b *victim) int {
		return cmp.Or(
			-cmp.Compare(a.lateness, b.lateness),
			cmp.Compare(a.loss, b.loss),
			cmp.Compare(a.discarded, b.discarded),
			cmp.Compare(a.run.Task.Job, b.run.Task.Job),
			cmp.Compare(a.run.Task.Group, b.run.Task.Group),
			cmp.Compare(a.run.Task.Index, b.run.Task.Index),
		)
	})
	return runs
}

// assess determines what the preemption of a run costs. The loss of value is that of
// the work to be done again and of the delay by stop and restore, and what the job
// loses if the delay makes it late or expired.
func (p *preemptor) assess(v *victim) {
	v.assessed = true
	task := v.group.Tasks[v.run.Task.Index]
	status, known := p.in.runStatus(v.run)
	ticket := slices.ContainsFunc(task.Runs, func(r jobs.Run) bool { return r.Number == v.run.Number && r.Ticket != "" })
	left := v.expected * time.Duration(FullPace-min(status.Percent, FullPace)) / time.Duration(max(status.Pace, 1))
	lastCopy := v.group.Spec.Speculative && len(task.Runs) == 1 && status.Percent >= nearlyDonePercent
	if !known || status.Stopping || ticket || task.OnProbation() || lastCopy || left <= preemptionStopTime || p.mustComplete(v) {
		v.spared = true
		return
	}
	cores := float64(v.group.Spec.MilliCpu) / 1000
	worked := workDone(status, v.expected)
	needed := v.needed - min(worked, v.expected, v.needed)
	v.lateness = latenessOf(v.age, needed, v.objective)
	lost := relocationCost
	if !v.group.Spec.Checkpointing {
		v.discarded = cores * worked.Seconds()
		lost += worked
	}
	factor := valueFactor(v.lateness)
	delayed := valueFactor(latenessOf(v.age+lost, needed, v.objective))
	v.loss = v.value * (factor*cores*lost.Seconds()/v.work + max(factor-delayed, 0))
}

// workDone returns the time at full pace that a run has worked, of a task that takes
// the expected time.
func workDone(status RunStatus, expected time.Duration) time.Duration {
	return max(expected*time.Duration(status.Percent)/FullPace, status.Age*time.Duration(status.Pace)/FullPace)
}

// gain returns the value that a task of the candidate brings.
func (p *preemptor) gain(c candidate) float64 {
	estimate := p.in.Durations.ForQueue(c.job.QueueKey)
	if !c.group.Spec.LongRunning {
		return c.density * TaskWork(c.group.Spec, estimate)
	}
	tasks := int32(0)
	for _, group := range c.job.Spec.GetGroups() {
		tasks += group.Count
	}
	return p.in.QueueWork.Value(c.job.QueueKey, Work(c.job.Spec, estimate)) / float64(max(tasks, 1))
}

// inTimeAfterStop reports whether the candidate can still be in time when a stop has
// made room for it.
func (p *preemptor) inTimeAfterStop(c candidate) bool {
	if c.lateness != inTime || c.group.Spec.LongRunning {
		return c.lateness == inTime
	}
	estimate := p.in.Durations.ForQueue(c.job.QueueKey)
	needed := remainingCriticalPath(c.job.Occurrence(c.occurrence), estimate)
	age := ageOf(p.in, c.job, c.occurrence) + preemptionStopTime
	return latenessOf(age, needed, Objective(c.queue, c.job.Spec, estimate)) == inTime
}
