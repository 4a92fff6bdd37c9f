package dispatch

import (
	"slices"
	"time"

	"amaranthpaddle/api"
)

// Lending decides when VMs of standby pools are lent to the pool of a service.
// It handles load peaks of seconds to minutes that exceed the capacity of the
// service's own VMs. It is not safe for concurrent use.
type Lending struct {
	overloaded map[string]time.Time // services with tasks that wait for a worker, since when
	underused  map[string]time.Time // services that could give a VM back, since when
}

// Lending parameters.
const (
	lendAfter         = 1500 * time.Millisecond // of overload; a move takes as long
	returnAfter       = 15 * time.Second        // of low utilization; a move costs some seconds of the work of the VM
	returnUtilization = 0.5                     // share of the capacity that would remain
)

// NewLending returns a Lending without observations.
func NewLending() *Lending {
	return &Lending{overloaded: map[string]time.Time{}, underused: map[string]time.Time{}}
}

// WaitingGroup counts the tasks of one group that wait for a worker.
type WaitingGroup struct {
	Group *api.TaskGroup
	Tasks int
}

// PoolLoad is the load of one service.
type PoolLoad struct {
	Service  string
	Standby  bool // its VMs are off until they are lent to another service
	Waiting  []WaitingGroup
	Used     int64 // milli-cores
	Capacity int64 // milli-cores
}

// PoolVM is a VM with what matters for lending.
type PoolVM struct {
	VM
	Name string
	Idle bool   // no run uses it
	Home string // standby pool that the VM is lent from, empty if it is not lent
}

// VMMove is a decision to move a VM to a pool.
type VMMove struct {
	VM   string
	Pool string
	Home string // standby pool that the VM is lent from, empty for a return
}

// Plan returns the moves to make now.
func (l *Lending) Plan(loads []PoolLoad, vms []PoolVM, now time.Time) []VMMove {
	standby := map[string]bool{}
	for _, load := range loads {
		standby[load.Service] = load.Standby
	}
	var moves []VMMove
	selected := map[string]bool{}
	for _, load := range loads {
		switch {
		case load.Standby:
		case len(load.Waiting) > 0:
			delete(l.underused, load.Service)
			if since(l.overloaded, load.Service, now) >= lendAfter {
				moves = append(moves, lend(load, vms, standby, selected)...)
			}
		default:
			delete(l.overloaded, load.Service)
			moves = append(moves, l.returnIdle(load, vms, now)...)
		}
	}
	return moves
}

// since returns the time that has passed since the key was first recorded, and
// records it with the current time if it is new.
func since(times map[string]time.Time, key string, now time.Time) time.Duration {
	if _, known := times[key]; !known {
		times[key] = now
	}
	return now.Sub(times[key])
}

// lend selects VMs of standby pools until their capacity covers the waiting
// tasks of a service.
func lend(load PoolLoad, vms []PoolVM, standby, selected map[string]bool) (moves []VMMove) {
	var needed int64
	for _, waiting := range load.Waiting {
		needed += int64(waiting.Tasks) * waiting.Group.MilliCpu
	}
	for _, vm := range vms {
		if needed <= 0 {
			break
		}
		if !standby[vm.Pool] || selected[vm.Name] || vm.State == VMMoving || vm.State == VMInMaintenance || !vm.canRunAny(load.Waiting) {
			continue
		}
		selected[vm.Name] = true
		needed -= vm.Capacity.MilliCPU
		moves = append(moves, VMMove{VM: vm.Name, Pool: load.Service, Home: vm.Pool})
	}
	return moves
}

// canRunAny reports whether the VM could run a task of one of the waiting
// groups.
func (vm PoolVM) canRunAny(waiting []WaitingGroup) bool {
	return slices.ContainsFunc(waiting, func(w WaitingGroup) bool {
		label := w.Group.RequiredLabel
		return (label == "" || slices.Contains(vm.Labels, label)) && demand(w.Group).Fits(vm.Capacity)
	})
}

// returnIdle returns one idle VM to its standby pool if the service has been
// underused for returnAfter.
func (l *Lending) returnIdle(load PoolLoad, vms []PoolVM, now time.Time) []VMMove {
	i := slices.IndexFunc(vms, func(vm PoolVM) bool {
		return vm.Pool == load.Service && vm.Home != "" && vm.Idle && vm.State == VMUp
	})
	if i < 0 || float64(load.Used) > returnUtilization*float64(load.Capacity-vms[i].Capacity.MilliCPU) {
		delete(l.underused, load.Service)
		return nil
	}
	if since(l.underused, load.Service, now) < returnAfter {
		return nil
	}
	delete(l.underused, load.Service)
	return []VMMove{{VM: vms[i].Name, Pool: vms[i].Home}}
}
