package jobs

import (
	"fmt"
	"slices"
	"strings"

	"amaranthpaddle/api"
)

// Phase is where a job stands.
type Phase int32

// The phases. Those after PhaseRunning are final.
const (
	PhaseQueued Phase = iota // accepted, no task has started
	PhaseRunning
	PhaseCompleted
	PhaseFailed
	PhaseCancelled
)

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p > PhaseRunning }

// String returns the phase as it stands in logs and answers.
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
	Queue       *api.JobQueue // as it was at the submission
	Spec        *api.JobSpec  // nil for a job that was cancelled before it came
	Phase       Phase
	SubmittedMS int64 // Unix milliseconds of the leader's clock
	EndedMS     int64
	Occurrences []*Occurrence

	unfinished int // occurrences with a group that is not done
	active     int // runs that have not ended
}

// Occurrence is one execution of a job's groups.
type Occurrence struct {
	Groups     []*Group
	unfinished int // groups that are not done
}

// Group is the state of one task group.
type Group struct {
	Spec  *api.TaskGroup
	Tasks []Task

	unfinished int // tasks that are not done
}

// Done reports whether all tasks are done.
func (g *Group) Done() bool { return g.unfinished == 0 }

// Task is the state of one task.
type Task struct {
	Done       bool
	LastRun    int32  // number of the latest run, 0 when none began
	Failures   int32  // runs that failed
	Checkpoint string // latest saved progress, empty for none
	Runs       []Run  // that have not ended
}

// Run is one run of a task that has not ended.
type Run struct {
	Number int32
	Worker string // key of the worker's incarnation
	Ticket string // of the queue's adviser, empty for none
}

// newJob returns a job with all its tasks waiting.
func newJob(id, queueKey string, queue *api.JobQueue, spec *api.JobSpec, nowMS int64) *Job {
	job := &Job{ID: id, QueueKey: queueKey, Queue: queue, Spec: spec, SubmittedMS: nowMS}
	for range max(1, spec.GetSchedule().GetTimes()) {
		job.Occurrences = append(job.Occurrences, newOccurrence(spec))
	}
	job.unfinished = len(job.Occurrences)
	return job
}

func newOccurrence(spec *api.JobSpec) *Occurrence {
	occurrence := &Occurrence{unfinished: len(spec.Groups)}
	for _, group := range spec.Groups {
		occurrence.Groups = append(occurrence.Groups, &Group{
			Spec: group, Tasks: make([]Task, group.Count), unfinished: int(group.Count),
		})
	}
	return occurrence
}

// DueMS returns when an occurrence is due, in Unix milliseconds, and false for
// a job without a schedule.
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

// MayStart reports whether the task may begin another run now, apart from where.
func (g *Group) MayStart(index int) bool {
	task := &g.Tasks[index]
	return !task.Done && (len(task.Runs) == 0 || g.Spec.Speculative)
}

// Broken reports whether a run of a gang has lost a member. Its other members
// can't work any more.
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

// NextRun returns the number that the next run of a task takes. The tasks of a
// gang share their numbers.
func (g *Group) NextRun(index int) int32 {
	if !g.Spec.Gang {
		return g.Tasks[index].LastRun + 1
	}
	var last int32
	for i := range g.Tasks {
		last = max(last, g.Tasks[i].LastRun)
	}
	if g.Tasks[index].LastRun < last {
		return last // the rest of the gang began this run already
	}
	return last + 1
}

// group returns a job's group, nil when the id names none.
func (j *Job) group(id TaskID) *Group {
	if id.Occurrence < 0 || int(id.Occurrence) >= len(j.Occurrences) {
		return nil
	}
	groups := j.Occurrences[id.Occurrence].Groups
	if id.Group < 0 || int(id.Group) >= len(groups) {
		return nil
	}
	if id.Index < 0 || int(id.Index) >= len(groups[id.Group].Tasks) {
		return nil
	}
	return groups[id.Group]
}

// Task returns a job's group and task, nil when the id names none.
func (j *Job) Task(id TaskID) (*Group, *Task) {
	group := j.group(id)
	if group == nil {
		return nil, nil
	}
	return group, &group.Tasks[id.Index]
}

// Active returns the number of runs that have not ended.
func (j *Job) Active() int { return j.active }

// markDone marks a task done and reports whether it was not before.
func (j *Job) markDone(id TaskID) bool {
	group, task := j.Task(id)
	if task.Done {
		return false
	}
	task.Done = true
	group.unfinished--
	if group.unfinished > 0 {
		return true
	}
	occurrence := j.Occurrences[id.Occurrence]
	occurrence.unfinished--
	if occurrence.unfinished == 0 {
		j.unfinished--
	}
	return true
}

// Shape describes a job's groups for logs; see GroupShape.
func Shape(spec *api.JobSpec) string {
	var parts []string
	for _, group := range spec.GetGroups() {
		part := GroupShape(group)
		if len(group.DependsOn) > 0 {
			part += fmt.Sprintf(" after %v", group.DependsOn)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, "; ")
}

// GroupShape describes a group for logs: how many tasks, with what demand and
// estimated duration, and what is special about them, such as
// "2x3500m/6400Mi 900ms best-effort".
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
