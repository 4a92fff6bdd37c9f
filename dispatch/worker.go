package dispatch

import (
	"slices"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// Worker is what a decision knows of one incarnation of a worker.
type Worker struct {
	Key      string // of the incarnation
	Service  string
	Zone     string
	Region   string
	Rack     string
	Labels   []string
	Capacity resource.Vector

	Open     bool    // its agent holds a lease, and it is neither draining nor out of service
	Look     Look    // at its services and best-effort runs
	Distrust float64 // 0 for a sound worker, 1 for one that fails whatever it starts
}

// Capacity returns what a worker offers.
func Capacity(w *api.Worker) resource.Vector {
	return resource.Vector{MilliCPU: w.MilliCpu, MemoryMiB: w.MemoryMib, Accelerators: w.Accelerators}
}

// demand returns what a run of the group takes from the capacity of its worker.
// The processors of a best-effort task are not counted.
func demand(group *api.TaskGroup) resource.Vector {
	d := resource.Vector{MilliCPU: group.MilliCpu, MemoryMiB: group.MemoryMib, Accelerators: group.Accelerators}
	if group.BestEffort {
		d.MilliCPU = 0
	}
	return d
}

// load is what the runs on one worker take, those that are being stopped included.
type load struct {
	worker     *Worker
	used       resource.Vector
	bestEffort int64              // milli-cores that best-effort runs would use
	fillers    map[string]float64 // the same in cores, by image
	serving    map[string]int     // runs with a latency target, by image
	services   int64              // milli-cores that they may use
	runs       int
}

func (l *load) free() resource.Vector { return l.worker.Capacity.Sub(l.used) }

func (l *load) add(group *api.TaskGroup) { l.count(group, 1) }

func (l *load) remove(group *api.TaskGroup) { l.count(group, -1) }

// count adds or takes away the demand of runs of a group.
func (l *load) count(group *api.TaskGroup, runs int64) {
	need := demand(group)
	l.used.MilliCPU += runs * need.MilliCPU
	l.used.MemoryMiB += runs * need.MemoryMiB
	l.used.Accelerators += runs * need.Accelerators
	l.runs += int(runs)
	if group.BestEffort {
		l.bestEffort += runs * group.MilliCpu
		l.fillers[group.Image] += float64(runs*group.MilliCpu) / 1000
	}
	if group.TargetLatencyMs > 0 {
		l.services += runs * group.MilliCpu
		if l.serving[group.Image] += int(runs); l.serving[group.Image] == 0 {
			delete(l.serving, group.Image)
		}
	}
}

// loads returns the load of each worker.
func loads(view jobs.View, workers []Worker) []*load {
	all := make([]*load, len(workers))
	for i := range workers {
		l := &load{worker: &workers[i], fillers: map[string]float64{}, serving: map[string]int{}}
		view.RunsOn(l.worker.Key, func(run jobs.RunID) {
			if _, group, _ := view.Run(run); group != nil {
				l.add(group.Spec)
			}
		})
		all[i] = l
	}
	return all
}

// allows reports whether the queue and the group may use the worker at all.
func (w *Worker) allows(queue *api.JobQueue, group *api.TaskGroup) bool {
	if queue.Service != w.Service {
		return false
	}
	if group.RequiredLabel != "" && !slices.Contains(w.Labels, group.RequiredLabel) {
		return false
	}
	return len(queue.Regions) == 0 || slices.Contains(queue.Regions, w.Region)
}
