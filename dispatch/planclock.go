package dispatch

import "time"

// lapCandidates is the number of candidates that are placed between two looks at the clock.
// Those of a job are next to each other.
const lapCandidates = 8

// JobTime is the time that a plan has spent on a job.
type JobTime struct {
	Job  string
	Took time.Duration
}

// planClock measures what a plan spends on each job, and ends a phase of the plan when half
// of the plan's time is over: the search for candidates, and their placement. A nil clock
// measures nothing.
type planClock struct {
	now     func() time.Time
	limit   time.Duration // of a phase, 0 for no bound
	until   time.Time     // end of the phase
	last    time.Time     // end of the latest lap
	job     JobTime       // of the jobs of the latest laps, while they are the same
	slowest JobTime
	over    bool // the time of the phase is over
	cut     bool // that of an earlier one was
}

func newPlanClock(now func() time.Time, limit time.Duration) *planClock {
	if now == nil {
		return nil
	}
	c := &planClock{now: now, limit: limit / 2, last: now()}
	c.until = c.last.Add(c.limit)
	return c
}

// nextPhase begins another phase.
func (c *planClock) nextPhase() {
	if c != nil {
		c.lap("")
		c.cut, c.over = c.cut || c.over, false
		c.until = c.last.Add(c.limit)
	}
}

// lap counts the time since the last call for a job, empty for none. It reports whether the
// time of the phase is over.
func (c *planClock) lap(job string) bool {
	if c == nil {
		return false
	}
	now := c.now()
	if c.job.Job != job {
		c.job = JobTime{Job: job}
	}
	if c.job.Took += now.Sub(c.last); job != "" && c.job.Took > c.slowest.Took {
		c.slowest = c.job
	}
	c.last = now
	c.over = c.over || c.limit > 0 && now.After(c.until)
	return c.over
}

// report sets what the clock has measured.
func (c *planClock) report(s *Schedule) {
	if c != nil {
		s.Slowest, s.Cut = c.slowest, c.cut || c.over
	}
}
