package dispatch

import (
	"strings"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// The resources that bound the wait of a task.
const (
	cpuBound    = iota // CPU: of counted tasks for a counted task, of all tasks for a best-effort one
	memoryBound        // memory
	slotBound          // workers, for tasks of which a worker holds one at most
	bounds
)

// pool is the room of the workers that can hold a task of a group.
type pool struct {
	room     [bounds]float64 // milli-cores, MiB, workers
	slots    float64         // tasks of the group that the workers can hold at a time
	largest  resource.Vector // room of the largest worker
	all      bool            // the pool has all workers of the service
	contains map[string]bool // by worker key
	shares   map[poolKey]float64
}

// poolKey is what decides on which workers tasks fit.
type poolKey struct {
	regions, label string
	bestEffort     bool
	size           resource.Vector
}

func poolKeyOf(queue *api.JobQueue, group *api.TaskGroup) poolKey {
	return poolKey{strings.Join(queue.Regions, ","), group.RequiredLabel, group.BestEffort, size(group)}
}

// poolOf returns the room of the workers that can hold a task of the submitted job's
// group beside the long-running tasks.
func (a *admission) poolOf(group *api.TaskGroup) *pool {
	key := poolKeyOf(a.s.Queue, group)
	if p := a.pools[key]; p != nil {
		return p
	}
	p := &pool{contains: map[string]bool{}, shares: map[poolKey]float64{}}
	a.pools[key] = p
	usable, unused, used := 0.0, 0.0, 0.0
	for i := range a.workers {
		w := &a.workers[i]
		if !w.holds(a.s.Queue, group) {
			continue
		}
		p.contains[w.worker.Key] = true
		p.room[cpuBound] += float64(w.left.MilliCPU)
		p.room[memoryBound] += float64(w.left.MemoryMiB)
		p.room[slotBound]++
		p.slots += float64(timesIn(demand(group), w.left))
		p.largest = p.largest.Max(w.left)
		usable, unused, used = usable+w.usable, unused+max(w.unused, 0), used+w.cores
	}
	p.all = len(p.contains) == len(a.workers)
	if group.BestEffort {
		if p.room[cpuBound] = usable; used > 0 {
			p.room[cpuBound] -= (1 - unseenBestEffortRatio) * unused
		}
	}
	return p
}

// holds reports whether a task of a group fits on the worker beside its long-running
// tasks.
func (w *workerRoom) holds(queue *api.JobQueue, group *api.TaskGroup) bool {
	return w.worker.allows(queue, group) && demand(group).Fits(w.left)
}

// share returns the part of a volume that is done on the workers of a pool. Tasks
// without a run are spread evenly over all workers that can hold them.
func (a *admission) share(p *pool, v *volume) float64 {
	if p.all {
		return 1
	}
	if v.runs != nil {
		return p.shareOfRuns(v.runs)
	}
	key := poolKeyOf(v.queue, v.group)
	if known, seen := p.shares[key]; seen {
		return known
	}
	inside, all := 0.0, 0.0
	for i := range a.workers {
		w := &a.workers[i]
		if !w.holds(v.queue, v.group) {
			continue
		}
		all += float64(w.left.MilliCPU)
		if p.contains[w.worker.Key] {
			inside += float64(w.left.MilliCPU)
		}
	}
	p.shares[key] = inside / max(all, 1)
	return p.shares[key]
}

// shareOfRuns returns the part of a group's runs that is on the workers of the pool.
func (p *pool) shareOfRuns(group *jobs.Group) float64 {
	inside, all := 0.0, 0.0
	for i := range group.Tasks {
		for _, run := range group.Tasks[i].Runs {
			all++
			if p.contains[run.Worker] {
				inside++
			}
		}
	}
	return inside / max(all, 1)
}

// backlog sums up the work before a task, for each resource in seconds of the whole
// pool.
type backlog struct {
	seconds [bounds]float64
	halves  [bounds]float64 // the same, times half of the duration of a task
}

// add adds a volume to the backlog of a group's tasks.
func (b *backlog) add(a *admission, p *pool, group *api.TaskGroup, v *volume) {
	share := a.share(p, v) * v.seconds
	need := demand(v.group)
	cpu := need.MilliCPU
	if group.BestEffort {
		cpu = v.group.MilliCpu
	}
	large := 0.0
	if 2*need.MilliCPU > p.largest.MilliCPU || 2*need.MemoryMiB > p.largest.MemoryMiB {
		large = 1
	}
	own := demand(group)
	if 2*own.MilliCPU <= p.largest.MilliCPU && 2*own.MemoryMiB <= p.largest.MemoryMiB {
		large = 0 // the group's tasks fit beside large ones
	}
	for r, amount := range [bounds]float64{float64(cpu), float64(need.MemoryMiB), large} {
		if p.room[r] > 0 {
			b.seconds[r] += share * amount / p.room[r]
			b.halves[r] += share * amount / p.room[r] * v.each / 2
		}
	}
}

// begun returns the time until all work of the backlog has begun, while arriving work
// takes its part of the room. When the last tasks have begun, half of the running work is
// still to be done on average.
func (b *backlog) begun(p *pool, group *api.TaskGroup, arriving arrivalRate) (seconds float64) {
	cpu := arriving.counted
	if group.BestEffort {
		cpu = arriving.all
	}
	for r, taken := range [bounds]float64{cpu, arriving.memory, 0} {
		if b.seconds[r] > 0 {
			left := 1 - min(taken/p.room[r], maxArrivalRatio)
			seconds = max(seconds, (b.seconds[r]-b.halves[r]/b.seconds[r])/left)
		}
	}
	return seconds
}

// waits returns the time in seconds until a task of the submitted job begins: while the
// job can still be in time, when only more urgent arrivals are certain to go first, and
// once it is late, when late jobs and all arrivals go first.
func (a *admission) waits(group *api.TaskGroup, p *pool) (inTimeWait, lateWait float64) {
	var early, later backlog
	for i := range a.running {
		early.add(a, p, group, &a.running[i])
		later.add(a, p, group, &a.running[i])
	}
	arriving := a.moreUrgent.add(a.asUrgent)
	for i := range a.ahead {
		job := &a.ahead[i]
		before := job.priority < a.s.Queue.Priority && !(a.in.Policy.LateLast && job.lateness == late)
		if later.begun(p, group, arriving) > job.expiry {
			continue // it has no value left by then, and is placed after the others
		}
		for j := range job.work {
			later.add(a, p, group, &job.work[j])
			if before || job.lateness == inTime {
				early.add(a, p, group, &job.work[j])
			}
		}
	}
	return early.begun(p, group, a.moreUrgent), later.begun(p, group, arriving)
}

// verdict compares the earliest completion with the time at which the job has no value
// left.
func (a *admission) verdict() Verdict {
	groups := a.s.Spec.GetGroups()
	inTimeEnd, lateEnd, wait, occupied := 0.0, 0.0, 0.0, 0.0
	early, later := make([]float64, len(groups)), make([]float64, len(groups))
	for g, group := range groups {
		for _, dependency := range group.DependsOn {
			early[g], later[g] = max(early[g], early[dependency]), max(later[g], later[dependency])
		}
		p := a.poolOf(group)
		if p.slots == 0 {
			return Verdict{} // only the end of a long-running task makes room, which is not foreseeable
		}
		occupied += a.estimate(group) / 1000 * float64(group.Count) / p.slots
		earlyWait, lateWait := a.waits(group, p)
		each := a.estimate(group) / 1000
		own := max(each, each*float64(group.Count)/p.slots)
		early[g], later[g] = max(early[g], earlyWait)+own, max(later[g], lateWait)+own
		inTimeEnd, lateEnd, wait = max(inTimeEnd, early[g]), max(lateEnd, later[g]), max(wait, earlyWait)
	}
	objective := a.objective.Seconds()
	v := Verdict{Wait: seconds(wait)}
	if inTimeEnd <= objective || lateEnd <= expiryFactor*objective {
		return v
	}
	v.Refuse, v.Reason, v.Occupied = true, reasonTooLate, seconds(occupied)
	v.RetryAfter = min(max(seconds(inTimeEnd-objective), time.Second), maxRetryAfter)
	return v
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
