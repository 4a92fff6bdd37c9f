package control

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
)

// BenchmarkApplyClaim measures the time to apply a claim to the state machine, and
// the memory per stored claim.
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

// BenchmarkDirective measures building the answer to the heartbeat of a VM with 18
// tasks, without the transport.
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
		runs.recordStatuses([]*api.TaskStatus{status})
	}
	b.ReportAllocs()
	for b.Loop() {
		runs.directive(s.snapshotVM("vm", 1), nil, nil, s.now())
	}
}

// filledState returns a state with a number of VMs, each with 6 backend servers
// and 18 running tasks.
func filledState(b *testing.B, vms int) *State {
	s := NewState()
	p := testPlan(1, vms*18)
	p.Teams[0].Quota.MilliCPU, p.Teams[0].Quota.MemoryMiB = 100_000_000, 1<<30
	applyTo(s, &api.Command{Body: &api.Command_SubmitPlan{SubmitPlan: &api.SubmitPlan{Plan: compressedPlan(b, p)}}})
	for i := range vms {
		vm := testVM(vmName(i), "a")
		vm.Capacity = &api.Resources{MilliCpu: 32_000, MemoryMib: 128_000}
		announce := &api.AnnounceVM{Vm: vm, Incarnation: 1, ServersChanged: true}
		for n := range 6 {
			announce.Servers = append(announce.Servers, testBackend(fmt.Sprintf("%s-ledger-%d", vm.Id, n), vm.Id))
		}
		applyTo(s, &api.Command{Body: &api.Command_AnnounceVm{AnnounceVm: announce}})
		place, report := &api.PlaceTasks{}, &api.ReportTasks{Vm: vm.Id, Incarnation: 1}
		for n := range 18 {
			id := fmt.Sprintf("job/sort/%d", i*18+n)
			place.Placements = append(place.Placements, &api.Placement{Task: id, Generation: 1, Vm: vm.Id, Grant: &api.Resources{MilliCpu: 1000, MemoryMib: 1024}})
			report.Tasks = append(report.Tasks, running(runKey{id, 1}))
		}
		applyTo(s, &api.Command{Body: &api.Command_PlaceTasks{PlaceTasks: place}})
		applyTo(s, &api.Command{Body: &api.Command_ReportTasks{ReportTasks: report}})
	}
	return s
}

// BenchmarkSnapshot measures encoding the whole state, the heap size of the state
// and the size of its snapshot, and checks that the snapshot can be restored.
func BenchmarkSnapshot(b *testing.B) {
	for _, vms := range []int{138, 275, 550} {
		b.Run(fmt.Sprintf("VMs=%d", vms), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := filledState(b, vms)
			runtime.GC()
			runtime.ReadMemStats(&after)
			var data []byte
			for b.Loop() {
				var err error
				if data, err = s.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
			if err := NewState().Restore(data); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-state")
			b.ReportMetric(float64(len(data))/1e6, "MB-snapshot")
		})
	}
}

// BenchmarkSubmitPlan measures applying a plan to the state machine, with as many
// jobs as a whole day's plan. No other command is applied during that time.
func BenchmarkSubmitPlan(b *testing.B) {
	p := testPlan(1, 1)
	for i := range 8300 {
		job := p.Jobs[0]
		job.Name = fmt.Sprintf("job-%d", i)
		p.Jobs = append(p.Jobs, job)
	}
	for b.Loop() {
		b.StopTimer()
		s := NewState()
		data := compressedPlan(b, p)
		b.ReportMetric(float64(len(data))/1e3, "KB-entry")
		b.StartTimer()
		if result := applyTo(s, &api.Command{Body: &api.Command_SubmitPlan{SubmitPlan: &api.SubmitPlan{Plan: data}}}); result.Kind != "" {
			b.Fatal(result.Message)
		}
	}
}
