package dispatch

import (
	"maps"
	"testing"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// An explanation that retraces the plan wrongly names workers that the plan doesn't
// use, or obstacles as they are before or after the turn of the job. Here a more urgent
// job takes room first and a less urgent one fills what the job cannot use.
func TestExplainJobTellsWhatTheNextPlanDoes(t *testing.T) {
	w := newFixture(t, 4)
	w.workers[3].Open = false
	w.submit(batchQueue, &api.TaskGroup{Count: 1, MilliCpu: 7000, EstimatedMs: 1000})
	w.plan()
	w.submit(urgentQueue, &api.TaskGroup{Count: 2, MilliCpu: 2500, EstimatedMs: 500})
	job := w.submit(batchQueue,
		&api.TaskGroup{Count: 4, MilliCpu: 6000, MemoryMib: 20_000, EstimatedMs: 1000},
		&api.TaskGroup{Count: 1, MilliCpu: 100, EstimatedMs: 1000, DependsOn: []int32{0}})
	w.submit(batchQueue, &api.TaskGroup{Count: 9, MilliCpu: 100, MemoryMib: 50_000, EstimatedMs: 60_000})
	var got Explanation
	w.state.Read(func(view jobs.View) { got, _ = ExplainJob(view, w.input(), job) })
	want, named := startsByWorker(w.planOnly(), job), map[string]int{}
	ready := got.Groups[0]
	for _, on := range ready.Workers {
		named[on.Worker] = on.Starts
	}
	if !maps.Equal(named, want) || ready.Starts != total(want) || ready.Starts == 0 {
		t.Errorf("starts %v, the plan has %v", named, want)
	}
	if ready.Left != 4-ready.Starts || ready.GroupsBefore != 1 || ready.Lateness != "in-time" || got.Priority != 2 {
		t.Errorf("%+v", ready)
	}
	if ready.Obstacles[ObstacleClosed] != 1 || ready.Obstacles[ObstacleCPU] != 3 || ready.Room == nil || ready.Room.LikelyMS == 0 {
		t.Errorf("obstacles %v, room %v", ready.Obstacles, ready.Room)
	}
	if got.Groups[1].State != GroupBlocked {
		t.Errorf("the dependent group is %s", got.Groups[1].State)
	}
}

// With reservations, the groups that hold one have two turns. An explanation with the
// turns of a plan without them names the wrong starts, or calls held room free.
func TestExplainJobTellsOfReservations(t *testing.T) {
	w, full := twoFull(t, 1)
	wide := w.submit(batchQueue, &api.TaskGroup{Count: 3, MilliCpu: 9000, EstimatedMs: 1000})
	w.reserved = w.schedule().Reservations
	for _, start := range full {
		if start.Run.Task.Index%5 == 0 {
			w.end(start, api.RunOutcome_RUN_OUTCOME_DONE)
		}
	}
	small := w.submit(batchQueue, &api.TaskGroup{Count: 9, MilliCpu: 1000, EstimatedMs: 5000})
	schedule := w.schedule()
	var ofWide, ofSmall Explanation
	w.state.Read(func(view jobs.View) {
		ofWide, _ = ExplainJob(view, w.input(), wide)
		ofSmall, _ = ExplainJob(view, w.input(), small)
	})
	held := schedule.Reservations
	if got := ofWide.Groups[0].Reservations; len(held) != 1 || len(got) != 1 || got[0].Worker != held[0].Worker ||
		got[0].LatestMS != held[0].At.Latest.Milliseconds() {
		t.Errorf("explained %+v, the plan holds %+v", got, held)
	}
	group := ofSmall.Groups[0]
	if group.Starts != total(startsByWorker(schedule.Starts, small)) || group.Obstacles[ObstacleReserved] != 1 || group.Obstacles[ObstacleCPU] != 1 {
		t.Errorf("%+v", group)
	}
}
