package jobs

import (
	"slices"
	"strings"
	"time"

	"amaranthpaddle/api"
)

// View gives read access to a State while its lock is held. It must not be used
// afterwards.
type View struct{ state *State }

// Read calls f with a view of the state, with the read lock held. f must not
// block.
func (s *State) Read(f func(View)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(View{s})
}

// NowMS returns the clock of the log, in Unix milliseconds.
func (v View) NowMS() int64 { return v.state.nowMS }

// Configuration returns the current configuration, nil before the first one.
func (v View) Configuration() *api.JobConfiguration { return v.state.configuration }

// Learnt returns what the leaders have learnt so far, nil if there is nothing.
func (v View) Learnt() *api.Learnt { return v.state.learnt }

// Resolve returns the key of the queue with the longest matching path prefix
// for a call, and the rest of the path. found is false if no queue matches.
func (v View) Resolve(host, path string) (key, rest string, found bool) {
	longest := -1
	for candidate, queue := range v.state.queues {
		if queue.Host == host && strings.HasPrefix(path, queue.PathPrefix) && len(queue.PathPrefix) > longest {
			longest, key = len(queue.PathPrefix), candidate
		}
	}
	if longest < 0 {
		return "", "", false
	}
	return key, path[longest:], true
}

// Queue returns a configured queue, nil if there is none with this key.
func (v View) Queue(key string) *api.JobQueue { return v.state.queues[key] }

// QueueOf returns the queue of a job as configured now or, if it is no longer
// configured, as of the submission.
func (v View) QueueOf(job *Job) *api.JobQueue { return v.state.queueOf(job) }

// ZoneOut reports whether operators have taken a zone out of service.
func (v View) ZoneOut(zone string) bool { return v.state.zonesOut[zone] }

// Job returns a job, nil if the id is unknown.
func (v View) Job(id string) *Job { return v.state.jobs[id] }

// ActiveJobs calls f with each job that has not ended or has active runs.
func (v View) ActiveJobs(f func(*Job)) {
	for _, job := range v.state.active {
		f(job)
	}
}

// CountActive returns the number of jobs that have not ended or have active runs.
func (v View) CountActive() int { return len(v.state.active) }

// RunsOn calls f with each active run on an incarnation of a worker, and the
// group of its task.
func (v View) RunsOn(worker string, f func(RunID, *Group)) {
	for run, group := range v.state.runs[worker] {
		f(run, group)
	}
}

// Workers calls f with each incarnation of a worker that has active runs.
func (v View) Workers(f func(worker string, runs int)) {
	for worker, runs := range v.state.runs {
		f(worker, len(runs))
	}
}

// VMOf returns the VM of an incarnation of a worker that has active runs, empty if
// it is not known.
func (v View) VMOf(worker string) string { return v.state.workerVMs[worker] }

// WorkerOf returns the key of the worker's incarnation that an active run is on, empty if
// the run is not active.
func (v View) WorkerOf(run RunID) string { return v.run(run).Worker }

// FormerLeaseOf returns Run.FormerLease of an active run, 0 if the run is not active.
func (v View) FormerLeaseOf(run RunID) time.Duration { return v.run(run).FormerLease }

// run returns an active run, the zero value if it is not active.
func (v View) run(run RunID) Run {
	_, _, task := v.Run(run)
	if task == nil {
		return Run{}
	}
	return task.Runs[slices.IndexFunc(task.Runs, func(r Run) bool { return r.Number == run.Number })]
}

// Pending returns the number of jobs of a queue that have not begun.
func (v View) Pending(queueKey string) int64 {
	var pending int64
	for _, job := range v.state.active {
		if job.QueueKey == queueKey && job.Phase == PhaseQueued {
			pending++
		}
	}
	return pending
}

// TasksOnProbation returns the number of tasks on probation.
func (v View) TasksOnProbation() int { return v.state.onProbation }

// Run returns the job, group and task of an active run, nil if the run is not
// active.
func (v View) Run(run RunID) (*Job, *Group, *Task) {
	job := v.state.jobs[run.Task.Job]
	if job == nil {
		return nil, nil, nil
	}
	group, task := job.Task(run.Task)
	if task == nil {
		return nil, nil, nil
	}
	for i := range task.Runs {
		if task.Runs[i].Number == run.Number {
			return job, group, task
		}
	}
	return nil, nil, nil
}
