package scheduler

import (
	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// amount is room on a VM, or what a task takes of it. Grants are guaranteed
// and never exceed the VM together. Use is the processor time that tasks are
// expected to take, which a batch task may do above its grant while
// others leave it free.
type amount struct {
	grant resource.Vector
	use   int64 // milli-CPU
}

// usableCPU is the share of a VM's processor time that may be expected to be
// used; the rest takes up bursts.
const usableCPU = 0.95

// whole returns the room of the empty VM.
func (v *vmView) whole() amount {
	return amount{v.Capacity, int64(usableCPU * float64(v.Capacity.MilliCPU))}
}

func (a amount) add(b amount) amount { return amount{a.grant.Add(b.grant), a.use + b.use} }
func (a amount) sub(b amount) amount { return amount{a.grant.Sub(b.grant), a.use - b.use} }
func (a amount) max(b amount) amount { return amount{a.grant.Max(b.grant), max(a.use, b.use)} }

// positive returns a with nothing below zero.
func (a amount) positive() amount { return a.max(amount{}) }

// fits reports whether a is at most limit.
func (a amount) fits(limit amount) bool { return a.use <= limit.use && a.grant.Fits(limit.grant) }

// held returns what the task takes of its VM. Memory cannot be shared: what
// is observed above the grant counts as well.
func held(t *Task) amount {
	a := amount{grant: t.Grant, use: expectedCPU(t)}
	a.grant.MemoryMiB = max(a.grant.MemoryMiB, t.Used.MemoryMiB)
	return a
}

// expectedCPU returns the processor time that the task is expected to use. An
// instance of a service may come back to what it needed at other times.
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
	return max(t.Used.MilliCPU, int64(allowed(t)*float64(need)))
}

// cores returns the processor time that the task uses.
func cores(t *Task) float64 {
	milli := t.Used.MilliCPU
	if milli == 0 {
		milli = expectedCPU(t)
	}
	return float64(milli) / 1000
}
