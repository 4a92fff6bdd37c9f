package scheduler

import (
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// vmLoad summarises the tasks that hold a grant on a VM.
type vmLoad struct {
	tasks        []*Task
	used         resource.Vector // observed
	committed    amount          // held by the tasks
	releasing    amount          // part of committed that stopping tasks hold
	starting     int
	stopping     int
	services     int         // service instances
	recentStarts int         // batch tasks that started less than probeTime ago
	cores        float64     // used or expected to be used by the tasks
	pressures    []*Pressure // of the service instances
}

func (l *vmLoad) add(now time.Time, t *Task) {
	l.tasks = append(l.tasks, t)
	l.used = l.used.Add(t.Used)
	l.committed = l.committed.add(demandOf(t))
	l.cores += usedCores(t)
	if t.Class == task.LatencyCritical {
		l.services++
	} else if t.State == task.Running && now.Sub(t.Since) < probeTime {
		l.recentStarts++
	}
	if t.State == task.Starting {
		l.starting++
	}
	if t.stopRequested() {
		l.stopping++
		l.releasing = l.releasing.add(demandOf(t))
	}
}

// stopRequested reports whether the task was asked to stop.
func (t *Task) stopRequested() bool { return t.State == task.Stopping || t.State == task.Cancelling }

// loadsOf groups the tasks and pressures of a snapshot that was not made by a
// Learner by VM, and sums up the grants of each team.
func loadsOf(s *Snapshot, byID map[string]int) ([]vmLoad, map[string]resource.Vector) {
	loads := make([]vmLoad, len(s.VMs))
	used := map[string]resource.Vector{}
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if !t.stopRequested() {
			used[t.Team] = used[t.Team].Add(t.Grant)
		}
		if n, ok := byID[t.VM]; ok {
			loads[n].add(s.Now, t)
		}
	}
	for i := range s.Pressures {
		if n, ok := byID[s.Pressures[i].VM]; ok {
			loads[n].pressures = append(loads[n].pressures, &s.Pressures[i])
		}
	}
	return loads, used
}

// cachedLoad is a VM's load, kept for later snapshots.
type cachedLoad struct {
	version    uint64 // of the VM in the task table
	planNumber uint64
	computedAt time.Time
	dirty      bool // usage was reported or a decision committed since
	tasks      []Task
	pressures  []Pressure
	load       vmLoad
}

// maxLoadAge is how long a load may be reused when nothing changed on the VM:
// values that depend on the elapsed run time go out of date.
const maxLoadAge = 5 * time.Second

// load returns the VM's load, computed again when something changed on the VM
// or maxLoadAge has passed.
func (l *Learner) load(now time.Time, t *task.Table, vm string, jobs *jobCache) vmLoad {
	c := l.loads[vm]
	if c == nil {
		c = &cachedLoad{}
		l.loads[vm] = c
	}
	version, number := t.VMVersion(vm), t.PlanNumber()
	if c.version == version && c.planNumber == number && !c.dirty && now.Sub(c.computedAt) < maxLoadAge && !c.computedAt.IsZero() {
		return c.load
	}
	c.version, c.planNumber, c.computedAt, c.dirty = version, number, now, false
	l.rebuild(now, c, t.OnVM(vm), jobs)
	return c.load
}

// rebuild computes the load in new slices, because a previous snapshot may
// still refer to the old ones.
func (l *Learner) rebuild(now time.Time, c *cachedLoad, tasks []*task.Task, jobs *jobCache) {
	c.tasks = make([]Task, 0, len(tasks))
	c.pressures = nil
	c.load = vmLoad{tasks: make([]*Task, 0, len(tasks))}
	for _, k := range tasks {
		c.tasks = append(c.tasks, l.describe(now, k, jobs.get(k.Job)))
		l.addPressure(c, k)
	}
	for i := range c.tasks {
		c.load.add(now, &c.tasks[i])
	}
	for i := range c.pressures {
		c.load.pressures = append(c.load.pressures, &c.pressures[i])
	}
}

// invalidate marks the VM's cached load as out of date.
func (l *Learner) invalidate(vm string) {
	if c := l.loads[vm]; c != nil {
		c.dirty = true
	}
}
