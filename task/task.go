// Package task holds the Job and Task aggregates: which work the day plan
// asks for, on which VM each task runs, and which of its runs counts.
//
// A Table is replicated through the log. Its methods take the time from the
// log entry and do nothing that could differ between replicas. Each run of a
// task has a generation; reports of an older generation change nothing.
package task

import (
	"strconv"
	"time"

	"amaranthpaddle/resource"
)

// Class says what a task is scheduled for.
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
	Deadline time.Time       // zero when there is none
	Priority int
	Day      string  // day of the plan that asked for this run of the job
	Wanted   int     // tasks the plan in force asks for; 0 for a cancelled job
	Tasks    []*Task // by index; may be longer than Wanted

	Finished      int       // tasks that are done and wanted
	FailureStreak int       // failures since a task of the job last finished
	FailedVMs     []string  // distinct VMs of the streak, at most suspectVMs
	NotBefore     time.Time // no task of the job is placed earlier

	active resource.Vector // sum of the grants of starting and running tasks
}

// Failing reports whether tasks of j failed on so many VMs that the job, not
// the VMs, is the likely cause. Only one task of such a job is tried at a time.
func (j *Job) Failing() bool { return len(j.FailedVMs) >= suspectVMs }

// Complete reports whether each wanted task has finished.
func (j *Job) Complete() bool {
	return j.Class == Batch && j.Wanted > 0 && j.Finished == j.Wanted
}

// Task is one unit of work that runs on one VM at a time.
type Task struct {
	ID         string // the job's ID, a slash and the index
	Job        *Job
	Index      int
	State      State
	Generation uint64          // of the current or last run; 0 before the first
	VM         string          // that holds the grant, or ran the task last
	Grant      resource.Vector // zero unless State.HoldsGrant
	Checkpoint string          // last committed checkpoint; empty for a first run
	Progress   float64         // 0 to 1, at the last commit
	Evictions  int
	Failures   int // failures in a row
	Losses     int // runs lost with their VM
	NotBefore  time.Time
	Since      time.Time // of the present State
	Started    time.Time // when the present or last run was confirmed; zero before
	SavedAt    time.Time // of the last committed checkpoint; zero when there is none
	ResumedAt  float64   // Progress with which the present run began
	StopReason string    // of the last requested stop
	LastError  string    // of the last failure

	pendingIndex int // in Table.pending, or -1
	vmIndex      int // in vmState.tasks, or -1
}

// Phase is what an agent reports of a task.
type Phase uint8

// The phases of a run.
const (
	PhaseStarting Phase = iota + 1
	PhaseRunning
	PhaseCheckpointing
	PhaseStopped // confirmed not running, and never will under this generation
	PhaseFinished
	PhaseFailed
)

// Report is an agent's statement about one run of a task.
type Report struct {
	Task       string
	Generation uint64
	Phase      Phase
	Checkpoint string  // last complete checkpoint, empty when there is none
	Progress   float64 // 0 to 1
	Error      string  // of PhaseFailed
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

// Effect says what a report changed.
type Effect uint8

// The effects of a report.
const (
	NoEffect        Effect = iota // repeated, late, or of a run that does not count
	CheckpointSaved               // a newer checkpoint was committed
	Started                       // the run was confirmed
	Stopped                       // the run ended without finishing
	Done                          // the task finished; reported once in a run of its job
	Failed                        // the run failed
)

// JobID returns the ID of the batch job with the name.
func JobID(name string) string { return "job/" + name }

// ServiceID returns the ID of the service with the name.
func ServiceID(name string) string { return "service/" + name }

// TaskID returns the ID of a job's task.
func TaskID(jobID string, index int) string { return jobID + "/" + strconv.Itoa(index) }
