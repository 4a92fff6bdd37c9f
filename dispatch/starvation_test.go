package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
)

// Load pattern: best-effort jobs that interfere with the services on all workers come
// for 40 s, and one task of a group of seven is left. Guards against the failure seen on
// ballinure-sched (trouble-3, seed 392675968131): 12 to 19 jobs waited at the end though
// most room was free.
func TestLastTaskStartsBesideABacklogThatInterferes(t *testing.T) { testLastTaskStarts(t, 1.5) }

// The same with services that can spare nothing: paused runs hold their claims.
func TestLastTaskStartsBesidePausedRuns(t *testing.T) { testLastTaskStarts(t, 1.2) }

func testLastTaskStarts(t *testing.T, headroom Headroom) {
	replayInterferingBacklog(t, func(time.Duration) Headroom { return headroom })
}

// backlogReplay is what a replay shows of the waits and of the services.
type backlogReplay struct {
	longestWait time.Duration // from a job's submission to its first start
	started     int           // jobs
	lowest      Headroom      // of a service
	overTarget  int           // steps of workers whose service is over its target
}

// replayInterferingBacklog runs the load. headroomAt returns the headroom of the services without best-effort work.
func replayInterferingBacklog(t *testing.T, headroomAt func(time.Duration) Headroom) backlogReplay {
	result := backlogReplay{lowest: maxHeadroom}
	const step, taskTime, cores, costPerCore = 500 * time.Millisecond, 2 * time.Second, 2, 0.25
	w := newFixture(t, 4)
	pair := Pair{"s", "f"}
	pacers := map[string]*Pacer{}
	for i := range w.workers {
		w.serve(i, pair.Service, headroomAt(0))
		pacers[w.workers[i].Key] = NewPacer()
	}
	submit := func(count int32) string {
		return w.submit(batchQueue, &api.TaskGroup{Count: count, MilliCpu: 1000 * cores, EstimatedMs: 2000, BestEffort: true, Image: pair.BestEffort})
	}
	w.learned.Interference.Set(PairCost{pair, costPerCore})
	left, started := map[Start]time.Duration{}, map[string]bool{}
	round := func() {
		for i := range w.workers {
			worker := &w.workers[i]
			var services []ServiceHeadroom
			for _, service := range worker.Sample.Services {
				services = append(services, ServiceHeadroom(service))
			}
			var on []Start
			var runs []BestEffortRun
			for start := range left {
				if start.Worker == worker.Key {
					on, runs = append(on, start), append(runs, BestEffortRun{Image: pair.BestEffort, FullPaceCores: cores})
				}
			}
			for i := range runs {
				runs[i].Cores = worker.Sample.Cores[pair.BestEffort] / float64(len(runs))
			}
			used := 0.0
			for i, pace := range pacers[worker.Key].Update(services, runs, w.learned.Interference.PerCore) {
				used += cores * float64(pace) / FullPace
				if left[on[i]] -= step * time.Duration(pace) / FullPace; left[on[i]] <= 0 {
					w.end(on[i], api.RunOutcome_RUN_OUTCOME_DONE)
					delete(left, on[i])
				}
			}
			for run, service := range worker.Sample.Services {
				service.Headroom = max(headroomAt(w.now)-Headroom(costPerCore*used), 0.1)
				worker.Sample.Services[run] = service
				result.lowest = min(result.lowest, service.Headroom)
				if service.Headroom < targetHeadroom {
					result.overTarget++
				}
			}
			worker.Sample.Cores = map[string]float64{pair.BestEffort: used}
		}
		for _, start := range w.plan() {
			job := start.Run.Task.Job
			if left[start] = taskTime; !started[job] {
				started[job], result.longestWait = true, max(result.longestWait, w.now-w.submitted[job])
			}
		}
		w.now += step
	}
	for range 10 {
		submit(4)
		round()
	}
	seven := submit(7)
	for i := range int32(6) {
		w.end(w.startOn(0, seven, i), api.RunOutcome_RUN_OUTCOME_DONE)
	}
	for began := w.now; w.now-began < time.Minute; round() {
		if w.now-began < 40*time.Second {
			submit(4)
		}
	}
	if !started[seven] {
		t.Errorf("the last task has not started in 60 s; %d runs are active, %d jobs of %d have started", len(left), len(started), w.jobs)
	}
	result.started = len(started)
	return result
}
