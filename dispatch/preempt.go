package dispatch

import (
	"slices"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
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
	Stopping map[jobs.RunID]bool   // runs that are being stopped for whatever reason, and whose room is soon free
	Recently func(job string) bool // runs of the job were preempted within PreemptionPause
	// Before reports whether an earlier run of a task was preempted, however long ago.
	Before func(task jobs.TaskID) bool
}

// Parameters of preemption.
const (
	// PreemptionPause is the time for which a job is spared after runs of it were
	// preempted, and a new leader preempts nothing: it does not know what an earlier one did.
	PreemptionPause = 5 * time.Second

	// maxPreemptions bounds the runs of a call, so that later calls see the effect of
	// earlier ones before much work is stopped.
	maxPreemptions = 8
	// maxFailedSearches bounds the time of a call under a backlog, as each failed search
	// compares all workers.
	maxFailedSearches = 6
	// maxCompared bounds the workers with victims whose sets are compared in a search, as
	// all runs on each of them are assessed.
	maxCompared = 12
	// maxWaitersAhead bounds the distinct demands that are compared with the room of each
	// set of victims. A demand that another one of its queue covers needs no entry.
	maxWaitersAhead = 8
	// nearlyDonePercent is from which the last copy of a speculative task is spared: another
	// run of it would begin anew while this one needs a quarter of its time.
	nearlyDonePercent = 75
)

// preemptionStopTime is the time from the order to stop a run until the waiting task
// starts: the usual time of a stop, and a round to plan and commit the start. stopBand
// alone describes when the room is free, for forecasts.
var preemptionStopTime = stopBand.Likely + 100*time.Millisecond

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
	noVictims map[searchClass][]failedSearch
	changes   []loadChange // of loads for the present candidate

	failedSearches int
}

// loadChange is a change of a worker's load, to be undone after a panic.
type loadChange struct {
	load  *load
	group *api.TaskGroup
	runs  int64
}

func (p *preemptor) addLoad(l *load, group *api.TaskGroup, runs int64) {
	p.fleet.add(l, group, runs)
	p.changes = append(p.changes, loadChange{l, group, runs})
}

// undoChanges restores the loads as they were before the present candidate.
func (p *preemptor) undoChanges() {
	for _, c := range p.changes {
		p.fleet.add(c.load, c.group, -c.runs)
	}
}

// waiter is a candidate that found no room and takes it first once there is some.
type waiter struct {
	candidate
	spread spread
}

func newPreemptor(view jobs.View, in Input, state PreemptionState, groups []*worth) *preemptor {
	p := &preemptor{
		planner: planner{view: view, in: in, fleet: loadFleet(view, in), unfit: unfitDemands{}}, state: state,
		groups: map[*jobs.Group]*worth{}, runs: make(map[*load][]*victim, len(in.Workers)), furthest: map[*jobs.Job]jobs.RunID{}, isComing: map[*load]bool{},
		noRoom: unfitDemands{}, noVictims: map[searchClass][]failedSearch{},
	}
	for _, w := range groups {
		if w.givesWay {
			p.groups[w.group] = w
		}
		w.eachRun(func(run jobs.RunID, worker string) {
			if l := p.fleet.byKey[worker]; l != nil && p.state.Stopping[run] {
				p.fleet.add(l, w.group.Spec, -1)
				p.noteComing(l)
			}
		})
	}
	return p
}

// EachStopped calls f with each active run that is stopped because its job has ended,
// its task is done or its gang is broken.
func EachStopped(view jobs.View, f func(run jobs.RunID)) {
	view.ActiveJobs(func(job *jobs.Job) {
		if job.ActiveRuns() == 0 {
			return
		}
		for _, w := range activeGroups(job) {
			w.eachRun(func(run jobs.RunID, _ string) {
				if w.mustStop(run) {
					f(run)
				}
			})
		}
	})
}

// isStopped reports whether a run is being stopped.
func (p *preemptor) isStopped(w *worth, run jobs.RunID) bool {
	return p.state.Stopping[run] || w.mustStop(run)
}

// runsOn returns the runs on a worker that may give way to some candidate.
func (p *preemptor) runsOn(l *load) []*victim {
	if runs, known := p.runs[l]; known {
		return runs
	}
	var victims []victim
	p.view.RunsOn(l.worker.Key, func(run jobs.RunID, group *jobs.Group) {
		if w := p.groups[group]; w != nil && !p.isStopped(w, run) {
			if victims == nil {
				victims = make([]victim, 0, l.runs)
			}
			victims = append(victims, victim{worth: w, run: run})
		}
	})
	runs := make([]*victim, len(victims))
	for i := range victims {
		runs[i] = &victims[i]
	}
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
	p.changes = p.changes[:0]
	defer func() {
		if cause := recover(); cause != nil {
			p.chosen = p.chosen[:chosen]
			p.undoChanges()
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
	if p.waitsByChoice(c, spread) {
		return
	}
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
		p.addLoad(l, c.group.Spec, 1)
		spread.workers[l.worker.Key]++
		spread.racks[l.worker.Rack]++
		c.markAtWork()
	}
}

// waitsByChoice reports whether a candidate waits for the rack of its data or peers although it
// has room elsewhere, now or when stops have ended: the plan expects room on its rack soon.
func (p *preemptor) waitsByChoice(c candidate, spread spread) bool {
	if p.in.Policy.RemotePenalty <= 1 || c.group.Spec.DataRack == "" && !c.group.Spec.RackLocal {
		return false
	}
	class, need := p.classOf(c)
	if p.unfit.covers(class, need) {
		return false
	}
	if slices.ContainsFunc(p.fleet.workers, func(l *load) bool { return p.fits(c, l, spread) }) {
		return true
	}
	p.unfit.note(c, class, need)
	return false
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

// takesRoom reports whether a waiter takes the room on a worker before later candidates
// do. One that waits for the rack of its data does not count elsewhere: no runs there
// give way to it, and later candidates would wait for its sake in vain.
func (p *preemptor) takesRoom(w waiter, l *load) bool {
	rack := w.group.Spec.DataRack
	return (rack == "" || rack == l.worker.Rack) && p.fits(w.candidate, l, w.spread)
}

// noteAhead remembers a candidate without room.
func (p *preemptor) noteAhead(c candidate, spread spread) {
	need := demand(c.group.Spec)
	same := func(w waiter) bool { // as w takes all room that c takes
		rack := w.group.Spec.DataRack
		return w.queue == c.queue && w.group.Spec.BestEffort == c.group.Spec.BestEffort &&
			(rack == "" || rack == c.group.Spec.DataRack) && demand(w.group.Spec).Fits(need)
	}
	if len(p.ahead) < maxWaitersAhead && !slices.ContainsFunc(p.ahead, same) {
		p.ahead = append(p.ahead, waiter{c, spread})
	}
}
