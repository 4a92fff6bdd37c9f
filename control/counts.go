package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/burn"
	"amaranthpaddle/task"
)

// recordCounts applies an entry's report; a report that was applied before
// changes nothing. An invalid report is dropped and acknowledged: otherwise the
// entry would resend it forever and never send its later reports.
func (s *State) recordCounts(c *api.RecordCounts) *api.CommandResult {
	sequence, err := s.counts.Record(c.Report, s.now())
	if err != nil {
		klog.ErrorS(err, "Dropped invalid entry report", "entry", c.Report.Entry, "sequence", c.Report.Sequence)
		sequence = c.Report.Sequence
	}
	return &api.CommandResult{Sequence: sequence}
}

// burnReport returns the service-level report as of now.
func (s *State) burnReport(now time.Time) *burn.Report {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.counts.Report(now, s.plan, s.jobProgress())
}

func (s *State) jobProgress() []burn.JobProgress {
	if s.plan == nil {
		return nil
	}
	var list []burn.JobProgress
	for _, declared := range s.plan.Jobs {
		j := s.tasks.Job(task.JobID(declared.Name))
		if j == nil {
			continue
		}
		progress := burn.JobProgress{
			Job:      declared,
			Finished: j.Finished,
			Running:  countTasks(j, task.Starting, task.Running, task.Stopping),
			Stopped:  j.Wanted == 0,
		}
		if j.Complete() {
			progress.FinishedAt = finishedAt(j)
		}
		list = append(list, progress)
	}
	return list
}

// finishedAt returns when the last task of a complete job finished.
func finishedAt(j *task.Job) time.Time {
	var last time.Time
	for _, k := range j.Tasks {
		if k.State == task.Finished && k.Since.After(last) {
			last = k.Since
		}
	}
	return last
}

// burnSource returns the report for the operators' page after a read confirmed by a quorum.
func (s *Server) burnSource(ctx context.Context) (*burn.Report, error) {
	if err := s.confirmAsLeader(ctx); err != nil {
		return nil, err
	}
	return s.state.burnReport(time.Now()), nil
}
