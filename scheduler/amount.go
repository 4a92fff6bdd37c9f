package scheduler

import (
	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// amount is the free capacity of a VM, or what a task takes of it. Grants are
// guaranteed: their sum never exceeds the capacity of the VM. Expected CPU is
// what tasks are expected to use; a batch task may use more than its grant
// while other tasks leave CPU idle.
type amount struct {
	grant       resource.Vector
	expectedCPU int64 // milli-CPU
}

// maxCPUUtilization is the share of a VM's CPU that tasks may be expected to
// use; the rest absorbs bursts.
const maxCPUUtilization = 0.95

// allocatable returns the amount that the VM can hold when it is empty.
func (v *vmView) allocatable() amount {
	return amount{v.Capacity, int64(maxCPUUtilization * float64(v.Capacity.MilliCPU))}
}

func (a amount) add(b amount) amount {
	return amount{a.grant.Add(b.grant), a.expectedCPU + b.expectedCPU}
}

func (a amount) sub(b amount) amount {
	return amount{a.grant.Sub(b.grant), a.expectedCPU - b.expectedCPU}
}

func (a amount) max(b amount) amount {
	return amount{a.grant.Max(b.grant), max(a.expectedCPU, b.expectedCPU)}
}

// positive returns a with negative components set to zero.
func (a amount) positive() amount { return a.max(amount{}) }

// fits reports whether a is at most limit.
func (a amount) fits(limit amount) bool {
	return a.expectedCPU <= limit.expectedCPU && a.grant.Fits(limit.grant)
}

// demandOf returns what the task takes of its VM. Memory cannot be shared, so
// observed memory above the grant counts as well.
func demandOf(t *Task) amount {
	a := amount{grant: t.Grant, expectedCPU: expectedCPU(t)}
	a.grant.MemoryMiB = max(a.grant.MemoryMiB, t.Used.MemoryMiB)
	return a
}

// expectedCPU returns the CPU, in milli-CPU, that the task is expected to
// use. For a service instance it is never below the estimated need, since its
// load may rise again.
func expectedCPU(t *Task) int64 {
	need := t.Need.MilliCPU
	if need == 0 {
		need = t.Grant.MilliCPU
	}
	if t.Used.MilliCPU == 0 {
		return need
	}
	if t.Class == task.LatencyCritical {
		return max(need, t.Used.MilliCPU)
	}
	return max(t.Used.MilliCPU, int64(throttleFraction(t)*float64(need)))
}

// usedCores returns the number of cores that the task uses, or is expected to
// use while no use was observed.
func usedCores(t *Task) float64 {
	milli := t.Used.MilliCPU
	if milli == 0 {
		milli = expectedCPU(t)
	}
	return float64(milli) / 1000
}
