package dispatch

import (
	"time"

	"amaranthpaddle/resource"
)

// VMState is the state of a VM as its provider reports it.
type VMState int

// The VM states.
const (
	VMUp            VMState = iota
	VMInMaintenance         // down for maintenance
	VMDown                  // down for another reason
	VMMoving                // between pools
	VMGone
)

// VM is a VM as its provider reports it.
type VM struct {
	State    VMState
	Pool     string // service whose workers run on it
	Capacity resource.Vector
	Labels   []string
}

// MaintenanceVM is the state of one VM of a maintenance wave.
type MaintenanceVM struct {
	Name    string
	State   VMState
	Ordered bool          // its maintenance was ordered, so it may go down at any time
	Begun   bool          // its maintenance has certainly begun, or the VM is gone for good
	Closed  time.Duration // how long it has been closed, that is, received no new work; 0 if it is open
	Runs    int           // runs on it that end by themselves
	Guarded int           // long-running tasks on it with a disruption budget
}

// MaintenancePlan lists the next steps for the VMs of a wave.
type MaintenancePlan struct {
	Close []string // VMs to close: they get no new work, and their long-running tasks are moved away
	Begin []string // VMs whose maintenance is to begin
}

// drainShare is the share of a VM's part of the wave duration that is reserved
// for its runs to end.
const drainShare = 0.5

// PlanMaintenance returns the next steps of a wave. At most maxConcurrent VMs
// are closed or down at a time. The maintenance of a VM does not begin while a
// long-running task with a disruption budget is still on it: such tasks are
// moved one by one. Other runs get drainShare of the VM's part of the duration
// to end.
func PlanMaintenance(vms []MaintenanceVM, maxConcurrent int, duration time.Duration) MaintenancePlan {
	free := maxConcurrent
	for _, vm := range vms {
		if vm.Ordered || vm.State == VMInMaintenance {
			free--
		}
	}
	drainTimeout := time.Duration(drainShare * float64(duration) * float64(maxConcurrent) / float64(max(len(vms), 1)))
	var plan MaintenancePlan
	for _, vm := range vms {
		if vm.Begun || vm.Ordered || vm.State != VMUp {
			continue
		}
		if free <= 0 {
			break
		}
		free--
		plan.Close = append(plan.Close, vm.Name)
		if vm.Closed > 0 && vm.Guarded == 0 && (vm.Runs == 0 || vm.Closed >= drainTimeout) {
			plan.Begin = append(plan.Begin, vm.Name)
		}
	}
	return plan
}

// MayDisrupt reports whether a working long-running task may be interrupted
// while the given number of other tasks of its group are not working. A budget
// of 0 means no limit.
func MayDisrupt(budget, away int) bool { return budget == 0 || away < budget }
