package scheduler

import (
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// vmLoad sums up what holds a grant on a VM.
type vmLoad struct {
	tasks     []*Task
	used      resource.Vector // observed
	committed amount          // held by the tasks
	releasing amount          // part of committed that is held by stopping tasks
	starting  int
	stopping  int
	services  int         // instances of services
	young     int         // batch tasks that started less than probationTime ago
	cores     float64     // that the tasks are expected to use
	pressures []*Pressure // of the instances of services
}

func (l *vmLoad) add(now time.Time, t *Task) {
	l.tasks = append(l.tasks, t)
	l.used = l.used.Add(t.Used)
	l.committed = l.committed.add(held(t))
	l.cores += cores(t)
	if t.Class == task.LatencyCritical {
		l.services++
	} else if t.State == task.Running && now.Sub(t.Since) < probationTime {
		l.young++
	}
	if t.State == task.Starting {
		l.starting++
	}
	if t.stops() {
		l.stopping++
		l.releasing = l.releasing.add(held(t))
	}
}

// stops reports whether the task was asked to stop.
func (t *Task) stops() bool { return t.State == task.Stopping || t.State == task.Cancelling }

// loadsOf groups the tasks and pressures of a snapshot that was put together
// by hand, and sums up the grants of the teams.
func loadsOf(s *Snapshot, byID map[string]int) ([]vmLoad, map[string]resource.Vector) {
	loads := make([]vmLoad, len(s.VMs))
	used := map[string]resource.Vector{}
	for i := range s.Tasks {
		t := &s.Tasks[i]
		if !t.stops() {
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

// vmCache is a VM's load as a Learner made it for earlier snapshots.
type vmCache struct {
	version   uint64 // of the VM in the table
	plan      uint64 // number of the plan
	made      time.Time
	dirty     bool // usage or a decision came since
	tasks     []Task
	pressures []Pressure
	load      vmLoad
}

// loadAge is how long a load may be used though nothing changed on the VM:
// run times go on.
const loadAge = 5 * time.Second

// load returns the VM's load, made anew when something changed on the VM.
func (l *Learner) load(now time.Time, t *task.Table, vm string, jobs *jobFacts) vmLoad {
	c := l.loads[vm]
	if c == nil {
		c = &vmCache{}
		l.loads[vm] = c
	}
	version, number := t.VMVersion(vm), t.PlanNumber()
	if c.version == version && c.plan == number && !c.dirty && now.Sub(c.made) < loadAge && !c.made.IsZero() {
		return c.load
	}
	c.version, c.plan, c.made, c.dirty = version, number, now, false
	l.fill(now, c, t.OnVM(vm), jobs)
	return c.load
}

// fill describes the tasks in new slices: the old ones may still be in use
// by a decision.
func (l *Learner) fill(now time.Time, c *vmCache, tasks []*task.Task, jobs *jobFacts) {
	c.tasks = make([]Task, 0, len(tasks))
	c.pressures = nil
	c.load = vmLoad{tasks: make([]*Task, 0, len(tasks))}
	for _, k := range tasks {
		c.tasks = append(c.tasks, l.describe(now, k, jobs.of(k.Job)))
		l.addPressure(c, k)
	}
	for i := range c.tasks {
		c.load.add(now, &c.tasks[i])
	}
	for i := range c.pressures {
		c.load.pressures = append(c.load.pressures, &c.pressures[i])
	}
}

// changed marks the VM's load as out of date.
func (l *Learner) changed(vm string) {
	if c := l.loads[vm]; c != nil {
		c.dirty = true
	}
}
