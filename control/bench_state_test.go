package control

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
)

// BenchmarkApplyClaim measures the state machine's part of a claim, and the
// memory that a remembered claim takes.
func BenchmarkApplyClaim(b *testing.B) {
	s := NewState()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		n++
		data, err := proto.Marshal(&api.Command{NowMs: 1, Body: &api.Command_ClaimKey{ClaimKey: &api.ClaimKey{
			Request: &api.ClaimRequest{
				Key: fmt.Sprintf("ledger/key-%d", n), Digest: make([]byte, 32), Attempt: fmt.Sprintf("entry-1-%d", n),
				Server: "vm-001-ledger-1", Incarnation: 1,
			},
			RetentionMs: 1000, Limit: 10_000_000,
		}}})
		if err != nil {
			b.Fatal(err)
		}
		s.Apply(1, data)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/claim")
	snapshot, err := s.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(snapshot))/float64(n), "snapshot-B/claim")
}

// BenchmarkDirective measures the answer to a heartbeat of a VM with 18 tasks,
// without the transport.
func BenchmarkDirective(b *testing.B) {
	s := NewState()
	applyTo(s, &api.Command{Body: &api.Command_SubmitPlan{SubmitPlan: &api.SubmitPlan{Plan: compressedPlan(b, testPlan(1, 18))}}})
	vm := testVM("vm", "a")
	vm.Capacity = &api.Resources{MilliCpu: 32_000, MemoryMib: 128_000}
	applyTo(s, &api.Command{Body: &api.Command_AnnounceVm{AnnounceVm: &api.AnnounceVM{Vm: vm, Incarnation: 1}}})
	runs := newAgentRuns()
	for i := range 18 {
		id := fmt.Sprintf("job/sort/%d", i)
		applyTo(s, &api.Command{Body: &api.Command_PlaceTasks{PlaceTasks: &api.PlaceTasks{Placements: []*api.Placement{
			{Task: id, Generation: 1, Vm: "vm", Grant: &api.Resources{MilliCpu: 1000, MemoryMib: 1024}},
		}}}})
		status := running(runKey{id, 1})
		applyTo(s, &api.Command{Body: &api.Command_ReportTasks{ReportTasks: &api.ReportTasks{Vm: "vm", Incarnation: 1, Tasks: []*api.TaskStatus{status}}}})
		runs.list([]*api.TaskStatus{status})
	}
	b.ReportAllocs()
	for b.Loop() {
		runs.directive(s.viewVM("vm", 1), nil, nil, s.now())
	}
}
