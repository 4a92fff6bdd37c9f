package jobs

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// Snapshot encodes the whole state as an api.JobStateSnapshot.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	data, err := proto.Marshal(s.record())
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode jobs")
	}
	// Jobs are sorted by end time, which Restore relies on; the id makes the order
	// deterministic.
	sorted := slices.SortedFunc(maps.Values(s.jobs), func(a, b *Job) int {
		return cmp.Or(cmp.Compare(a.EndedMS, b.EndedMS), strings.Compare(a.ID, b.ID))
	})
	for _, job := range sorted {
		if data, err = appendJob(data, job); err != nil {
			return nil, fault.Wrap(fault.Internal, err, "encode job "+job.ID)
		}
	}
	return data, nil
}

// Restore replaces the state by a snapshot. It returns fault.DataCorrupt if the
// snapshot cannot be decoded, and then leaves the state as it was.
func (s *State) Restore(snapshot []byte) error {
	restored := NewState()
	if err := restored.load(snapshot); err != nil {
		return fault.Wrap(fault.DataCorrupt, err, "decode jobs")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicated = restored.replicated
	return nil
}

// Clone returns a copy that shares no mutable data with the original.
func (s *State) Clone() *State {
	s.mu.RLock()
	defer s.mu.RUnlock()
	clone := &State{replicated: s.replicated}
	clone.zonesOut, clone.refusals = maps.Clone(s.zonesOut), maps.Clone(s.refusals)
	clone.waves, clone.lent = maps.Clone(s.waves), maps.Clone(s.lent)
	clone.ended, clone.memory = slices.Clone(s.ended), maps.Clone(s.memory)
	clone.jobs, clone.active = make(map[string]*Job, len(s.jobs)), make(map[string]*Job, len(s.active))
	clone.runs, clone.workerVMs = make(map[string]map[RunID]*Group, len(s.runs)), maps.Clone(s.workerVMs)
	for id, job := range s.jobs {
		copied := *job
		copied.occurrences = job.occurrences.clone()
		clone.jobs[id] = &copied
		if s.active[id] != nil {
			clone.active[id] = &copied
		}
	}
	for worker, runs := range s.runs {
		clone.runs[worker] = make(map[RunID]*Group, len(runs))
		for run := range runs {
			clone.runs[worker][run], _ = clone.jobs[run.Task.Job].Task(run.Task)
		}
	}
	return clone
}

// record encodes the state without its jobs.
func (s *State) record() *api.JobStateSnapshot {
	record := &api.JobStateSnapshot{
		NowUnixMs:     s.nowMS,
		Configuration: s.configuration,
		ZonesOut:      slices.Sorted(maps.Keys(s.zonesOut)),
		Learnt:        s.learnt,
	}
	for _, id := range slices.Sorted(maps.Keys(s.refusals)) {
		record.Refusals = append(record.Refusals, &api.JobRefusal{Job: id, UntilUnixMs: s.refusals[id]})
	}
	for _, id := range slices.Sorted(maps.Keys(s.waves)) {
		record.Waves = append(record.Waves, s.waves[id])
	}
	for _, vm := range slices.Sorted(maps.Keys(s.lent)) {
		record.Lent = append(record.Lent, &api.LentVM{Vm: vm, Home: s.lent[vm]})
	}
	return record
}

func jobRecord(job *Job) *api.JobRecord {
	record := &api.JobRecord{
		Id:              job.ID,
		QueueKey:        job.QueueKey,
		Zone:            job.Zone,
		Queue:           job.Queue,
		Spec:            job.Spec,
		State:           int32(job.Phase),
		SubmittedUnixMs: job.SubmittedMS,
		EndedUnixMs:     job.EndedMS,
		CrashedBy:       job.CrashedBy,
		Begun:           job.Phase == PhaseRunning,
	}
	return record
}

func taskRecord(task *Task) *api.TaskRecord {
	record := &api.TaskRecord{
		Done: task.Done, LastRun: task.LastRun, Failures: task.Failures, Checkpoint: task.Checkpoint,
		Suspicion: task.suspicion, CrashedRuns: task.crashedRuns, SurvivedRun: task.survivedRun,
	}
	for _, run := range task.Runs {
		record.Runs = append(record.Runs, &api.RunRecord{
			Number: run.Number, Worker: run.Worker, Ticket: run.Ticket, Vm: run.VM, FormerLeaseMs: run.FormerLease.Milliseconds(),
		})
	}
	return record
}

// load fills an empty state from a snapshot.
func (s *State) load(snapshot []byte) error {
	rest, err := splitMessages(snapshot, jobsField, s.loadJob)
	if err != nil {
		return err
	}
	record := &api.JobStateSnapshot{}
	if err := proto.Unmarshal(rest, record); err != nil {
		return err
	}
	s.nowMS = record.NowUnixMs
	s.learnt = record.Learnt
	if record.Configuration != nil {
		s.setConfiguration(record.Configuration)
	}
	for _, zone := range record.ZonesOut {
		s.zonesOut[zone] = true
	}
	for _, refusal := range record.Refusals {
		s.refusals[refusal.Job] = refusal.UntilUnixMs
	}
	for _, lent := range record.Lent {
		s.recordLent(lent)
	}
	for _, wave := range record.Waves {
		s.waves[wave.Id] = wave
	}
	return nil
}

// loadJob adds a job from an encoded api.JobRecord.
func (s *State) loadJob(data []byte) error {
	total := int32(0)
	rest, err := splitMessages(data, occurrencesField, func([]byte) error { total++; return nil })
	if err != nil {
		return err
	}
	record := &api.JobRecord{}
	if err := proto.Unmarshal(rest, record); err != nil {
		return err
	}
	job := &Job{
		ID: record.Id, QueueKey: record.QueueKey, Zone: record.Zone, Queue: record.Queue, Spec: withoutRepeatedDependencies(record.Spec),
		Phase: Phase(record.State), SubmittedMS: record.SubmittedUnixMs, EndedMS: record.EndedUnixMs,
		CrashedBy: record.CrashedBy,
	}
	if job.Phase == PhaseRunning && !record.Begun {
		job.Phase = PhaseQueued // earlier builds count a job as running once a start is ordered
	}
	if total > 0 { // else the job has ended and has no runs
		job.occurrences = newOccurrences(job.Spec)
		job.occurrences.total, job.unfinished = total, int(total)
	}
	k, task := int32(0), &api.TaskRecord{} // the record is reused, as there may be many
	if _, err := splitMessages(data, occurrencesField, func(occurrence []byte) error {
		err := s.loadOccurrence(job, k, occurrence, task)
		k++
		return err
	}); err != nil {
		return err
	}
	s.jobs[job.ID] = job
	if job.Phase.Ended() {
		s.ended = append(s.ended, job.ID)
	}
	if !job.Phase.Ended() || job.active > 0 {
		s.active[job.ID] = job
		s.setMemory(job, MemoryOf(job.Spec))
	} else {
		s.setMemory(job, Memory{All: endedBytes})
	}
	return nil
}

// loadOccurrence loads an occurrence of a job from an encoded api.OccurrenceRecord. It uses
// record to decode the tasks.
func (s *State) loadOccurrence(job *Job, k int32, data []byte, record *api.TaskRecord) error {
	group := int32(0)
	_, err := splitMessages(data, groupsField, func(data []byte) error {
		index := int32(0)
		_, err := splitMessages(data, tasksField, func(data []byte) error {
			id := TaskID{Job: job.ID, Occurrence: k, Group: group, Index: index}
			index++
			if len(data) == 0 {
				return nil
			}
			if err := proto.Unmarshal(data, record); err != nil {
				return err
			}
			return s.loadTask(job, id, record)
		})
		group++
		return err
	})
	if err == nil && !job.Phase.Ended() {
		job.occurrences.release(k, job.Spec)
	}
	return err
}

func (s *State) loadTask(job *Job, id TaskID, record *api.TaskRecord) error {
	if group, _ := job.Task(id); group == nil {
		return fault.Newf(fault.DataCorrupt, "no task %v", id)
	}
	group, task := job.editTask(id)
	task.LastRun, task.Failures, task.Checkpoint = record.LastRun, record.Failures, record.Checkpoint
	task.crashedRuns, task.survivedRun = slices.Clone(record.CrashedRuns), record.SurvivedRun
	s.setSuspicion(job, task, record.Suspicion)
	for _, run := range record.Runs {
		task.Runs = append(task.Runs, Run{Number: run.Number, Worker: run.Worker, Ticket: run.Ticket, VM: run.Vm, FormerLease: time.Duration(run.FormerLeaseMs) * time.Millisecond})
		s.addRun(RunID{Task: id, Number: run.Number}, run.Worker, run.Vm, job, group)
	}
	if record.Done {
		job.markDone(id)
		group.compact(id.Index)
	}
	return nil
}
