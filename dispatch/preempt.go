package dispatch

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// Preemption is a decision to stop a run, so that a waiting task has room.
type Preemption struct {
	Run       jobs.RunID
	Worker    string       // key of the worker's incarnation
	For       jobs.GroupID // group of the waiting task
	Reason    PreemptionReason
	Discarded float64 // core-seconds of work that has to be done again
	Set       int     // number of runs on the worker that give way to the same task
}

// PreemptionReason is why a run gives way.
type PreemptionReason string

// The reasons, in the order in which victims are chosen.
const (
	PreemptedExpired    PreemptionReason = "expired"     // its job has no value left
	PreemptedLate       PreemptionReason = "late"        // its job misses its objective anyway
	PreemptedLessUrgent PreemptionReason = "less_urgent" // its queue is less urgent
)

// PreemptionState is what the leader knows of stops and preemptions besides the
// state of the jobs.
type PreemptionState struct {
	Leading  time.Duration         // since the leadership started
	Stopping map[jobs.RunID]bool   // runs with RunStatus.Stopping whose room is soon free
	Recently func(job string) bool // runs of the job were preempted within PreemptionPause
	// Before reports whether an earlier run of a task was preempted, however long ago.
	Before func(task jobs.TaskID) bool
}

// Parameters of preemption.
const (
	// PreemptionPause is the time for which a job is spared after runs of it were
	// preempted, and a new leader preempts nothing: it does not know what an earlier one did.
	PreemptionPause    = 5 * time.Second
	maxPreemptions     = 8                      // runs per call
	maxFailedSearches  = 6                      // per call, each of them over all workers
	maxCompared        = 12                     // workers with victims, per search
	maxWaitersAhead    = 8                      // distinct demands that are compared with the room of preempted runs
	preemptionStopTime = 300 * time.Millisecond // until the room is free: order to the agent, checkpoint, commit of the end
	nearlyDonePercent  = 75                     // from which the last copy of a speculative task is spared
)

// Preempt returns the runs to stop, so that waiting tasks that can still be in time
// find room. The view contains the starts that were just planned.
//
// It handles overload in which runs of little value hold what tasks of more value
// wait for. A run gives way only if its task comes after the waiting one in the order
// of candidates, so that the next plan does not start it again in the same room, and
// if the value of the work that is lost is below the value of the waiting task. Room
// that stops already free is given to the waiting tasks first, in the same order.
func Preempt(view jobs.View, in Input, state PreemptionState) []Preemption {
	if !in.Policy.Preemption || state.Leading < PreemptionPause {
		return nil
	}
	waiting := candidates(view, in)
	if !slices.ContainsFunc(waiting, func(c candidate) bool { return c.lateness == inTime }) {
		return nil
	}
	groups := groupsToStop(view, in, state, waiting)
	if len(groups) == 0 {
		return nil
	}
	p := newPreemptor(view, in, state, groups)
	for _, c := range waiting {
		if len(p.chosen) >= maxPreemptions || p.failedSearches >= maxFailedSearches {
			break
		}
		p.tryMakeRoom(c)
	}
	return p.chosen
}

// preemptor chooses victims for candidates in sequence. Its loads are those after
// all stops, with the tasks that the room is for.
type preemptor struct {
	planner
	state     PreemptionState
	groups    map[*jobs.Group]*worth   // whose runs may give way to some candidate
	runs      map[*load][]*victim      // of these groups, filled on first use
	furthest  map[*jobs.Job]jobs.RunID // the run of a job that has done most of its work, filled on first use
	coming    []*load                  // workers with room that stops free
	isComing  map[*load]bool           // the same as a set
	ahead     []waiter                 // candidates so far that found no room
	chosen    []Preemption
	noRoom    unfitDemands // in the room that is coming
	noVictims unfitDemands // for which no victims were found

	failedSearches int
}

// waiter is a candidate that found no room and takes it first once there is some.
type waiter struct {
	candidate
	spread spread
}

func newPreemptor(view jobs.View, in Input, state PreemptionState, groups []*worth) *preemptor {
	p := &preemptor{
		planner: planner{view: view, in: in, fleet: newFleetLoad(view, in.Workers)}, state: state,
		groups: map[*jobs.Group]*worth{}, runs: map[*load][]*victim{}, furthest: map[*jobs.Job]jobs.RunID{}, isComing: map[*load]bool{},
		noRoom: unfitDemands{}, noVictims: unfitDemands{},
	}
	for _, w := range groups {
		if w.givesWay {
			p.groups[w.group] = w
		}
		w.eachRun(func(run jobs.RunID, worker string) {
			if l := p.fleet.byKey[worker]; l != nil && p.isEnding(w, run) {
				p.fleet.add(l, w.group.Spec, -1)
				p.noteComing(l)
			}
		})
	}
	return p
}

// isEnding reports whether a run is being stopped.
func (p *preemptor) isEnding(w *worth, run jobs.RunID) bool {
	return w.ended || p.state.Stopping[run] || w.group.Tasks[run.Task.Index].Done || w.group.Broken(run.Number)
}

// runsOn returns the runs on a worker that may give way to some candidate.
func (p *preemptor) runsOn(l *load) []*victim {
	if runs, known := p.runs[l]; known {
		return runs
	}
	runs := make([]*victim, 0, l.runs)
	p.view.RunsOn(l.worker.Key, func(run jobs.RunID, group *jobs.Group) {
		if w := p.groups[group]; w != nil && !p.isEnding(w, run) {
			runs = append(runs, &victim{worth: w, run: run})
		}
	})
	p.runs[l] = runs
	return runs
}

func (p *preemptor) noteComing(l *load) {
	if !p.isComing[l] {
		p.isComing[l] = true
		p.coming = append(p.coming, l)
	}
}

// tryMakeRoom makes room for the tasks of a candidate. After a panic no run is
// stopped for it.
func (p *preemptor) tryMakeRoom(c candidate) {
	chosen := len(p.chosen)
	defer func() {
		if cause := recover(); cause != nil {
			p.chosen = p.chosen[:chosen]
			p.in.Panicked(c.job.ID, cause)
		}
	}()
	p.makeRoom(c)
}

func (p *preemptor) makeRoom(c candidate) {
	if c.group.Spec.Gang {
		return // the room on one worker does not help it
	}
	if c.queue.Advice != nil {
		tickets, known := p.in.Tickets(c.queue, jobs.GroupID{Job: c.job.ID, Occurrence: c.occurrence, Group: c.groupIndex})
		if !known {
			return
		}
		c.tickets = tickets
	}
	spread := p.spreadOf(c)
	for i := range c.group.Tasks {
		if !needsRun(c.group, i) || c.group.Tasks[i].OnProbation() {
			continue
		}
		l := p.roomComing(c, spread)
		if l == nil {
			l = p.preemptFor(c, spread)
		}
		if l == nil {
			p.noteAhead(c, spread)
			return // all tasks of a group have the same demand
		}
		p.fleet.add(l, c.group.Spec, 1)
		spread.workers[l.worker.Key]++
		spread.racks[l.worker.Rack]++
		c.waited = 0
	}
}

// roomComing returns a worker on which stops free enough for a task of the
// candidate, or nil.
func (p *preemptor) roomComing(c candidate, spread spread) *load {
	class, need := p.classOf(c)
	if p.noRoom.covers(class, need) {
		return nil
	}
	for _, l := range p.coming {
		if p.fits(c, l, spread) {
			return l
		}
	}
	p.noRoom.note(c, class, need)
	return nil
}

func (p *preemptor) fits(c candidate, l *load, spread spread) bool {
	return demand(c.group.Spec).Fits(l.free()) && p.eligible(c, l, spread)
}

// noteAhead remembers a candidate without room.
func (p *preemptor) noteAhead(c candidate, spread spread) {
	need := demand(c.group.Spec)
	same := func(w waiter) bool {
		return w.queue == c.queue && w.group.Spec.BestEffort == c.group.Spec.BestEffort && demand(w.group.Spec).Fits(need)
	}
	if len(p.ahead) < maxWaitersAhead && !slices.ContainsFunc(p.ahead, same) {
		p.ahead = append(p.ahead, waiter{c, spread})
	}
}

// preemptFor chooses the victims for a task of the candidate and returns their
// worker, or nil.
func (p *preemptor) preemptFor(c candidate, spread spread) *load {
	class, need := p.classOf(c)
	if p.failedSearches >= maxFailedSearches || !p.inTimeAfterStop(c) || p.noVictims.covers(class, need) {
		return nil
	}
	best, compared := victimSet{loss: p.gain(c)}, 0
	for _, l := range p.fleet.workers {
		found, ok := p.victimsOn(l, c, spread, best.loss)
		if !ok {
			continue
		}
		if best.worker == nil || found.compare(best) < 0 {
			best = found
		}
		if compared++; compared == maxCompared {
			break
		}
	}
	if best.worker == nil {
		p.failedSearches++
		p.noVictims.note(c, class, need)
		return nil
	}
	for _, v := range best.victims {
		p.fleet.add(best.worker, v.group.Spec, -1)
		p.chosen = append(p.chosen, Preemption{
			Run: v.run, Worker: best.worker.worker.Key, Reason: v.reasonFor(c), Discarded: v.discarded, Set: len(best.victims),
			For: jobs.GroupID{Job: c.job.ID, Occurrence: c.occurrence, Group: c.groupIndex},
		})
		v.spared = true // it is chosen once
	}
	p.noteComing(best.worker)
	return best.worker
}

// victimSet is a set of runs on one worker whose ends make room for a task.
type victimSet struct {
	worker    *load
	victims   []*victim
	loss      float64 // of value
	discarded float64 // core-seconds
}

func (s victimSet) compare(other victimSet) int {
	return cmp.Or(
		cmp.Compare(s.loss, other.loss),
		cmp.Compare(len(s.victims), len(other.victims)),
		cmp.Compare(s.discarded, other.discarded),
	)
}

// victimsOn returns a set of runs on a worker whose ends make room for a task of the
// candidate, at a loss of less than limit, or of limit if that is 0. None of them can
// be left out. It returns false if there is none, or if another waiting task would
// take the room.
func (p *preemptor) victimsOn(l *load, c candidate, spread spread, limit float64) (set victimSet, found bool) {
	if !p.worthwhileOn(l, c, spread) {
		return set, false
	}
	set.worker = l
	for _, v := range p.assessed(l) {
		if p.fits(c, l, spread) {
			break
		}
		if v.reasonFor(c) == "" || !contributes(v, c, l) {
			continue
		}
		p.fleet.add(l, v.group.Spec, -1)
		set.victims = append(set.victims, v)
	}
	found = p.fits(c, l, spread)
	for i := len(set.victims) - 1; found && i >= 0; i-- {
		v := set.victims[i]
		p.fleet.add(l, v.group.Spec, 1)
		if p.fits(c, l, spread) {
			set.victims = slices.Delete(set.victims, i, i+1)
		} else {
			p.fleet.add(l, v.group.Spec, -1)
		}
	}
	found = found && len(p.chosen)+len(set.victims) <= maxPreemptions &&
		!slices.ContainsFunc(p.ahead, func(w waiter) bool { return p.fits(w.candidate, l, w.spread) })
	for _, v := range set.victims {
		p.fleet.add(l, v.group.Spec, 1)
		set.loss += v.loss
		set.discarded += v.discarded
	}
	return set, found && (set.loss < limit || set.loss == 0)
}

// worthwhileOn reports whether a task of the candidate may run on a worker, at the
// place of its data or peers, and could have room there if all runs that may give
// way did.
func (p *preemptor) worthwhileOn(l *load, c candidate, spread spread) bool {
	group := c.group.Spec
	if !l.worker.Open || !l.worker.allows(c.queue, group) ||
		group.DataRack != "" && group.DataRack != l.worker.Rack ||
		group.RackLocal && len(spread.racks) > 0 && spread.racks[l.worker.Rack] == 0 {
		return false
	}
	room := l.free()
	for _, v := range p.runsOn(l) {
		if !v.spared && v.mayComeAfter(c) {
			room = room.Add(demand(v.group.Spec))
		}
	}
	return demand(group).Fits(room)
}

// contributes reports whether the end of a run frees some of what a task of the
// candidate lacks on the worker.
func contributes(v *victim, c candidate, l *load) bool {
	need, free, room := demand(c.group.Spec), l.free(), demand(v.group.Spec)
	freed := room.Min(need.Sub(free)).Max(resource.Vector{})
	return !freed.IsZero() || c.group.Spec.BestEffort && v.group.Spec.MilliCpu > 0
}

// mustComplete reports whether a run is spared so that its job completes, however often
// more urgent tasks come. Once a job is older than starvationTimeout, it keeps its run that is furthest
// on, and each of its tasks is preempted at most once. To keep just any one run is not
// enough: if the runs are stopped in turn, none of them gets to its end.
func (p *preemptor) mustComplete(v *victim) bool {
	return v.age > starvationTimeout && (p.state.Before(v.run.Task) || p.furthestRun(v.job) == v.run)
}

// furthestRun returns the run of a job that has done the largest share of its task,
// apart from runs that are being stopped and long-running ones.
func (p *preemptor) furthestRun(job *jobs.Job) (furthest jobs.RunID) {
	if run, known := p.furthest[job]; known {
		return run
	}
	estimate, most := p.in.Durations.ForQueue(job.QueueKey), -1.0
	for _, w := range activeGroups(job) {
		if w.group.Spec.LongRunning {
			continue
		}
		expected := milliseconds(estimate(w.group.Spec))
		w.eachRun(func(run jobs.RunID, _ string) {
			status, known := p.in.runStatus(run)
			share := float64(workDone(status, expected)) / float64(max(expected, 1))
			if known && !status.Stopping && !p.isEnding(w, run) && share > most {
				furthest, most = run, share
			}
		})
	}
	p.furthest[job] = furthest
	return furthest
}
