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

// moveSettles is how long a VM whose move was ordered is left alone: the order,
// and the list that shows its effect.
const moveSettles = 2 * fleetTimeout

// wantsLending reports whether the configuration has a standby pool.
func (l *leadership) wantsLending() (wanted bool) {
	l.server.config.State.Read(func(view jobs.View) {
		wanted = slices.ContainsFunc(view.Configuration().GetServices(), (*api.JobService).GetStandby)
	})
	return wanted
}

// lendVMs moves VMs between standby pools and the pools of services that need them.
func (l *leadership) lendVMs(vms map[string]dispatch.VM) {
	l.mu.Lock()
	var moves []dispatch.VMMove
	l.assumed.Read(func(view jobs.View) {
		moves = l.lending.Plan(l.poolLoads(view), l.poolVMs(view, vms), l.server.now())
	})
	l.mu.Unlock()
	for _, move := range moves {
		l.move(move)
	}
}

// poolLoads returns the load of each service. The lock is held.
func (l *leadership) poolLoads(view jobs.View) []dispatch.PoolLoad {
	var loads []dispatch.PoolLoad
	waiting := dispatch.WaitingTasks(view, l.planInput(view))
	for _, service := range view.Configuration().GetServices() {
		load := dispatch.PoolLoad{Service: service.Name, Standby: service.Standby, Waiting: waiting[service.Name]}
		for _, worker := range l.workers {
			if worker.worker.Service != service.Name {
				continue
			}
			load.Capacity += worker.worker.MilliCpu
			view.RunsOn(worker.key, func(run jobs.RunID) {
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
		view.RunsOn(worker.key, func(jobs.RunID) { busy[worker.worker.Machine] = true })
	}
	var list []dispatch.PoolVM
	for _, name := range slices.Sorted(maps.Keys(vms)) {
		if since, sent := l.sentAway[name]; sent && l.server.now().Sub(since) < moveSettles {
			continue
		}
		if _, closed := l.maintenance.closed[name]; closed || l.maintenance.fenced[name] {
			continue
		}
		list = append(list, dispatch.PoolVM{VM: vms[name], Name: name, Idle: !busy[name], Home: view.Home(name)})
	}
	return list
}

// move carries out one move. Where the VM belongs is kept first, so that a later
// leader knows it whatever becomes of the order.
func (l *leadership) move(move dispatch.VMMove) {
	l.leaveAlone(move.VM, l.server.now())
	if move.Home != "" && !l.noteLent(move.VM, move.Home) {
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, fleetTimeout)
	defer cancel()
	err := l.server.config.Fleet.Move(ctx, move.VM, move.Pool, l.term)
	klog.InfoS("VM's move ordered", "vm", move.VM, "pool", move.Pool, "home", move.Home, "term", l.term, "error", err)
	switch {
	case fault.Is(err, fault.Stale):
		l.mu.Lock()
		l.maintenance.fenced[move.VM] = true
		l.mu.Unlock()
	case fault.Is(err, fault.NotFound):
		l.noteLent(move.VM, "")
		l.leaveAlone(move.VM, l.server.now().Add(refusedMove))
	case err == nil && move.Home == "":
		l.noteLent(move.VM, "")
	}
}

// leaveAlone keeps a VM where it is until moveSettles after a time.
func (l *leadership) leaveAlone(vm string, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentAway[vm] = from
}

// refusedMove is how long a VM that can't work for a pool is left alone.
const refusedMove = time.Minute

// noteLent keeps in the log where a VM belongs, and reports whether it is there.
func (l *leadership) noteLent(vm, home string) bool {
	ctx, cancel := context.WithTimeout(l.ctx, commitTimeout)
	defer cancel()
	err := l.commit(ctx, &api.JobChange{Body: &api.JobChange_Lent{Lent: &api.LentVM{Vm: vm, Home: home}}})
	if err != nil {
		klog.InfoS("VM's home not kept", "vm", vm, "home", home, "error", err)
	}
	return err == nil
}
