package control

import (
	"net/http"
	"sort"
	"time"

	"amaranthpaddle/fleet"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/resource"
	"amaranthpaddle/scheduler"
	"amaranthpaddle/task"
)

func (s *Server) getStatus(r *http.Request) (any, error) {
	if err := s.confirmAsLeader(r.Context()); err != nil {
		return nil, err
	}
	status := s.state.status()
	node := s.config.Node.Status()
	status.Time = time.Now().UTC()
	status.Leader, status.Term = node.Leader, node.Term
	status.Watchers = s.watcherStatus()
	now := time.Now()
	observed := s.scheduling.observedVMs()
	for i := range status.VMs {
		vm := &status.VMs[i]
		vm.LeaseMillis = s.leases.remaining(vm.ID, now).Milliseconds()
		vm.Used = operatorResources(observed[vm.ID].used)
		if vm.State == operatorapi.VMReady && observed[vm.ID].quarantined {
			vm.State = operatorapi.VMQuarantined
		}
	}
	return status, nil
}

// watcherStatus returns the directory revision that each agent and entry last reported.
func (s *Server) watcherStatus() []operatorapi.WatcherStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []operatorapi.WatcherStatus
	for vm, session := range s.sessions {
		list = append(list, operatorapi.WatcherStatus{Name: vm, Kind: operatorapi.WatcherAgent, Revision: session.view.revision})
	}
	for name, entry := range s.entries {
		list = append(list, operatorapi.WatcherStatus{Name: name, Kind: operatorapi.WatcherEntry, Revision: entry.revision})
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name < list[b].Name })
	return list
}

// status returns the part of the status that comes from replicated state.
func (s *State) status() *operatorapi.Status {
	s.mu.RLock()
	defer s.mu.RUnlock()
	status := &operatorapi.Status{
		Revision:   s.directory().Revision(),
		PlanNumber: s.accepted.latest().Number,
	}
	s.addVMStatus(status)
	s.addServiceStatus(status)
	unplaceable := s.unplaceableJobs()
	for _, j := range s.tasks.Jobs() {
		if j.Class == task.Batch {
			status.Jobs = append(status.Jobs, jobStatus(j, unplaceable[j.Name]))
		}
	}
	return status
}

func (s *State) addVMStatus(status *operatorapi.Status) {
	zones := map[string]*operatorapi.ZoneStatus{}
	for _, z := range s.directory().Zones() {
		zones[z.Name] = &operatorapi.ZoneStatus{Name: z.Name, Region: z.Region, InService: z.InService}
	}
	for _, vm := range s.registry.VMs() {
		tasks := len(s.tasks.OnVM(vm.ID))
		if z := zones[vm.Zone]; z != nil {
			z.VMs++
			z.Tasks += tasks
		}
		status.VMs = append(status.VMs, operatorapi.VMStatus{
			ID:       vm.ID,
			Zone:     vm.Zone,
			Rack:     vm.Rack,
			State:    vmState(vm),
			Capacity: operatorResources(vm.Capacity),
			Granted:  operatorResources(s.tasks.Committed(vm.ID)),
			Tasks:    tasks,
		})
	}
	for _, z := range s.directory().Zones() {
		status.Zones = append(status.Zones, *zones[z.Name])
	}
}

func vmState(vm *fleet.VM) operatorapi.VMState {
	switch {
	case vm.Lost:
		return operatorapi.VMLost
	case vm.Suppressed:
		return operatorapi.VMQuarantined
	case vm.Draining || vm.Leaving:
		return operatorapi.VMDraining
	default:
		return operatorapi.VMReady
	}
}

func (s *State) addServiceStatus(status *operatorapi.Status) {
	if s.plan == nil {
		return
	}
	servers := map[string]int{}
	for _, server := range s.directory().Servers() {
		if !server.Leaving {
			servers[server.Service]++
		}
	}
	for i := range s.plan.Services {
		declared := &s.plan.Services[i]
		view := operatorapi.ServiceStatus{
			Name:           declared.Name,
			Instances:      declared.Instances,
			BackendServers: servers[declared.Name],
		}
		if j := s.tasks.Job(task.ServiceID(declared.Name)); j != nil {
			view.Running = countTasks(j, task.Running)
		}
		status.Services = append(status.Services, view)
	}
}

func countTasks(j *task.Job, states ...task.State) int {
	n := 0
	for _, k := range j.Tasks {
		for _, state := range states {
			if k.State == state {
				n++
			}
		}
	}
	return n
}

// unplaceableJobs returns, by job name, why no known VM is large enough for a
// task of the job.
func (s *State) unplaceableJobs() map[string]string {
	reasons := map[string]string{}
	if s.plan == nil {
		return reasons
	}
	for _, e := range scheduler.Unschedulable(s.plan, s.capacities()) {
		reasons[e.Job] = e.Reason
	}
	return reasons
}

func jobStatus(j *task.Job, unplaceable string) operatorapi.JobStatus {
	view := operatorapi.JobStatus{
		Name:     j.Name,
		Team:     j.Team,
		Tasks:    j.Wanted,
		Pending:  countTasks(j, task.Pending),
		Running:  countTasks(j, task.Starting, task.Running, task.Stopping, task.Cancelling),
		Finished: j.Finished,
	}
	for _, k := range j.Tasks {
		view.Evictions += k.Evictions
		if k.Failures > 0 {
			view.Failed++
			view.Reason = k.LastError
		}
	}
	if !j.Deadline.IsZero() {
		deadline := j.Deadline
		view.Deadline = &deadline
	}
	view.State = jobState(j, view)
	if unplaceable != "" && view.State == operatorapi.JobPending {
		view.State, view.Reason = operatorapi.JobUnplaceable, unplaceable
	}
	return view
}

func jobState(j *task.Job, view operatorapi.JobStatus) operatorapi.JobState {
	switch {
	case j.Wanted == 0:
		return operatorapi.JobCanceled
	case j.Complete():
		return operatorapi.JobFinished
	case j.Failing():
		return operatorapi.JobFailed
	case view.Running > 0:
		return operatorapi.JobRunning
	default:
		return operatorapi.JobPending
	}
}

func operatorResources(v resource.Vector) operatorapi.Resources {
	return operatorapi.Resources{MilliCPU: v.MilliCPU, MemoryMiB: v.MemoryMiB, Accelerators: v.Accelerators}
}

func (s *Server) getTasks(r *http.Request) (any, error) {
	if err := s.confirmAsLeader(r.Context()); err != nil {
		return nil, err
	}
	return s.state.taskList(s.scheduling.pendingReasons()), nil
}

// taskList returns all tasks; reasons holds, by job ID, why its tasks are pending.
func (s *State) taskList(reasons map[string]string) *operatorapi.Tasks {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := &operatorapi.Tasks{Revision: s.directory().Revision(), Tasks: []operatorapi.Task{}}
	for _, j := range s.tasks.Jobs() {
		for _, k := range j.Tasks {
			view := s.taskView(k)
			if k.State == task.Pending && view.Reason == "" {
				view.Reason = reasons[j.ID]
			}
			list.Tasks = append(list.Tasks, view)
		}
	}
	return list
}

func (s *State) taskView(k *task.Task) operatorapi.Task {
	view := operatorapi.Task{
		ID:         k.ID,
		State:      k.State.String(),
		Generation: k.Generation,
		Grant:      operatorResources(k.Grant),
		Progress:   k.Progress,
		Evictions:  k.Evictions,
		Checkpoint: k.Checkpoint,
		Reason:     k.LastError,
	}
	if k.State == task.Stopping {
		view.Reason = k.StopReason
	}
	if k.Job.Class == task.LatencyCritical {
		view.Service = k.Job.Name
	} else {
		view.Job = k.Job.Name
	}
	if !k.State.HoldsGrant() {
		return view
	}
	view.VM = k.VM
	if vm := s.registry.VM(k.VM); vm != nil {
		view.Zone = vm.Zone
	}
	return view
}
