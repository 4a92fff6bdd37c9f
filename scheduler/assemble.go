package scheduler

import (
	"time"

	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/scheduler/health"
	"amaranthpaddle/task"
)

// Snapshot returns the input of Decide, made from the replicated task table,
// the VMs and the observations. vms must contain each VM on which a task
// holds a grant, and a lost VM with Fresh unset; Quarantine is filled in
// here. The result is valid until the next call.
func (l *Learner) Snapshot(now time.Time, p *plan.DayPlan, t *task.Table, vms []VM) *Snapshot {
	l.refresh(now, t, vms)
	s := &l.snapshot
	*s = Snapshot{
		Now:                  now,
		LatencyWeight:        p.LatencyWeight,
		VMs:                  append(s.VMs[:0], vms...),
		Pending:              s.Pending[:0],
		Teams:                s.Teams[:0],
		loads:                s.loads[:0],
		teamUse:              t.TeamGrants(),
		Interference:         l.interference.View(),
		EvictionsLeft:        l.evictionBudget.available(),
		RebalancesLeft:       l.rebalancesLeft(now),
		RebalanceWithinZones: l.rebalanceBudget.full(len(vms)),
	}
	for _, team := range p.Teams {
		s.Teams = append(s.Teams, Team{Name: team.Name, Quota: team.Quota})
	}
	jobs := newJobCache(l, vms)
	for i := range s.VMs {
		v := &s.VMs[i]
		l.recordOutage(v, now)
		v.Quarantine = quarantine(l.health.State(v.ID))
		s.loads = append(s.loads, l.load(now, t, v.ID, jobs))
	}
	l.addPending(s, t, jobs)
	return s
}

// addPending adds the pending tasks to the snapshot, of each job at most as
// many due and as many backed-off ones as one call of Decide can place.
func (l *Learner) addPending(s *Snapshot, t *task.Table, jobs *jobCache) {
	for _, k := range t.Pending() {
		info := jobs.get(k.Job)
		described := &info.due
		if k.NotBefore.After(s.Now) {
			described = &info.notDue
		}
		if *described >= maxPlacements {
			continue
		}
		*described++
		s.Pending = append(s.Pending, l.describe(s.Now, k, info))
	}
}

func (l *Learner) refresh(now time.Time, t *task.Table, vms []VM) {
	if t != l.cachedTable {
		l.cachedTable = t
		clear(l.loads)
	}
	l.sweep(now)
	l.evictionBudget.refill(now, len(vms))
	l.rebalanceBudget.refill(now, len(vms))
	l.vmIDs = l.vmIDs[:0]
	for i := range vms {
		l.vmIDs = append(l.vmIDs, vms[i].ID)
	}
	l.health.Review(now, l.vmIDs, func(job string) bool {
		j := t.Job(job)
		return j == nil || j.Failing()
	})
}

// recordOutage records since when the VM's zone has been out of service, and
// fills in OutOfServiceSince if it is not set.
func (l *Learner) recordOutage(v *VM, now time.Time) {
	if v.InService {
		delete(l.outSince, v.ID)
		return
	}
	if _, ok := l.outSince[v.ID]; !ok {
		l.outSince[v.ID] = now
	}
	if v.OutOfServiceSince.IsZero() {
		v.OutOfServiceSince = l.outSince[v.ID]
	}
}

func quarantine(s health.State) Quarantine {
	switch s {
	case health.Quarantined:
		return Quarantined
	case health.Probation:
		return Probation
	}
	return Trusted
}

// jobCache caches, during one call of Snapshot, what all tasks of a job have
// in common.
type jobCache struct {
	l        *Learner
	largest  resource.Vector // component-wise maximum over all VMs
	entries  map[*task.Job]*jobInfo
	lastJob  *task.Job // the last one looked up, and its entry
	lastInfo *jobInfo
}

type jobInfo struct {
	need       resource.Vector
	grant      resource.Vector
	unobserved bool
	// due and notDue count the job's pending tasks in the snapshot, whose
	// backoff is over or not.
	due, notDue int
	runTime     time.Duration
	work        time.Duration
}

func newJobCache(l *Learner, vms []VM) *jobCache {
	c := &jobCache{l: l, entries: map[*task.Job]*jobInfo{}}
	for i := range vms {
		c.largest = c.largest.Max(vms[i].Capacity)
	}
	return c
}

func (c *jobCache) get(j *task.Job) *jobInfo {
	if j == c.lastJob {
		return c.lastInfo
	}
	info := c.entries[j]
	if info == nil {
		info = c.compute(j)
		c.entries[j] = info
	}
	c.lastJob, c.lastInfo = j, info
	return info
}

func (c *jobCache) compute(j *task.Job) *jobInfo {
	info := &jobInfo{
		need:       c.need(j),
		unobserved: !c.l.sizes.HasUse(j.ID),
		runTime:    c.l.sizes.RunTime(j.ID, j.RunTime),
	}
	info.grant = grantFor(j, info.need, info.unobserved)
	info.work = info.runTime * time.Duration(max(j.Wanted-j.Finished, 0))
	return info
}

// need returns the expected use of a task of the job. An estimate above the
// capacity of every VM is capped, so that the task stays schedulable.
func (c *jobCache) need(j *task.Job) resource.Vector {
	size := c.l.sizes.Size(j.ID, j.Size)
	size = size.Min(c.largest.Max(j.Size))
	size.MilliCPU = min(size.MilliCPU, int64(maxCPUUtilization*float64(c.largest.MilliCPU)))
	return size
}

// batchGrantRatio is the ratio of granted to expected CPU of a batch task.
// The task gets the rest while other tasks leave CPU idle.
const batchGrantRatio = 0.75

// grantFor returns the grant to request. A service instance never gets less
// than its declared size, because its use follows the load from its callers.
func grantFor(j *task.Job, need resource.Vector, unobserved bool) resource.Vector {
	if j.Class == task.LatencyCritical {
		return need.Max(j.Size)
	}
	if unobserved {
		return j.Size
	}
	need.MilliCPU = int64(batchGrantRatio * float64(need.MilliCPU))
	return need
}

func (l *Learner) describe(now time.Time, k *task.Task, info *jobInfo) Task {
	j := k.Job
	d := Task{
		Need: info.need, Unobserved: info.unobserved,
		ID: k.ID, Job: j.ID, Team: j.Team, Class: j.Class,
		State: k.State, Generation: k.Generation, VM: k.VM, Grant: k.Grant,
		Priority: j.Priority, Deadline: j.Deadline,
		Remaining: time.Duration(float64(info.runTime) * (1 - k.Progress)),
		JobWork:   info.work, NotBefore: k.NotBefore, Since: k.Since,
		Movable: true, Trial: j.Failing(), Avoid: j.FailedVMs,
	}
	if j.NotBefore.After(d.NotBefore) {
		d.NotBefore = j.NotBefore
	}
	if k.State == task.Pending {
		d.Grant = info.grant
		d.VM = ""
		return d
	}
	d.AtRisk = atRisk(now, k)
	d.Remaining = max(d.Remaining-d.AtRisk, info.runTime/minRemainingDivisor)
	if r := l.runs[k.ID]; r != nil && r.generation == k.Generation {
		d.Used = r.used
		d.Throttle = r.throttle
		d.Movable = now.Sub(r.movedAt) > moveCooldown
	}
	return d
}

// minRemainingDivisor limits the estimated remaining time of a running task
// that takes longer than expected to at least its run time divided by this.
const minRemainingDivisor = 10

// atRisk returns the run time since the last checkpoint, or since the start
// if there is none.
func atRisk(now time.Time, k *task.Task) time.Duration {
	if k.State != task.Running {
		return 0
	}
	from := k.Started
	if k.SavedAt.After(from) {
		from = k.SavedAt
	}
	return max(now.Sub(from), 0)
}

func (l *Learner) addPressure(c *cachedLoad, k *task.Task) {
	if k.Job.Class != task.LatencyCritical || k.State != task.Running {
		return
	}
	r := l.runs[k.ID]
	if r != nil && r.generation == k.Generation && r.pressure.Task != "" {
		c.pressures = append(c.pressures, r.pressure)
	}
}
