package control

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/burn"
	"amaranthpaddle/task"
)

// recordCounts takes in an entry's report unless it was taken in before. One
// that can't be used is acknowledged all the same: the entry would send it
// again for ever, and its later reports after it.
func (s *State) recordCounts(c *api.RecordCounts) *api.CommandResult {
	sequence, err := s.counts.Record(c.Report, s.now())
	if err != nil {
		klog.ErrorS(err, "Report of an entry dropped", "entry", c.Report.Entry, "sequence", c.Report.Sequence)
		return &api.CommandResult{Sequence: c.Report.Sequence}
	}
	return &api.CommandResult{Sequence: sequence}
}

// burnReport computes the report at now.
func (s *State) burnReport(now time.Time) *burn.Report {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var jobs []burn.JobProgress
	for _, j := range s.tasks.Jobs() {
		if j.Class == task.Batch {
			jobs = append(jobs, s.jobProgress(j))
		}
	}
	return s.counts.Report(now, s.plan, jobs)
}

// jobProgress returns how far a job has come, with what the plan declares of it.
func (s *State) jobProgress(j *task.Job) burn.JobProgress {
	status := jobStatus(j)
	progress := burn.JobProgress{
		Finished: status.Finished,
		Running:  status.Running,
		Stopped:  j.Wanted == 0,
	}
	progress.Job.Name, progress.Job.Team, progress.Job.Tasks = j.Name, j.Team, j.Wanted
	if progress.Stopped {
		progress.Job.Tasks = len(j.Tasks)
	}
	progress.Job.RunTime, progress.Job.Deadline, progress.Job.Priority = j.RunTime, j.Deadline, j.Priority
	return progress
}

// BurnReport returns the service-level report, confirmed as the leader.
// Errors: fault.NotLeader, fault.NoQuorum.
func (s *Server) BurnReport(ctx context.Context) (*burn.Report, error) {
	if err := s.confirmAsLeader(ctx); err != nil {
		return nil, err
	}
	return s.state.burnReport(time.Now()), nil
}

func (s *Server) getBurn(r *http.Request) (any, error) { return s.BurnReport(r.Context()) }
