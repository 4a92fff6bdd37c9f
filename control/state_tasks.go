package control

import (
	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/fleet"
	"amaranthpaddle/task"
)

// placeTasks commits placements one after the other: it checks each against the
// current state and refuses those that are outdated.
func (s *State) placeTasks(c *api.PlaceTasks, effects *Effects) *api.CommandResult {
	result := s.finish(nil)
	for _, p := range c.Placements {
		err := s.place(p)
		if err == nil {
			effects.VMs = append(effects.VMs, p.Vm)
		}
		result.Refusals = append(result.Refusals, refusalText(err))
	}
	return result
}

func (s *State) place(p *api.Placement) error {
	vm := s.registry.VM(p.Vm)
	if vm == nil {
		return fault.Newf(fault.NotFound, "VM %q is not known", p.Vm)
	}
	if !vm.TakesWork() {
		return fault.Newf(fault.Draining, "VM %s takes no new work", vm.ID)
	}
	if !s.inService(vm.Zone) {
		return task.ErrZoneOut
	}
	return s.tasks.Place(s.now(), task.Placement{
		Task:       p.Task,
		Generation: p.Generation,
		VM:         vm.ID,
		Zone:       vm.Zone,
		Capacity:   vm.Capacity,
		Grant:      fleet.Vector(p.Grant),
	})
}

func (s *State) evictTasks(c *api.EvictTasks, effects *Effects) *api.CommandResult {
	result := s.finish(nil)
	for _, e := range c.Evictions {
		err := s.tasks.RequestEvict(s.now(), e.Task, e.Generation, e.Reason)
		if k := s.tasks.Task(e.Task); err == nil && k != nil {
			effects.VMs = append(effects.VMs, k.VM)
		}
		result.Refusals = append(result.Refusals, refusalText(err))
	}
	return result
}

func refusalText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// reportTasks applies an agent's report about its runs. A report of another agent
// incarnation is refused; statuses of superseded runs change nothing.
func (s *State) reportTasks(c *api.ReportTasks, effects *Effects) error {
	vm := s.registry.VM(c.Vm)
	if vm == nil || vm.Incarnation != c.Incarnation {
		return fault.Newf(fault.Stale, "VM %s has another agent incarnation", c.Vm)
	}
	for _, status := range c.Tasks {
		s.reportTask(vm.ID, status, effects)
	}
	effects.VMs = append(effects.VMs, vm.ID)
	return nil
}

func (s *State) reportTask(vm string, status *api.TaskStatus, effects *Effects) {
	effect := s.tasks.Report(s.now(), vm, taskReport(status))
	switch effect {
	case task.NoEffect:
		return
	case task.Failed, task.Done, task.Stopped:
		effects.Reschedule = true
	}
	k := *s.tasks.Task(status.Task)
	effects.outcomes = append(effects.outcomes, outcome{s.now(), vm, k, effect})
}

var taskPhases = map[api.TaskPhase]task.Phase{
	api.TaskPhase_TASK_PHASE_STARTING:      task.PhaseStarting,
	api.TaskPhase_TASK_PHASE_RUNNING:       task.PhaseRunning,
	api.TaskPhase_TASK_PHASE_CHECKPOINTING: task.PhaseCheckpointing,
	api.TaskPhase_TASK_PHASE_STOPPED:       task.PhaseStopped,
	api.TaskPhase_TASK_PHASE_FINISHED:      task.PhaseFinished,
	api.TaskPhase_TASK_PHASE_FAILED:        task.PhaseFailed,
}

func taskReport(status *api.TaskStatus) task.Report {
	return task.Report{
		Task:       status.Task,
		Generation: status.Generation,
		Phase:      taskPhases[status.Phase],
		Checkpoint: status.Checkpoint,
		Progress:   status.Progress,
		Error:      status.Error,
	}
}
