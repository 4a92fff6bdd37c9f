package jobs

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
)

// Phase is the phase of the lifecycle of a job.
type Phase int32

// The phases. Those after PhaseRunning are final.
const (
	PhaseQueued  Phase = iota // accepted, not begun
	PhaseRunning              // begun: a worker has begun a run of the job
	PhaseCompleted
	PhaseFailed
	PhaseCancelled
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p > PhaseRunning }

// String returns the name of the phase in logs and answers.
func (p Phase) String() string {
	switch p {
	case PhaseQueued:
		return "queued"
	case PhaseRunning:
		return "running"
	case PhaseCompleted:
		return "completed"
	case PhaseFailed:
		return "failed"
	}
	return "cancelled"
}

// Job is one submitted job.
type Job struct {
	ID          string
	QueueKey    string
	Zone        string        // availability zone of the entry that took the submission, empty if it is not known
	Queue       *api.JobQueue // configuration of the queue at the submission
	Spec        *api.JobSpec  // nil for a job that was cancelled before its submission arrived
	Phase       Phase
	SubmittedMS int64 // Unix milliseconds, by the clock of the leader
	EndedMS     int64
	CrashedBy   *api.RunRef // the run for which the job failed because it crashes its workers, nil otherwise

	occurrences occurrences
	unfinished  int // occurrences with groups that are not done
	active      int // active runs
	onProbation int // tasks on probation
	memory      Memory
}

// Group is the state of one task group.
type Group struct {
	Spec  *api.TaskGroup
	Tasks []*Task

	unfinished int // tasks that are not done
}

// Done reports whether all tasks are done.
func (g *Group) Done() bool { return g.unfinished == 0 }

// Task is the state of one task.
type Task struct {
	Done       bool
	LastRun    int32  // number of the latest run, 0 before the first
	Failures   int32  // number of failed runs
	Checkpoint string // latest checkpoint, empty if there is none
	Runs       []Run  // active runs

	suspicion   int32   // weight of the evidence that the task crashes its workers
	survivedRun int32   // latest run whose start a worker is known to have survived, 0 for none
	crashedRuns []int32 // later runs whose workers crashed
}

// Run is an active run of a task: one that has started and not ended.
type Run struct {
	Number int32
	Worker string // key of the worker's incarnation
	Ticket string // from the queue's adviser, empty if there is none
	VM     string // of the worker, empty if it is not known

	// FormerLease is for how long, from the start of the run, the worker may have held a lease
	// from a call for an earlier incarnation; 0 if it held none.
	FormerLease time.Duration
}

// newJob returns a job whose tasks all wait to start.
func newJob(id, queueKey string, queue *api.JobQueue, spec *api.JobSpec, nowMS int64) *Job {
	spec = withoutRepeatedDependencies(spec)
	job := &Job{ID: id, QueueKey: queueKey, Queue: queue, Spec: spec, SubmittedMS: nowMS, occurrences: newOccurrences(spec)}
	job.unfinished = int(job.occurrences.total)
	return job
}

// withoutRepeatedDependencies returns a specification whose groups name each group that they
// depend on once. It does not modify the one that it is given.
func withoutRepeatedDependencies(spec *api.JobSpec) *api.JobSpec {
	var cleaned *api.JobSpec
	for i, group := range spec.GetGroups() {
		unique := slices.Compact(slices.Sorted(slices.Values(group.DependsOn)))
		if len(unique) == len(group.DependsOn) {
			continue
		}
		if cleaned == nil {
			cleaned = proto.Clone(spec).(*api.JobSpec)
		}
		cleaned.Groups[i].DependsOn = slices.Clip(slices.Clone(unique))
	}
	if cleaned == nil {
		return spec
	}
	return cleaned
}

// DueMS returns the time at which an occurrence is due, in Unix milliseconds.
// It returns false for a job without a schedule.
func (j *Job) DueMS(occurrence int32) (int64, bool) {
	schedule := j.Spec.GetSchedule()
	if schedule.GetTimes() == 0 {
		return 0, false
	}
	return schedule.FirstUnixMs + int64(occurrence)*schedule.IntervalMs, true
}

// Ready reports whether all groups that the group depends on are done.
func (o *Occurrence) Ready(group *Group) bool {
	for _, earlier := range group.Spec.DependsOn {
		if !o.Groups[earlier].Done() {
			return false
		}
	}
	return true
}

// MayStart reports whether the task may start another run: it is not done and,
// unless the group is speculative, has no active run.
func (g *Group) MayStart(index int) bool {
	task := g.Tasks[index]
	return !task.Done && (len(task.Runs) == 0 || g.Spec.Speculative)
}

// Broken reports whether a member of a gang has neither this run active nor is
// done. The other members cannot work without it.
func (g *Group) Broken(number int32) bool {
	if !g.Spec.Gang {
		return false
	}
	for i := range g.Tasks {
		runs := slices.ContainsFunc(g.Tasks[i].Runs, func(r Run) bool { return r.Number == number })
		if !runs && !g.Tasks[i].Done {
			return true
		}
	}
	return false
}

// NextRun returns the number for the next run of a task. All tasks of a gang
// use the same number for a run of the gang.
func (g *Group) NextRun(index int) int32 {
	if !g.Spec.Gang {
		return g.Tasks[index].LastRun + 1
	}
	var last int32
	for i := range g.Tasks {
		last = max(last, g.Tasks[i].LastRun)
	}
	if g.Tasks[index].LastRun < last {
		return last // other members of the gang have already started this run
	}
	return last + 1
}

// Task returns a task and its group, or nil if there is no such task.
func (j *Job) Task(id TaskID) (*Group, *Task) {
	occurrence := j.occurrences.at(id.Occurrence)
	if occurrence == nil || id.Group < 0 || int(id.Group) >= len(occurrence.Groups) {
		return nil, nil
	}
	group := occurrence.Groups[id.Group]
	if id.Index < 0 || int(id.Index) >= len(group.Tasks) {
		return nil, nil
	}
	return group, group.Tasks[id.Index]
}

// editTask returns a task and its group for modification. The task must exist, and its
// occurrence must not be complete or must have active runs.
func (j *Job) editTask(id TaskID) (*Group, *Task) {
	group := j.occurrences.edit(id.Occurrence).Groups[id.Group]
	return group, group.edit(id.Index)
}

// ActiveRuns returns the number of active runs.
func (j *Job) ActiveRuns() int { return j.active }

// TasksOnProbation returns the number of the job's tasks on probation.
func (j *Job) TasksOnProbation() int { return j.onProbation }

// markDone marks a task as done. It reports whether the task was not done
// before.
func (j *Job) markDone(id TaskID) bool {
	group, task := j.editTask(id)
	if task.Done {
		return false
	}
	task.Done = true
	group.unfinished--
	if group.unfinished > 0 {
		return true
	}
	occurrence := j.occurrences.edit(id.Occurrence)
	occurrence.unfinished--
	if occurrence.unfinished == 0 {
		j.unfinished--
	}
	return true
}

// Bounds of what Shape lists.
const (
	maxShownGroups       = 8
	maxShownDependencies = 8
)

// Shape describes the groups of a job for logs; see GroupShape.
func Shape(spec *api.JobSpec) string {
	var parts []string
	for i, group := range spec.GetGroups() {
		if i == maxShownGroups {
			parts = append(parts, fmt.Sprintf("and %d groups", len(spec.Groups)-i))
			break
		}
		part := GroupShape(group)
		if n := len(group.DependsOn); n > maxShownDependencies {
			part += fmt.Sprintf(" after %v and %d", group.DependsOn[:maxShownDependencies], n-maxShownDependencies)
		} else if n > 0 {
			part += fmt.Sprintf(" after %v", group.DependsOn)
		}
		parts = append(parts, part)
	}
	if times := spec.GetSchedule().GetTimes(); times > 0 {
		parts = append(parts, fmt.Sprintf("%d times", times))
	}
	return strings.Join(parts, "; ")
}

// GroupShape describes a group for logs: number of tasks, demand, estimated
// duration and special properties, such as "2x3500m/6400Mi 900ms best-effort".
func GroupShape(group *api.TaskGroup) string {
	shape := fmt.Sprintf("%dx%dm/%dMi %dms", group.Count, group.MilliCpu, group.MemoryMib, group.EstimatedMs)
	for _, flag := range []struct {
		set  bool
		name string
	}{
		{group.BestEffort, "best-effort"}, {group.LongRunning, "long-running"}, {group.Gang, "gang"},
		{group.Checkpointing, "saves"}, {group.Speculative, "speculative"}, {group.RackLocal, "rack-local"},
	} {
		if flag.set {
			shape += " " + flag.name
		}
	}
	if group.Image != "" {
		shape += " image " + group.Image
	}
	if group.TargetLatencyMs > 0 {
		shape += fmt.Sprintf(" target %dms", group.TargetLatencyMs)
	}
	if group.MaxPerWorker > 0 {
		shape += fmt.Sprintf(" max %d", group.MaxPerWorker)
	}
	return shape
}
