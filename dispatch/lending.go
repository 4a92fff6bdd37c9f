package dispatch

import (
	"slices"
	"time"

	"amaranthpaddle/api"
)

// Lending decides when VMs of standby pools work for the pool of another
// service. The load pattern that it answers: a peak of some seconds to minutes
// that the service's own VMs can't do. It is not safe for concurrent use.
type Lending struct {
	overloaded map[string]time.Time // services whose tasks find no place, since when
	underused  map[string]time.Time // services that could do with a VM less, since when
}

// Parameters of the lending.
const (
	lendAfter   = 1500 * time.Millisecond // without a place; a move takes as long
	returnAfter = 15 * time.Second        // of little use; a move costs the VM's work of some seconds
	returnUse   = 0.5                     // of the capacity that would be left
)

// NewLending returns a Lending that knows nothing.
func NewLending() *Lending {
	return &Lending{overloaded: map[string]time.Time{}, underused: map[string]time.Time{}}
}

// Waiting are tasks of one group without a place.
type Waiting struct {
	Group *api.TaskGroup
	Tasks int
}

// PoolLoad is the load of one service.
type PoolLoad struct {
	Service  string
	Standby  bool // its VMs are off until they work for another service
	Waiting  []Waiting
	Used     int64 // milli-cores
	Capacity int64 // milli-cores
}

// PoolVM is one VM.
type PoolVM struct {
	VM
	Name string
	Idle bool
	Home string // standby pool that it is lent from, empty when it is not lent
}

// VMMove is a decision to move a VM to a pool.
type VMMove struct {
	VM   string
	Pool string
	Home string // standby pool that it is lent from, empty when it is returned
}

// Plan returns the moves to make now.
func (l *Lending) Plan(loads []PoolLoad, vms []PoolVM, now time.Time) []VMMove {
	standby := map[string]bool{}
	for _, load := range loads {
		standby[load.Service] = load.Standby
	}
	var moves []VMMove
	taken := map[string]bool{}
	for _, load := range loads {
		switch {
		case load.Standby:
		case len(load.Waiting) > 0:
			delete(l.underused, load.Service)
			if since(l.overloaded, load.Service, now) >= lendAfter {
				moves = append(moves, lend(load, vms, standby, taken)...)
			}
		default:
			delete(l.overloaded, load.Service)
			moves = append(moves, l.returnIdle(load, vms, now)...)
		}
	}
	return moves
}

// since returns how long something has lasted that is noted now at the latest.
func since(times map[string]time.Time, key string, now time.Time) time.Duration {
	if _, known := times[key]; !known {
		times[key] = now
	}
	return now.Sub(times[key])
}

// lend chooses VMs of standby pools until the waiting tasks would have room.
func lend(load PoolLoad, vms []PoolVM, standby, taken map[string]bool) (moves []VMMove) {
	var needed int64
	for _, waiting := range load.Waiting {
		needed += int64(waiting.Tasks) * waiting.Group.MilliCpu
	}
	for _, vm := range vms {
		if needed <= 0 {
			break
		}
		if !standby[vm.Pool] || taken[vm.Name] || vm.State == VMMoving || vm.State == VMMaintained || !vm.suits(load.Waiting) {
			continue
		}
		taken[vm.Name] = true
		needed -= vm.Capacity.MilliCPU
		moves = append(moves, VMMove{VM: vm.Name, Pool: load.Service, Home: vm.Pool})
	}
	return moves
}

// suits reports whether some of the waiting tasks could run on the VM.
func (vm PoolVM) suits(waiting []Waiting) bool {
	return slices.ContainsFunc(waiting, func(w Waiting) bool {
		label := w.Group.RequiredLabel
		return (label == "" || slices.Contains(vm.Labels, label)) && demand(w.Group).Fits(vm.Capacity)
	})
}

// returnIdle returns one idle VM to its standby pool when the service has
// been underused for long enough.
func (l *Lending) returnIdle(load PoolLoad, vms []PoolVM, now time.Time) []VMMove {
	i := slices.IndexFunc(vms, func(vm PoolVM) bool {
		return vm.Pool == load.Service && vm.Home != "" && vm.Idle && vm.State == VMUp
	})
	if i < 0 || float64(load.Used) > returnUse*float64(load.Capacity-vms[i].Capacity.MilliCPU) {
		delete(l.underused, load.Service)
		return nil
	}
	if since(l.underused, load.Service, now) < returnAfter {
		return nil
	}
	delete(l.underused, load.Service)
	return []VMMove{{VM: vms[i].Name, Pool: vms[i].Home}}
}
