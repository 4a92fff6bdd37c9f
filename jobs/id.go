package jobs

import (
	"fmt"
	"strings"

	"amaranthpaddle/api"
)

// TaskID names a task: an index in a group of an occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int32
	Group      int32
	Index      int32
}

// String returns the id as it stands in logs, such as "5c0e/0/1/17".
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Group, t.Index)
}

// GroupID names a task group of an occurrence of a job.
type GroupID struct {
	Job        string
	Occurrence int32
	Group      int32
}

// GroupID returns the group that the task belongs to.
func (t TaskID) GroupID() GroupID { return GroupID{t.Job, t.Occurrence, t.Group} }

// RunID names one run of a task. Numbers begin at 1 and rise.
type RunID struct {
	Task   TaskID
	Number int32
}

// String returns the id as it stands in logs, such as "5c0e/0/1/17#2".
func (r RunID) String() string { return fmt.Sprintf("%v#%d", r.Task, r.Number) }

// Ref returns the run's id as a message.
func (r RunID) Ref() *api.RunRef {
	return &api.RunRef{
		Task: &api.TaskRef{
			Job: r.Task.Job, Occurrence: r.Task.Occurrence, Group: r.Task.Group, Index: r.Task.Index,
		},
		Number: r.Number,
	}
}

// RunOf returns the id in a message.
func RunOf(ref *api.RunRef) RunID {
	task := ref.GetTask()
	return RunID{
		Task: TaskID{
			Job: task.GetJob(), Occurrence: task.GetOccurrence(), Group: task.GetGroup(), Index: task.GetIndex(),
		},
		Number: ref.GetNumber(),
	}
}

// WorkerKey names one incarnation of a worker.
func WorkerKey(id string, born int64) string { return fmt.Sprintf("%s@%d", id, born) }

// QueueKey names a queue by what its callers use: the host and the path prefix.
func QueueKey(host, pathPrefix string) string { return host + " " + pathPrefix }

// OutcomeName is an outcome's name in logs and metrics.
func OutcomeName(outcome api.RunOutcome) string {
	return strings.ToLower(strings.TrimPrefix(outcome.String(), "RUN_OUTCOME_"))
}
