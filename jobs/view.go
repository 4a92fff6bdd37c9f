package jobs

import (
	"strings"

	"amaranthpaddle/api"
)

// View gives read access to a State while its lock is held. It must not be kept.
type View struct{ state *State }

// Read calls f with a view of the state. f must not block.
func (s *State) Read(f func(View)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(View{s})
}

// NowMS returns the clock of the log, in Unix milliseconds.
func (v View) NowMS() int64 { return v.state.nowMS }

// Configuration returns the configuration in force, nil before the first one.
func (v View) Configuration() *api.JobConfiguration { return v.state.configuration }

// Learnt returns what the leaders have learnt so far, nil for nothing.
func (v View) Learnt() *api.Learnt { return v.state.learnt }

// Resolve returns the key of the queue that a call is for, with the longest
// matching prefix, and the rest of the path. It returns false when there is none.
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

// Queue returns a configured queue, nil when there is none with this key.
func (v View) Queue(key string) *api.JobQueue { return v.state.queues[key] }

// QueueOf returns the queue of a job as configured now or, when it is gone, at
// the submission.
func (v View) QueueOf(job *Job) *api.JobQueue { return v.state.queueOf(job) }

// ZoneOut reports whether operators have taken a zone out of service.
func (v View) ZoneOut(zone string) bool { return v.state.zonesOut[zone] }

// Job returns a job, nil when the id is not known.
func (v View) Job(id string) *Job { return v.state.jobs[id] }

// ActiveJobs calls f with each job that has not ended or still has runs.
func (v View) ActiveJobs(f func(*Job)) {
	for _, job := range v.state.active {
		f(job)
	}
}

// RunsOn calls f with each run that has not ended on a worker's incarnation.
func (v View) RunsOn(worker string, f func(RunID)) {
	for run := range v.state.runs[worker] {
		f(run)
	}
}

// Workers calls f with each worker's incarnation that has runs.
func (v View) Workers(f func(worker string, runs int)) {
	for worker, runs := range v.state.runs {
		f(worker, len(runs))
	}
}

// Pending returns the number of a queue's jobs of which no task has started.
func (v View) Pending(queueKey string) int64 {
	var pending int64
	for _, job := range v.state.active {
		if job.QueueKey == queueKey && job.Phase == PhaseQueued {
			pending++
		}
	}
	return pending
}

// Run returns the job, group and task of a run that has not ended, nil
// otherwise.
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
