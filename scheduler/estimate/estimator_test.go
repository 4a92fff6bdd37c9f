package estimate

import (
	"testing"
	"time"

	"amaranthpaddle/resource"
)

var now = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func within(t *testing.T, what string, got, low, high int64) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("%s is %d, want %d to %d", what, got, low, high)
	}
}

func TestSizesFollowTheUpperQuantileOfObservedUse(t *testing.T) {
	declared := resource.Vector{MilliCPU: 8000, MemoryMiB: 2000, Accelerators: 1}
	b := NewEstimator()
	if got := b.Size("job/a", declared); got != declared {
		t.Errorf("size %v before any sample", got)
	}
	for i := range 200 {
		used := resource.Vector{MilliCPU: int64(10 * (i % 100)), MemoryMiB: 6000}
		used.MilliCPU += 2000
		b.ObserveUse(now, "job/a", used, false)
	}
	got := b.Size("job/a", declared)
	within(t, "CPU declared too large", got.MilliCPU, 2900, 3400)
	within(t, "memory declared too small", got.MemoryMiB, 6600, 7100)
	within(t, "accelerators", got.Accelerators, 1, 1)
}

func TestCPUUseOfThrottledTasksIsIgnored(t *testing.T) {
	declared := resource.Vector{MilliCPU: 4000, MemoryMiB: 1000}
	b := NewEstimator()
	for range 100 {
		b.ObserveUse(now, "job/a", resource.Vector{MilliCPU: 1000, MemoryMiB: 500}, true)
	}
	if got := b.Size("job/a", declared); got.MilliCPU != declared.MilliCPU {
		t.Errorf("CPU %d estimated from throttled samples", got.MilliCPU)
	}
}

func TestOldUseDecays(t *testing.T) {
	declared := resource.Vector{MilliCPU: 1000, MemoryMiB: 1000}
	b := NewEstimator()
	for range 100 {
		b.ObserveUse(now, "job/a", resource.Vector{MilliCPU: 8000, MemoryMiB: 1000}, false)
	}
	later := now.Add(8 * useHalfLife)
	for range 30 {
		b.ObserveUse(later, "job/a", resource.Vector{MilliCPU: 2000, MemoryMiB: 1000}, false)
	}
	within(t, "CPU after eight half-lives", b.Size("job/a", declared).MilliCPU, 1900, 2200)
}

func TestRunTimesFollowFinishedTasks(t *testing.T) {
	b := NewEstimator()
	if got := b.RunTime("job/a", time.Hour); got != time.Hour {
		t.Errorf("run time %v before any finish", got)
	}
	for range 30 {
		b.ObserveRun(now, "job/a", 10*time.Minute)
	}
	within(t, "run time in seconds", int64(b.RunTime("job/a", time.Hour)/time.Second), 600, 960)
	b.Sweep(now.Add(time.Second))
	if got := b.RunTime("job/a", time.Hour); got != time.Hour {
		t.Errorf("run time %v after the job was deleted", got)
	}
}

func TestEstimateDoesNotGrowWhenATaskUsesItsWholeGrant(t *testing.T) {
	declared := resource.Vector{MilliCPU: 8000, MemoryMiB: 4096}
	cases := []struct {
		name            string
		use             func(grant int64) int64
		lowest, highest int64 // memory estimated
	}{
		{"use equal to the grant yields the grant", func(g int64) int64 { return g }, 3500, 4096},
		{"use just below the grant yields at most the grant", func(g int64) int64 { return g * 99 / 100 }, 3500, 4096},
		{"use above the grant is taken as it is", func(int64) int64 { return 12000 }, 12000, 14000},
		{"use far below the grant is taken as it is", func(int64) int64 { return 2000 }, 2000, 2600},
	}
	for _, c := range cases {
		b := NewEstimator()
		grant := declared
		for range 20 {
			for range 20 {
				used := resource.Vector{MilliCPU: grant.MilliCPU, MemoryMiB: c.use(grant.MemoryMiB)}
				b.ObserveUse(now, "job/a", BoundedUse(used, grant), false)
			}
			grant = b.Size("job/a", declared).Max(resource.Vector{MilliCPU: declared.MilliCPU})
		}
		within(t, c.name+": memory", grant.MemoryMiB, c.lowest, c.highest)
		within(t, c.name+": CPU", grant.MilliCPU, declared.MilliCPU, declared.MilliCPU)
	}
}
