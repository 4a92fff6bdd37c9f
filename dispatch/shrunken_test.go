package dispatch

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// Load pattern: a quarter of the workers shrink to 0.55 from 5 s to 19 s, and 1.4 times as
// much is submitted from 11 s to 17 s. Guards against best-effort runs that stand still on
// such workers, beside counted runs that get CPU first, while others have room.
func TestBestEffortRunsLeaveShrunkenWorkers(t *testing.T) {
	before, _ := replayShrink(t, false)
	if longest, moves := replayShrink(t, true); longest > time.Second || moves == 0 || before <= time.Second {
		t.Errorf("runs stand still for up to %v, %d moves; %v without", longest, moves, before)
	}
}

// replayShrink returns for how long a best-effort run stood still at most on a worker with too
// much counted work, and the number of moves.
func replayShrink(t *testing.T, enabled bool) (longest time.Duration, moves int) {
	const step, taskTime, rate = 100 * time.Millisecond, 4 * time.Second, 2.8 // tasks a step, on 240 cores
	w := newFixture(t, 24)
	w.policy.MoveFromShrunk, w.since = enabled, map[jobs.RunID]time.Duration{}
	worked, stuck := map[jobs.TaskID]time.Duration{}, map[jobs.RunID]time.Duration{}
	stoppedAt, movedAt := map[jobs.RunID]time.Duration{}, map[string]time.Duration{}
	state := shrunkenState()
	state.Recently = func(job string) bool { return w.now-movedAt[job] < ShrunkenMovePause && movedAt[job] > 0 }
	between := func(from, to time.Duration) bool { return w.now >= from*time.Second && w.now < to*time.Second }
	for submitted, due := 0, 0.0; w.now < 25*time.Second; w.now += step {
		for due += rate; float64(submitted) < due; submitted++ {
			w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 1000, EstimatedMs: taskTime.Milliseconds()})
		}
		if between(11, 17) {
			due += 0.4 * rate
		}
		w.submit(batchQueue, &api.TaskGroup{Count: 2, MilliCpu: 1000, EstimatedMs: taskTime.Milliseconds(), BestEffort: true, Checkpointing: true})
		for i := range w.workers {
			if w.workers[i].Capacity.MilliCPU = 10_000; i < len(w.workers)/4 && between(5, 19) {
				w.workers[i].Capacity.MilliCPU = 5500
			}
			runs, counted := w.runsOn(i)
			cores := float64(w.workers[i].Capacity.MilliCPU) / 1000
			for start, group := range runs {
				pace := min(1, cores/counted)
				if group.BestEffort {
					pace = min(1, max(cores-counted, 0)/(float64(len(runs))-counted))
					if stuck[start.Run] += step; counted <= cores {
						stuck[start.Run] = 0
					}
					longest = max(longest, stuck[start.Run])
				}
				if at, stopping := stoppedAt[start.Run]; stopping && w.now-at >= 2*step {
					delete(state.Stopping, start.Run)
					w.end(start, api.RunOutcome_RUN_OUTCOME_STOPPED)
				} else if worked[start.Run.Task] += time.Duration(pace * float64(step)); worked[start.Run.Task] >= taskTime {
					w.end(start, api.RunOutcome_RUN_OUTCOME_DONE)
				}
			}
		}
		for _, start := range w.plan() {
			w.since[start.Run] = w.now
		}
		chosen := w.moveFromShrunken(w.input(), state)
		for _, move := range chosen {
			if _, again := stoppedAt[move.Run]; again || state.Recently(move.Run.Task.Job) && movedAt[move.Run.Task.Job] < w.now {
				t.Errorf("%v: %v is moved again", w.now, move.Run)
			}
			state.Stopping[move.Run], stoppedAt[move.Run], movedAt[move.Run.Task.Job] = true, w.now, w.now
		}
		if moves += len(chosen); len(chosen) > maxShrunkenMoves {
			t.Errorf("%v: %d moves", w.now, len(chosen))
		}
	}
	return longest, moves
}

// runsOn returns the groups of the runs on a worker, and how many of them are counted.
func (w *fixture) runsOn(worker int) (runs map[Start]*api.TaskGroup, counted float64) {
	runs = map[Start]*api.TaskGroup{}
	w.state.Read(func(view jobs.View) {
		view.RunsOn(w.workers[worker].Key, func(run jobs.RunID, group *jobs.Group) {
			if runs[Start{run, w.workers[worker].Key}] = group.Spec; !group.Spec.BestEffort {
				counted++
			}
		})
	})
	return runs, counted
}

func (w *fixture) moveFromShrunken(in Input, state ShrunkenState) (moves []ShrunkenMove) {
	w.state.Read(func(view jobs.View) { moves = MoveFromShrunken(view, in, state) })
	return moves
}

func shrunkenState() ShrunkenState {
	return ShrunkenState{
		Leading: time.Hour, Stopping: map[jobs.RunID]bool{}, Recently: func(string) bool { return false },
		Serving: func(jobs.RunID) bool { return true },
	}
}

// A worker with a counted run and 12 best-effort runs shrinks. Guards against moves that lose
// the most work, break a budget or come too soon, and against too many in a round.
func TestMovesFromShrunkenWorkersAreBounded(t *testing.T) {
	first := jobs.RunID{Task: jobs.TaskID{Job: "job2"}, Number: 1}
	cpu, memory := resource.Vector{MilliCPU: 5500, MemoryMiB: 100_000}, resource.Vector{MilliCPU: 10_000, MemoryMiB: 9500}
	for _, c := range []struct {
		name     string
		capacity resource.Vector
		moves    int
		spoil    func(*fixture, *ShrunkenState, *api.TaskGroup)
	}{
		{"counted CPU", cpu, maxShrunkenMoves, func(*fixture, *ShrunkenState, *api.TaskGroup) {}},
		{"checkpoints", cpu, maxShrunkenMoves, func(_ *fixture, _ *ShrunkenState, g *api.TaskGroup) { g.Checkpointing = true }},
		{"memory", memory, 3, func(*fixture, *ShrunkenState, *api.TaskGroup) {}},
		{"memory, of which a stop frees some", memory, 2, func(_ *fixture, s *ShrunkenState, _ *api.TaskGroup) { s.Stopping[first] = true }},
		{"enough", resource.Vector{MilliCPU: 8000, MemoryMiB: 12_000}, 0, func(*fixture, *ShrunkenState, *api.TaskGroup) {}},
		{"switched off", cpu, 0, func(w *fixture, _ *ShrunkenState, _ *api.TaskGroup) { w.policy.MoveFromShrunk = false }},
		{"new leader", cpu, 0, func(_ *fixture, s *ShrunkenState, _ *api.TaskGroup) { s.Leading = ShrunkenMovePause - 1 }},
		{"moved before", cpu, 0, func(_ *fixture, s *ShrunkenState, _ *api.TaskGroup) { s.Recently = func(string) bool { return true } }},
		{"gang", cpu, 0, func(_ *fixture, _ *ShrunkenState, g *api.TaskGroup) { g.Gang = true }},
		{"budget", cpu, 2, func(_ *fixture, _ *ShrunkenState, g *api.TaskGroup) { g.LongRunning, g.DisruptionBudget = true, 2 }},
		{"no room", cpu, 0, func(w *fixture, _ *ShrunkenState, _ *api.TaskGroup) { w.workers[1].Capacity.MemoryMiB = 999 }},
		{"room that a stop takes", cpu, 2, func(w *fixture, s *ShrunkenState, _ *api.TaskGroup) {
			w.workers[1].Capacity.MemoryMiB, s.Stopping[first] = 3999, true
		}},
	} {
		w, state := newFixture(t, 2), shrunkenState()
		w.policy.MoveFromShrunk, w.since, w.workers[1].Open = true, map[jobs.RunID]time.Duration{}, false
		group := &api.TaskGroup{Count: 12, MilliCpu: 100, MemoryMib: 1000, EstimatedMs: 10_000, BestEffort: true, Image: "f"}
		c.spoil(w, &state, group)
		w.submit(urgentQueue, &api.TaskGroup{Count: 1, MilliCpu: 8000, EstimatedMs: 10_000})
		w.submit(batchQueue, group)
		starts := w.plan()
		for _, start := range starts {
			w.since[start.Run] = 0
		}
		w.workers[0].Capacity, w.workers[1].Open = c.capacity, true
		in := w.input()
		in.Run = func(run jobs.RunID) (RunStatus, bool) { // later tasks have done less; the first have saved most
			_, known := w.since[run]
			return RunStatus{Percent: 50 - run.Task.Index, SavedPercent: 50 - 3*run.Task.Index, Pace: FullPace}, known
		}
		moves := w.moveFromShrunken(in, state)
		if len(moves) != c.moves || len(starts) != 13 {
			t.Fatalf("%s: %d moves, want %d; %d starts", c.name, len(moves), c.moves, len(starts))
		}
		for i, move := range moves {
			want := int32(11 - i)
			if group.Checkpointing || group.LongRunning {
				want = int32(i)
			}
			if move.Run.Task.Index != want {
				t.Errorf("%s: move %d is of %v, want task %d", c.name, i, move.Run, want)
			}
		}
	}
}
