package dispatch

import (
	"cmp"
	"slices"

	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// searchClass is what besides demand and gain decides which runs may give way to a
// task. Its priority is no part of that: candidates come in the order of urgency, and all runs
// that give way to a later one give way to an earlier one as well.
type searchClass struct {
	placementClass
	dataRack string
	only     jobs.GroupID // the group, if its own runs matter, zero otherwise
}

// failedSearch is a search that found no victims for a demand and a gain.
type failedSearch struct {
	need resource.Vector
	gain float64
}

func (p *preemptor) searchClassOf(c candidate, class placementClass) searchClass {
	s := searchClass{placementClass: class, dataRack: c.group.Spec.DataRack}
	if c.group.Spec.RackLocal || c.job.ActiveRuns() > 0 {
		s.only = c.groupID() // it stays beside its peers, and its job's runs don't give way to it
	}
	return s
}

// preemptFor chooses the victims for a task of the candidate and returns their
// worker, or nil.
func (p *preemptor) preemptFor(c candidate, spread spread) *load {
	if p.failedSearches >= maxFailedSearches || !p.inTimeAfterStop(c) {
		return nil
	}
	placement, need := p.classOf(c)
	class, gain := p.searchClassOf(c, placement), p.gain(c)
	if slices.ContainsFunc(p.noVictims[class], func(f failedSearch) bool { return f.need.Fits(need) && gain <= f.gain }) {
		return nil
	}
	best := p.cheapestVictims(c, spread, gain)
	if best.worker == nil {
		p.failedSearches++
		if c.queue.Advice == nil && c.group.Spec.MaxPerWorker == 0 { // conditions of its own tell nothing of others
			p.noVictims[class] = append(p.noVictims[class], failedSearch{need, gain})
		}
		return nil
	}
	for _, v := range best.victims {
		p.addLoad(best.worker, v.group.Spec, -1)
		p.chosen = append(p.chosen, Preemption{
			Run: v.run, Worker: best.worker.worker.Key, Reason: v.reasonFor(c), Discarded: v.discarded, Set: len(best.victims),
			For: c.groupID(),
		})
		v.spared = true // it is chosen once
	}
	p.noteComing(best.worker)
	clear(p.noRoom) // the victims may free more than the task takes
	clear(p.unfit)
	return best.worker
}

// cheapestVictims returns the victims with the least loss on one worker, without a
// worker if there are none at a loss below the gain.
func (p *preemptor) cheapestVictims(c candidate, spread spread, gain float64) (best victimSet) {
	compared := 0
	for _, l := range p.fleet.workers {
		found, ok := p.victimsOn(l, c, spread)
		if !ok || found.loss > 0 && found.loss >= gain {
			continue
		}
		if best.worker == nil || found.compare(best) < 0 {
			best = found
		}
		if compared++; compared == maxCompared {
			break
		}
	}
	return best
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
// candidate. It returns false if there is none, or if another waiting task would take
// the room.
func (p *preemptor) victimsOn(l *load, c candidate, spread spread) (set victimSet, found bool) {
	if !p.worthwhileOn(l, c, spread) {
		return set, false
	}
	set.worker = l
	unchanged := len(p.changes)
	set.victims, found = p.removeVictims(l, c, spread)
	found = found && len(p.chosen)+len(set.victims) <= maxPreemptions &&
		!slices.ContainsFunc(p.ahead, func(w waiter) bool { return p.takesRoom(w, l) })
	for _, v := range set.victims {
		p.addLoad(l, v.group.Spec, 1)
		set.loss += v.loss
		set.discarded += v.discarded
	}
	p.changes = p.changes[:unchanged]
	return set, found
}

// removeVictims removes runs from the load of a worker until a task of the candidate
// fits, and returns them. None of them can be left out if it fits then.
func (p *preemptor) removeVictims(l *load, c candidate, spread spread) (victims []*victim, fits bool) {
	for _, v := range p.assessed(l) {
		if p.fits(c, l, spread) {
			break
		}
		if v.reasonFor(c) != "" && contributes(v, c, l) {
			p.addLoad(l, v.group.Spec, -1)
			if victims == nil {
				victims = make([]*victim, 0, maxPreemptions)
			}
			victims = append(victims, v)
		}
	}
	fits = p.fits(c, l, spread)
	for i := len(victims) - 1; fits && i >= 0; i-- {
		v := victims[i]
		p.addLoad(l, v.group.Spec, 1)
		if p.fits(c, l, spread) {
			victims = slices.Delete(victims, i, i+1)
		} else {
			p.addLoad(l, v.group.Spec, -1)
		}
	}
	return victims, fits
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
			if known && !status.Stopping && !p.isStopped(w, run) && share > most {
				furthest, most = run, share
			}
		})
	}
	p.furthest[job] = furthest
	return furthest
}
