package dispatch

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// Reasons of refusals, as callers are told.
const (
	reasonTooLarge = "no worker is large enough"
	reasonTooLate  = "the work ahead takes too long"
	reasonNoMemory = "the accepted jobs use all the memory for them"
)

// RefusalLabel returns the label of a refusal in metrics.
func (v Verdict) RefusalLabel() string {
	switch v.Reason {
	case reasonTooLarge:
		return "too-large"
	case reasonNoMemory:
		return "no-memory"
	}
	return "too-late"
}

// Deadline returns the time from submission after which a job has no value left. It
// returns false for a job whose value does not depend on its completion.
func (s Submission) Deadline(d *Durations) (time.Duration, bool) {
	if s.Spec.GetSchedule().GetTimes() != 0 || hasLongRunning(s.Spec) {
		return 0, false
	}
	return expiryFactor * Objective(s.Queue, s.Spec, d.ForQueue(s.QueueKey)), true
}

// Parameters of the admission by forecast.
const (
	// sampledRunsPerGroup is the number of runs of a group whose ends are forecast;
	// the others count with their mean. It bounds the cost of a decision.
	sampledRunsPerGroup = 4
	// maxArrivalRatio bounds the part of the room that arriving work is expected to
	// take, so that a forecast stays finite.
	maxArrivalRatio = 0.9
	// unseenBestEffortRatio is the share of the unused CPU beyond what best-effort
	// runs use that still counts as room for them. Services need headroom, and
	// images that interfere with them stay away, so not all of it is usable.
	unseenBestEffortRatio = 0.5
)

// AdmitForecast decides on a submission by a forecast of when the job could
// complete. It refuses a job that is too large for every worker, and a job that would
// complete after expiryFactor objectives even in the favourable reading: everything
// ahead of it takes its likely time, all room is usable without gaps, and only the
// steady part of the arrivals goes on. Whatever is not known counts in favour of the
// job.
//
// It handles bursts and steady overload. While no task of the work ahead waits, or the
// job would find room at once, nothing is refused. Jobs with a schedule or with
// long-running tasks are refused for their size only.
//
// The room is an aggregate of the workers on which a group may run. Each resource
// gives a lower bound of the wait; the largest bound counts.
func AdmitForecast(view jobs.View, in Input, s Submission, arrivals *Arrivals, now time.Time) Verdict {
	if !s.fits(in.Workers) {
		return Verdict{Refuse: true, Reason: reasonTooLarge, RetryAfter: unplaceableRetryAfter}
	}
	if s.Spec.GetSchedule().GetTimes() != 0 || hasLongRunning(s.Spec) || !in.Durations.knows(s.QueueKey) {
		return Verdict{}
	}
	a := newAdmission(view, in, s)
	view.ActiveJobs(a.tryCollect)
	if a.waiting == 0 || len(a.running) == 0 {
		return Verdict{}
	}
	slices.SortFunc(a.ahead, func(x, y aheadJob) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.lateness, y.lateness),
			-cmp.Compare(x.density, y.density), cmp.Compare(x.id, y.id))
	})
	a.moreUrgent, a.asUrgent = arrivals.rates(view, s.Queue.Service, s.Queue.Priority, now)
	a.measureWorkers()
	if a.startsNow() {
		return Verdict{}
	}
	return a.verdict()
}

// knows reports whether durations of the queue's tasks were learnt.
func (d *Durations) knows(queue string) bool { return d.queues[queue] != nil }

// admission is the state of one decision.
type admission struct {
	view      jobs.View
	in        Input
	s         Submission
	estimate  func(*api.TaskGroup) float64
	objective time.Duration
	density   float64

	ahead   []aheadJob
	running []volume
	// Rates at which more urgent work and work of the same priority arrive.
	moreUrgent, asUrgent arrivalRate

	allowance int // of each active job; see jobAllowance

	waiting int // tasks of the jobs ahead that are ready and have no run
	workers []workerRoom
	pools   map[poolKey]*pool
	racks   map[string]string // by worker key
}

// volume is the work of a group's tasks that hold their demand for a time.
type volume struct {
	queue   *api.JobQueue
	group   *api.TaskGroup
	seconds float64     // of all tasks together
	each    float64     // of one task
	ready   bool        // its tasks wait for nothing but a worker
	runs    *jobs.Group // whose active runs these are, nil for tasks without a run
}

// aheadJob is a job that is placed before the submitted one.
type aheadJob struct {
	id       string
	queueKey string
	priority int32
	lateness lateness
	density  float64
	expiry   float64 // seconds until it has no value left
	work     []volume
}

func newAdmission(view jobs.View, in Input, s Submission) *admission {
	estimate := in.Durations.ForQueue(s.QueueKey)
	work := Work(s.Spec, estimate)
	racks := make(map[string]string, len(in.Workers))
	for i := range in.Workers {
		racks[in.Workers[i].Key] = in.Workers[i].Rack
	}
	return &admission{
		view: view, in: in, s: s, estimate: estimate, allowance: jobAllowance(view), pools: map[poolKey]*pool{}, racks: racks,
		objective: Objective(s.Queue, s.Spec, estimate),
		density:   in.QueueWork.Value(s.QueueKey, work) / max(work, minRemainingWork),
	}
}

// tryCollect collects the work of an active job, none after a panic.
func (a *admission) tryCollect(job *jobs.Job) {
	ahead, running := len(a.ahead), len(a.running)
	defer func() {
		if cause := recover(); cause != nil {
			a.ahead, a.running = a.ahead[:ahead], a.running[:running]
			a.in.Panicked(job.ID, cause)
		}
	}()
	queue := a.view.QueueOf(job)
	if job.Phase.Ended() || queue.Service != a.s.Queue.Service || !a.in.Durations.knows(job.QueueKey) {
		return
	}
	allowance := a.allowance
	job.Due(a.in.UnixMS, func(k int32, occurrence *jobs.Occurrence) bool {
		a.collect(job, queue, k, occurrence, ageOf(a.in, job, k))
		allowance -= candidateCost + costOf(occurrence)
		return allowance > 0
	})
}

// collect collects the runs of an occurrence and, if it is placed before the
// submitted job, the tasks of all its groups that have no run yet.
func (a *admission) collect(job *jobs.Job, queue *api.JobQueue, k int32, occurrence *jobs.Occurrence, age time.Duration) {
	estimate := a.in.Durations.ForQueue(job.QueueKey)
	next := aheadJob{id: job.ID, queueKey: job.QueueKey, priority: queue.Priority}
	ends := make([]float64, len(occurrence.Groups))
	remaining, path, waiting := 0.0, 0.0, 0
	for g, group := range occurrence.Groups {
		for _, dependency := range group.Spec.DependsOn {
			ends[g] = max(ends[g], ends[dependency])
		}
		if group.Done() {
			continue
		}
		each := estimate(group.Spec) / 1000
		ends[g] += each
		path = max(path, ends[g])
		if group.Spec.LongRunning {
			continue
		}
		unfinished, idle := a.collectRuns(queue, jobs.TaskID{Job: job.ID, Occurrence: k, Group: int32(g)}, group, each)
		remaining += float64(unfinished) * float64(group.Spec.MilliCpu) / 1000 * each
		if idle > 0 {
			ready := occurrence.Ready(group)
			next.work = append(next.work, volume{queue: queue, group: group.Spec, seconds: float64(idle) * each, each: each, ready: ready})
			if ready {
				waiting += idle
			}
		}
	}
	objective := Objective(queue, job.Spec, estimate)
	next.lateness = latenessOf(age, milliseconds(1000*path), objective)
	next.density = a.in.QueueWork.Value(job.QueueKey, Work(job.Spec, estimate)) / max(remaining, minRemainingWork)
	next.expiry = (expiryFactor*objective - age).Seconds()
	if len(next.work) > 0 && a.precedes(next) {
		a.ahead = append(a.ahead, next)
		a.waiting += waiting
	}
}

// collectRuns collects the rest of a group's runs. It returns the number of tasks that
// are not done, and of those that have no run.
func (a *admission) collectRuns(queue *api.JobQueue, id jobs.TaskID, group *jobs.Group, each float64) (unfinished, idle int) {
	active := 0
	for i := range group.Tasks {
		if !group.Tasks[i].Done {
			unfinished++
		}
		if needsRun(group, i) {
			idle++
		}
		active += len(group.Tasks[i].Runs)
	}
	if active == 0 || a.in.Policy.Preemption && queue.Priority > a.s.Queue.Priority {
		return unfinished, idle // preempted where the submitted job needs the room
	}
	stride := (active + sampledRunsPerGroup - 1) / sampledRunsPerGroup
	seen, sampled, seconds := 0, 0, 0.0
	for i := range group.Tasks {
		for _, run := range group.Tasks[i].Runs {
			if seen++; seen%stride != 0 {
				continue
			}
			id.Index = int32(i)
			if end, known := RunEnd(a.view, a.in, jobs.RunID{Task: id, Number: run.Number}, a.racks[run.Worker]); known {
				sampled, seconds = sampled+1, seconds+end.Likely.Seconds()
			}
		}
	}
	if sampled > 0 {
		a.running = append(a.running, volume{
			queue: queue, group: group.Spec, seconds: seconds / float64(sampled) * float64(active), each: each, runs: group,
		})
	}
	return unfinished, idle
}

// precedes reports whether a job is placed before the submitted one, now or once that
// is late as well.
func (a *admission) precedes(other aheadJob) bool {
	switch {
	case other.lateness == expired:
		return false
	case other.priority != a.s.Queue.Priority:
		return other.priority < a.s.Queue.Priority
	case a.in.Policy.FairShares && other.queueKey != a.s.QueueKey:
		return false // the queue with the smaller share goes first, which may be the submitted job's
	}
	return other.density >= a.density
}

// workerRoom is what a worker has for tasks that end.
type workerRoom struct {
	worker *Worker
	left   resource.Vector // capacity without long-running tasks
	free   resource.Vector // that no run takes
	usable float64         // milli-cores for all tasks, best-effort ones included
	unused float64         // of them, that nothing claims
	cores  float64         // milli-cores that best-effort runs use, by the latest sample
}

// measureWorkers measures the workers of the service.
func (a *admission) measureWorkers() {
	for i := range a.in.Workers {
		w := &a.in.Workers[i]
		if w.Service != a.s.Queue.Service {
			continue
		}
		room := workerRoom{worker: w, left: w.Capacity, free: w.Capacity, usable: float64(w.Capacity.MilliCPU)}
		claimed := 0.0
		a.view.RunsOn(w.Key, func(_ jobs.RunID, group *jobs.Group) {
			need := demand(group.Spec)
			room.free = room.free.Sub(need)
			switch {
			case group.Spec.TargetLatencyMs > 0:
				room.left = room.left.Sub(need)
				room.usable -= avgServiceUtilization * float64(group.Spec.MilliCpu)
			case group.Spec.LongRunning:
				room.left = room.left.Sub(need)
				room.usable -= float64(group.Spec.MilliCpu)
			default:
				claimed += float64(group.Spec.MilliCpu)
			}
		})
		room.unused = room.usable - claimed
		for _, cores := range w.Sample.Cores {
			room.cores += 1000 * cores
		}
		a.workers = append(a.workers, room)
	}
}

// startsNow reports whether the groups that the job begins with find room at once:
// no smaller task waits that would have found it, and enough is free.
func (a *admission) startsNow() bool {
	for _, group := range a.s.Spec.GetGroups() {
		if len(group.DependsOn) == 0 && (a.smallerWaits(group) || a.freePlaces(group) < int64(group.Count)) {
			return false
		}
	}
	return true
}

// smallerWaits reports whether a task waits that demands no more than one of the group
// and may run where that may.
func (a *admission) smallerWaits(group *api.TaskGroup) bool {
	for i := range a.ahead {
		for _, v := range a.ahead[i].work {
			label := v.group.RequiredLabel
			if v.ready && v.group.BestEffort == group.BestEffort && (label == "" || label == group.RequiredLabel) &&
				size(v.group).Fits(size(group)) {
				return true
			}
		}
	}
	return false
}

// size returns the declared resources of a task.
func size(group *api.TaskGroup) resource.Vector {
	return resource.Vector{MilliCPU: group.MilliCpu, MemoryMiB: group.MemoryMib, Accelerators: group.Accelerators}
}

// freePlaces returns how many tasks of a group the open workers could take now.
func (a *admission) freePlaces(group *api.TaskGroup) (places int64) {
	for i := range a.workers {
		w := &a.workers[i]
		if !w.worker.Open || !w.worker.allows(a.s.Queue, group) {
			continue
		}
		free := w.free
		if group.BestEffort {
			free.MilliCPU = int64(w.unused)
		}
		places += timesIn(size(group), free)
	}
	return places
}

// timesIn returns how many times a demand fits into an amount, 0 or more.
func timesIn(need, amount resource.Vector) int64 {
	times := int64(1 << 20)
	for _, r := range [][2]int64{
		{need.MilliCPU, amount.MilliCPU}, {need.MemoryMiB, amount.MemoryMiB}, {need.Accelerators, amount.Accelerators},
	} {
		if r[0] > 0 {
			times = min(times, max(r[1], 0)/r[0])
		}
	}
	return times
}
