// Package worker defines the HTTP interface through which an agent controls the
// tasks of its VM, and a client for it.
//
// The interface is JSON over HTTP/1.1:
//
//	POST   /v1/tasks/{task}/start       StartRequest       204, 409 for an old generation
//	POST   /v1/tasks/{task}/throttle    ThrottleRequest    204
//	POST   /v1/tasks/{task}/stop        StopRequest        204; the status shows when it has stopped;
//	                                                       404 or 409 when the worker does not have the
//	                                                       run; a later start of it is then refused
//	DELETE /v1/tasks/{task}?generation= deletes the record of a run that has ended
//	GET    /v1/tasks                    TaskList
//	POST   /v1/lease                    LeaseRequest       204
//	GET    /v1/usage?after_ms=          UsageList
//
// Leases are expressed on the worker's own clock: the agent reads ClockMS
// before it reports to the control group, and extends the lease to that
// reading plus the granted time. A delay or a pause at any step can therefore
// only shorten the lease, never lengthen it. Each worker process has its own
// epoch, so that a clock reading of one process is never applied to another.
//
// A worker compares its clock with the lease immediately before each effect of a
// leased run (a start, a step of work that others can see, a checkpoint, a
// finish), by a reading made for that effect: the process may be paused between
// two effects, and the task may run elsewhere when it goes on. The clock must
// count such pauses, and those of the whole VM. An effect that is paused on its
// way after the check can only be refused by its receiver, by the generation.
//
// The backend servers that a worker runs register with the agent by posting an
// Announcement.
package worker

import "amaranthpaddle/resource"

// Phase is the state of one run of a task at the worker.
type Phase string

// The phases of a run. Stopped, Finished and Failed are final: the run no longer
// uses resources.
const (
	PhaseStarting      Phase = "starting"
	PhaseRunning       Phase = "running"
	PhaseCheckpointing Phase = "checkpointing"
	PhaseStopped       Phase = "stopped"
	PhaseFinished      Phase = "finished"
	PhaseFailed        Phase = "failed"
)

// Final reports whether p is a final phase.
func (p Phase) Final() bool {
	return p == PhaseStopped || p == PhaseFinished || p == PhaseFailed
}

// StartRequest starts one run. A generation at or below the highest one that
// the worker has seen for the task is refused, unless it is the current run,
// whose start is idempotent.
type StartRequest struct {
	Generation uint64            `json:"generation"`
	Grant      resource.Vector   `json:"grant"`
	Checkpoint string            `json:"checkpoint,omitempty"` // to resume from
	Job        string            `json:"job"`
	Service    string            `json:"service,omitempty"` // set for an instance of a service
	WorkMS     int64             `json:"work_ms,omitempty"` // declared run time
	Epoch      string            `json:"epoch"`             // of the worker process
	LeaseMS    int64             `json:"lease_until_ms"`    // on the worker's clock; 0 for none
	Parameters map[string]string `json:"parameters,omitempty"`
}

// ThrottleRequest limits a run to a fraction of its granted CPU time.
type ThrottleRequest struct {
	Generation uint64  `json:"generation"`
	Fraction   float64 `json:"fraction"`
}

// StopRequest stops a run, after a checkpoint if Checkpoint is set.
type StopRequest struct {
	Generation uint64 `json:"generation"`
	Checkpoint bool   `json:"checkpoint"`
}

// LeaseRequest extends the lease of all leased runs. It never shortens a lease.
type LeaseRequest struct {
	Epoch   string `json:"epoch"`    // of the worker process
	UntilMS int64  `json:"until_ms"` // on the worker's clock
}

// TaskStatus is the status of one run.
type TaskStatus struct {
	Task       string  `json:"task"`
	Generation uint64  `json:"generation"`
	Phase      Phase   `json:"phase"`
	Checkpoint string  `json:"checkpoint,omitempty"` // latest complete one
	Progress   float64 `json:"progress"`             // 0 to 1
	Error      string  `json:"error,omitempty"`
}

// TaskList holds the status of every run that the worker has a record of.
type TaskList struct {
	Epoch   string       `json:"epoch"`    // of the worker process
	ClockMS int64        `json:"clock_ms"` // the worker's monotonic clock
	Tasks   []TaskStatus `json:"tasks"`
}

// Usage is a run's resource usage over a past interval of the worker's clock.
type Usage struct {
	Task       string          `json:"task"`
	Generation uint64          `json:"generation"`
	StartMS    int64           `json:"start_ms"`
	EndMS      int64           `json:"end_ms"`
	Used       resource.Vector `json:"used"`
	Speed      float64         `json:"speed"`      // relative to running alone
	LatencyMS  float64         `json:"latency_ms"` // p99 of a service instance, else 0
}

// UsageList holds the usage samples whose interval ended after the requested time.
type UsageList struct {
	ClockMS int64   `json:"clock_ms"`
	Usage   []Usage `json:"usage"`
}
