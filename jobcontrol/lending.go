package jobcontrol

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
)

// moveCooldown is how long a VM is not moved again after a move was ordered. It
// covers the call that orders the move and the one that lists its effect.
const moveCooldown = 2 * fleetTimeout

// hasStandbyPool reports whether the configuration has a standby pool.
func (l *leadership) hasStandbyPool() (found bool) {
	l.server.config.State.Read(func(view jobs.View) {
		found = slices.ContainsFunc(view.Configuration().GetServices(), (*api.JobService).GetStandby)
	})
	return found
}

// lendVMs moves VMs between standby pools and the pools of services that need them.
func (l *leadership) lendVMs(vms map[string]dispatch.VM) {
	l.mu.Lock()
	var moves []dispatch.VMMove
	l.assumed.Read(func(view jobs.View) {
		moves = l.lending.Plan(l.poolLoads(view), l.poolVMs(view, vms), l.server.now())
	})
	for _, move := range moves {
		if move.Home == "" {
			l.returning[move.VM] = l.server.now() // the order ends whatever runs there
		}
	}
	l.mu.Unlock()
	for _, move := range moves {
		l.moveVM(move)
	}
}

// poolLoads returns the load of each service's pool. The lock is held.
func (l *leadership) poolLoads(view jobs.View) []dispatch.PoolLoad {
	var loads []dispatch.PoolLoad
	waiting := dispatch.WaitingByService(view, l.planInput(view))
	for _, service := range view.Configuration().GetServices() {
		load := dispatch.PoolLoad{Service: service.Name, Standby: service.Standby, Waiting: waiting[service.Name]}
		for _, worker := range l.workers {
			if worker.worker.Service != service.Name {
				continue
			}
			load.Capacity += worker.worker.MilliCpu
			view.RunsOn(worker.key, func(run jobs.RunID, _ *jobs.Group) {
				if _, group, _ := view.Run(run); group != nil {
					load.Used += group.Spec.MilliCpu
				}
			})
		}
		loads = append(loads, load)
	}
	return loads
}

// poolVMs returns the VMs that may be moved, in a fixed order. The lock is held.
func (l *leadership) poolVMs(view jobs.View, vms map[string]dispatch.VM) []dispatch.PoolVM {
	busy := map[string]bool{}
	for _, worker := range l.workers {
		view.RunsOn(worker.key, func(jobs.RunID, *jobs.Group) { busy[worker.worker.Machine] = true })
	}
	var list []dispatch.PoolVM
	for _, name := range slices.Sorted(maps.Keys(vms)) {
		if from, known := l.cooldownFrom[name]; known && l.server.now().Sub(from) < moveCooldown {
			continue
		}
		if _, closed := l.maintenance.closed[name]; closed || l.maintenance.fenced[name] {
			continue
		}
		list = append(list, dispatch.PoolVM{VM: vms[name], Name: name, Idle: !busy[name], Home: view.Home(name)})
	}
	return list
}

// moveVM orders one move. The VM's home pool is committed first, so that a later
// leader knows it even if the result of the order is lost.
func (l *leadership) moveVM(move dispatch.VMMove) {
	if move.Home == "" && !l.closeIdle(move.VM) {
		return // it has got runs while earlier moves were ordered
	}
	l.startCooldown(move.VM, l.server.now())
	if move.Home != "" && !l.recordHome(move.VM, move.Home) {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, fleetTimeout)
	defer cancel()
	err := l.server.config.Fleet.Move(ctx, move.VM, move.Pool, l.term)
	klog.InfoS("VM move ordered", "vm", move.VM, "pool", move.Pool, "home", move.Home, "term", l.term, "error", err)
	if fault.KindOf(err).Answer().Outcome == fault.OutcomeNotRun {
		l.mu.Lock()
		delete(l.returning, move.VM)
		l.mu.Unlock()
	}
	switch {
	case fault.Is(err, fault.Stale):
		l.mu.Lock()
		l.maintenance.fenced[move.VM] = true
		l.mu.Unlock()
	case fault.Is(err, fault.NotFound):
		l.recordHome(move.VM, "")
		l.startCooldown(move.VM, l.server.now().Add(refusedMoveDelay))
	case err == nil && move.Home == "":
		l.recordHome(move.VM, "")
	}
}

// closeIdle reports whether a VM that is to be returned to its standby pool is still idle, and
// keeps it closed if so: other moves may have been ordered first, for longer than
// moveCooldown.
func (l *leadership) closeIdle(vm string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	idle := true
	l.assumed.Read(func(view jobs.View) {
		for _, worker := range l.workers {
			if worker.worker.Machine == vm {
				view.RunsOn(worker.key, func(jobs.RunID, *jobs.Group) { idle = false })
			}
		}
	})
	if idle {
		l.returning[vm] = l.server.now()
	}
	return idle
}

// startCooldown prevents moves of a VM until moveCooldown after from.
func (l *leadership) startCooldown(vm string, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cooldownFrom[vm] = from
}

// isReturning reports whether a VM is being returned to its standby pool, or may still be.
// The lock is held.
func (l *leadership) isReturning(vm string, now time.Time) bool {
	since, ordered := l.returning[vm]
	if ordered && now.Sub(since) >= moveCooldown {
		delete(l.returning, vm)
		return false
	}
	return ordered
}

// refusedMoveDelay is added to the cooldown of a VM that is gone or that cannot
// serve the pool it was to move to.
const refusedMoveDelay = time.Minute

// recordHome commits the standby pool that a VM is lent from, empty when it is
// returned, and reports whether the commit succeeded.
func (l *leadership) recordHome(vm, home string) bool {
	ctx, cancel := context.WithTimeout(l.ctx, commitTimeout)
	defer cancel()
	err := l.commit(ctx, &api.JobChange{Body: &api.JobChange_Lent{Lent: &api.LentVM{Vm: vm, Home: home}}})
	if err != nil {
		klog.InfoS("Home pool of VM not committed", "vm", vm, "home", home, "error", err)
	}
	return err == nil
}
