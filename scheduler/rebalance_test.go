package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// returnedZoneSnapshot returns two zones with four VMs in two racks each, all
// eight instances of a service in Limerick, and Cork empty because it just
// returned.
func returnedZoneSnapshot() *Snapshot {
	s := &Snapshot{Now: now, RebalancesLeft: 1, RebalanceWithinZones: true}
	for i := range 8 {
		zone := []string{"Cork", "Limerick"}[i/4]
		s.VMs = append(s.VMs, vm(fmt.Sprintf("vm-%d", i), zone, fmt.Sprintf("r%d", i/2)))
	}
	for i := range 8 {
		s.Tasks = append(s.Tasks, instance(i, s.VMs[4+i%4].ID))
	}
	return s
}

func instance(i int, vm string) Task {
	t := runningTask(task.TaskID("service/ledger", i), vm, cpu(8))
	t.Class = task.LatencyCritical
	t.Since = now.Add(-time.Hour)
	return t
}

func TestServicesAreRebalancedOneInstanceAtATime(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Snapshot)
		moves  int
	}{
		{"an instance moves to the zone that returned", func(*Snapshot) {}, 1},
		{"one of a service moves although the budget allows more", func(s *Snapshot) { s.RebalancesLeft = 5 }, 1},
		{"none moves without budget", func(s *Snapshot) { s.RebalancesLeft = 0 }, 0},
		{"none moves while another one is stopping", func(s *Snapshot) { s.Tasks[7].State = task.Stopping }, 0},
		{"none moves while another one is starting", func(s *Snapshot) { s.Tasks[7].State = task.Starting }, 0},
		{"none moves while another one has just started", func(s *Snapshot) { s.Tasks[7].Since = now.Add(-time.Second) }, 0},
		{"none moves while another one waits for a VM", func(s *Snapshot) {
			s.Pending = []Task{s.Tasks[7]}
			s.Tasks = s.Tasks[:7]
			s.Pending[0].State, s.Pending[0].NotBefore = task.Pending, now.Add(time.Hour)
		}, 0},
		{"none moves while the VM of another one is not fresh", func(s *Snapshot) { s.VMs[7].Fresh = false }, 0},
		{"none of a service of three moves", func(s *Snapshot) {
			s.Tasks = s.Tasks[:3]
			s.Tasks[1].VM, s.Tasks[2].VM = s.Tasks[0].VM, s.Tasks[0].VM
		}, 0},
		{"none moves while a zone is evacuated", func(s *Snapshot) {
			s.VMs = append(s.VMs, vm("vm-8", "Kildare", "r9"))
			s.VMs[8].InService, s.VMs[8].OutOfServiceSince = false, now
			s.Tasks = append(s.Tasks, runningTask("job/sort/0", "vm-8", capacity))
			s.Pending = []Task{pendingTask("job/waits/0", cpu(40))}
		}, 0},
		{"none moves to VMs that came into service within the ramp", func(s *Snapshot) {
			for i := range 4 {
				s.VMs[i].InServiceSince = now.Add(-rampTime / 2)
			}
		}, 0},
		{"none moves to VMs where the job failed", func(s *Snapshot) {
			for i := range s.Tasks {
				s.Tasks[i].Avoid = []string{"vm-0", "vm-1", "vm-2", "vm-3"}
			}
		}, 0},
		{"none moves to VMs that are full of batch", func(s *Snapshot) {
			for i := range 4 {
				s.Tasks = append(s.Tasks, runningTask(fmt.Sprintf("job/sort/%d", i), s.VMs[i].ID, cpu(25)))
			}
		}, 0},
		{"no instance that moved recently moves again", func(s *Snapshot) {
			for i := range s.Tasks {
				s.Tasks[i].Movable = false
			}
		}, 0},
		{"an instance moves to an emptier rack when zones and VMs stay as even", func(s *Snapshot) {
			s.Tasks = s.Tasks[:4]
			for i := range 4 {
				s.Tasks[i].VM = []string{"vm-0", "vm-1", "vm-4", "vm-5"}[i]
			}
		}, 1},
		{"none moves to an emptier VM with one instance fewer", func(s *Snapshot) {
			s.Tasks = slices.Delete(s.Tasks[:8], 5, 6)
			for i := range 4 {
				s.Tasks = append(s.Tasks, runningTask(fmt.Sprintf("job/sort/%d", i), s.VMs[i].ID, cpu(25)))
			}
			s.Tasks = append(s.Tasks, runningTask("job/sort/4", "vm-4", cpu(16)))
		}, 0},
		{"none moves between zones that differ by one instance", func(s *Snapshot) {
			s.Tasks = s.Tasks[:7]
			for i := range 3 {
				s.Tasks[i].VM = s.VMs[i].ID
			}
		}, 0},
		{"an instance moves from a VM that holds two to one that holds none", func(s *Snapshot) {
			for i := range 4 {
				s.Tasks[i].VM = s.VMs[i].ID
			}
			s.Tasks[1].VM = s.VMs[0].ID
		}, 1},
		{"none moves between VMs of even zones when the budget is kept for zones", func(s *Snapshot) {
			for i := range 4 {
				s.Tasks[i].VM = s.VMs[i].ID
			}
			s.Tasks[1].VM = s.VMs[0].ID
			s.RebalanceWithinZones = false
		}, 0},
	}
	for _, c := range cases {
		s := returnedZoneSnapshot()
		c.change(s)
		if got := rebalanced(Decide(s)); len(got) != c.moves {
			t.Errorf("%s: %v, want %d moves", c.name, got, c.moves)
		}
	}
}

func rebalanced(out []Decision) []string {
	var ids []string
	for i := range out {
		if out[i].Reason == ReasonRebalance {
			ids = append(ids, out[i].Task)
		}
	}
	return ids
}

func TestCapacityIsReservedForAMovingInstance(t *testing.T) {
	s := returnedZoneSnapshot()
	moving := slices.IndexFunc(s.Tasks, func(k Task) bool { return k.ID == rebalanced(Decide(s))[0] })
	s.Tasks[moving].State = task.Stopping
	for i := range 3 {
		s.VMs[i].Capacity = cpu(1)
	}
	s.Pending = []Task{pendingTask("job/sort/0", cpu(30))}
	if got := placedOn(Decide(s), "job/sort/0"); got != "" {
		t.Errorf("the batch task took the reserved capacity on %s", got)
	}
	s.Tasks[moving].State = task.Running
	s.RebalancesLeft = 0
	if got := placedOn(Decide(s), "job/sort/0"); got != "vm-3" {
		t.Errorf("the batch task is on %q while nothing moves, want vm-3", got)
	}
}

// TestRebalancingTerminates completes rebalancing moves on random VMs until
// there are no more.
func TestRebalancingTerminates(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawFleet(r)
		instances := len(s.Tasks)
		bound := instances * instances * 3
		for moves := 0; ; moves++ {
			out := Decide(s)
			moved := rebalanced(out)
			if len(moved) > 1 || len(moved) != len(out) {
				r.Fatalf("decided %+v", out)
			}
			if len(moved) == 0 {
				return
			}
			if moves > bound {
				r.Fatalf("not balanced after %d moves of %d instances", moves, instances)
			}
			completeMove(r, s, moved[0])
		}
	})
}

// drawFleet draws VMs of different sizes and zones, the instances of one
// service, and some batch tasks where they fit.
func drawFleet(r *rapid.T) *Snapshot {
	s := &Snapshot{Now: now, RebalancesLeft: 3, RebalanceWithinZones: rapid.Bool().Draw(r, "spread VMs")}
	free := map[string]int64{}
	for i := range rapid.IntRange(2, 9).Draw(r, "VMs") {
		v := vm(fmt.Sprintf("vm-%d", i), rapid.SampledFrom([]string{"Cork", "Limerick", "Kildare"}).Draw(r, "zone"), fmt.Sprintf("r%d", i/3))
		cores := rapid.Int64Range(4, 32).Draw(r, "cores")
		v.Capacity = resource.Vector{MilliCPU: 1000 * cores, MemoryMiB: 128000}
		if b := rapid.Int64Range(0, 8).Draw(r, "batch"); b > 0 && b <= cores {
			s.Tasks = append(s.Tasks, runningTask(fmt.Sprintf("job/sort/%d", i), v.ID, cpu(b)))
			cores -= b
		}
		free[v.ID] = 1000*cores - 2000
		s.VMs = append(s.VMs, v)
	}
	for i := range rapid.IntRange(1, 14).Draw(r, "instances") {
		on := rapid.SampledFrom(s.VMs).Draw(r, "on").ID
		if free[on] -= 2000; free[on] >= 0 {
			k := instance(i, on)
			k.Grant = cpu(2)
			s.Tasks = append(s.Tasks, k)
		}
	}
	return s
}

// completeMove stops an instance, places it again, and checks that the others
// keep running and that no other task is stopped.
func completeMove(r *rapid.T, s *Snapshot, id string) {
	n := slices.IndexFunc(s.Tasks, func(k Task) bool { return k.ID == id })
	s.Tasks[n].State = task.Stopping
	if out := Decide(s); len(out) != 0 {
		r.Fatalf("decided %+v while %s stops", out, id)
	}
	k := s.Tasks[n]
	k.State = task.Pending
	s.Tasks = slices.Delete(s.Tasks, n, n+1)
	s.Pending = []Task{k}
	if up := runningInstances(s); 4*up < 3*(up+1) {
		r.Fatalf("%d of %d instances up", up, up+1)
	}
	out := Decide(s)
	if len(out) != 1 || out[0].Action != Place || out[0].VM == k.VM {
		r.Fatalf("decided %+v for %s of %s", out, id, k.VM)
	}
	k.State, k.VM = task.Running, out[0].VM
	s.Tasks, s.Pending = append(s.Tasks, k), nil
}

func runningInstances(s *Snapshot) int {
	up := 0
	for i := range s.Tasks {
		if s.Tasks[i].Class == task.LatencyCritical && s.Tasks[i].State == task.Running {
			up++
		}
	}
	return up
}

func TestBudgetLimitsRebalancingMoves(t *testing.T) {
	l := NewLearner()
	const vms = 11
	moves := 0
	for at := now; at.Sub(now) < 4*time.Hour; at = at.Add(time.Second) {
		l.rebalanceBudget.refill(at, vms)
		if l.rebalancesLeft(at) == 0 {
			continue
		}
		l.RecordDecision(at, &Decision{Action: Evict, Task: "service/ledger/0", Reason: ReasonRebalance})
		moves++
		if l.rebalanceBudget.full(vms) {
			t.Fatal("the budget is full after a move")
		}
	}
	if want := int(rebalanceBurst + 4*rebalancesPerHour); moves > want || moves < int(rebalanceBurst) {
		t.Errorf("%d moves in four hours, want %d to %d", moves, int(rebalanceBurst), want)
	}
}

func TestImmovableServiceDoesNotBlockRebalancingOfOthers(t *testing.T) {
	s := &Snapshot{Now: now, RebalancesLeft: 1, VMs: []VM{vm("vm-cork", "Cork", "r0")}}
	for i := range maxRebalanceAttempts + 1 {
		v := vm(fmt.Sprintf("vm-%d", i), "Limerick", fmt.Sprintf("r%d", i))
		s.VMs = append(s.VMs, v)
		stuck := instance(i, v.ID)
		stuck.Avoid = []string{"vm-cork"}
		free := instance(i, v.ID)
		free.Job, free.ID = "service/steward", task.TaskID("service/steward", i)
		s.Tasks = append(s.Tasks, stuck, free)
	}
	moved := 0
	for range 2 {
		moved += len(rebalanced(Decide(s)))
		s.Now = s.Now.Add(time.Second)
	}
	if moved == 0 {
		t.Error("the service that can move never got a turn")
	}
}
