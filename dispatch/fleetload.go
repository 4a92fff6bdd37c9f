package dispatch

import (
	"strings"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// fleetLoad holds the loads of all workers and their sums. Only its add method
// changes a load, so that the sums stay current.
type fleetLoad struct {
	workers  []*load          // in the order of the input
	byKey    map[string]*load // by worker key
	counted  int64            // milli-cores that counted tasks take
	claimed  int64            // milli-cores that counted and best-effort tasks claim together
	capacity int64            // milli-cores
	runs     int

	probations int // workers with a task on probation that is starting
}

// newFleetLoad returns the load of the workers by the runs in the view. The ages of the
// runs count as unknown.
func newFleetLoad(view jobs.View, workers []Worker) *fleetLoad {
	return loadFleet(view, Input{Workers: workers})
}

// loadFleet returns the load of the workers of an input by the runs in the view.
func loadFleet(view jobs.View, in Input) *fleetLoad {
	workers := in.Workers
	f := &fleetLoad{workers: make([]*load, len(workers)), byKey: make(map[string]*load, len(workers))}
	// Most workers run one image of each kind at most: one allocation for all of them.
	loads, cores, services := make([]load, len(workers)), make(perImage[float64], len(workers)), make(perImage[int], len(workers))
	for i := range workers {
		l := &loads[i]
		l.worker, l.bestEffortCores, l.serviceRuns = &workers[i], cores[i:i:i+1], services[i:i:i+1]
		f.workers[i], f.byKey[l.worker.Key] = l, l
		f.capacity += l.worker.Capacity.MilliCPU
		view.RunsOn(l.worker.Key, func(run jobs.RunID, group *jobs.Group) {
			f.add(l, group.Spec, 1)
			f.countStarting(in, l, run, group)
			l.crashes += squaredCrashes(group, run.Task.Index)
		})
	}
	return f
}

// add adds runs of a group to a worker. A negative number removes runs.
func (f *fleetLoad) add(l *load, group *api.TaskGroup, runs int64) {
	l.addRuns(group, runs)
	f.runs += int(runs)
	f.claimed += runs * group.MilliCpu
	if !group.BestEffort {
		f.counted += runs * group.MilliCpu
	}
}

// countedBelowHalf reports whether counted tasks take less than half of the CPU
// of all workers.
func (f *fleetLoad) countedBelowHalf() bool { return 2*f.counted < f.capacity }

// claimedBelowHalf reports whether counted and best-effort tasks together claim
// less than half of the CPU of all workers.
func (f *fleetLoad) claimedBelowHalf() bool { return 2*f.claimed < f.capacity }

// unfitDemands remembers, for one plan, demands that no worker can take. Loads
// only grow in the course of a plan, so a task of the same class that demands no
// less fits on no worker either. A demand that only reservations keep off a worker is
// not among them, as others may start there: see refusal. It answers a backlog of many jobs on a full
// fleet, in which each job would be compared with each worker.
type unfitDemands map[placementClass][]resource.Vector

// placementClass is what besides its demand decides on which workers a task may
// start.
type placementClass struct {
	service, regions, label string
	bestEffort              bool
	image                   string        // of best-effort tasks, which interfere by image
	few                     bool          // of a job with few runs
	unlimited               bool          // interference does not count
	starving                bool          // it may start whatever it interferes with
	runTime                 time.Duration // over which a partial fit is weighed, 0 for whole fits
}

// classOf returns the class of a candidate's tasks and what they demand.
func (p *planner) classOf(c candidate) (placementClass, resource.Vector) {
	group := c.group.Spec
	class := placementClass{service: c.queue.Service, regions: strings.Join(c.queue.Regions, ","), label: group.RequiredLabel, few: c.few}
	if group.BestEffort {
		class.bestEffort, class.image = true, group.Image
		class.unlimited, class.starving = p.ignoresInterference(c), p.starves(c)
		class.runTime = p.partialFits.runTime(c)
	}
	return class, resource.Vector{MilliCPU: group.MilliCpu, MemoryMiB: group.MemoryMib, Accelerators: group.Accelerators}
}

// covers reports whether a task of the candidate certainly fits nowhere.
func (u unfitDemands) covers(class placementClass, need resource.Vector) bool {
	for _, failed := range u[class] {
		if failed.Fits(need) {
			return true
		}
	}
	return false
}

// note records that a task of the candidate fits on no worker. A group with
// conditions of its own tells nothing of others.
func (u unfitDemands) note(c candidate, class placementClass, need resource.Vector) {
	if u != nil && c.queue.Advice == nil && c.group.Spec.MaxPerWorker == 0 {
		u[class] = append(u[class], need)
	}
}

// noteUnfit records that a task of the candidate fits nowhere, or only into reserved
// room.
func (p *planner) noteUnfit(c candidate, heldBack bool) {
	class, need := p.classOf(c)
	if !heldBack {
		p.unfit.note(c, class, need)
	} else if p.unfit != nil {
		p.reserver.noteRefused(c, class, need, p.refusalTime(c))
	}
}
