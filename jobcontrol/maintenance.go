package jobcontrol

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
	"amaranthpaddle/timing"
)

// Fleet is the platform that owns the VMs.
type Fleet interface {
	// VMs returns all VMs by name.
	VMs(ctx context.Context) (map[string]dispatch.VM, error)
	// Maintain begins the maintenance of a VM and ends at once whatever runs on it.
	// The fence must not be lower than that of an earlier order for the VM. Errors
	// without effect: fault.NotFound for a VM that is gone, fault.Conflict for one
	// that cannot be maintained now, fault.Stale for a fence that is too low, and
	// fault.Overloaded. After any other error the order may have taken effect.
	Maintain(ctx context.Context, vm string, wave int64, fence uint64) error
	// Move moves a VM to another pool and ends at once whatever runs on it. Fence and
	// errors are as for Maintain; fault.NotFound also means that the VM cannot belong
	// to the pool.
	Move(ctx context.Context, vm, pool string, fence uint64) error
}

// Interval and timeout of VM management.
const (
	maintenanceInterval = 500 * time.Millisecond // between checks of the open waves
	fleetTimeout        = 2 * time.Second        // for one call to the Fleet
)

// maintenance is a leadership's soft state of the VMs in open waves.
type maintenance struct {
	closed  map[string]time.Time // VMs that get no new runs, with the time since when
	ordered map[string]time.Time // VMs whose maintenance was ordered, with the time of the answer, zero without one
	fenced  map[string]bool      // VMs that refused this term's fence: a later leader has given orders for them
}

func newMaintenance() maintenance {
	return maintenance{closed: map[string]time.Time{}, ordered: map[string]time.Time{}, fenced: map[string]bool{}}
}

// manageVMs carries out the open waves and lends the VMs of standby pools, until
// the leadership ends. It lists the VMs only while it has either to do.
func (l *leadership) manageVMs() {
	for timing.Sleep(l.ctx, maintenanceInterval) {
		if l.server.config.Fleet == nil || l.server.now().Sub(l.since) < agentReconnectTime {
			continue
		}
		var open []*api.MaintenanceWave
		l.server.config.State.Read(func(view jobs.View) { open = view.OpenWaves() })
		hasStandby := l.hasStandbyPool()
		if len(open) == 0 && !l.anyClosed() && !hasStandby {
			continue
		}
		ctx, cancel := context.WithTimeout(l.ctx, fleetTimeout)
		listedAt := l.server.now()
		vms, err := l.server.config.Fleet.VMs(ctx)
		cancel()
		if err != nil {
			klog.InfoS("Failed to list VMs", "error", err)
			continue
		}
		l.reopenVMs(vms, listedAt)
		for _, wave := range open {
			l.advanceWave(wave, vms)
		}
		if hasStandby {
			l.lendVMs(vms)
		}
	}
}

// anyClosed reports whether a VM is closed for maintenance, or down for it.
func (l *leadership) anyClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.maintenance.closed) > 0
}

// reopenVMs opens the VMs that were up again, or gone, when listed at listedAt. A
// list counts as showing a VM up again only if it was requested after the
// maintenance order was answered.
func (l *leadership) reopenVMs(vms map[string]dispatch.VM, listedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for vm, answered := range l.maintenance.ordered {
		state, listed := vms[vm]
		back := state.State == dispatch.VMUp && !answered.IsZero() && listedAt.After(answered)
		if back || !listed {
			klog.InfoS("VM reopened after maintenance", "vm", vm, "listed", listed)
			delete(l.maintenance.ordered, vm)
			delete(l.maintenance.closed, vm)
		}
	}
}

// advanceWave takes the next steps of a wave: it closes VMs, moves guarded runs,
// and orders maintenance.
func (l *leadership) advanceWave(wave *api.MaintenanceWave, listed map[string]dispatch.VM) {
	l.mu.Lock()
	vms := l.maintenanceVMs(wave, listed)
	plan := dispatch.PlanMaintenance(vms, int(wave.MaxConcurrent), time.Duration(wave.DurationMs)*time.Millisecond)
	for _, vm := range plan.Close {
		if _, known := l.maintenance.closed[vm]; !known {
			klog.InfoS("VM closed for maintenance", "wave", wave.Id, "vm", vm)
			l.maintenance.closed[vm] = l.server.now()
		}
	}
	l.moveGuardedRuns(plan.Close)
	l.mu.Unlock()
	for _, vm := range vms {
		if vm.Ordered && !vm.Begun && vm.State == dispatch.VMUp {
			plan.Begin = append(plan.Begin, vm.Name) // the order was not answered, so it is repeated
		}
		if vm.State == dispatch.VMGone && !vm.Begun {
			l.recordMaintained(wave.Id, vm.Name)
		}
	}
	for _, vm := range plan.Begin {
		l.orderMaintenance(wave.Id, vm)
	}
}

// maintenanceVMs returns the VMs of a wave as input of a decision. The lock is held.
func (l *leadership) maintenanceVMs(wave *api.MaintenanceWave, listed map[string]dispatch.VM) []dispatch.MaintenanceVM {
	vms := make([]dispatch.MaintenanceVM, 0, len(wave.Vms))
	for _, name := range wave.Vms {
		state := dispatch.VMGone
		if vm, known := listed[name]; known {
			state = vm.State
		}
		_, ordered := l.maintenance.ordered[name]
		vm := dispatch.MaintenanceVM{
			Name: name, State: state, Ordered: ordered, Begun: slices.Contains(wave.Maintained, name) || l.maintenance.fenced[name],
		}
		if since, closed := l.maintenance.closed[name]; closed {
			vm.Closed = l.server.now().Sub(since)
		}
		l.countRuns(&vm)
		vms = append(vms, vm)
	}
	return vms
}

// countRuns counts the runs on a VM: those that end by themselves, and long-running
// ones with a disruption budget. The lock is held.
func (l *leadership) countRuns(vm *dispatch.MaintenanceVM) {
	l.server.config.State.Read(func(view jobs.View) {
		l.forEachRunOnVM(view, vm.Name, func(run jobs.RunID, group *jobs.Group) {
			if !group.Spec.LongRunning {
				vm.Runs++
			} else if group.Spec.DisruptionBudget > 0 {
				vm.Guarded++
			}
		})
	})
}

// forEachRunOnVM calls f with each run on a VM. The lock is held.
func (l *leadership) forEachRunOnVM(state jobs.View, vm string, f func(jobs.RunID, *jobs.Group)) {
	for _, view := range l.workers {
		if view.worker.Machine != vm {
			continue
		}
		state.RunsOn(view.key, func(run jobs.RunID, _ *jobs.Group) {
			if _, group, _ := state.Run(run); group != nil {
				f(run, group)
			}
		})
	}
}

// moveGuardedRuns marks the runs of long-running tasks on closed VMs to be stopped
// and started elsewhere, as far as their groups' disruption budgets allow. The lock
// is held.
func (l *leadership) moveGuardedRuns(closed []string) {
	l.server.config.State.Read(func(view jobs.View) {
		moved := map[jobs.GroupID]int{}
		for _, vm := range closed {
			l.forEachRunOnVM(view, vm, func(run jobs.RunID, group *jobs.Group) {
				budget := int(group.Spec.DisruptionBudget)
				if !group.Spec.LongRunning || budget == 0 || l.movingRuns[run] {
					return
				}
				id := run.Task.GroupID()
				away := l.countAway(group, run.Task) + moved[id]
				if l.isServing(run) && !dispatch.MayDisrupt(budget, away) {
					return
				}
				klog.InfoS("Moving run off VM before maintenance", "job", run.Task.Job, "run", run.String(),
					"vm", vm, "budget", budget, "away", away)
				moved[id]++
				l.movingRuns[run] = true
			})
		}
	})
	l.signal()
}

// countAway returns how many tasks of a long-running group, other than the given
// one, have no serving run that stays where it is. The lock is held.
func (l *leadership) countAway(group *jobs.Group, task jobs.TaskID) int {
	away := 0
	for i := range group.Tasks {
		other := task
		other.Index = int32(i)
		working := slices.ContainsFunc(group.Tasks[i].Runs, func(run jobs.Run) bool {
			id := jobs.RunID{Task: other, Number: run.Number}
			return l.isServing(id) && !l.movingRuns[id]
		})
		if other != task && !working {
			away++
		}
	}
	return away
}

// isServing reports whether a run of a long-running group was last listed at full
// progress, by a worker that answers its agent. The lock is held.
func (l *leadership) isServing(run jobs.RunID) bool {
	for _, view := range l.workers {
		if status := view.runs[run]; status != nil {
			return status.Percent >= dispatch.FullPace && view.unanswered == 0
		}
	}
	return false
}

// orderMaintenance orders the maintenance of a VM, with the term as the fence.
func (l *leadership) orderMaintenance(wave int64, vm string) {
	l.mu.Lock()
	l.maintenance.ordered[vm] = time.Time{}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, fleetTimeout)
	defer cancel()
	err := l.server.config.Fleet.Maintain(ctx, vm, wave, l.term)
	klog.InfoS("Maintenance ordered", "wave", wave, "vm", vm, "term", l.term, "error", err)
	l.mu.Lock()
	switch {
	case err == nil:
		l.maintenance.ordered[vm] = l.server.now()
	case fault.Is(err, fault.Stale):
		l.maintenance.fenced[vm] = true
		delete(l.maintenance.ordered, vm)
	case fault.Is(err, fault.NotFound), fault.Is(err, fault.Conflict), fault.Is(err, fault.Overloaded):
		delete(l.maintenance.ordered, vm) // nothing was done
	}
	l.mu.Unlock()
	if err == nil || fault.Is(err, fault.NotFound) {
		l.recordMaintained(wave, vm)
	}
}

func (l *leadership) recordMaintained(wave int64, vm string) {
	ctx, cancel := context.WithTimeout(l.ctx, commitTimeout)
	defer cancel()
	err := l.commit(ctx, &api.JobChange{Body: &api.JobChange_Maintained{
		Maintained: &api.MaintainedVM{Wave: wave, Vm: vm},
	}})
	klog.InfoS("VM recorded as maintained", "wave", wave, "vm", vm, "error", err)
}
