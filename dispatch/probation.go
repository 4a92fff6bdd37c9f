package dispatch

import (
	"slices"
	"time"

	"amaranthpaddle/jobs"
)

// maxProbationShare is the share of the workers on which tasks on probation may be
// starting at a time. Each of them may crash.
const maxProbationShare = 0.5

// addStarting counts a run that a worker is starting.
func (f *fleetLoad) addStarting(l *load, probation bool) {
	l.starting++
	if probation && !l.probation {
		l.probation = true
		f.probations++
	}
}

// maxProbationStart is how long the start of a task on probation closes its worker. It is
// below the 3 s for which an accepted job may stand still.
const maxProbationStart = 2 * time.Second

// countStarting counts the run if its worker is still starting it. A start on probation
// that takes longer than maxProbationStart keeps off other tasks on probation only.
func (f *fleetLoad) countStarting(in Input, l *load, run jobs.RunID, group *jobs.Group) {
	if l.worker.Starting == nil || !l.worker.Starting(run) {
		return
	}
	probation := onProbation(group, int(run.Task.Index))
	if probation {
		status, known := in.runStatus(run)
		probation = !known || status.Age <= maxProbationStart
	}
	f.addStarting(l, probation)
}

// onProbation reports whether a task has to start apart from others. The tasks of a
// gang start together.
func onProbation(group *jobs.Group, index int) bool {
	return !group.Spec.Gang && group.Tasks[index].OnProbation()
}

// squaredCrashes returns the square of the crashes under a task: the more there are, the
// more likely it crashes its next worker as well, with the runs beside it.
func squaredCrashes(group *jobs.Group, index int32) int {
	crashes := group.Tasks[index].Crashes()
	return crashes * crashes
}

// allowsProbation reports whether a task on probation may start on a worker: if the
// worker crashes, no other run was starting there.
func (f *fleetLoad) allowsProbation(l *load) bool {
	return l.starting == 0 && f.probations < max(1, int(maxProbationShare*float64(len(f.workers))))
}

// exposure returns what a crash of the worker would cost, from 0 for an idle worker.
func exposure(l *load) float64 {
	exposed := share(l.used.MilliCPU+l.bestEffortMilliCPU, l)
	if len(l.serviceRuns) > 0 {
		exposed++
	}
	return exposed
}

// maxCrashAvoidance is how long a job, or a long-running task, stands still at most for a worker that has not crashed
// under its task. It is below the 3 s for which an accepted job may stand still.
const maxCrashAvoidance = 1500 * time.Millisecond

// avoidCrashed adds to the runs of a task on probation, beside which it does not start,
// the workers that have crashed under it, as long as another worker may take it: a worker
// that crashes by itself shows nothing more. For a worker that cannot take it now, it
// stands still for no longer than maxCrashAvoidance.
func (p *planner) avoidCrashed(c candidate, index int, spread spread, others []jobs.Run) []jobs.Run {
	if p.in.CrashedUnder == nil {
		return others
	}
	crashed := p.in.CrashedUnder(c.taskID(index))
	if len(crashed) == 0 {
		return others
	}
	need := demand(c.group.Spec)
	mayTake := func(l *load) bool {
		return l.worker.Open && l.worker.allows(c.queue, c.group.Spec) && need.Fits(l.worker.Capacity) &&
			(c.queue.Advice == nil || c.tickets[l.worker.Key] != "") && !slices.Contains(crashed, l.worker.Key)
	}
	if c.stoodStill() > maxCrashAvoidance {
		mayTake = func(l *load) bool {
			return need.Fits(l.free()) && p.eligible(c, l, spread) && p.fleet.allowsProbation(l) && !p.heldBack(c, l) &&
				!slices.Contains(crashed, l.worker.Key)
		}
	}
	if !slices.ContainsFunc(p.fleet.workers, mayTake) {
		return others
	}
	others = slices.Clone(others)
	for _, key := range crashed {
		others = append(others, jobs.Run{Worker: key})
	}
	return others
}

// Limits of the pause before a task on probation starts again.
const (
	firstProbationPause = 250 * time.Millisecond
	maxProbationPause   = 4 * time.Second
)

// ProbationPause returns how long a task waits after a crash before it starts again, from
// the number of crashes under it: nothing after the first one, which most suspects have
// not caused, then a pause that doubles.
func ProbationPause(crashes int) time.Duration {
	if crashes < 2 {
		return 0
	}
	return min(firstProbationPause<<min(crashes-2, 10), maxProbationPause)
}
