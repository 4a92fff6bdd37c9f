package jobs

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// Snapshot encodes the whole state.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	data, err := proto.Marshal(s.record())
	return data, fault.Wrap(fault.Internal, err, "encode jobs")
}

// Restore replaces the state by a snapshot. It returns fault.DataCorrupt if the
// snapshot cannot be decoded.
func (s *State) Restore(snapshot []byte) error {
	record := &api.JobStateSnapshot{}
	if err := proto.Unmarshal(snapshot, record); err != nil {
		return fault.Wrap(fault.DataCorrupt, err, "decode jobs")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load(record)
	return nil
}

// Clone returns a copy that shares no mutable data with the original.
func (s *State) Clone() *State {
	s.mu.RLock()
	defer s.mu.RUnlock()
	clone := NewState()
	clone.load(s.record())
	return clone
}

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
	for _, job := range s.jobs {
		record.Jobs = append(record.Jobs, jobRecord(job))
	}
	// Jobs are sorted by end time, which Restore relies on; the id makes the order
	// deterministic.
	slices.SortFunc(record.Jobs, func(a, b *api.JobRecord) int {
		if a.EndedUnixMs != b.EndedUnixMs {
			return int(min(max(a.EndedUnixMs-b.EndedUnixMs, -1), 1))
		}
		return strings.Compare(a.Id, b.Id)
	})
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
	for _, occurrence := range job.Occurrences {
		groups := &api.OccurrenceRecord{}
		for _, group := range occurrence.Groups {
			groups.Groups = append(groups.Groups, groupRecord(group))
		}
		record.Occurrences = append(record.Occurrences, groups)
	}
	return record
}

func groupRecord(group *Group) *api.GroupRecord {
	record := &api.GroupRecord{}
	for i := range group.Tasks {
		task := &group.Tasks[i]
		r := &api.TaskRecord{
			Done: task.Done, LastRun: task.LastRun, Failures: task.Failures, Checkpoint: task.Checkpoint,
			Suspicion: task.suspicion, CrashedRuns: slices.Clone(task.crashedRuns), SurvivedRun: task.survivedRun,
		}
		for _, run := range task.Runs {
			r.Runs = append(r.Runs, &api.RunRecord{Number: run.Number, Worker: run.Worker, Ticket: run.Ticket, Vm: run.VM, FormerLeaseMs: run.FormerLease.Milliseconds()})
		}
		record.Tasks = append(record.Tasks, r)
	}
	return record
}

func (s *State) load(record *api.JobStateSnapshot) {
	s.reset()
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
	for _, r := range record.Jobs {
		s.loadJob(r)
	}
}

func (s *State) loadJob(record *api.JobRecord) {
	job := &Job{
		ID: record.Id, QueueKey: record.QueueKey, Zone: record.Zone, Queue: record.Queue, Spec: record.Spec,
		Phase: Phase(record.State), SubmittedMS: record.SubmittedUnixMs, EndedMS: record.EndedUnixMs,
		CrashedBy: record.CrashedBy,
	}
	if job.Phase == PhaseRunning && !record.Begun {
		job.Phase = PhaseQueued // earlier builds count a job as running once a start is ordered
	}
	for k, groups := range record.Occurrences {
		occurrence := newOccurrence(job.Spec)
		job.Occurrences = append(job.Occurrences, occurrence)
		job.unfinished++
		for g, group := range groups.Groups {
			for i, task := range group.Tasks {
				id := TaskID{Job: job.ID, Occurrence: int32(k), Group: int32(g), Index: int32(i)}
				s.loadTask(job, id, task)
			}
		}
	}
	s.jobs[job.ID] = job
	if job.Phase.Ended() {
		s.ended = append(s.ended, job.ID)
	}
	if !job.Phase.Ended() || job.active > 0 {
		s.active[job.ID] = job
	}
}

func (s *State) loadTask(job *Job, id TaskID, record *api.TaskRecord) {
	group, task := job.Task(id)
	task.LastRun, task.Failures, task.Checkpoint = record.LastRun, record.Failures, record.Checkpoint
	task.crashedRuns, task.survivedRun = record.CrashedRuns, record.SurvivedRun
	s.setSuspicion(job, task, record.Suspicion)
	for _, run := range record.Runs {
		task.Runs = append(task.Runs, Run{Number: run.Number, Worker: run.Worker, Ticket: run.Ticket, VM: run.Vm, FormerLease: time.Duration(run.FormerLeaseMs) * time.Millisecond})
		s.addRun(RunID{Task: id, Number: run.Number}, run.Worker, run.Vm, job, group)
	}
	if record.Done {
		job.markDone(id)
	}
}
