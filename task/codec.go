package task

import (
	"bytes"
	"encoding/gob"
	"sort"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/resource"
)

// tableRecord is the encoded form of a Table. Its slices are sorted, so that the
// encoding does not depend on the iteration order of maps.
type tableRecord struct {
	PlanNumber uint64
	Day        string
	ZonesOut   []string
	Floor      uint64
	Jobs       []jobRecord
}

type jobRecord struct {
	ID, Name, Team string
	Class          Class
	Size           resource.Vector
	RunTime        time.Duration
	Deadline       int64 // Unix nanoseconds, 0 for none; as all int64 times of the records
	Priority       int
	Day            string
	Wanted         int
	FailureStreak  int
	FailedVMs      []string
	NotBefore      int64
	Tasks          []taskRecord
}

type taskRecord struct {
	State                       State
	Generation                  uint64
	VM                          string
	Grant                       resource.Vector
	Checkpoint                  string
	Progress, ResumedAt         float64
	Evictions, Failures, Losses int
	NotBefore, Since            int64
	Started, SavedAt            int64
	StopReason, LastError       string
}

// Encode returns the table in a form that Decode reads. It must not be used to
// compare replicas: the type ids in a gob encoding depend on the process.
func (t *Table) Encode() ([]byte, error) {
	r := tableRecord{PlanNumber: t.planNumber, Day: t.day, Floor: t.generationFloor}
	for zone := range t.zonesOut {
		r.ZonesOut = append(r.ZonesOut, zone)
	}
	sort.Strings(r.ZonesOut)
	for _, j := range t.Jobs() {
		r.Jobs = append(r.Jobs, encodeJob(j))
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(&r); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode the task table")
	}
	return b.Bytes(), nil
}

// Decode returns the table that Encode wrote. It returns an error of kind
// fault.DataCorrupt for data that it cannot decode.
func Decode(data []byte) (*Table, error) {
	var r tableRecord
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&r); err != nil {
		return nil, fault.Wrap(fault.DataCorrupt, err, "decode the task table")
	}
	t := NewTable()
	t.planNumber = r.PlanNumber
	t.day = r.Day
	t.generationFloor = r.Floor
	for _, zone := range r.ZonesOut {
		t.zonesOut[zone] = true
	}
	for i := range r.Jobs {
		if err := t.decodeJob(&r.Jobs[i]); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func encodeJob(j *Job) jobRecord {
	r := jobRecord{
		ID: j.ID, Name: j.Name, Team: j.Team, Class: j.Class, Size: j.Size,
		RunTime: j.RunTime, Deadline: toNanos(j.Deadline), Priority: j.Priority,
		Day: j.Day, Wanted: j.Wanted, FailureStreak: j.FailureStreak,
		FailedVMs: j.FailedVMs, NotBefore: toNanos(j.NotBefore),
		Tasks: make([]taskRecord, 0, len(j.Tasks)),
	}
	for _, k := range j.Tasks {
		r.Tasks = append(r.Tasks, taskRecord{
			State: k.State, Generation: k.Generation, VM: k.VM, Grant: k.Grant,
			Checkpoint: k.Checkpoint, Progress: k.Progress, Evictions: k.Evictions,
			Failures: k.Failures, Losses: k.Losses, NotBefore: toNanos(k.NotBefore),
			Since: toNanos(k.Since), SavedAt: toNanos(k.SavedAt),
			Started: toNanos(k.Started), ResumedAt: k.ResumedProgress,
			StopReason: k.StopReason, LastError: k.LastError,
		})
	}
	return r
}

func (t *Table) decodeJob(r *jobRecord) error {
	j := &Job{
		ID: r.ID, Name: r.Name, Team: r.Team, Class: r.Class, Size: r.Size,
		RunTime: r.RunTime, Deadline: fromNanos(r.Deadline), Priority: r.Priority,
		Day: r.Day, Wanted: r.Wanted, FailureStreak: r.FailureStreak,
		FailedVMs: r.FailedVMs, NotBefore: fromNanos(r.NotBefore),
	}
	t.jobs[j.ID] = j
	for i := range r.Tasks {
		if err := t.decodeTask(j, &r.Tasks[i]); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) decodeTask(j *Job, r *taskRecord) error {
	if r.State >= stateCount {
		return fault.Newf(fault.DataCorrupt, "task state %d is not in the list", r.State)
	}
	k := &Task{
		ID: TaskID(j.ID, len(j.Tasks)), Job: j, Index: len(j.Tasks),
		State: r.State, Generation: r.Generation, VM: r.VM, Grant: r.Grant,
		Checkpoint: r.Checkpoint, Progress: r.Progress, Evictions: r.Evictions,
		Failures: r.Failures, Losses: r.Losses, NotBefore: fromNanos(r.NotBefore),
		Since: fromNanos(r.Since), SavedAt: fromNanos(r.SavedAt),
		Started: fromNanos(r.Started), ResumedProgress: r.ResumedAt,
		StopReason: r.StopReason, LastError: r.LastError,
		pendingIndex: -1, vmIndex: -1,
	}
	j.Tasks = append(j.Tasks, k)
	t.tasks[k.ID] = k
	switch {
	case k.State == Pending:
		t.addPending(k)
	case k.State.HoldsGrant():
		t.addGrant(k)
		t.bumpVersion(k.VM)
		if k.State.active() {
			j.active = j.active.Add(k.Grant)
		}
	case k.State == Finished && k.Index < j.Wanted:
		j.Finished++
	}
	return nil
}

func toNanos(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func fromNanos(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos).UTC()
}
