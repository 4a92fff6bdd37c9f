package session

import (
	"amaranthpaddle/api"
	"amaranthpaddle/worker"
)

// maxRefused is the maximum number of refused runs that are remembered.
const maxRefused = 4096

// runKey identifies one run of a task.
type runKey struct {
	task       string
	generation uint64
}

// outbox selects the task states for the next report: those that have changed
// since they were last sent, and all of them in a new session. It is not safe for
// concurrent use.
type outbox struct {
	listed       map[runKey]worker.TaskStatus // latest list of the worker
	sentIn       map[runKey]uint64            // sequence of the report that carried the current state
	refused      map[runKey]string            // reason by run, for runs that will never run here or no longer do
	refusalOrder []runKey                     // keys of refused, oldest first
}

func newOutbox() *outbox {
	return &outbox{
		listed:  map[runKey]worker.TaskStatus{},
		sentIn:  map[runKey]uint64{},
		refused: map[runKey]string{},
	}
}

// reset makes the next report carry everything, as a new session needs.
func (o *outbox) reset() { clear(o.sentIn) }

// update applies the worker's list and reports whether a run's existence, phase
// or checkpoint has changed. A change of progress alone is not reported at once. The control
// group has received the reports up to the sequence acknowledged.
func (o *outbox) update(list []worker.TaskStatus, acknowledged uint64) bool {
	changed := false
	seen := make(map[runKey]bool, len(list))
	for _, status := range list {
		key := runKey{status.Task, status.Generation}
		seen[key] = true
		previous, known := o.listed[key]
		o.listed[key] = status
		if !known || previous.Phase != status.Phase || previous.Checkpoint != status.Checkpoint {
			delete(o.sentIn, key)
			changed = true
		}
	}
	if o.dropUnlisted(seen, acknowledged) {
		changed = true
	}
	return changed
}

// dropUnlisted drops the runs that the worker no longer lists. A run that had not
// ended was lost with its worker process and is reported as stopped, because the
// control group would otherwise wait for its end forever. A final state that the
// control group has not received is kept, for the same reason. The result tells
// whether there was a run that was lost.
func (o *outbox) dropUnlisted(seen map[runKey]bool, acknowledged uint64) (lost bool) {
	for key, status := range o.listed {
		if sent, known := o.sentIn[key]; seen[key] || status.Phase.Final() && (!known || sent > acknowledged) {
			continue
		}
		delete(o.listed, key)
		delete(o.sentIn, key)
		if !status.Phase.Final() {
			o.refuse(key, "lost with its worker process")
			lost = true
		}
	}
	return lost
}

// refuse records that a run will never run at this agent, or no longer does.
func (o *outbox) refuse(key runKey, reason string) {
	if o.isRefused(key) {
		return
	}
	o.refused[key] = reason
	o.refusalOrder = append(o.refusalOrder, key)
	if len(o.refusalOrder) > maxRefused {
		delete(o.refused, o.refusalOrder[0])
		delete(o.sentIn, o.refusalOrder[0])
		o.refusalOrder = o.refusalOrder[1:]
	}
}

// isRefused reports whether the run is recorded as refused.
func (o *outbox) isRefused(key runKey) bool {
	_, refused := o.refused[key]
	return refused
}

// active reports whether the worker lists the run and it has not ended.
func (o *outbox) active(key runKey) bool {
	status, known := o.listed[key]
	return known && !status.Phase.Final()
}

// takeReady returns the states that the report with this sequence number must
// carry, and marks them as sent in it.
func (o *outbox) takeReady(sequence uint64) []*api.TaskStatus {
	var tasks []*api.TaskStatus
	for key, status := range o.listed {
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

// acknowledged returns the ended runs whose final state was in a report up to
// sequence, which the control group has received, so that the worker may forget
// them.
func (o *outbox) acknowledged(sequence uint64) []runKey {
	var ended []runKey
	for key, sent := range o.sentIn {
		if sent > sequence {
			continue
		}
		if status, known := o.listed[key]; known && status.Phase.Final() {
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
