package task

import (
	"sort"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/resource"
)

// Errors of Place and RequestEvict.
var (
	ErrUnknownTask = fault.New(fault.NotFound, "no such task")
	ErrNotPending  = fault.New(fault.Conflict, "the task is not pending")
	ErrSuperseded  = fault.New(fault.Stale, "the generation is superseded")
	ErrZoneOut     = fault.New(fault.Conflict, "the availability zone is out of service")
	ErrNoCapacity  = fault.New(fault.Conflict, "the VM cannot hold the grant")
	ErrNotRunning  = fault.New(fault.Conflict, "the task is not running")
)

// Table is the state of all jobs and tasks. It is not safe for concurrent use.
type Table struct {
	planNumber      uint64
	day             string
	jobs            map[string]*Job
	tasks           map[string]*Task
	vms             map[string]*vmState
	zonesOut        map[string]bool
	pending         []*Task // unordered
	lastVersion     uint64  // the highest vmState.version assigned
	generationFloor uint64  // highest generation of the removed tasks; new tasks start above it
}

type vmState struct {
	committed resource.Vector
	version   uint64  // version of the last change to one of the VM's tasks
	tasks     []*Task // unordered
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		jobs:     map[string]*Job{},
		tasks:    map[string]*Task{},
		vms:      map[string]*vmState{},
		zonesOut: map[string]bool{},
	}
}

// PlanNumber returns the number of the plan in force, 0 before the first.
func (t *Table) PlanNumber() uint64 { return t.planNumber }

// Task returns the task with the ID, or nil. The caller must not modify it.
func (t *Table) Task(id string) *Task { return t.tasks[id] }

// Job returns the job with the ID, or nil. The caller must not modify it.
func (t *Table) Job(id string) *Job { return t.jobs[id] }

// Jobs returns all jobs, ordered by ID.
func (t *Table) Jobs() []*Job {
	jobs := make([]*Job, 0, len(t.jobs))
	for _, j := range t.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].ID < jobs[b].ID })
	return jobs
}

// Pending returns the tasks that wait for a VM, in no particular order. The caller
// must neither modify nor keep the slice.
func (t *Table) Pending() []*Task { return t.pending }

// OnVM returns the tasks that hold a grant on the VM, in no particular order. The
// caller must neither modify nor keep the slice.
func (t *Table) OnVM(vm string) []*Task {
	if s := t.vms[vm]; s != nil {
		return s.tasks
	}
	return nil
}

// VMVersion returns a number that changes whenever a task on the VM changes. It is 0
// if no task holds a grant on the VM.
func (t *Table) VMVersion(vm string) uint64 {
	if s := t.vms[vm]; s != nil {
		return s.version
	}
	return 0
}

// TeamGrants returns, by team, the sum of the grants of starting and running tasks.
func (t *Table) TeamGrants() map[string]resource.Vector {
	used := map[string]resource.Vector{}
	for _, j := range t.jobs {
		if !j.active.IsZero() {
			used[j.Team] = used[j.Team].Add(j.active)
		}
	}
	return used
}

// GrantCount returns the number of tasks that hold a grant on a VM.
func (t *Table) GrantCount() int {
	count := 0
	for _, vm := range t.vms {
		count += len(vm.tasks)
	}
	return count
}

// VMs returns the ids of the VMs on which a task holds a grant, sorted.
func (t *Table) VMs() []string {
	vms := make([]string, 0, len(t.vms))
	for vm, s := range t.vms {
		if len(s.tasks) > 0 {
			vms = append(vms, vm)
		}
	}
	sort.Strings(vms)
	return vms
}

// Committed returns the sum of all grants on the VM: those of starting, running,
// stopping and cancelling tasks.
func (t *Table) Committed(vm string) resource.Vector {
	if s := t.vms[vm]; s != nil {
		return s.committed
	}
	return resource.Vector{}
}

// Owns reports whether the current run of the task, with this generation, is on
// the VM. An agent that reports a run that its VM does not own must stop it.
func (t *Table) Owns(vm, id string, generation uint64) bool {
	k := t.tasks[id]
	return k != nil && k.State.HoldsGrant() && k.VM == vm && k.Generation == generation
}

// SetZone records whether the availability zone is in service. Place refuses VMs
// of a zone that is out of service.
func (t *Table) SetZone(zone string, inService bool) {
	if inService {
		delete(t.zonesOut, zone)
		return
	}
	t.zonesOut[zone] = true
}

// Place commits the next run of a task to a VM. It checks the placement against
// the current state, which may have changed since the decision. It returns
// ErrUnknownTask, ErrNotPending, ErrSuperseded, ErrZoneOut or ErrNoCapacity.
func (t *Table) Place(now time.Time, p Placement) error {
	k := t.tasks[p.Task]
	if k == nil {
		return ErrUnknownTask
	}
	if p.Generation != k.Generation+1 {
		return ErrSuperseded
	}
	if k.State != Pending {
		return ErrNotPending
	}
	if t.zonesOut[p.Zone] {
		return ErrZoneOut
	}
	if !t.Committed(p.VM).Add(p.Grant).Fits(p.Capacity) {
		return ErrNoCapacity
	}
	k.Generation = p.Generation
	k.VM = p.VM
	k.Grant = p.Grant
	k.ResumedProgress = k.Progress
	k.Started = time.Time{}
	t.transition(now, k, eventPlace)
	return nil
}

// RequestEvict requests that a run takes a checkpoint and stops. It returns
// ErrUnknownTask, ErrSuperseded or ErrNotRunning. A repeated request is not an
// error.
func (t *Table) RequestEvict(now time.Time, id string, generation uint64, reason string) error {
	k := t.tasks[id]
	if k == nil {
		return ErrUnknownTask
	}
	if k.Generation != generation {
		return ErrSuperseded
	}
	if k.State == Stopping || k.State == Cancelling {
		return nil
	}
	if !t.transition(now, k, eventStop) {
		return ErrNotRunning
	}
	k.StopReason = reason
	return nil
}

// VMLost ends the runs on a VM and returns their number. Tasks that are still
// wanted become Pending and resume from their last committed checkpoint. The
// caller must have waited until the VM's lease expired, or the VM must have
// confirmed that nothing runs.
func (t *Table) VMLost(now time.Time, vm string) int {
	s := t.vms[vm]
	if s == nil {
		return 0
	}
	lost := append([]*Task(nil), s.tasks...)
	for _, k := range lost {
		k.Losses++
		t.transition(now, k, eventVMLost)
	}
	return len(lost)
}

// CancelJob cancels each task of a job. A task that holds a grant is Cancelling
// until its VM confirms the stop. It reports whether the job exists.
func (t *Table) CancelJob(now time.Time, jobID string) bool {
	j := t.jobs[jobID]
	if j == nil {
		return false
	}
	t.resize(now, j, 0)
	return true
}

// transition applies an event to a task by the transition table and updates the
// indexes. It reports whether the event is valid in the task's state.
func (t *Table) transition(now time.Time, k *Task, e event) bool {
	to, ok := k.State.next(e)
	if !ok {
		return false
	}
	from := k.State
	k.State = to
	k.Since = now
	if from == Pending {
		t.removePending(k)
	}
	if from.active() {
		k.Job.active = k.Job.active.Sub(k.Grant)
	}
	if to.active() {
		k.Job.active = k.Job.active.Add(k.Grant)
	}
	if to == Pending {
		t.addPending(k)
	}
	if !from.HoldsGrant() && to.HoldsGrant() {
		t.addGrant(k)
	}
	if to.HoldsGrant() {
		t.bumpVersion(k.VM)
	}
	if from.HoldsGrant() && !to.HoldsGrant() {
		t.removeGrant(k)
	}
	return true
}

// bumpVersion gives the VM a new version after a change to one of its tasks.
func (t *Table) bumpVersion(vm string) {
	t.lastVersion++
	t.vms[vm].version = t.lastVersion
}

func (t *Table) addPending(k *Task) {
	k.pendingIndex = len(t.pending)
	t.pending = append(t.pending, k)
}

func (t *Table) removePending(k *Task) {
	last := len(t.pending) - 1
	moved := t.pending[last]
	t.pending[k.pendingIndex] = moved
	moved.pendingIndex = k.pendingIndex
	t.pending[last] = nil
	t.pending = t.pending[:last]
	k.pendingIndex = -1
}

func (t *Table) addGrant(k *Task) {
	s := t.vms[k.VM]
	if s == nil {
		s = &vmState{}
		t.vms[k.VM] = s
	}
	s.committed = s.committed.Add(k.Grant)
	k.vmIndex = len(s.tasks)
	s.tasks = append(s.tasks, k)
}

func (t *Table) removeGrant(k *Task) {
	s := t.vms[k.VM]
	s.committed = s.committed.Sub(k.Grant)
	last := len(s.tasks) - 1
	moved := s.tasks[last]
	s.tasks[k.vmIndex] = moved
	moved.vmIndex = k.vmIndex
	s.tasks[last] = nil
	s.tasks = s.tasks[:last]
	t.bumpVersion(k.VM)
	if last == 0 {
		delete(t.vms, k.VM)
	}
	k.vmIndex = -1
	k.Grant = resource.Vector{}
}
