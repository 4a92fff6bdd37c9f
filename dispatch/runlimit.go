package dispatch

// Tasks may ask for so little that any number of them fits on a worker. Each run takes
// memory at the worker's agent and at the leader, whatever it asks for.
const (
	// maxWorkerRuns bounds the runs on a worker.
	maxWorkerRuns = 1024
	// reservedWorkerRuns are possible beyond that for jobs with fewer than fewRuns runs, so
	// that a job with many small tasks does not keep others off all workers.
	reservedWorkerRuns = 1024
	fewRuns            = 64
	// maxPlanStarts bounds the starts of a plan, but for a gang, which starts as a whole. The
	// others follow in the next plan.
	maxPlanStarts = 2048
)

// hasFewRuns reports whether the job of a candidate has few runs, with those that start in
// the present turn.
func (c *candidate) hasFewRuns(starting int) bool { return c.job.ActiveRuns()+starting < fewRuns }

// atRunLimit reports whether a worker, or the fleet, holds as many runs as it may.
func (p *planner) atRunLimit(c candidate, l *load) bool {
	limit, most := maxWorkerRuns, p.in.MaxRuns
	if c.few {
		limit, most = limit+reservedWorkerRuns, 2*most
	}
	return l.runs >= limit || most > 0 && p.fleet.runs >= most
}

// full reports whether the plan has as many starts as it may.
func (p *planner) full() bool { return len(p.starts) >= maxPlanStarts }
