package scheduler

import (
	"time"

	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/scheduler/health"
	"amaranthpaddle/task"
)

// Snapshot returns what Decide needs, from the replicated state, the fleet
// and what was learnt. vms must hold each VM on which a task holds a grant,
// lost ones with Fresh unset; Quarantine is filled in here. The result is
// valid until the next call.
func (l *Learner) Snapshot(now time.Time, p *plan.DayPlan, t *task.Table, vms []VM) *Snapshot {
	l.review(now, t, vms)
	s := &l.snapshot
	*s = Snapshot{
		Now:           now,
		LatencyWeight: p.LatencyWeight,
		VMs:           append(s.VMs[:0], vms...),
		Pending:       s.Pending[:0],
		Teams:         s.Teams[:0],
		loads:         s.loads[:0],
		teamUse:       t.TeamUse(),
		Harm:          l.harm.View(),
		MovesLeft:     l.budget.left(),
		SpreadsLeft:   l.spreadsLeft(now),
		SpreadVMs:     l.spreads.full(len(vms)),
	}
	for _, team := range p.Teams {
		s.Teams = append(s.Teams, Team{Name: team.Name, Quota: team.Quota})
	}
	jobs := newJobFacts(l, vms)
	for i := range s.VMs {
		v := &s.VMs[i]
		l.noteOut(v, now)
		v.Quarantine = quarantine(l.health.State(v.ID))
		s.loads = append(s.loads, l.load(now, t, v.ID, jobs))
	}
	l.addPending(s, t, jobs)
	return s
}

// addPending describes the pending tasks, of each job no more than one
// decision can place.
func (l *Learner) addPending(s *Snapshot, t *task.Table, jobs *jobFacts) {
	for _, k := range t.Pending() {
		f := jobs.of(k.Job)
		described := &f.due
		if k.NotBefore.After(s.Now) {
			described = &f.notDue
		}
		if *described >= maxPlacements {
			continue
		}
		*described++
		s.Pending = append(s.Pending, l.describe(s.Now, k, f))
	}
}

func (l *Learner) review(now time.Time, t *task.Table, vms []VM) {
	if t != l.table {
		l.table = t
		clear(l.loads)
	}
	l.sweep(now)
	l.budget.refill(now, len(vms))
	l.spreads.refill(now, len(vms))
	l.fleet = l.fleet[:0]
	for i := range vms {
		l.fleet = append(l.fleet, vms[i].ID)
	}
	l.health.Review(now, l.fleet, func(job string) bool {
		j := t.Job(job)
		return j == nil || j.Failing()
	})
}

// noteOut fills in since when the VM's zone has been out of service.
func (l *Learner) noteOut(v *VM, now time.Time) {
	if v.InService {
		delete(l.outSince, v.ID)
		return
	}
	if _, ok := l.outSince[v.ID]; !ok {
		l.outSince[v.ID] = now
	}
	if v.OutSince.IsZero() {
		v.OutSince = l.outSince[v.ID]
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

// jobFacts caches, during one Snapshot, what all tasks of a job share.
type jobFacts struct {
	l       *Learner
	largest resource.Vector // component-wise, of any VM
	facts   map[*task.Job]*facts
	last    *task.Job // asked for, with its facts
	lastOf  *facts
}

type facts struct {
	need    resource.Vector
	grant   resource.Vector
	untried bool
	// due and notDue count the job's pending tasks in the snapshot.
	due, notDue int
	runTime     time.Duration
	work        time.Duration
}

func newJobFacts(l *Learner, vms []VM) *jobFacts {
	f := &jobFacts{l: l, facts: map[*task.Job]*facts{}}
	for i := range vms {
		f.largest = f.largest.Max(vms[i].Capacity)
	}
	return f
}

func (f *jobFacts) of(j *task.Job) *facts {
	if j == f.last {
		return f.lastOf
	}
	n := f.facts[j]
	if n == nil {
		n = f.gather(j)
		f.facts[j] = n
	}
	f.last, f.lastOf = j, n
	return n
}

func (f *jobFacts) gather(j *task.Job) *facts {
	n := &facts{
		need:    f.need(j),
		untried: !f.l.sizes.Seen(j.ID),
		runTime: f.l.sizes.RunTime(j.ID, j.RunTime),
	}
	n.grant = grantFor(j, n.need, n.untried)
	n.work = n.runTime * time.Duration(max(j.Wanted-j.Finished, 0))
	return n
}

// need returns the expected use of a task of the job. A learnt size never
// makes a task too large for every VM.
func (f *jobFacts) need(j *task.Job) resource.Vector {
	size := f.l.sizes.Size(j.ID, j.Size)
	size = size.Min(f.largest.Max(j.Size))
	size.MilliCPU = min(size.MilliCPU, int64(usableCPU*float64(f.largest.MilliCPU)))
	return size
}

// batchGuarantee is the share of its expected processor time that a batch
// task is granted. The rest it gets while others leave it free.
const batchGuarantee = 0.75

// grantFor returns the grant to ask for. A service instance never gets less
// than declared: its use follows its callers.
func grantFor(j *task.Job, need resource.Vector, untried bool) resource.Vector {
	if j.Class == task.LatencyCritical {
		return need.Max(j.Size)
	}
	if untried {
		return j.Size
	}
	need.MilliCPU = int64(batchGuarantee * float64(need.MilliCPU))
	return need
}

func (l *Learner) describe(now time.Time, k *task.Task, f *facts) Task {
	j := k.Job
	d := Task{
		Need: f.need, Untried: f.untried,
		ID: k.ID, Job: j.ID, Team: j.Team, Class: j.Class,
		State: k.State, Generation: k.Generation, VM: k.VM, Grant: k.Grant,
		Priority: j.Priority, Deadline: j.Deadline,
		Remaining: time.Duration(float64(f.runTime) * (1 - k.Progress)),
		JobWork:   f.work, NotBefore: k.NotBefore, Since: k.Since,
		Movable: true, Trial: j.Failing(), Avoid: j.FailedVMs,
	}
	if j.NotBefore.After(d.NotBefore) {
		d.NotBefore = j.NotBefore
	}
	if k.State == task.Pending {
		d.Grant = f.grant
		d.VM = ""
		return d
	}
	d.AtRisk = atRisk(now, k)
	d.Remaining = max(d.Remaining-d.AtRisk, f.runTime/leastRemaining)
	if r := l.runs[k.ID]; r != nil && r.generation == k.Generation {
		d.Used = r.used
		d.Throttle = r.throttle
		d.Movable = now.Sub(r.moved) > moveCooldown
	}
	return d
}

// leastRemaining bounds from below what is left of a running task that takes
// longer than expected: one part in so many of its run time.
const leastRemaining = 10

// atRisk returns the run time since the last checkpoint or the start.
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

func (l *Learner) addPressure(c *vmCache, k *task.Task) {
	if k.Job.Class != task.LatencyCritical || k.State != task.Running {
		return
	}
	r := l.runs[k.ID]
	if r != nil && r.generation == k.Generation && r.pressure.Task != "" {
		c.pressures = append(c.pressures, r.pressure)
	}
}
