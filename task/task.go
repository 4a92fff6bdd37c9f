// Package task implements the Job and Task aggregates: which work the day plan
// requests, on which VM each task runs, and which of its runs is the current one.
//
// A Table is replicated through the log. Its methods are deterministic and take
// the time from the log entry. Each run of a task has a generation; reports with
// an older generation change nothing.
package task

import (
	"strconv"
	"time"

	"amaranthpaddle/resource"
)

// Class is the scheduling class of a job's tasks.
type Class uint8

// The classes of tasks.
const (
	Batch           Class = iota // must be done by its deadline
	LatencyCritical              // an instance of a service, runs until stopped
)

// String returns the lowercase name of c.
func (c Class) String() string {
	if c == LatencyCritical {
		return "latency-critical"
	}
	return "batch"
}

// Job is a batch job or a service of the plan in force, with its tasks.
type Job struct {
	ID       string // "job/NAME" or "service/NAME"
	Name     string
	Team     string
	Class    Class
	Size     resource.Vector // declared, of one task
	RunTime  time.Duration   // declared, of one task running alone; 0 for a service
	Deadline time.Time       // zero if there is none
	Priority int
	Day      string  // day of the plan that requested this run of the job
	Wanted   int     // number of tasks in the plan in force; 0 for a cancelled job
	Tasks    []*Task // by index; may be more than Wanted

	Finished      int       // number of wanted tasks that have finished
	FailureStreak int       // failures since a task of the job last finished
	FailedVMs     []string  // distinct VMs of the failures in FailureStreak, at most failingVMThreshold
	NotBefore     time.Time // backoff: no task of the job is placed earlier

	active resource.Vector // sum of the grants of starting and running tasks
}

// Failing reports whether tasks of j failed on so many VMs that the job, not the
// VMs, is the likely cause. Only one task of such a job is placed at a time.
func (j *Job) Failing() bool { return len(j.FailedVMs) >= failingVMThreshold }

// Complete reports whether each wanted task has finished.
func (j *Job) Complete() bool {
	return j.Class == Batch && j.Wanted > 0 && j.Finished == j.Wanted
}

// Task is one unit of work that runs on one VM at a time.
type Task struct {
	ID              string // the job's ID, a slash and the index
	Job             *Job
	Index           int
	State           State
	Generation      uint64          // of the current or last run; 0 before the first
	VM              string          // VM on which the task holds its grant, or last ran
	Grant           resource.Vector // zero unless State.HoldsGrant
	Checkpoint      string          // last committed checkpoint; empty before the first
	Progress        float64         // 0 to 1, at the last committed checkpoint or finish
	Evictions       int
	Failures        int // consecutive failures
	Losses          int // runs lost with their VM
	NotBefore       time.Time
	Since           time.Time // when State was entered
	Started         time.Time // when the start of the current or last run was confirmed; zero before
	SavedAt         time.Time // time of the last committed checkpoint; zero if there is none
	ResumedProgress float64   // Progress at the placement of the current or last run
	StopReason      string    // of the last requested stop
	LastError       string    // of the last failure

	pendingIndex int // in Table.pending, or -1
	vmIndex      int // in vmState.tasks, or -1
}

// Phase is the phase of a run as an agent reports it.
type Phase uint8

// The phases of a run.
const (
	PhaseStarting Phase = iota + 1
	PhaseRunning
	PhaseCheckpointing
	PhaseStopped // confirmed not running; the generation will not run again
	PhaseFinished
	PhaseFailed
)

// Report is an agent's report about one run of a task.
type Report struct {
	Task       string
	Generation uint64
	Phase      Phase
	Checkpoint string  // last complete checkpoint; empty if there is none
	Progress   float64 // 0 to 1
	Error      string  // message for PhaseFailed
}

// Placement puts the next run of a task on a VM.
type Placement struct {
	Task       string
	Generation uint64 // of the new run: the task's generation plus one
	VM         string
	Zone       string          // availability zone of the VM
	Capacity   resource.Vector // of the VM
	Grant      resource.Vector
}

// Effect describes what a report changed.
type Effect uint8

// The effects of a report.
const (
	NoEffect        Effect = iota // repeated, late, or about a run that is not the current one
	CheckpointSaved               // a newer checkpoint was committed
	Started                       // the start of the run was confirmed
	Stopped                       // the run ended without finishing
	Done                          // the task finished; returned once per run of its job
	Failed                        // the run failed
)

// JobID returns the ID of the batch job with the name.
func JobID(name string) string { return "job/" + name }

// ServiceID returns the ID of the service with the name.
func ServiceID(name string) string { return "service/" + name }

// TaskID returns the ID of a job's task.
func TaskID(jobID string, index int) string { return jobID + "/" + strconv.Itoa(index) }
