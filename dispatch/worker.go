package dispatch

import (
	"slices"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// Worker is the state of one incarnation of a worker that decisions depend on.
type Worker struct {
	Key      string // of the incarnation
	Service  string
	Zone     string
	Region   string
	Rack     string
	Labels   []string
	Capacity resource.Vector

	Open          bool     // its agent holds a lease, and it is neither draining nor out of service
	Closed        Obstacle // why it is not open, empty if it is or that is not known
	Sample        Sample   // of its services and best-effort runs
	HealthPenalty float64  // 0 for a worker without excess failures, 1 for one on which all runs fail
	// Starting reports whether the worker has not yet survived the start of a run. It
	// is nil while no task is on probation.
	Starting func(jobs.RunID) bool
	// ClearingFor holds the groups of the tasks for which several runs on the worker are being
	// stopped. Until all of a set have ended, only tasks of more urgent queues start here.
	ClearingFor []jobs.GroupID
	// AtFullPace reports whether a best-effort run is, as far as is known, not throttled. If it
	// is nil, the paces are unknown, and the sample tells what the runs use.
	AtFullPace func(jobs.RunID) bool
}

// Capacity returns the resources of a worker.
func Capacity(w *api.Worker) resource.Vector {
	return resource.Vector{MilliCPU: w.MilliCpu, MemoryMiB: w.MemoryMib, Accelerators: w.Accelerators}
}

// demand returns what a run of the group takes from the capacity of its worker.
// Only tasks that are not best-effort, the counted tasks, take CPU from it.
func demand(group *api.TaskGroup) resource.Vector {
	d := resource.Vector{MilliCPU: group.MilliCpu, MemoryMiB: group.MemoryMib, Accelerators: group.Accelerators}
	if group.BestEffort {
		d.MilliCPU = 0
	}
	return d
}

// load is the sum of the demands of the runs on one worker, including runs that
// are being stopped.
type load struct {
	worker             *Worker
	used               resource.Vector
	lasting            resource.Vector   // demands of the long-running ones, which do not end by themselves
	bestEffortMilliCPU int64             // that best-effort runs would use at full pace
	bestEffortCores    perImage[float64] // the same in cores
	bestEffortUse      *bestEffortUse    // nil until it is needed
	serviceRuns        perImage[int]     // runs with a latency target
	serviceMilliCPU    int64             // declared by runs with a latency target
	runs               int
	starting           int   // runs whose start the worker has not survived yet
	probation          bool  // one of them is of a task on probation
	crashes            int   // sum of squaredCrashes of the runs
	hold               *hold // a reservation, nil for none

	keptCores map[string]float64 // of runs of this plan that are kept at work, by image
}

// keep counts a run that the plan keeps at work.
func (l *load) keep(group *api.TaskGroup) {
	if l.keptCores == nil {
		l.keptCores = map[string]float64{}
	}
	l.keptCores[group.Image] += KeptCores(group.MilliCpu)
}

func (l *load) free() resource.Vector { return l.worker.Capacity.Sub(l.used) }

// addRuns adds the demand of runs of a group. A negative number removes it.
func (l *load) addRuns(group *api.TaskGroup, runs int64) {
	need := demand(group)
	l.used.MilliCPU += runs * need.MilliCPU
	l.used.MemoryMiB += runs * need.MemoryMiB
	l.used.Accelerators += runs * need.Accelerators
	l.runs += int(runs)
	if group.LongRunning {
		l.lasting = l.lasting.Add(times(need, int(runs)))
	}
	if group.BestEffort {
		l.bestEffortMilliCPU += runs * group.MilliCpu
		l.bestEffortCores.add(group.Image, float64(runs*group.MilliCpu)/1000)
	}
	if group.TargetLatencyMs > 0 {
		l.serviceMilliCPU += runs * group.MilliCpu
		l.serviceRuns.add(group.Image, int(runs))
	}
}

// perImage holds amounts by image, without zeros. A worker runs few images, for which a
// slice takes less time and memory than a map.
type perImage[T int | float64] []imageAmount[T]

type imageAmount[T int | float64] struct {
	image  string
	amount T
}

// of returns the amount of an image.
func (p perImage[T]) of(image string) T {
	for _, entry := range p {
		if entry.image == image {
			return entry.amount
		}
	}
	return 0
}

func (p *perImage[T]) add(image string, amount T) {
	for i := range *p {
		if (*p)[i].image == image {
			if (*p)[i].amount += amount; (*p)[i].amount == 0 {
				*p = slices.Delete(*p, i, i+1)
			}
			return
		}
	}
	if amount != 0 {
		*p = append(*p, imageAmount[T]{image, amount})
	}
}

// allows reports whether tasks of the queue and the group may run on the
// worker, given its service, labels and region.
func (w *Worker) allows(queue *api.JobQueue, group *api.TaskGroup) bool {
	if queue.Service != w.Service {
		return false
	}
	if group.RequiredLabel != "" && !slices.Contains(w.Labels, group.RequiredLabel) {
		return false
	}
	return len(queue.Regions) == 0 || slices.Contains(queue.Regions, w.Region)
}
