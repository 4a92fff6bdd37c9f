package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// sampledVM is a VM with a service instance and two batch tasks, and a
// learner that receives its samples.
type sampledVM struct {
	vm      VM
	table   *task.Table
	learner *Learner
	plan    *plan.DayPlan
	now     time.Time
}

func newSampledVM(t *testing.T) *sampledVM {
	t.Helper()
	x := &sampledVM{vm: vm("vm-1", "Cork", "r1"), table: task.NewTable(), learner: NewLearner(), now: now}
	x.plan = &plan.DayPlan{
		Number: 1, LatencyWeight: 0.5,
		Zones:    []plan.Zone{{Name: "Cork", InService: true}},
		Services: []plan.Service{{Name: "ledger", Instances: 1, Size: cpu(6)}},
		Jobs:     []plan.Job{{Name: "noisy", Tasks: 1, Size: cpu(8)}, {Name: "quiet", Tasks: 1, Size: cpu(8)}},
	}
	x.table.ApplyPlan(x.plan, x.now)
	for _, id := range []string{"service/ledger/0", "job/noisy/0", "job/quiet/0"} {
		d := Decision{Action: Place, Task: id, Generation: 1, VM: x.vm.ID, Zone: "Cork", Capacity: capacity, Grant: cpu(6)}
		if err := x.table.Place(x.now, d.Placement()); err != nil {
			t.Fatal(err)
		}
		x.learner.RecordDecision(x.now, &d)
		x.table.Report(x.now, x.vm.ID, task.Report{Task: id, Generation: 1, Phase: task.PhaseRunning})
	}
	return x
}

// reportWindow reports samples over ten seconds that ended lag ago.
func (x *sampledVM) reportWindow(lag time.Duration, latency time.Duration, noisyRuns bool) {
	x.now = x.now.Add(10 * time.Second)
	end := x.now.Add(-lag)
	sample := func(id string, cores float64) Sample {
		used := resource.Vector{MilliCPU: int64(1000 * cores), MemoryMiB: 1000}
		return Sample{Task: id, Generation: 1, Start: end.Add(-10 * time.Second), End: end, Used: used}
	}
	instance := sample("service/ledger/0", 2)
	instance.Latency = latency
	samples := []Sample{instance, sample("job/quiet/0", 6)}
	noisy := sample("job/noisy/0", 6)
	if !noisyRuns { // it runs in the interval after the measured one
		noisy.Start, noisy.End = end, end.Add(10*time.Second)
	}
	samples = append(samples, noisy)
	x.learner.RecordUsage(x.now, &x.vm, samples, x.table, x.plan.LatencyWeight)
}

func (x *sampledVM) decide() []Decision {
	out := Decide(x.learner.Snapshot(x.now, x.plan, x.table, []VM{x.vm}))
	for i := range out {
		x.learner.RecordDecision(x.now, &out[i])
	}
	return out
}

func TestDelayedSlowdownIsAttributedToTasksOfItsInterval(t *testing.T) {
	x := newSampledVM(t)
	rng := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		noisy := rng.IntN(2) == 0
		latency := 20 * time.Millisecond
		if noisy {
			latency = 30 * time.Millisecond
		}
		x.reportWindow(20*time.Second, latency, noisy)
	}
	view := x.learner.interference.View()
	noisy := view.Slowdown("service/ledger", "job/noisy", 6)
	quiet := view.Slowdown("service/ledger", "job/quiet", 6)
	if noisy < 0.25 || quiet > 0.1 {
		t.Errorf("slowdown of %.2f attributed to noisy and %.2f to quiet, want about 0.4 and 0", noisy, quiet)
	}
}

func TestMitigationIsNotRepeatedBeforeItsEffectIsMeasured(t *testing.T) {
	x := newSampledVM(t)
	rng := rand.New(rand.NewPCG(7, 7))
	for range 200 {
		noisy := rng.IntN(2) == 0
		x.reportWindow(20*time.Second, 20*time.Millisecond, noisy)
	}
	throttles := 0
	for range 4 {
		x.reportWindow(20*time.Second, 40*time.Millisecond, true)
		throttles += len(x.decide())
		throttles += len(x.decide())
	}
	if throttles != 1 {
		t.Errorf("%d mitigations, want 1 until a window that began after it is measured", throttles)
	}
}

func TestPeriodicInterferenceCausesNoEvictions(t *testing.T) {
	x := newSampledVM(t)
	rng := rand.New(rand.NewPCG(7, 7))
	evictions := 0
	for i := range 2000 {
		latency := 20 * time.Millisecond
		if wave := i%20 < 4; wave {
			latency = 32 * time.Millisecond
		}
		noise := 1 + 0.05*rng.NormFloat64()
		x.reportWindow(20*time.Second, time.Duration(float64(latency)*noise), true)
		evictions += len(evicted(x.decide()))
	}
	if evictions > 0 {
		t.Errorf("%d evictions by interference peaks of forty seconds", evictions)
	}
}

func TestASnapshotHoldsTheDueTasksOfALargeJob(t *testing.T) {
	x := newSampledVM(t)
	x.plan.Number++
	x.plan.Jobs[1].Tasks = 3 * maxPlacements
	x.table.ApplyPlan(x.plan, x.now)
	for i := 1; i <= 2*maxPlacements; i++ {
		id := task.TaskID("job/quiet", i)
		if err := x.table.Place(x.now, task.Placement{Task: id, Generation: 1, VM: "vm-9"}); err != nil {
			t.Fatal(err)
		}
		x.table.Report(x.now, "vm-9", task.Report{Task: id, Generation: 1, Phase: task.PhaseFailed})
	}
	due := 0
	s := x.learner.Snapshot(x.now, x.plan, x.table, []VM{x.vm})
	for i := range s.Pending {
		if !s.Pending[i].NotBefore.After(s.Now) {
			due++
		}
	}
	if due != maxPlacements-1 || len(s.Pending) > 2*maxPlacements {
		t.Errorf("%d due of %d described, want %d", due, len(s.Pending), maxPlacements-1)
	}
}

func TestLearntSizesReachTheNextPlacement(t *testing.T) {
	x := newSampledVM(t)
	for range 100 {
		x.reportWindow(20*time.Second, 20*time.Millisecond, true)
	}
	x.plan.Number++
	x.plan.Jobs[0].Tasks = 2
	x.table.ApplyPlan(x.plan, x.now)
	s := x.learner.Snapshot(x.now, x.plan, x.table, []VM{x.vm})
	if len(s.Pending) != 1 {
		t.Fatalf("%d pending", len(s.Pending))
	}
	p := &s.Pending[0]
	if p.Need.MilliCPU < 5900 || p.Need.MilliCPU > 6500 || p.Grant.MilliCPU >= p.Need.MilliCPU {
		t.Errorf("need %v and grant %v for a use of 6 cores, declared 8", p.Need, p.Grant)
	}
}
