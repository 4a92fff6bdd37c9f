package session

import (
	"time"

	"amaranthpaddle/api"
)

// usageBuffer merges the usage samples of each run until they span the interval
// that the leader has requested, which limits the size of a large fleet's reports.
// It is not safe for concurrent use.
type usageBuffer struct {
	merged map[runKey]*api.UsageSample
}

func newUsageBuffer() *usageBuffer { return &usageBuffer{merged: map[runKey]*api.UsageSample{}} }

// add adds a sample. The samples of a run must be added in order of time.
func (u *usageBuffer) add(sample *api.UsageSample) {
	key := runKey{sample.Task, sample.Generation}
	if earlier, known := u.merged[key]; known {
		mergeUsage(earlier, sample)
		return
	}
	u.merged[key] = sample
}

// mergeUsage merges a later sample into an earlier one. CPU and speed become
// means weighted by time; memory, accelerators and latency the higher value.
func mergeUsage(into, later *api.UsageSample) {
	before := float64(into.EndUnixMs - into.StartUnixMs)
	after := float64(later.EndUnixMs - later.StartUnixMs)
	if before+after <= 0 {
		return
	}
	mean := func(a, b float64) float64 { return (a*before + b*after) / (before + after) }
	into.Used = &api.Resources{
		MilliCpu:     int64(mean(float64(into.Used.GetMilliCpu()), float64(later.Used.GetMilliCpu()))),
		MemoryMib:    max(into.Used.GetMemoryMib(), later.Used.GetMemoryMib()),
		Accelerators: max(into.Used.GetAccelerators(), later.Used.GetAccelerators()),
	}
	into.Speed = mean(into.Speed, later.Speed)
	into.LatencyMs = max(into.LatencyMs, later.LatencyMs)
	into.EndUnixMs = later.EndUnixMs
}

// takeReady removes and returns the samples that span the interval, and those of
// runs for which present returns false.
func (u *usageBuffer) takeReady(interval time.Duration, present func(runKey) bool) []*api.UsageSample {
	var ready []*api.UsageSample
	for key, sample := range u.merged {
		if sample.EndUnixMs-sample.StartUnixMs >= interval.Milliseconds() || !present(key) {
			ready = append(ready, sample)
			delete(u.merged, key)
		}
	}
	return ready
}
