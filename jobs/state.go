package jobs

import (
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// State is the replicated state of submitted jobs. It implements
// replica.StateMachine. View and Update take its lock.
type State struct {
	mu sync.RWMutex

	nowMS         int64 // clock of the log, never goes back
	configuration *api.JobConfiguration
	queues        map[string]*api.JobQueue // of the configuration, by key
	zonesOut      map[string]bool
	jobs          map[string]*Job
	active        map[string]*Job               // jobs that have not ended, or have runs that have not
	runs          map[string]map[RunID]struct{} // runs that have not ended, by worker
	ended         []string                      // jobs that ended, in that order
	learnt        *api.Learnt                   // by the leaders so far
	waves         map[int64]*api.MaintenanceWave
	lent          map[string]string // standby pool of each VM that works for another one
	refusals      map[string]int64  // until when a job that was refused stays so, by id
}

// NewState returns the empty state.
func NewState() *State {
	s := &State{}
	s.reset()
	return s
}

func (s *State) reset() {
	s.nowMS = 0
	s.configuration = nil
	s.queues = map[string]*api.JobQueue{}
	s.zonesOut = map[string]bool{}
	s.jobs = map[string]*Job{}
	s.active = map[string]*Job{}
	s.runs = map[string]map[RunID]struct{}{}
	s.ended = nil
	s.learnt = nil
	s.refusals = map[string]int64{}
	s.waves = map[int64]*api.MaintenanceWave{}
	s.lent = map[string]string{}
}

// Apply applies a committed api.JobBatch and returns an encoded api.JobBatchResult.
func (s *State) Apply(_ uint64, data []byte) []byte {
	batch := &api.JobBatch{}
	if err := proto.Unmarshal(data, batch); err != nil {
		// The result stays empty: every replica refuses the same bytes.
		return nil
	}
	result, err := proto.Marshal(s.ApplyBatch(batch))
	if err != nil {
		return nil
	}
	return result
}

// ApplyBatch applies the changes of a batch in order.
func (s *State) ApplyBatch(batch *api.JobBatch) *api.JobBatchResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nowMS = max(s.nowMS, batch.NowUnixMs)
	result := &api.JobBatchResult{}
	for _, change := range batch.Changes {
		result.Results = append(result.Results, changeResult(s.change(change)))
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

// ResultError returns the error of a refused change, or nil.
func ResultError(result *api.JobChangeResult) error {
	if result.GetKind() == "" {
		return nil
	}
	kind, _ := fault.ParseKind(result.Kind)
	return fault.New(kind, result.Message)
}

func (s *State) change(change *api.JobChange) error {
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
		s.learnt = body.Learnt
		return nil
	case *api.JobChange_Refuse:
		return s.refuse(body.Refuse)
	case *api.JobChange_Wave:
		return s.beginWave(body.Wave)
	case *api.JobChange_Maintained:
		return s.noteMaintained(body.Maintained)
	case *api.JobChange_Lent:
		s.noteLent(body.Lent)
		return nil
	}
	return fault.New(fault.Internal, "change of an unknown type")
}

// configure takes a configuration with a higher version; any other changes nothing.
func (s *State) configure(c *api.JobConfiguration) error {
	if err := CheckConfiguration(c); err != nil {
		return err
	}
	if c.Version <= s.configuration.GetVersion() {
		return nil
	}
	s.useConfiguration(c)
	return nil
}

func (s *State) useConfiguration(c *api.JobConfiguration) {
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
		return nil // a resend, or a submission that its cancellation overtook
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
	s.jobs[id] = job
	s.active[id] = job
	return nil
}

// refuse keeps a job from being taken for a while. Error: fault.Conflict when
// it was taken before.
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

// cancel ends a job. The id of an unknown job is kept as cancelled, so that its
// submission, if it still comes, runs nothing.
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
	s.ended = append(s.ended, job.ID)
	s.releaseEnded(job)
}

// releaseEnded drops what a job needed to run, once nothing of it runs.
func (s *State) releaseEnded(job *Job) {
	if !job.Phase.Ended() || job.active > 0 {
		return
	}
	delete(s.active, job.ID)
	job.Occurrences = nil
	if job.Spec != nil {
		job.Spec = &api.JobSpec{Schedule: job.Spec.Schedule}
	}
}

// forgetEnded drops the jobs that ended longer than retainMS ago.
func (s *State) forgetEnded(retainMS int64) {
	if retainMS <= 0 {
		return
	}
	for len(s.ended) > 0 {
		job := s.jobs[s.ended[0]]
		if job != nil && (s.nowMS-job.EndedMS < retainMS || job.active > 0) {
			return
		}
		delete(s.jobs, s.ended[0])
		s.ended = s.ended[1:]
	}
}

// start begins a run.
func (s *State) start(c *api.StartRun) error {
	run := RunOf(c.Run)
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
	case !job.Occurrences[run.Task.Occurrence].Ready(group):
		return fault.Newf(fault.Stale, "task %v waits for other groups", run.Task)
	}
	task.LastRun = run.Number
	task.Runs = append(task.Runs, Run{Number: run.Number, Worker: c.Worker, Ticket: c.Ticket})
	s.addRun(run, c.Worker, job)
	if job.Phase == PhaseQueued {
		job.Phase = PhaseRunning
	}
	return nil
}

func (s *State) addRun(run RunID, worker string, job *Job) {
	if s.runs[worker] == nil {
		s.runs[worker] = map[RunID]struct{}{}
	}
	s.runs[worker][run] = struct{}{}
	job.active++
}

func (s *State) removeRun(run RunID, task *Task, position int, job *Job) {
	worker := task.Runs[position].Worker
	task.Runs = slices.Delete(task.Runs, position, position+1)
	delete(s.runs[worker], run)
	if len(s.runs[worker]) == 0 {
		delete(s.runs, worker)
	}
	job.active--
}

// end takes in how a run ended. An end of a run that is not known is stale.
func (s *State) end(c *api.EndRun) error {
	run := RunOf(c.Run)
	job := s.jobs[run.Task.Job]
	if job == nil {
		return fault.Newf(fault.Stale, "no job %s", run.Task.Job)
	}
	_, task := job.Task(run.Task)
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
	if !job.Phase.Ended() {
		s.takeOutcome(job, run, c)
	}
	s.releaseEnded(job)
	return nil
}

func (s *State) takeOutcome(job *Job, run RunID, c *api.EndRun) {
	group, task := job.Task(run.Task)
	if c.Checkpoint != "" {
		task.Checkpoint = c.Checkpoint
	}
	switch c.Outcome {
	case api.RunOutcome_RUN_OUTCOME_DONE:
		s.takeDone(job, group, run)
	case api.RunOutcome_RUN_OUTCOME_FAILED:
		s.takeFailure(job, group, task)
	}
}

// takeDone marks the task done, or restarts it when it lasts.
func (s *State) takeDone(job *Job, group *Group, run RunID) {
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

// finishGang ends all members of a gang: one end stands for all of them.
func (s *State) finishGang(job *Job, group *Group, run RunID) {
	for index := range group.Tasks {
		member := RunID{Task: run.Task, Number: run.Number}
		member.Task.Index = int32(index)
		task := &group.Tasks[index]
		position := slices.IndexFunc(task.Runs, func(r Run) bool { return r.Number == run.Number })
		if position >= 0 {
			s.removeRun(member, task, position, job)
		}
		job.markDone(member.Task)
	}
}

func (s *State) takeFailure(job *Job, group *Group, task *Task) {
	task.Failures++
	attempts := max(1, s.queueOf(job).GetMaxAttempts())
	if !group.Spec.LongRunning && task.Failures >= attempts {
		s.finish(job, PhaseFailed)
	}
}

// queueOf returns the queue of a job as it is configured now, or as it was at
// the submission when it is no longer configured.
func (s *State) queueOf(job *Job) *api.JobQueue {
	if queue := s.queues[job.QueueKey]; queue != nil {
		return queue
	}
	return job.Queue
}
