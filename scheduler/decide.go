package scheduler

import (
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// Limits of one call of Decide and of concurrent starts, stops and moves.
const (
	maxPlacements          = 256 // per call
	maxPreemptors          = 16  // pending tasks per call for which victims are sought
	maxStartingPerVM       = 8   // batch tasks on a VM that have not confirmed their start
	maxStoppingPerVM       = 6   // tasks on a VM that take their checkpoints at the same time
	rampTime               = time.Minute
	probeTime              = time.Minute // during which a batch task counts as recently started
	maxStartingOnRamp      = 2           // like maxStartingPerVM, for a VM that came into service within rampTime
	urgentGrace            = 1500 * time.Millisecond
	serviceGrace           = 10 * time.Second
	checkpointGrace        = 30 * time.Second
	longPending            = time.Minute // after which a pending instance no longer delays the drain of its service
	serviceStoppingDivisor = 4           // at most one in so many instances of a service is stopped at a time
)

// Decide returns the decisions to take now, in the order in which they are to
// be committed. It is deterministic.
func Decide(s *Snapshot) []Decision {
	c := newCycle(s)
	first, rest := c.order()
	c.ordinaryDue = len(rest)
	c.reserveForStopping()
	c.reserveForRebalance()
	c.schedulePending(first)
	c.drain()
	c.relieveMemory()
	c.relievePressure()
	c.rebalance()
	c.schedulePending(rest)
	return c.decisions
}

// cycle is the working state of one call of Decide: the snapshot, with the
// decisions made so far assumed to be in effect.
type cycle struct {
	s             *Snapshot
	vms           []vmView
	byID          map[string]int
	teams         map[string]*teamView
	jobs          map[string]*jobView // by job ID, filled on demand
	unplaceable   map[shape]bool      // shapes that did not fit on any VM in this call
	evicted       map[*Task]bool
	cpuInService  int64           // milli-CPU of the VMs in service, to compute slack
	rackCount     int             // racks with a schedulable VM; 0 until counted
	candidates    []candidate     // reused
	evictable     []*Task         // reused
	chosen        []*Task         // reused
	totalCapacity resource.Vector // capacity of the schedulable VMs
	totalFree     resource.Vector // free part of totalCapacity
	maxFree       amount          // component-wise upper bound of the free amount of a schedulable VM
	ordinaryDue   int             // number of due batch tasks that are not urgent
	budget        budget
	decisions     []Decision
}

// budget limits the work of one call.
type budget struct {
	placements   int
	preemptors   int // pending tasks for which victims are sought
	reservations int // VMs reserved for starved tasks
}

// vmView is a VM with its tasks, and with the placements and evictions
// decided so far.
type vmView struct {
	*VM
	vmLoad
	reserved amount  // part of the free amount that is reserved for waiting or moving tasks
	placed   []*Task // in this call
	rack     string  // cached by rackKey; empty until first used
}

type teamView struct {
	quota resource.Vector
	used  resource.Vector
}

// shape identifies tasks that fit on the same VMs.
type shape struct {
	job   string
	grant resource.Vector
}

func newCycle(s *Snapshot) *cycle {
	c := &cycle{
		s:           s,
		vms:         make([]vmView, len(s.VMs)),
		byID:        make(map[string]int, len(s.VMs)),
		teams:       make(map[string]*teamView, len(s.Teams)),
		jobs:        map[string]*jobView{},
		unplaceable: map[shape]bool{},
		evicted:     map[*Task]bool{},
		budget:      budget{maxPlacements, maxPreemptors, maxStarvedReservations},
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
		c.cpuInService += v.Capacity.MilliCPU
	}
	if v.schedulable() {
		c.maxFree = c.maxFree.max(v.free())
		c.totalCapacity = c.totalCapacity.Add(v.Capacity)
		c.totalFree = c.totalFree.Add(v.free().positive().grant)
	}
}

// schedulable reports whether the VM may take new tasks.
func (v *vmView) schedulable() bool {
	return v.InService && v.Fresh && !v.Draining && v.Quarantine != Quarantined
}

// evacuating reports whether the VM's tasks are to be moved away.
func (v *vmView) evacuating() bool { return !v.InService || v.Draining }

// free returns the amount that is neither committed nor reserved. Parts of it
// are negative on an overcommitted VM.
func (v *vmView) free() amount {
	return v.allocatable().sub(v.committed).sub(v.reserved)
}

// place adds a placement to the decisions and assumes it to be in effect.
func (c *cycle) place(t *Task, n int, reason Reason) {
	v := &c.vms[n]
	v.committed = v.committed.add(demandOf(t))
	v.starting++
	v.cores += usedCores(t)
	v.placed = append(v.placed, t)
	if team := c.teams[t.Team]; team != nil {
		team.used = team.used.Add(t.Grant)
	}
	if j := c.jobs[t.Job]; j != nil {
		j.count(t, v, false)
	}
	c.decisions = append(c.decisions, Decision{
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

// evict adds an eviction to the decisions and assumes that the task is
// stopping.
func (c *cycle) evict(t *Task, reason Reason, grace time.Duration, beneficiary string) {
	c.evicted[t] = true
	if n, ok := c.byID[t.VM]; ok {
		v := &c.vms[n]
		v.stopping++
		v.releasing = v.releasing.add(demandOf(t))
	}
	if j := c.jobs[t.Job]; j != nil {
		j.unavailable++
		j.running--
	}
	if team := c.teams[t.Team]; team != nil {
		team.used = team.used.Sub(t.Grant)
	}
	c.decisions = append(c.decisions, Decision{
		Action:      Evict,
		Task:        t.ID,
		Generation:  t.Generation,
		VM:          t.VM,
		Grace:       grace,
		Reason:      reason,
		Beneficiary: beneficiary,
	})
}

// stoppable reports whether the task may be asked to stop in this call.
func (c *cycle) stoppable(t *Task) bool {
	return (t.State == task.Running || t.State == task.Starting) && !c.evicted[t]
}
