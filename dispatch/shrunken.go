package dispatch

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// ShrunkenMove is a decision to stop a best-effort run on a worker that holds more than
// its capacity, so that it goes on elsewhere.
type ShrunkenMove struct {
	Run      jobs.RunID
	Worker   string   // key of the worker's incarnation
	Resource Resource // of which the worker holds more than its capacity
	Lost     float64  // core-seconds of work that has to be done again
}

// Resource names a resource of a worker.
type Resource string

// The resources of which a worker may hold more than its capacity.
const (
	ResourceCPU    Resource = "cpu" // of counted tasks
	ResourceMemory Resource = "memory"
)

// ShrunkenState is what the leader knows of stops and moves besides the state of the jobs.
type ShrunkenState struct {
	Leading time.Duration // since the leadership started
	// Stopping holds the runs that are being stopped for whatever reason, and whether their
	// room is soon free.
	Stopping map[jobs.RunID]bool
	Recently func(job string) bool     // runs of the job were moved within ShrunkenMovePause
	Serving  func(run jobs.RunID) bool // a run of a long-running group works
}

// Parameters of moves from shrunken workers.
const (
	// ShrunkenMovePause is the time for which a job is spared after runs of it were moved,
	// and a new leader moves nothing: it does not know what an earlier one did.
	ShrunkenMovePause = 5 * time.Second

	// maxShrunkenMoves bounds the runs of a call, so that the store and the agents are not
	// flooded when many workers shrink at once, and later calls see the effect of earlier ones.
	maxShrunkenMoves = 8

	// maxShrunkenTries bounds the runs of a call for which room is looked for on all workers:
	// a plan has to fit into a millisecond beside it.
	maxShrunkenTries = 64
)

// MoveFromShrunken returns the best-effort runs to stop on workers that hold more counted
// CPU or memory than their capacity, those that lose the least work first.
//
// It handles workers whose capacity shrinks below what they hold: counted tasks get CPU
// first, so best-effort work there stands still. A run is moved only to room that no
// waiting task can use. For memory, as many runs are moved as bring the worker within its
// capacity. Runs that are being stopped count as gone here, but their room is not given away.
func MoveFromShrunken(view jobs.View, in Input, state ShrunkenState) []ShrunkenMove {
	if !in.Policy.MoveFromShrunk || state.Leading < ShrunkenMovePause {
		return nil
	}
	workers := shrunkenWorkers(view, in.Workers, state)
	if len(workers) == 0 {
		return nil
	}
	m := newShrunkenMover(view, in, state)
	var movable []*movableRun
	for _, w := range workers {
		movable = append(movable, m.movableOn(w)...)
	}
	slices.SortFunc(movable, func(a, b *movableRun) int {
		return cmp.Or(cmp.Compare(a.lost, b.lost), compareRuns(a.run, b.run))
	})
	var moves []ShrunkenMove
	for _, run := range movable[:min(len(movable), maxShrunkenTries)] {
		if len(moves) == maxShrunkenMoves {
			break
		}
		if over, exceeds := run.worker.over(run.group.Spec); exceeds && m.tryMove(run) {
			moves = append(moves, ShrunkenMove{Run: run.run, Worker: run.worker.key, Resource: over, Lost: run.lost})
			run.worker.held = run.worker.held.Sub(demand(run.group.Spec))
		}
	}
	return moves
}

func compareRuns(a, b jobs.RunID) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Group, b.Task.Group), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number))
}

// shrunkenWorker is a worker that holds more counted CPU or memory than its capacity.
type shrunkenWorker struct {
	key      string
	held     resource.Vector // without runs that are being stopped
	capacity resource.Vector
}

// shrunkenWorkers returns the workers that hold more counted CPU or memory than their
// capacity once their stops have ended.
func shrunkenWorkers(view jobs.View, workers []Worker, state ShrunkenState) (shrunken []*shrunkenWorker) {
	for i := range workers {
		w := shrunkenWorker{key: workers[i].Key, capacity: workers[i].Capacity}
		view.RunsOn(w.key, func(run jobs.RunID, group *jobs.Group) {
			if !state.Stopping[run] {
				w.held = w.held.Add(demand(group.Spec))
			}
		})
		if w.held.MilliCPU > w.capacity.MilliCPU || w.held.MemoryMiB > w.capacity.MemoryMiB {
			shrunken = append(shrunken, &w)
		}
	}
	return shrunken
}

// over returns the resource of which the worker holds too much and which a best-effort
// run of a group contends for there, false if there is none.
func (w *shrunkenWorker) over(group *api.TaskGroup) (Resource, bool) {
	switch {
	case w.held.MemoryMiB > w.capacity.MemoryMiB && group.MemoryMib > 0:
		return ResourceMemory, true
	case w.held.MilliCPU > w.capacity.MilliCPU && group.MilliCpu > 0:
		return ResourceCPU, true
	}
	return "", false
}

// movableRun is a best-effort run that may be moved off a shrunken worker.
type movableRun struct {
	candidate
	run    jobs.RunID
	worker *shrunkenWorker
	lost   float64 // core-seconds
}

// shrunkenMover finds room for runs in sequence.
type shrunkenMover struct {
	*planner
	state ShrunkenState
	moved map[jobs.RunID]bool

	noRoom unfitDemands
}

// newShrunkenMover returns a mover in whose loads the tasks of runs that are being
// stopped have their next room: stops last for several calls.
func newShrunkenMover(view jobs.View, in Input, state ShrunkenState) *shrunkenMover {
	m := &shrunkenMover{planner: newPlanner(view, in, nil), state: state, moved: map[jobs.RunID]bool{}, noRoom: unfitDemands{}}
	if len(in.Reserved) > 0 {
		m.hold(candidates(view, in))
	}
	var stopping []jobs.RunID
	for run := range state.Stopping {
		stopping = append(stopping, run)
	}
	slices.SortFunc(stopping, compareRuns)
	for _, run := range stopping {
		c, found := m.candidateOf(run)
		if found && m.startsAgain(c, run) {
			m.tryTakeRoom(c, run.Task.Index)
		}
	}
	return m
}

// startsAgain reports whether the task of a run that is being stopped waits for room
// on one worker after that. Each start of a queue with an adviser needs another ticket.
func (m *shrunkenMover) startsAgain(c candidate, run jobs.RunID) bool {
	task := c.group.Tasks[run.Task.Index]
	return !c.job.Phase.Ended() && !task.Done && len(task.Runs) == 1 && !c.group.Spec.Gang && c.queue.Advice == nil
}

// candidateOf returns the task of an active run as a candidate, false if there is none.
func (m *shrunkenMover) candidateOf(run jobs.RunID) (candidate, bool) {
	job, group, _ := m.view.Run(run)
	if group == nil {
		return candidate{}, false
	}
	id := run.Task
	return candidate{job: job, queue: m.view.QueueOf(job), occurrence: id.Occurrence, groupIndex: id.Group, group: group}, true
}

// movableOn returns the runs on a worker that may be moved.
func (m *shrunkenMover) movableOn(w *shrunkenWorker) (movable []*movableRun) {
	m.view.RunsOn(w.key, func(run jobs.RunID, group *jobs.Group) {
		c, found := m.candidateOf(run)
		if found && m.mayMove(c, run) {
			if lost, known := m.lostWork(c, run); known {
				movable = append(movable, &movableRun{candidate: c, run: run, worker: w, lost: lost})
			}
		}
	})
	return movable
}

// mayMove reports whether a run may be moved, apart from its disruption budget.
func (m *shrunkenMover) mayMove(c candidate, run jobs.RunID) bool {
	task := c.group.Tasks[run.Task.Index]
	_, stopping := m.state.Stopping[run]
	return c.group.Spec.BestEffort && !stopping && m.startsAgain(c, run) && !task.OnProbation() && !m.state.Recently(c.job.ID)
}

// lostWork returns the core-seconds that a run has done since its last checkpoint. It
// returns false if nothing is known of the run, or if it ends before a stop would.
func (m *shrunkenMover) lostWork(c candidate, run jobs.RunID) (lost float64, known bool) {
	status, known := m.in.runStatus(run)
	if !known || status.Stopping {
		return 0, false
	}
	spec := c.group.Spec
	if spec.LongRunning {
		return 0, true
	}
	expected := milliseconds(m.in.Durations.ForQueue(c.job.QueueKey)(spec))
	left := expected * time.Duration(FullPace-min(status.Percent, FullPace)) / time.Duration(max(status.Pace, 1))
	work := workDone(status, expected)
	if spec.Checkpointing {
		work = expected * time.Duration(max(status.Percent-status.SavedPercent, 0)) / FullPace
	}
	return float64(spec.MilliCpu) / 1000 * work.Seconds(), left > preemptionStopTime
}

// tryMove reports whether a run is moved, and takes the room for it. After a panic it is
// not moved.
func (m *shrunkenMover) tryMove(run *movableRun) bool {
	if !m.withinBudget(run) || !m.tryTakeRoom(run.candidate, run.run.Task.Index) {
		return false
	}
	m.moved[run.run] = true
	return true
}

// tryTakeRoom takes room for a task on a worker without a run of it, false if there is
// none, or after a panic.
func (m *shrunkenMover) tryTakeRoom(c candidate, task int32) (taken bool) {
	defer func() {
		if cause := recover(); cause != nil {
			taken = false
			m.in.Panicked(c.job.ID, cause)
		}
	}()
	class, need := m.classOf(c)
	if m.noRoom.covers(class, need) {
		return false
	}
	chosen, _ := m.choose(c, m.spreadOf(c), c.group.Tasks[task].Runs, false)
	if chosen == nil {
		m.noRoom.note(c, class, need)
		return false
	}
	m.fleet.add(chosen, c.group.Spec, 1)
	return true
}

// withinBudget reports whether the disruption budget of a run's group allows its move.
func (m *shrunkenMover) withinBudget(r *movableRun) bool {
	budget := int(r.group.Spec.DisruptionBudget)
	if budget == 0 || !m.works(r.group, r.run) {
		return true
	}
	away := 0
	for i := range r.group.Tasks {
		task := r.group.Tasks[i]
		working := slices.ContainsFunc(task.Runs, func(run jobs.Run) bool {
			return m.works(r.group, jobs.RunID{Task: r.taskID(i), Number: run.Number})
		})
		if int32(i) != r.run.Task.Index && !task.Done && !working {
			away++
		}
	}
	return MayDisrupt(budget, away)
}

// works reports whether a run works and stays where it is.
func (m *shrunkenMover) works(group *jobs.Group, run jobs.RunID) bool {
	_, stopping := m.state.Stopping[run]
	return !stopping && !m.moved[run] && (!group.Spec.LongRunning || m.state.Serving(run))
}
