package dispatch

import (
	"time"

	"amaranthpaddle/resource"
)

// VMState is what the owner of the VMs says of one.
type VMState int

// The states.
const (
	VMUp         VMState = iota
	VMMaintained         // down for its maintenance
	VMDown               // down for another reason
	VMMoving             // to another pool
	VMGone
)

// VM is what the owner of the VMs says of one.
type VM struct {
	State    VMState
	Pool     string // service for whose workers it is
	Capacity resource.Vector
	Labels   []string
}

// MaintenanceVM is a VM of a wave, as a decision sees it.
type MaintenanceVM struct {
	Name    string
	State   VMState
	Asked   bool          // its maintenance was asked for, and it may be down or go down any time
	Begun   bool          // it certainly has begun, or the VM is gone for good
	Closed  time.Duration // for which it has got no new work; 0 while it does
	Runs    int           // on it that end by themselves
	Guarded int           // long-running tasks on it whose groups have a disruption budget
}

// MaintenancePlan says what to do next with the VMs of a wave.
type MaintenancePlan struct {
	Close []string // they get no new work, and what lasts on them is moved
	Begin []string // their maintenance begins
}

// drainPart of a VM's share of a wave's duration is for its runs to end.
const drainPart = 0.5

// PlanMaintenance returns the next steps of a wave. No more VMs are closed than
// may be down, and none begins while a long-running task with a disruption
// budget is still on it: such tasks are moved one by one. The other runs get a
// part of the VM's share of the duration to end.
func PlanMaintenance(vms []MaintenanceVM, maxConcurrent int, duration time.Duration) MaintenancePlan {
	free := maxConcurrent
	for _, vm := range vms {
		if vm.Asked || vm.State == VMMaintained {
			free--
		}
	}
	patience := time.Duration(drainPart * float64(duration) * float64(maxConcurrent) / float64(max(len(vms), 1)))
	var plan MaintenancePlan
	for _, vm := range vms {
		if vm.Begun || vm.Asked || vm.State != VMUp {
			continue
		}
		if free <= 0 {
			break
		}
		free--
		plan.Close = append(plan.Close, vm.Name)
		if vm.Closed > 0 && vm.Guarded == 0 && (vm.Runs == 0 || vm.Closed >= patience) {
			plan.Begin = append(plan.Begin, vm.Name)
		}
	}
	return plan
}

// MayMove reports whether a long-running task that is at work may be taken down
// while this many others of its group are away. A budget of 0 sets no bound.
func MayMove(budget, away int) bool { return budget == 0 || away < budget }
