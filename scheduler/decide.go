package scheduler

import (
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// Limits of one call of Decide and of the work in flight.
const (
	maxPlacements       = 256 // per call
	maxPreemptors       = 16  // pending tasks per call for which victims are sought
	maxStartingPerVM    = 8   // batch tasks of a VM that have not confirmed their start
	maxStoppingPerVM    = 6   // tasks of a VM that take a checkpoint at the same time
	rampTime            = time.Minute
	probationTime       = time.Minute // that a probe must run before the next one
	maxStartingOnRamp   = 2           // as maxStartingPerVM, for a VM that came into service within rampTime
	urgentGrace         = 1500 * time.Millisecond
	serviceGrace        = 10 * time.Second
	checkpointGrace     = 30 * time.Second
	longPending         = time.Minute // after which a pending instance no longer delays a drain
	serviceStoppingPart = 4           // at most one instance in so many of a service is moved away at once
)

// Decide returns the steps to take now, in the order in which they are to be
// committed. The same snapshot gives the same decisions.
func Decide(s *Snapshot) []Decision {
	c := newCycle(s)
	first, rest := c.order()
	c.keepRoomForStopping()
	c.schedulePending(first)
	c.drain()
	c.relieve()
	c.relievePressure()
	c.schedulePending(rest)
	return c.out
}

// cycle is the working state of one call of Decide: the snapshot with the
// decisions taken so far assumed to be in effect.
type cycle struct {
	s       *Snapshot
	vms     []vmView
	byID    map[string]int
	teams   map[string]*teamView
	jobs    map[string]*jobView
	noRoom  map[shape]bool // shapes that no VM took in this call
	evicted map[int]bool   // by index in s.Tasks
	batch   int64          // milli-CPU of VMs in service, for slack
	racks   int            // with a VM that takes work; 0 until counted
	scored  []candidate    // reused
	largest amount         // bound of the free part of any VM that takes work
	budget  budget
	out     []Decision
}

// budget bounds the work of one call.
type budget struct {
	placements int
	preemptors int // pending tasks for which victims are sought
	holds      int // VMs kept free for starved tasks
}

// vmView is a VM with what runs there and what is assumed to.
type vmView struct {
	*VM
	committed amount  // held by tasks
	releasing amount  // part of committed that is held by stopping tasks
	reserved  amount  // of the free part, kept for tasks that wait
	tasks     []int   // in s.Tasks
	residents []*Task // that run there or are placed in this call
	starting  int
	stopping  int
	services  int         // instances of services
	young     int         // batch tasks that started less than probationTime ago
	pressures []*Pressure // of its service instances, not answered yet
	cores     float64     // that the tasks are expected to use
}

type teamView struct {
	quota resource.Vector
	used  resource.Vector
}

// jobView counts the tasks of one job that hold a grant.
type jobView struct {
	total   int
	running int
	moving  int // stopping, starting, or pending for a short time
	byZone  map[string]int
	byRack  map[string]int
	byVM    map[string]int
}

// shape is what the filters look at; tasks of one shape fit the same VMs.
type shape struct {
	job   string
	grant resource.Vector
}

func newCycle(s *Snapshot) *cycle {
	c := &cycle{
		s:       s,
		vms:     make([]vmView, len(s.VMs)),
		byID:    make(map[string]int, len(s.VMs)),
		teams:   make(map[string]*teamView, len(s.Teams)),
		jobs:    map[string]*jobView{},
		noRoom:  map[shape]bool{},
		evicted: map[int]bool{},
		budget:  budget{maxPlacements, maxPreemptors, maxHolds},
	}
	for i := range s.VMs {
		c.vms[i].VM = &s.VMs[i]
		c.byID[s.VMs[i].ID] = i
		if s.VMs[i].InService {
			c.batch += s.VMs[i].Capacity.MilliCPU
		}
	}
	for i := range s.Teams {
		c.teams[s.Teams[i].Name] = &teamView{quota: s.Teams[i].Quota}
	}
	for i := range s.Tasks {
		c.addHolder(i)
	}
	for i := range s.Pending {
		c.addPending(&s.Pending[i])
	}
	for n := range c.vms {
		if v := &c.vms[n]; v.open() {
			c.largest = c.largest.max(v.free())
		}
	}
	return c
}

// addHolder enters a task of the snapshot that holds a grant.
func (c *cycle) addHolder(i int) {
	t := &c.s.Tasks[i]
	stopping := t.State == task.Stopping || t.State == task.Cancelling
	if team := c.teams[t.Team]; team != nil && !stopping {
		team.used = team.used.Add(t.Grant)
	}
	n, ok := c.byID[t.VM]
	if !ok {
		return
	}
	v := &c.vms[n]
	v.committed = v.committed.add(held(t))
	v.tasks = append(v.tasks, i)
	v.residents = append(v.residents, t)
	v.cores += cores(t)
	if t.Class == task.LatencyCritical {
		v.services++
	} else if t.State == task.Running && c.s.Now.Sub(t.Since) < probationTime {
		v.young++
	}
	if stopping {
		v.stopping++
		v.releasing = v.releasing.add(held(t))
	}
	if t.State == task.Starting {
		v.starting++
	}
	c.countJob(t, v)
}

// addPending counts the instances of services that are on their way to
// another VM. One that waits for long has nowhere to go and is not counted.
func (c *cycle) addPending(t *Task) {
	if t.Class == task.LatencyCritical && c.s.Now.Sub(t.Since) < longPending {
		c.job(t.Job).moving++
	}
}

// open reports whether the VM may take work at all.
func (v *vmView) open() bool {
	return v.InService && v.Fresh && !v.Draining && v.Quarantine != Quarantined
}

func (c *cycle) job(id string) *jobView {
	j := c.jobs[id]
	if j == nil {
		j = &jobView{}
		c.jobs[id] = j
	}
	return j
}

func (c *cycle) countJob(t *Task, v *vmView) {
	j := c.job(t.Job)
	j.total++
	if t.State == task.Running {
		j.running++
	} else {
		j.moving++
	}
	if t.Class != task.LatencyCritical {
		return
	}
	if j.byZone == nil {
		j.byZone = map[string]int{}
		j.byRack = map[string]int{}
		j.byVM = map[string]int{}
	}
	j.byZone[v.Zone]++
	j.byRack[v.rackKey()]++
	j.byVM[v.ID]++
}

// rackKey names a rack within its zone.
func (v *vmView) rackKey() string { return v.Zone + "/" + v.Rack }

// free returns what the VM can take now, less what is kept for others.
func (v *vmView) free() amount {
	return v.whole().sub(v.committed).sub(v.reserved)
}

// place decides a placement and assumes it.
func (c *cycle) place(t *Task, n int, reason Reason) {
	v := &c.vms[n]
	v.committed = v.committed.add(held(t))
	v.starting++
	v.cores += cores(t)
	v.residents = append(v.residents, t)
	if team := c.teams[t.Team]; team != nil {
		team.used = team.used.Add(t.Grant)
	}
	c.countJob(t, v)
	c.out = append(c.out, Decision{
		Action:     Place,
		Task:       t.ID,
		Generation: t.Generation + 1,
		VM:         v.ID,
		Zone:       v.Zone,
		Capacity:   v.Capacity,
		Grant:      t.Grant,
		Reason:     reason,
	})
}

// evict decides an eviction and assumes that the task is stopping.
func (c *cycle) evict(i int, reason Reason, grace time.Duration, forTask string) {
	t := &c.s.Tasks[i]
	c.evicted[i] = true
	if n, ok := c.byID[t.VM]; ok {
		v := &c.vms[n]
		v.stopping++
		v.releasing = v.releasing.add(held(t))
	}
	j := c.job(t.Job)
	j.moving++
	j.running--
	if team := c.teams[t.Team]; team != nil {
		team.used = team.used.Sub(t.Grant)
	}
	c.out = append(c.out, Decision{
		Action:     Evict,
		Task:       t.ID,
		Generation: t.Generation,
		VM:         t.VM,
		Grace:      grace,
		Reason:     reason,
		For:        forTask,
	})
}

// movable reports whether the task may be asked to stop in this call.
func (c *cycle) movable(i int) bool {
	t := &c.s.Tasks[i]
	return !c.evicted[i] && (t.State == task.Running || t.State == task.Starting)
}
