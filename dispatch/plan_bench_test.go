package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// benchmarkSizes are numbers of workers: today's fleets and the size to build for.
var benchmarkSizes = []int{11, 60, 240, 1000}

// fullFleet returns a fleet whose CPU and memory are taken, with a backlog of one
// job for every four workers. Each job has 40 best-effort tasks.
func fullFleet(t testing.TB, workers int) *fixture {
	w := newFixture(t, workers)
	w.submit(urgentQueue, &api.TaskGroup{Count: int32(workers), MilliCpu: 6000, MemoryMib: 1000, LongRunning: true, TargetLatencyMs: 100, Image: "serving"})
	w.submit(batchQueue, &api.TaskGroup{Count: int32(5 * workers), MilliCpu: 2000, MemoryMib: 10_000, EstimatedMs: 1000, BestEffort: true, Image: "batch"})
	w.submit(batchQueue, &api.TaskGroup{Count: int32(2 * workers), MilliCpu: 2000, MemoryMib: 22_000, EstimatedMs: 1000})
	w.plan()
	for i := range workers / 4 {
		w.submit(batchQueue, &api.TaskGroup{
			Count: 40, MilliCpu: 3500, MemoryMib: 6400, EstimatedMs: 1000 + int64(i), BestEffort: true, Image: fmt.Sprintf("image%d", i%30),
		})
	}
	return w
}

// overSizes runs a benchmark on a full fleet of each size.
func overSizes(b *testing.B, name string, run func(b *testing.B, w *fixture)) {
	for _, workers := range benchmarkSizes {
		b.Run(fmt.Sprintf(name, workers), func(b *testing.B) {
			w := fullFleet(b, workers)
			b.ReportAllocs()
			run(b, w)
		})
	}
}

// BenchmarkPlanBacklog measures a plan over a backlog while nothing becomes free.
func BenchmarkPlanBacklog(b *testing.B) {
	overSizes(b, "workers=%d", benchmarkPlan)
	overSizes(b, "fair/workers=%d", func(b *testing.B, w *fixture) {
		w.policy.FairShares = true
		benchmarkPlan(b, w)
	})
}

// BenchmarkPlanBacklogReserving measures the same with wide tasks and with small ones that
// fit only into reserved room: without reservations, while they are held, and while each
// plan makes them anew.
func BenchmarkPlanBacklogReserving(b *testing.B) {
	for _, reservations := range []string{"off", "held", "made"} {
		b.Run("workers=240/"+reservations, func(b *testing.B) {
			w := fullFleet(b, 240)
			for i := range 10 {
				w.submit(batchQueue, &api.TaskGroup{Count: 4, MilliCpu: 3500, MemoryMib: 99_000, EstimatedMs: 1000})
				w.submit(batchQueue, &api.TaskGroup{Count: 40, MilliCpu: 1500, MemoryMib: 10_000, EstimatedMs: 30_000 + int64(i)})
			}
			if reservations != "off" {
				w.policy.Reservations = 8
			}
			if reservations == "held" {
				w.reserved = w.schedule().Reservations
				for _, r := range w.reserved { // the room that gathers on the reserved workers
					i := slices.IndexFunc(w.workers, func(worker Worker) bool { return worker.Key == r.Worker })
					w.workers[i].Capacity = w.workers[i].Capacity.Add(resource.Vector{MilliCPU: 2000, MemoryMiB: 9000})
				}
				w.plan() // the tasks that end in time
			}
			if n := len(w.schedule().Reservations); n != w.policy.Reservations {
				b.Fatalf("%d reservations", n)
			}
			benchmarkPlan(b, w)
		})
	}
}

// BenchmarkPlanStarvingBacklog measures the same once the jobs have waited for
// longer than starvationTimeout.
func BenchmarkPlanStarvingBacklog(b *testing.B) {
	overSizes(b, "workers=%d", func(b *testing.B, w *fixture) {
		w.now = starvationTimeout + time.Second
		benchmarkPlan(b, w)
	})
}

func benchmarkPlan(b *testing.B, w *fixture) {
	b.ReportAllocs()
	for b.Loop() {
		if n := len(w.planOnly()); n > 0 {
			b.Fatalf("%d starts on a full fleet", n)
		}
	}
}

// BenchmarkAdmitBacklog measures the admission of a job behind a backlog.
func BenchmarkAdmitBacklog(b *testing.B) {
	group := &api.TaskGroup{Count: 40, MilliCpu: 3500, MemoryMib: 6400, EstimatedMs: 1000}
	overSizes(b, "workers=%d", func(b *testing.B, w *fixture) {
		for b.Loop() {
			w.admit(batchQueue, 100, group)
		}
	})
	overSizes(b, "forecast/workers=%d", func(b *testing.B, w *fixture) {
		w.learned.Durations.Learn(batchQueue, 1000, 1000)
		w.learned.Durations.Learn(urgentQueue, 1000, 1000)
		for b.Loop() {
			w.admitForecast(batchQueue, NewArrivals(), group)
		}
	})
}

// BenchmarkExplainJob measures the explanation of the last job of a backlog.
func BenchmarkExplainJob(b *testing.B) {
	overSizes(b, "workers=%d", func(b *testing.B, w *fixture) {
		for b.Loop() {
			w.state.Read(func(view jobs.View) { ExplainJob(view, w.input(), fmt.Sprintf("job%d", w.jobs)) })
		}
	})
}

// BenchmarkCloneState measures the copy of the state that the explanation of a job that
// is not sent works on.
func BenchmarkCloneState(b *testing.B) {
	overSizes(b, "workers=%d", func(b *testing.B, w *fixture) {
		for b.Loop() {
			w.state.Clone()
		}
	})
}

// BenchmarkPreemptBacklog measures a search for victims over a backlog on a full fleet:
// nothing may give way, or the runs of expired jobs.
func BenchmarkPreemptBacklog(b *testing.B) {
	for name, age := range map[string]time.Duration{"none": 0, "expired": expiredAt} {
		overSizes(b, "workers=%d/"+name, func(b *testing.B, w *fixture) {
			r := newPreemptionRig(b, 0)
			r.fixture, w.policy.Preemption, w.pace, w.now = w, true, 10, age
			w.state.Read(func(view jobs.View) {
				for job := range w.submitted {
					if view.Job(job).ActiveRuns() == 0 {
						w.submitted[job] = age
					}
				}
			})
			for b.Loop() {
				r.victims()
			}
		})
	}
}

// BenchmarkRoomAt measures the forecast of room on each of 240 workers with 10 runs.
func BenchmarkRoomAt(b *testing.B) {
	w := newFixture(b, 240)
	w.submit(urgentQueue, &api.TaskGroup{Count: 2400, MilliCpu: 1000, EstimatedMs: 1000, Image: "i"})
	w.plan()
	w.now, w.percent = time.Second, 30
	w.state.Read(func(view jobs.View) {
		fleet := newFleetLoad(view, w.workers)
		for b.Loop() {
			f := newForecast(view, w.input())
			for _, l := range fleet.workers {
				f.roomAt(l, resource.Vector{MilliCPU: 4000})
			}
		}
	})
}
