package jobs

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"amaranthpaddle/api"
)

// TaskID identifies a task by its index in a group of an occurrence of a job.
type TaskID struct {
	Job        string
	Occurrence int32
	Group      int32
	Index      int32
}

// String returns the id as it appears in logs, such as "5c0e/0/1/17".
func (t TaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Occurrence, t.Group, t.Index)
}

// GroupID identifies a task group of an occurrence of a job.
type GroupID struct {
	Job        string
	Occurrence int32
	Group      int32
}

// GroupID returns the group that the task belongs to.
func (t TaskID) GroupID() GroupID { return GroupID{t.Job, t.Occurrence, t.Group} }

// RunID identifies one run of a task. Run numbers start at 1 and increase.
type RunID struct {
	Task   TaskID
	Number int32
}

// String returns the id as it appears in logs, such as "5c0e/0/1/17#2".
func (r RunID) String() string { return fmt.Sprintf("%v#%d", r.Task, r.Number) }

// Ref converts the id to a message.
func (r RunID) Ref() *api.RunRef {
	return &api.RunRef{
		Task: &api.TaskRef{
			Job: r.Task.Job, Occurrence: r.Task.Occurrence, Group: r.Task.Group, Index: r.Task.Index,
		},
		Number: r.Number,
	}
}

// RunIDOf converts a message to the id.
func RunIDOf(ref *api.RunRef) RunID {
	task := ref.GetTask()
	return RunID{
		Task: TaskID{
			Job: task.GetJob(), Occurrence: task.GetOccurrence(), Group: task.GetGroup(), Index: task.GetIndex(),
		},
		Number: ref.GetNumber(),
	}
}

// WorkerKey returns the key of one incarnation of a worker.
func WorkerKey(id string, born int64) string { return fmt.Sprintf("%s@%d", id, born) }

// ParseWorkerKey returns the id and the start of a worker from the key of one of its
// incarnations. Both are zero for a malformed key.
func ParseWorkerKey(key string) (id string, born int64) {
	at := strings.LastIndexByte(key, '@')
	if at < 0 {
		return "", 0
	}
	born, err := strconv.ParseInt(key[at+1:], 10, 64)
	if err != nil {
		return "", 0
	}
	return key[:at], born
}

// QueueKey returns the key of a queue, made of the host and the path prefix
// that its callers use.
func QueueKey(host, pathPrefix string) string { return host + " " + pathPrefix }

// EvidenceName returns the name of crash evidence in logs and metrics.
func EvidenceName(evidence api.CrashEvidence) string {
	return strings.ToLower(strings.TrimPrefix(evidence.String(), "CRASH_EVIDENCE_"))
}

// OutcomeName returns the name of an outcome in logs and metrics.
func OutcomeName(outcome api.RunOutcome) string {
	return strings.ToLower(strings.TrimPrefix(outcome.String(), "RUN_OUTCOME_"))
}

// StartDelayLimit is how long after it was sent a start without an answer may still be
// carried out, by the worker or by a later incarnation under its id. Workers carry calls
// out seconds late; the protocol names no bound. A longer wait would keep the task of a
// service waiting for longer than operators allow.
const StartDelayLimit = 6 * time.Second
