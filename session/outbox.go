package session

import (
	"amaranthpaddle/api"
	"amaranthpaddle/worker"
)

// maxRefused bounds the refused starts that are remembered.
const maxRefused = 4096

// runKey names one run of a task.
type runKey struct {
	task       string
	generation uint64
}

// outbox decides which task states the next report carries: those that changed
// and those whose last report is not acknowledged. It is not safe for concurrent use.
type outbox struct {
	present map[runKey]worker.TaskStatus // as the worker last told
	sentIn  map[runKey]uint64            // sequence of the report that carried the present state
	refused map[runKey]string            // runs that never will run here, or run no more, with the reason
	order   []runKey                     // of refused, oldest first
}

func newOutbox() *outbox {
	return &outbox{
		present: map[runKey]worker.TaskStatus{},
		sentIn:  map[runKey]uint64{},
		refused: map[runKey]string{},
	}
}

// reset makes the next report carry everything, as a new session needs.
func (o *outbox) reset() { clear(o.sentIn) }

// update takes in the worker's list and reports whether anything that matters
// to the control group changed. Progress alone does not.
func (o *outbox) update(list []worker.TaskStatus) bool {
	changed := false
	seen := make(map[runKey]bool, len(list))
	for _, status := range list {
		key := runKey{status.Task, status.Generation}
		seen[key] = true
		previous, known := o.present[key]
		o.present[key] = status
		if !known || previous.Phase != status.Phase || previous.Checkpoint != status.Checkpoint {
			delete(o.sentIn, key)
			changed = true
		}
	}
	if o.dropUnseen(seen) {
		changed = true
	}
	return changed
}

// dropUnseen drops the runs that the worker no longer lists. One that had not
// ended was lost with its worker process, and is reported as stopped: otherwise
// the control group would wait for its end for good.
func (o *outbox) dropUnseen(seen map[runKey]bool) (lost bool) {
	for key, status := range o.present {
		if seen[key] {
			continue
		}
		delete(o.present, key)
		delete(o.sentIn, key)
		if !status.Phase.Final() {
			o.refuse(key, "lost with its worker process")
			lost = true
		}
	}
	return lost
}

// refuse records a start that will never happen at this agent.
func (o *outbox) refuse(key runKey, reason string) {
	if o.isRefused(key) {
		return
	}
	o.refused[key] = reason
	o.order = append(o.order, key)
	if len(o.order) > maxRefused {
		delete(o.refused, o.order[0])
		delete(o.sentIn, o.order[0])
		o.order = o.order[1:]
	}
}

// isRefused reports whether the start was refused before.
func (o *outbox) isRefused(key runKey) bool {
	_, refused := o.refused[key]
	return refused
}

// active reports whether the worker lists the run and it has not ended.
func (o *outbox) active(key runKey) bool {
	status, known := o.present[key]
	return known && !status.Phase.Final()
}

// take returns the states that report sequence must carry.
func (o *outbox) take(sequence uint64) []*api.TaskStatus {
	var tasks []*api.TaskStatus
	for key, status := range o.present {
		if _, sent := o.sentIn[key]; sent {
			continue
		}
		o.sentIn[key] = sequence
		tasks = append(tasks, toAPI(status))
	}
	for key, reason := range o.refused {
		if _, sent := o.sentIn[key]; sent {
			continue
		}
		o.sentIn[key] = sequence
		tasks = append(tasks, &api.TaskStatus{
			Task: key.task, Generation: key.generation,
			Phase: api.TaskPhase_TASK_PHASE_STOPPED, Error: reason,
		})
	}
	return tasks
}

// acknowledged returns the ended runs whose final state the control group has
// taken in, so that the worker may forget them.
func (o *outbox) acknowledged(sequence uint64) []runKey {
	var ended []runKey
	for key, sent := range o.sentIn {
		if sent > sequence {
			continue
		}
		if status, known := o.present[key]; known && status.Phase.Final() {
			ended = append(ended, key)
		}
	}
	return ended
}

var phases = map[worker.Phase]api.TaskPhase{
	worker.PhaseStarting:      api.TaskPhase_TASK_PHASE_STARTING,
	worker.PhaseRunning:       api.TaskPhase_TASK_PHASE_RUNNING,
	worker.PhaseCheckpointing: api.TaskPhase_TASK_PHASE_CHECKPOINTING,
	worker.PhaseStopped:       api.TaskPhase_TASK_PHASE_STOPPED,
	worker.PhaseFinished:      api.TaskPhase_TASK_PHASE_FINISHED,
	worker.PhaseFailed:        api.TaskPhase_TASK_PHASE_FAILED,
}

func toAPI(status worker.TaskStatus) *api.TaskStatus {
	return &api.TaskStatus{
		Task: status.Task, Generation: status.Generation,
		Phase: phases[status.Phase], Checkpoint: status.Checkpoint,
		Progress: status.Progress, Error: status.Error,
	}
}
