package scheduler

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// Size of the largest planned fleet: 550 workers, 3,300 latency-critical and
// 6,600 batch tasks running, 70 teams, 640 accelerators.
const (
	fullVMs        = 550
	instancesPerVM = 6
	batchPerVM     = 12
	teams          = 70
)

// largeFleet is a set of nearly full VMs with its task table, learner and
// plan.
type largeFleet struct {
	now     time.Time
	vms     []VM
	table   *task.Table
	learner *Learner
	plan    *plan.DayPlan
	rng     *rand.Rand
}

// newLargeFleet returns a fleet in which each VM is nearly full.
func newLargeFleet(tb testing.TB, vms int) *largeFleet {
	tb.Helper()
	f := &largeFleet{now: now, table: task.NewTable(), learner: NewLearner(), rng: rand.New(rand.NewPCG(1, 1))}
	for i := range vms {
		v := vm(fmt.Sprintf("vm-%03d", i), fmt.Sprintf("zone-%d", i%5), fmt.Sprintf("rack-%d", i/15))
		v.Capacity.Accelerators = int64(i%4) * 64 / 82
		f.vms = append(f.vms, v)
	}
	f.plan = &plan.DayPlan{Number: 1, Day: "2026-12-04", LatencyWeight: 0.5}
	for i := range teams {
		f.plan.Teams = append(f.plan.Teams, plan.Team{Name: fmt.Sprintf("team-%d", i), Quota: cpu(int64(vms) * 32 / teams)})
	}
	for i := range vms * instancesPerVM / 11 {
		f.plan.Services = append(f.plan.Services, plan.Service{
			Name: fmt.Sprintf("s%d", i), Team: f.plan.Teams[i%teams].Name, Instances: 11, Size: cpu(2),
		})
	}
	for i := range vms * batchPerVM / 20 {
		f.plan.Jobs = append(f.plan.Jobs, plan.Job{
			Name: fmt.Sprintf("b%d", i), Team: f.plan.Teams[i%teams].Name, Tasks: 20, Size: cpu(1),
			RunTime: time.Hour, Priority: i % 3, Deadline: now.Add(12 * time.Hour),
		})
	}
	f.table.ApplyPlan(f.plan, f.now)
	f.fill(tb)
	f.report()
	return f
}

// fill places all tasks and starts them.
func (f *largeFleet) fill(tb testing.TB) {
	tb.Helper()
	for range 200 {
		f.now = f.now.Add(2 * time.Second)
		if f.round() == 0 {
			break
		}
		f.confirm()
	}
	f.confirm()
	if n := len(f.table.Pending()); n > 0 {
		tb.Fatalf("%d tasks do not fit", n)
	}
	f.now = f.now.Add(time.Hour)
}

// round makes and commits the decisions of one call and returns their number.
func (f *largeFleet) round() int {
	out := Decide(f.learner.Snapshot(f.now, f.plan, f.table, f.vms))
	for i := range out {
		d := &out[i]
		switch d.Action {
		case Place:
			if f.table.Place(f.now, d.Placement()) == nil {
				f.learner.RecordDecision(f.now, d)
			}
		case Evict:
			if f.table.RequestEvict(f.now, d.Task, d.Generation, string(d.Reason)) == nil {
				f.learner.RecordDecision(f.now, d)
			}
		}
	}
	return len(out)
}

// confirm reports starting tasks as running and stopping tasks as stopped.
func (f *largeFleet) confirm() {
	for i := range f.vms {
		vm := f.vms[i].ID
		for _, k := range slices.Clone(f.table.OnVM(vm)) {
			r := task.Report{Task: k.ID, Generation: k.Generation, Phase: task.PhaseRunning}
			if k.State == task.Stopping {
				r.Phase = task.PhaseStopped
			}
			f.table.Report(f.now, vm, r)
		}
	}
}

// report reports the use of all tasks for three windows.
func (f *largeFleet) report() {
	for range 3 {
		f.now = f.now.Add(10 * time.Second)
		f.reportOnce()
	}
}

func (f *largeFleet) reportOnce() {
	for i := range f.vms {
		f.learner.RecordUsage(f.now, &f.vms[i], f.samples(i), f.table, f.plan.LatencyWeight)
	}
}

func (f *largeFleet) samples(i int) []Sample {
	var samples []Sample
	for _, k := range f.table.OnVM(f.vms[i].ID) {
		s := Sample{
			Task: k.ID, Generation: k.Generation, Start: f.now.Add(-10 * time.Second), End: f.now,
			Used: resource.Vector{MilliCPU: k.Grant.MilliCPU * 9 / 10, MemoryMiB: k.Grant.MemoryMiB}, Speed: 0.99,
		}
		if k.Job.Class == task.LatencyCritical {
			s.Latency = time.Duration(20+f.rng.IntN(2)) * time.Millisecond
		}
		samples = append(samples, s)
	}
	return samples
}

// finishOne picks a random VM and finishes one of its batch tasks. It reports
// whether there was one.
func (f *largeFleet) finishOne() bool {
	vm := f.vms[f.rng.IntN(len(f.vms))].ID
	for _, k := range f.table.OnVM(vm) {
		if k.Job.Class == task.Batch && k.State == task.Running {
			return f.table.Report(f.now, vm, task.Report{Task: k.ID, Generation: k.Generation, Phase: task.PhaseFinished}) == task.Done
		}
	}
	return false
}

func forSizes(b *testing.B, run func(b *testing.B, vms int)) {
	for _, vms := range []int{fullVMs / 4, fullVMs / 2, fullVMs} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) { run(b, vms) })
	}
}

// timed calls step b.N times and reports the median and the 99th percentile
// of its duration.
func timed(b *testing.B, step func()) {
	var took []time.Duration
	b.ReportAllocs()
	for b.Loop() {
		begin := time.Now()
		step()
		took = append(took, time.Since(begin))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[(len(took)-1)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[(len(took)-1)*99/100].Microseconds())/1000, "p99-ms")
}

// BenchmarkRound measures a snapshot and one call of Decide at full load,
// after one task finished and a pending one takes its place. The clock
// advances by 34 ms a round, which is 29 rounds a second.
func BenchmarkRound(b *testing.B) {
	forSizes(b, func(b *testing.B, vms int) {
		f := newLargeFleet(b, vms)
		f.addJob("more", 36*vms)
		f.settle()
		placed := 0
		timed(b, func() {
			f.now = f.now.Add(34 * time.Millisecond)
			f.finishOne()
			placed += f.round()
		})
		b.ReportMetric(float64(placed)/float64(b.N), "decisions/op")
	})
}

// BenchmarkPeakSecond measures one round for a second of peak load, in which
// 29 tasks finish and 29 start.
func BenchmarkPeakSecond(b *testing.B) {
	forSizes(b, func(b *testing.B, vms int) {
		f := newLargeFleet(b, vms)
		f.addJob("more", 36*vms)
		f.settle()
		decided := 0
		timed(b, func() {
			f.now = f.now.Add(time.Second)
			for finished := 0; finished < 29; {
				if f.finishOne() {
					finished++
				}
			}
			decided += f.round()
			f.confirm()
		})
		b.ReportMetric(float64(decided)/float64(b.N), "decisions/op")
	})
}

// settle places pending tasks, with reports in between, until no more fit.
func (f *largeFleet) settle() {
	for f.round() > 0 {
		f.confirm()
		f.now = f.now.Add(time.Second)
		f.reportOnce()
	}
}

// addJob adds a job of small tasks.
func (f *largeFleet) addJob(name string, tasks int) {
	f.plan.Number++
	f.plan.Jobs = append(f.plan.Jobs, plan.Job{Name: name, Tasks: tasks, Size: cpu(1), RunTime: time.Hour})
	f.table.ApplyPlan(f.plan, f.now)
}

// BenchmarkDecide measures one call of Decide on a given snapshot with one
// task to place.
func BenchmarkDecide(b *testing.B) {
	forSizes(b, func(b *testing.B, vms int) {
		f := newLargeFleet(b, vms)
		f.addJob("one", 1)
		s := f.learner.Snapshot(f.now, f.plan, f.table, f.vms)
		timed(b, func() {
			if len(Decide(s)) != 1 {
				b.Fatal("want one decision")
			}
		})
	})
}

// BenchmarkSnapshot measures making a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	forSizes(b, func(b *testing.B, vms int) {
		f := newLargeFleet(b, vms)
		timed(b, func() { f.learner.Snapshot(f.now, f.plan, f.table, f.vms) })
	})
}

// BenchmarkUrgentAtFullLoad measures one call of Decide for an urgent task
// that has to preempt, while thousands of other tasks are pending.
func BenchmarkUrgentAtFullLoad(b *testing.B) {
	forSizes(b, func(b *testing.B, vms int) {
		f := newLargeFleet(b, vms)
		f.addJob("more", 36*vms)
		f.settle()
		f.addJob("urgent", 1)
		f.plan.Number++
		f.plan.Jobs[len(f.plan.Jobs)-1].Priority = plan.UrgentPriority
		f.plan.Jobs[len(f.plan.Jobs)-1].Size = cpu(28)
		f.table.ApplyPlan(f.plan, f.now)
		s := f.learner.Snapshot(f.now, f.plan, f.table, f.vms)
		timed(b, func() {
			if out := Decide(s); len(out) == 0 || out[0].Action != Evict {
				b.Fatalf("decided %v", out)
			}
		})
	})
}

// BenchmarkEvacuate measures the evacuation of a zone whose drain window is
// over: the first round, and all rounds until the zone is empty.
func BenchmarkEvacuate(b *testing.B) {
	forSizes(b, func(b *testing.B, vms int) {
		var first, all time.Duration
		tasks := 0
		for b.Loop() {
			b.StopTimer()
			f := newLargeFleet(b, vms)
			tasks = f.removeZone("zone-1")
			b.StartTimer()
			begin := time.Now()
			f.round()
			first += time.Since(begin)
			for !f.empty("zone-1") {
				b.StopTimer()
				f.confirm()
				f.now = f.now.Add(time.Second)
				b.StartTimer()
				begin := time.Now()
				f.round()
				all += time.Since(begin)
			}
		}
		b.ReportMetric(float64(first.Milliseconds())/float64(b.N), "first-ms")
		b.ReportMetric(float64((first+all).Milliseconds())/float64(b.N), "all-ms")
		b.ReportMetric(float64(tasks), "tasks")
	})
}

func (f *largeFleet) removeZone(zone string) int {
	tasks := 0
	for i := range f.vms {
		if f.vms[i].Zone == zone {
			f.vms[i].InService = false
			f.vms[i].OutOfServiceSince = f.now.Add(-time.Hour)
			tasks += len(f.table.OnVM(f.vms[i].ID))
		}
	}
	return tasks
}

func (f *largeFleet) empty(zone string) bool {
	for i := range f.vms {
		if f.vms[i].Zone == zone && len(f.table.OnVM(f.vms[i].ID)) > 0 {
			return false
		}
	}
	return true
}

// BenchmarkUsage measures the processing of one report of a VM with 18 tasks.
func BenchmarkUsage(b *testing.B) {
	f := newLargeFleet(b, fullVMs/4)
	f.now = f.now.Add(10 * time.Second)
	samples := f.samples(7)
	b.ReportAllocs()
	for b.Loop() {
		f.learner.RecordUsage(f.now, &f.vms[7], samples, f.table, 0.5)
	}
}

// BenchmarkState reports, per running task, the memory of the table and the
// learner and the encoded size of the table.
func BenchmarkState(b *testing.B) {
	forSizes(b, func(b *testing.B, vms int) {
		var before, after runtime.MemStats
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := newLargeFleet(b, vms)
			f.learner.Snapshot(f.now, f.plan, f.table, f.vms)
			runtime.GC()
			runtime.ReadMemStats(&after)
			data, err := f.table.Encode()
			if err != nil {
				b.Fatal(err)
			}
			tasks := float64(vms * (instancesPerVM + batchPerVM))
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/tasks, "heap-B/task")
			b.ReportMetric(float64(len(data))/tasks, "encoded-B/task")
			runtime.KeepAlive(f)
		}
	})
}
