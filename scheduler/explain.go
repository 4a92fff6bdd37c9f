package scheduler

import (
	"fmt"

	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
)

// Explanation is the reason why no VM can hold a task of a job.
type Explanation struct {
	Job    string // name in the plan
	Reason string
}

// Unschedulable returns an explanation for each job and service of the plan
// that does not fit on any VM, even an empty one. It is meant to be called
// when a plan is submitted. It returns none when there are no VMs.
func Unschedulable(p *plan.DayPlan, vms []VM) []Explanation {
	var out []Explanation
	for i := range p.Services {
		s := &p.Services[i]
		if reason := explainSize(s.Size, vms); reason != "" {
			out = append(out, Explanation{Job: s.Name, Reason: reason})
		}
	}
	for i := range p.Jobs {
		b := &p.Jobs[i]
		if reason := explainSize(b.Size, vms); reason != "" {
			out = append(out, Explanation{Job: b.Name, Reason: reason})
		}
	}
	return out
}

// explainSize returns the reason why no VM can hold the size, or "" if one
// can.
func explainSize(size resource.Vector, vms []VM) string {
	var largest resource.Vector
	for i := range vms {
		if size.Fits(vms[i].Capacity) {
			return ""
		}
		largest = largest.Max(vms[i].Capacity)
	}
	switch {
	case len(vms) == 0:
		return ""
	case size.MilliCPU > largest.MilliCPU:
		return fmt.Sprintf("needs %d milli-CPU, the largest VM has %d", size.MilliCPU, largest.MilliCPU)
	case size.MemoryMiB > largest.MemoryMiB:
		return fmt.Sprintf("needs %d MiB of memory, the largest VM has %d", size.MemoryMiB, largest.MemoryMiB)
	case size.Accelerators > largest.Accelerators:
		return fmt.Sprintf("needs %d accelerators, the largest VM has %d", size.Accelerators, largest.Accelerators)
	}
	return "no single VM has enough CPU, memory and accelerators together"
}
