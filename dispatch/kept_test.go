package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
)

// Guards against services that are over their target for long because of runs that their
// agents may not pause (issue 47): each of them costs little, and nothing bounds how many
// gather on a worker. Without best-effort work the services are under their target. The
// bound is interference_ms of the rule HARM.
func TestKeptRunsLeaveServicesUnderTheirTarget(t *testing.T) {
	const step, bound, headroom, cost, cores = 250 * time.Millisecond, 4 * time.Second, 1.1, 0.25, 2.0
	w := newInterfering(t, 7000, headroom)
	for range 60 {
		w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: cores * 1000, MemoryMib: 100, EstimatedMs: 60_000, BestEffort: true, Image: "f"})
	}
	kept, over := map[string]float64{}, map[string]time.Duration{}
	for w.now < 15*time.Second {
		w.pass(step)
		s := w.schedule()
		for _, start := range s.Starts {
			w.start(start)
		}
		for _, start := range s.Kept {
			kept[start.Worker]++
		}
		for i := range w.workers {
			worker := &w.workers[i]
			used := kept[worker.Key] * cores * MinPace / FullPace
			worker.Sample.Cores = map[string]float64{"f": used}
			now := Headroom(headroom - cost*used)
			for run, service := range worker.Sample.Services {
				service.Headroom = now
				worker.Sample.Services[run] = service
			}
			if over[worker.Key] += step; now >= targetHeadroom {
				over[worker.Key] = 0
			}
			if over[worker.Key] > bound {
				t.Fatalf("after %v %s has %.0f runs that its agent may not pause; its service has had a headroom under %.1f for %v, now %.2f",
					w.now, worker.Key, kept[worker.Key], targetHeadroom, over[worker.Key], now)
			}
		}
	}
}

// Guards against a job that waits beside a service that is mostly unused because workers of
// another service, which its tasks can't use, are full (issue 47). The rule of 3 s asks for
// the capacity of the job's own service.
func TestAJobStartsInTimeBesideAnotherServiceThatIsFull(t *testing.T) {
	const step, bound = 250 * time.Millisecond, 3 * time.Second
	w := newInterfering(t, 8000, 1.4)
	for i := 1; i < len(w.workers); i++ {
		w.startOn(i, w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 2000, EstimatedMs: 60_000}), 0)
		w.startOn(i, w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: 8000, EstimatedMs: 60_000, BestEffort: true, Image: "g"}), 0)
		w.workers[i].Service = "t"
	}
	id := w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: 1900, MemoryMib: 100, EstimatedMs: 1700, BestEffort: true, Image: "f"})
	w.learned.Interference.Set(PairCost{Pair{"s", "f"}, 0.5})
	started := 0
	for w.now < bound && started == 0 {
		w.pass(step)
		started = total(startsByWorker(w.plan(), id))
	}
	if started == 0 {
		t.Errorf("no task has started after %v", w.now)
	}
}
