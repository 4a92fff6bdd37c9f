package scheduler

import (
	"fmt"

	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
)

// Explanation says why no VM could ever hold a task of a job.
type Explanation struct {
	Job    string // name in the plan
	Reason string
}

// Unschedulable returns an explanation for each job and service of the plan
// that no VM of the fleet could hold, even when it is empty. It is meant for
// the time when the plan is handed in. It returns none for an empty fleet.
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

// explainSize returns why no VM holds the size, or "" when one does.
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
