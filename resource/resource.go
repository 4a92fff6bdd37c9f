// Package resource describes amounts of VM resources.
package resource

// Vector is an amount of each resource that a VM offers or a task needs.
type Vector struct {
	MilliCPU     int64 // thousandths of a core
	MemoryMiB    int64 // mebibytes
	Accelerators int64 // whole devices
}

// Add returns the sum of v and o.
func (v Vector) Add(o Vector) Vector {
	return Vector{
		MilliCPU:     v.MilliCPU + o.MilliCPU,
		MemoryMiB:    v.MemoryMiB + o.MemoryMiB,
		Accelerators: v.Accelerators + o.Accelerators,
	}
}

// Sub returns v less o. Components may become negative.
func (v Vector) Sub(o Vector) Vector {
	return Vector{
		MilliCPU:     v.MilliCPU - o.MilliCPU,
		MemoryMiB:    v.MemoryMiB - o.MemoryMiB,
		Accelerators: v.Accelerators - o.Accelerators,
	}
}

// Fits reports whether v is at most limit in every component.
func (v Vector) Fits(limit Vector) bool {
	return v.MilliCPU <= limit.MilliCPU &&
		v.MemoryMiB <= limit.MemoryMiB &&
		v.Accelerators <= limit.Accelerators
}

// Max returns the component-wise maximum of v and o.
func (v Vector) Max(o Vector) Vector {
	return Vector{
		MilliCPU:     max(v.MilliCPU, o.MilliCPU),
		MemoryMiB:    max(v.MemoryMiB, o.MemoryMiB),
		Accelerators: max(v.Accelerators, o.Accelerators),
	}
}

// Min returns the component-wise minimum of v and o.
func (v Vector) Min(o Vector) Vector {
	return Vector{
		MilliCPU:     min(v.MilliCPU, o.MilliCPU),
		MemoryMiB:    min(v.MemoryMiB, o.MemoryMiB),
		Accelerators: min(v.Accelerators, o.Accelerators),
	}
}

// IsZero reports whether every component is zero.
func (v Vector) IsZero() bool { return v == Vector{} }
