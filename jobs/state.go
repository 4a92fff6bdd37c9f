package jobs

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// State is the replicated state of submitted jobs. It implements
// replica.StateMachine. Its methods take its lock, except the unexported ones.
type State struct {
	mu sync.RWMutex

	applied uint64 // index of the last entry applied to this state; not part of snapshots
	replicated
}

// replicated is what the log and snapshots determine.
type replicated struct {
	nowMS         int64 // clock of the log, monotonic
	configuration *api.JobConfiguration
	queues        map[string]*api.JobQueue // of the configuration, by key; replaced as a whole
	zonesOut      map[string]bool
	jobs          map[string]*Job
	active        map[string]*Job             // jobs that have not ended or have active runs, by id
	workerVMs     map[string]string           // VMs of the workers with active runs, by worker key, as far as known
	runs          map[string]map[RunID]*Group // groups of the active runs, by worker key and run
	ended         []string                    // ids of ended jobs, sorted by the time of the end and the id
	learnt        *api.Learnt                 // by the leaders so far
	waves         map[int64]*api.MaintenanceWave
	lent          map[string]string // standby pool of each lent VM
	onProbation   int               // tasks on probation, of jobs that have not been released
	memory        map[string]Memory // of the retained jobs, by queue key
	refusals      map[string]int64  // end of the refusal of each refused job, in Unix milliseconds, by id
}

// NewState returns an empty state.
func NewState() *State {
	return &State{replicated: replicated{
		queues:    map[string]*api.JobQueue{},
		zonesOut:  map[string]bool{},
		jobs:      map[string]*Job{},
		active:    map[string]*Job{},
		runs:      map[string]map[RunID]*Group{},
		workerVMs: map[string]string{},
		refusals:  map[string]int64{},
		memory:    map[string]Memory{},
		waves:     map[int64]*api.MaintenanceWave{},
		lent:      map[string]string{},
	}}
}

// Apply applies a committed api.JobBatch and returns an encoded api.JobBatchResult.
func (s *State) Apply(index uint64, data []byte) []byte {
	s.mu.Lock()
	s.applied = index
	s.mu.Unlock()
	batch := &api.JobBatch{}
	if err := proto.Unmarshal(data, batch); err != nil {
		// The result is empty on every replica: all reject the same bytes.
		return nil
	}
	result, err := proto.Marshal(s.ApplyBatch(batch))
	if err != nil {
		return nil
	}
	return result
}

// Applied returns the index of the last entry that Apply was called with, 0 before the
// first one.
func (s *State) Applied() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.applied
}

// ApplyBatch applies the changes of a batch in order.
func (s *State) ApplyBatch(batch *api.JobBatch) *api.JobBatchResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nowMS = max(s.nowMS, batch.NowUnixMs)
	result := &api.JobBatchResult{}
	for _, change := range batch.Changes {
		result.Results = append(result.Results, changeResult(s.applyChange(change)))
	}
	s.forgetEnded(batch.RetainMs)
	s.forgetRefusals()
	return result
}

func changeResult(err error) *api.JobChangeResult {
	if err == nil {
		return &api.JobChangeResult{}
	}
	kind := fault.KindOf(err).String()
	return &api.JobChangeResult{Kind: kind, Message: strings.TrimPrefix(err.Error(), kind+": ")}
}

// ResultError returns the error of a rejected change, nil for an applied one.
func ResultError(result *api.JobChangeResult) error {
	if result.GetKind() == "" {
		return nil
	}
	kind, _ := fault.ParseKind(result.Kind)
	return fault.New(kind, result.Message)
}

func (s *State) applyChange(change *api.JobChange) error {
	switch body := change.Body.(type) {
	case *api.JobChange_Configure:
		return s.configure(body.Configure)
	case *api.JobChange_Zone:
		return s.setZone(body.Zone)
	case *api.JobChange_Submit:
		return s.submit(body.Submit)
	case *api.JobChange_Cancel:
		return s.cancel(body.Cancel)
	case *api.JobChange_Start:
		return s.start(body.Start)
	case *api.JobChange_End:
		return s.end(body.End)
	case *api.JobChange_Learnt:
		s.learnt = mergeLearnt(s.learnt, body.Learnt)
		return nil
	case *api.JobChange_Refuse:
		return s.refuse(body.Refuse)
	case *api.JobChange_Wave:
		return s.addWave(body.Wave)
	case *api.JobChange_Maintained:
		return s.recordMaintained(body.Maintained)
	case *api.JobChange_Lent:
		s.recordLent(body.Lent)
		return nil
	case *api.JobChange_Crash:
		return s.crash(body.Crash)
	case *api.JobChange_Begun:
		return s.begin(body.Begun)
	}
	return fault.New(fault.Internal, "change of an unknown type")
}

// configure sets a configuration with a higher version than the current one.
// Any other has no effect.
func (s *State) configure(c *api.JobConfiguration) error {
	if err := CheckConfiguration(c); err != nil {
		return err
	}
	if c.Version <= s.configuration.GetVersion() {
		return nil
	}
	s.setConfiguration(c)
	return nil
}

func (s *State) setConfiguration(c *api.JobConfiguration) {
	s.configuration = c
	s.queues = map[string]*api.JobQueue{}
	for _, queue := range c.GetQueues() {
		s.queues[QueueKey(queue.Host, queue.PathPrefix)] = queue
	}
}

func (s *State) setZone(order *api.ZoneOrder) error {
	if order.Out {
		s.zonesOut[order.Zone] = true
	} else {
		delete(s.zonesOut, order.Zone)
	}
	return nil
}

func (s *State) submit(c *api.SubmitJob) error {
	id := c.GetKey().GetJob()
	if s.jobs[id] != nil {
		return nil // a resend, or the submission of a job that was cancelled before it arrived
	}
	queue := s.queues[c.GetKey().GetQueue()]
	if queue == nil {
		return fault.New(fault.NotFound, "no such queue")
	}
	if err := CheckSpec(c.Spec); err != nil {
		return err
	}
	if s.refusals[id] > s.nowMS {
		return fault.Newf(fault.Overloaded, "job %s was refused", id)
	}
	job := newJob(id, c.Key.Queue, queue, c.Spec, s.nowMS)
	job.Zone = c.Zone
	s.jobs[id] = job
	s.active[id] = job
	s.setMemory(job, MemoryOf(job.Spec))
	return nil
}

// refuse prevents a job from being accepted until a given time. It returns
// fault.Conflict if the job was accepted before.
func (s *State) refuse(c *api.JobRefusal) error {
	if s.jobs[c.GetJob()] != nil {
		return fault.Newf(fault.Conflict, "job %s was taken before", c.GetJob())
	}
	s.refusals[c.GetJob()] = max(s.refusals[c.GetJob()], c.GetUntilUnixMs())
	return nil
}

func (s *State) forgetRefusals() {
	for id, until := range s.refusals {
		if until <= s.nowMS {
			delete(s.refusals, id)
		}
	}
}

// cancel cancels a job. The id of an unknown job is kept as cancelled, so that
// its submission has no effect if it arrives later.
func (s *State) cancel(c *api.JobKey) error {
	job := s.jobs[c.GetJob()]
	if job == nil {
		job = &Job{ID: c.GetJob(), QueueKey: c.GetQueue(), SubmittedMS: s.nowMS}
		s.jobs[job.ID] = job
		s.finish(job, PhaseCancelled)
		return fault.New(fault.NotFound, "no such job")
	}
	if job.Spec == nil {
		return fault.New(fault.NotFound, "no such job")
	}
	if !job.Phase.Ended() {
		s.finish(job, PhaseCancelled)
	}
	return nil
}

// finish moves a job to a final phase.
func (s *State) finish(job *Job, phase Phase) {
	job.Phase = phase
	job.EndedMS = s.nowMS
	s.addEnded(job)
	s.releaseEnded(job)
}

// addEnded adds a job to the ended ones. Their order decides which jobs are forgotten, so
// it depends on nothing that a snapshot lacks, such as the order of ends at one time.
func (s *State) addEnded(job *Job) {
	position := len(s.ended)
	for position > 0 {
		last := s.jobs[s.ended[position-1]]
		if last.EndedMS < job.EndedMS || last.ID < job.ID {
			break
		}
		position--
	}
	s.ended = slices.Insert(s.ended, position, job.ID)
}

// releaseEnded drops the tasks and the specification of an ended job once it
// has no active runs.
func (s *State) releaseEnded(job *Job) {
	if !job.Phase.Ended() || job.active > 0 {
		return
	}
	delete(s.active, job.ID)
	s.setMemory(job, Memory{All: endedBytes})
	s.onProbation -= job.onProbation
	job.onProbation = 0
	job.occurrences = occurrences{}
	if job.Spec != nil {
		job.Spec = &api.JobSpec{Schedule: job.Spec.Schedule}
	}
}

// forgetEnded drops the jobs that ended at least retainMS ago. It stops at the
// first ended job that still has active runs.
func (s *State) forgetEnded(retainMS int64) {
	if retainMS <= 0 {
		return
	}
	for len(s.ended) > 0 {
		job := s.jobs[s.ended[0]]
		if job != nil && (s.nowMS-job.EndedMS < retainMS || job.active > 0) {
			return
		}
		if job != nil {
			s.setMemory(job, Memory{})
		}
		delete(s.jobs, s.ended[0])
		s.ended = s.ended[1:]
	}
}

// start adds a run to a task.
func (s *State) start(c *api.StartRun) error {
	run := RunIDOf(c.Run)
	job := s.jobs[run.Task.Job]
	if job == nil || job.Phase.Ended() {
		return fault.Newf(fault.Stale, "job %s does not run", run.Task.Job)
	}
	group, task := job.Task(run.Task)
	switch {
	case group == nil:
		return fault.Newf(fault.NotFound, "no task %v", run.Task)
	case !group.MayStart(int(run.Task.Index)):
		return fault.Newf(fault.Stale, "task %v is done or runs", run.Task)
	case run.Number <= task.LastRun:
		return fault.Newf(fault.Stale, "task %v has begun run %d", run.Task, task.LastRun)
	case !job.Occurrence(run.Task.Occurrence).Ready(group):
		return fault.Newf(fault.Stale, "task %v waits for other groups", run.Task)
	}
	group, task = job.editTask(run.Task)
	task.LastRun = run.Number
	task.Runs = append(task.Runs, Run{Number: run.Number, Worker: c.Worker, Ticket: c.Ticket, VM: c.Vm, FormerLease: time.Duration(c.FormerLeaseMs) * time.Millisecond})
	s.addRun(run, c.Worker, c.Vm, job, group)
	return nil
}

func (s *State) addRun(run RunID, worker, vm string, job *Job, group *Group) {
	if vm != "" {
		s.workerVMs[worker] = vm
	}
	if s.runs[worker] == nil {
		s.runs[worker] = map[RunID]*Group{}
	}
	s.runs[worker][run] = group
	job.occurrences.edit(run.Task.Occurrence).active++
	job.active++
	s.count(job, Memory{All: runBytes})
}

func (s *State) removeRun(run RunID, task *Task, position int, job *Job) {
	worker := task.Runs[position].Worker
	task.Runs = slices.Delete(task.Runs, position, position+1)
	delete(s.runs[worker], run)
	if len(s.runs[worker]) == 0 {
		delete(s.runs, worker)
		delete(s.workerVMs, worker)
	}
	job.occurrences.edit(run.Task.Occurrence).active--
	job.active--
	s.count(job, Memory{All: -runBytes})
}

// end records the outcome of a run. It returns fault.Stale if the run is not
// active on the worker.
func (s *State) end(c *api.EndRun) error {
	run := RunIDOf(c.Run)
	job := s.jobs[run.Task.Job]
	if job == nil {
		return fault.Newf(fault.Stale, "no job %s", run.Task.Job)
	}
	group, task := job.Task(run.Task)
	if task == nil {
		return fault.Newf(fault.Stale, "no task %v", run.Task)
	}
	position := slices.IndexFunc(task.Runs, func(r Run) bool {
		return r.Number == run.Number && r.Worker == c.Worker
	})
	if position < 0 {
		return fault.Newf(fault.Stale, "run %v has ended", run)
	}
	s.removeRun(run, task, position, job)
	if provesBegun(c) {
		job.begin()
	}
	if !job.Phase.Ended() {
		s.applyOutcome(job, run, c)
	}
	if job.Phase.Ended() {
		s.releaseEnded(job)
		return nil
	}
	group.compact(run.Task.Index)
	job.occurrences.release(run.Task.Occurrence, job.Spec)
	return nil
}

func (s *State) applyOutcome(job *Job, run RunID, c *api.EndRun) {
	group, task := job.editTask(run.Task)
	if c.Checkpoint != "" {
		task.Checkpoint = c.Checkpoint
	}
	switch c.Outcome {
	case api.RunOutcome_RUN_OUTCOME_DONE:
		s.applyDone(job, group, run)
	case api.RunOutcome_RUN_OUTCOME_FAILED:
		s.applyFailure(job, group, task)
	}
	if !job.Phase.Ended() {
		s.applyEvidence(job, run, c.CrashEvidence)
	}
}

// applyDone marks the task as done. A long-running task is not marked, so that
// it is started again.
func (s *State) applyDone(job *Job, group *Group, run RunID) {
	if group.Spec.LongRunning {
		return
	}
	if group.Spec.Gang {
		s.finishGang(job, group, run)
	} else {
		job.markDone(run.Task)
	}
	if job.unfinished == 0 {
		s.finish(job, PhaseCompleted)
	}
}

// finishGang marks all members of a gang as done and removes their runs: the
// completion of one member completes the gang.
func (s *State) finishGang(job *Job, group *Group, run RunID) {
	for index := range group.Tasks {
		member := RunID{Task: run.Task, Number: run.Number}
		member.Task.Index = int32(index)
		task := group.Tasks[index]
		position := slices.IndexFunc(task.Runs, func(r Run) bool { return r.Number == run.Number })
		if position >= 0 {
			s.removeRun(member, task, position, job)
		}
		job.markDone(member.Task)
		group.compact(member.Task.Index)
	}
}

func (s *State) applyFailure(job *Job, group *Group, task *Task) {
	task.Failures++
	attempts := max(1, s.queueOf(job).GetMaxAttempts())
	if !group.Spec.LongRunning && task.Failures >= attempts {
		s.finish(job, PhaseFailed)
	}
}

// queueOf returns the queue of a job as configured now or, if it is no longer
// configured, as of the submission.
func (s *State) queueOf(job *Job) *api.JobQueue {
	if queue := s.queues[job.QueueKey]; queue != nil {
		return queue
	}
	return job.Queue
}
