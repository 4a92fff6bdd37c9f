package session

import (
	"testing"
	"time"

	"amaranthpaddle/api"
)

func usageSample(startMS, endMS, milliCPU int64, speed, latency float64) *api.UsageSample {
	return &api.UsageSample{
		Task: "a", Generation: 1, StartUnixMs: startMS, EndUnixMs: endMS,
		Used: &api.Resources{MilliCpu: milliCPU, MemoryMib: milliCPU}, Speed: speed, LatencyMs: latency,
	}
}

func TestUsageIsMergedUntilItSpansInterval(t *testing.T) {
	buffer := newUsageBuffer()
	present := func(runKey) bool { return true }
	buffer.add(usageSample(0, 1000, 1000, 1, 5))
	if ready := buffer.takeReady(4*time.Second, present); len(ready) != 0 {
		t.Fatalf("a sample of 1 s was taken for an interval of 4 s: %v", ready)
	}
	buffer.add(usageSample(1000, 4000, 2000, 0.5, 3))
	ready := buffer.takeReady(4*time.Second, present)
	if len(ready) != 1 {
		t.Fatalf("%d samples, want 1", len(ready))
	}
	got := ready[0]
	if got.StartUnixMs != 0 || got.EndUnixMs != 4000 || got.Used.MilliCpu != 1750 || got.Used.MemoryMib != 2000 ||
		got.Speed != 0.625 || got.LatencyMs != 5 {
		t.Errorf("merged into %v", got)
	}
	if again := buffer.takeReady(0, present); len(again) != 0 {
		t.Errorf("a sample was taken twice: %v", again)
	}
}

func TestUsageOfEndedRunIsSentAtOnce(t *testing.T) {
	buffer := newUsageBuffer()
	buffer.add(usageSample(0, 500, 1000, 1, 0))
	if ready := buffer.takeReady(time.Minute, func(runKey) bool { return false }); len(ready) != 1 {
		t.Errorf("%d samples of an ended run, want 1", len(ready))
	}
}
