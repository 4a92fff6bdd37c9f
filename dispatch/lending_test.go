package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/resource"
)

func poolVM(name, pool string, cores int64, labels ...string) PoolVM {
	return PoolVM{Name: name, Idle: true, VM: VM{Pool: pool, Capacity: resource.Vector{MilliCPU: 1000 * cores, MemoryMiB: 1000}, Labels: labels}}
}

// Load pattern: a peak that exceeds the capacity of the service's own VMs, with
// standby VMs available.
func TestStandbyVMsAreLentInAPeakAndReturnedAfterIt(t *testing.T) {
	now := time.Unix(1000, 0)
	busy := PoolLoad{Service: "s", Used: 8000, Capacity: 8000, Waiting: []WaitingGroup{{&api.TaskGroup{MilliCpu: 2000}, 6}}}
	spare := PoolLoad{Service: "spare", Standby: true}
	vms := []PoolVM{poolVM("own", "s", 8), poolVM("a", "spare", 8), poolVM("b", "spare", 8), poolVM("c", "spare", 8)}
	l := NewLending()
	if moves := l.Plan([]PoolLoad{busy, spare}, vms, now); len(moves) > 0 {
		t.Errorf("moves %v as soon as tasks wait", moves)
	}
	moves := l.Plan([]PoolLoad{busy, spare}, vms, now.Add(lendAfter))
	if len(moves) != 2 || moves[0] != (VMMove{"a", "s", "spare"}) || moves[1].VM != "b" {
		t.Errorf("moves %v, want two VMs for 12 cores", moves)
	}
	vms[1].Pool, vms[1].Home, vms[2].Pool, vms[2].Home = "s", "spare", "s", "spare"
	vms[1].Idle = false
	calm := PoolLoad{Service: "s", Used: 4000, Capacity: 24000}
	now = now.Add(time.Minute)
	l.Plan([]PoolLoad{calm, spare}, vms, now)
	if moves := l.Plan([]PoolLoad{calm, spare}, vms, now.Add(returnAfter-1)); len(moves) > 0 {
		t.Errorf("moves %v before the service was underused for long enough", moves)
	}
	if moves := l.Plan([]PoolLoad{calm, spare}, vms, now.Add(returnAfter)); len(moves) != 1 || moves[0] != (VMMove{"b", "spare", ""}) {
		t.Errorf("moves %v, want the idle VM returned", moves)
	}
	calm.Used = 10_000
	l.Plan([]PoolLoad{calm, spare}, vms, now.Add(time.Minute))
	if moves := l.Plan([]PoolLoad{calm, spare}, vms, now.Add(2*time.Minute)); len(moves) > 0 {
		t.Errorf("moves %v while the VMs are needed", moves)
	}
}

func TestOnlySuitableVMsAreLent(t *testing.T) {
	now := time.Unix(1000, 0)
	wait := func(group *api.TaskGroup, vm PoolVM) int {
		l := NewLending()
		load := []PoolLoad{{Service: "s", Waiting: []WaitingGroup{{group, 1}}}, {Service: "spare", Standby: true}, {Service: "other"}}
		l.Plan(load, []PoolVM{vm}, now)
		return len(l.Plan(load, []PoolVM{vm}, now.Add(lendAfter)))
	}
	moving := poolVM("a", "spare", 8)
	moving.State = VMMoving
	cases := []struct {
		name  string
		group *api.TaskGroup
		vm    PoolVM
		moves int
	}{
		{"fits", &api.TaskGroup{MilliCpu: 8000}, poolVM("a", "spare", 8), 1},
		{"too small", &api.TaskGroup{MilliCpu: 8001}, poolVM("a", "spare", 8), 0},
		{"without the label", &api.TaskGroup{RequiredLabel: "g"}, poolVM("a", "spare", 8, "a"), 0},
		{"with the label", &api.TaskGroup{MilliCpu: 1, RequiredLabel: "g"}, poolVM("a", "spare", 8, "g"), 1},
		{"not of a standby pool", &api.TaskGroup{MilliCpu: 1}, poolVM("a", "other", 8), 0},
		{"already moving", &api.TaskGroup{MilliCpu: 1}, moving, 0},
	}
	for _, c := range cases {
		if got := wait(c.group, c.vm); got != c.moves {
			t.Errorf("%s: %d moves, want %d", c.name, got, c.moves)
		}
	}
}
