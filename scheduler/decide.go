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
	c.waiting = len(rest)
	c.keepRoomForStopping()
	c.keepRoomForSpread()
	c.schedulePending(first)
	c.drain()
	c.relieve()
	c.relievePressure()
	c.rebalance()
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
	jobs    map[string]*jobView // of the jobs asked for so far
	noRoom  map[shape]bool      // shapes that no VM took in this call
	evicted map[*Task]bool
	cpu     int64           // milli-CPU of the VMs in service, for slack
	racks   int             // with a VM that takes work; 0 until counted
	scored  []candidate     // reused
	able    []*Task         // reused
	chosen  []*Task         // reused
	whole   resource.Vector // capacity of the VMs that take work
	spare   resource.Vector // free part of whole
	largest amount          // bound of the free part of any VM that takes work
	waiting int             // ordinary batch tasks that are due
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
	vmLoad
	reserved amount  // of the free part, kept for tasks that wait
	placed   []*Task // in this call
	rack     string  // see rackKey; empty until asked for
}

type teamView struct {
	quota resource.Vector
	used  resource.Vector
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
		evicted: map[*Task]bool{},
		budget:  budget{maxPlacements, maxPreemptors, maxHolds},
	}
	for i := range s.VMs {
		c.byID[s.VMs[i].ID] = i
	}
	loads, used := s.loads, s.teamUse
	if loads == nil {
		loads, used = loadsOf(s, c.byID)
	}
	for i := range s.VMs {
		c.addVM(i, &s.VMs[i], loads[i])
	}
	for i := range s.Teams {
		team := &s.Teams[i]
		c.teams[team.Name] = &teamView{quota: team.Quota, used: used[team.Name]}
	}
	return c
}

func (c *cycle) addVM(i int, vm *VM, load vmLoad) {
	v := &c.vms[i]
	v.VM = vm
	v.vmLoad = load
	if v.InService {
		c.cpu += v.Capacity.MilliCPU
	}
	if v.open() {
		c.largest = c.largest.max(v.free())
		c.whole = c.whole.Add(v.Capacity)
		c.spare = c.spare.Add(v.free().positive().grant)
	}
}

// open reports whether the VM may take work at all.
func (v *vmView) open() bool {
	return v.InService && v.Fresh && !v.Draining && v.Quarantine != Quarantined
}

// leaves reports whether the VM's work is to be moved away.
func (v *vmView) leaves() bool { return !v.InService || v.Draining }

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
	v.placed = append(v.placed, t)
	if team := c.teams[t.Team]; team != nil {
		team.used = team.used.Add(t.Grant)
	}
	if j := c.jobs[t.Job]; j != nil {
		j.count(t, v, false)
	}
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
func (c *cycle) evict(t *Task, reason Reason, grace time.Duration, forTask string) {
	c.evicted[t] = true
	if n, ok := c.byID[t.VM]; ok {
		v := &c.vms[n]
		v.stopping++
		v.releasing = v.releasing.add(held(t))
	}
	if j := c.jobs[t.Job]; j != nil {
		j.moving++
		j.running--
	}
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
func (c *cycle) movable(t *Task) bool {
	return (t.State == task.Running || t.State == task.Starting) && !c.evicted[t]
}
