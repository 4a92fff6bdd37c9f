package burn

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/plan"
)

// Windows of a report that end now; the day is the fourth one.
const (
	shortWindow = 5 * time.Minute
	hourWindow  = time.Hour
	longWindow  = 6 * time.Hour
	dayLength   = 24 * time.Hour // for which an error budget is given
)

// JobProgress is how far a batch job of the plan has come.
type JobProgress struct {
	Job        plan.Job
	Finished   int // tasks
	Running    int // tasks
	Stopped    bool
	FinishedAt time.Time // of the last task; zero while tasks are left, or when it is not known
}

// Report computes the state at now against the objectives of p, which may be
// nil before the first plan.
func (r *Recorder) Report(now time.Time, p *plan.DayPlan, jobs []JobProgress) *Report {
	if p == nil {
		p = &plan.DayPlan{}
	}
	local := now.In(p.Location())
	report := &Report{
		Time:       local,
		DayStart:   time.Date(local.Year(), local.Month(), local.Day(), 0, 0, 0, 0, local.Location()),
		PlanNumber: p.Number,
		Services:   []ServiceReport{},
		Jobs:       []JobReport{},
	}
	for _, service := range p.Services {
		report.Services = append(report.Services, r.serviceReport(service, local, report.DayStart))
	}
	slices.SortFunc(report.Services, func(a, b ServiceReport) int { return cmp.Compare(a.Name, b.Name) })
	for _, job := range jobs {
		report.Jobs = append(report.Jobs, jobReport(job, local))
	}
	slices.SortFunc(report.Jobs, func(a, b JobReport) int { return cmp.Compare(a.Name, b.Name) })
	return report
}

func (r *Recorder) serviceReport(service plan.Service, now, dayStart time.Time) ServiceReport {
	var minutes series
	if kept := r.services[service.Name]; kept != nil {
		minutes = *kept
	}
	budget := 1 - service.ObjectiveFraction
	end := minuteOf(now) + 1
	day := minutes.sum(minuteOf(dayStart), end)
	// The share of the day's budget that is used, when the day's requests come evenly.
	used := burnRate(day, budget) * min(1, float64(now.Sub(dayStart))/float64(dayLength))
	report := ServiceReport{
		Name:              service.Name,
		ObjectiveMillis:   float64(service.Objective) / float64(time.Millisecond),
		ObjectiveFraction: service.ObjectiveFraction,
		BudgetLeft:        1 - used,
		Causes:            causes(minutes.sum(minuteOf(now.Add(-hourWindow)), end)),
		Series:            points(minutes, dayStart, now, budget),
	}
	starts := []struct {
		name  string
		start time.Time
	}{
		{"5m", now.Add(-shortWindow)}, {"1h", now.Add(-hourWindow)}, {"6h", now.Add(-longWindow)}, {"day", dayStart},
	}
	for _, w := range starts {
		counted := minutes.sum(minuteOf(w.start), end)
		report.Windows = append(report.Windows, window(w.name, w.start, counted, budget, report.BudgetLeft))
	}
	return report
}

func minuteOf(t time.Time) int64 { return t.Unix() / secondsPerMinute }

// burnRate returns the share of bad requests relative to the share that budget allows.
func burnRate(c *counts, budget float64) float64 {
	if c.Requests == 0 || budget <= 0 {
		return 0
	}
	return float64(c.bad()) / float64(c.Requests) / budget
}

func window(name string, start time.Time, c *counts, budget, budgetLeft float64) Window {
	w := Window{
		Name:      name,
		Start:     start,
		Requests:  c.Requests,
		Within:    c.Within,
		NotRun:    c.NotRun,
		Unknown:   c.Unknown,
		Retries:   c.Retries,
		P50Millis: c.Latency.quantile(0.5),
		P99Millis: c.Latency.quantile(0.99),
		BurnRate:  burnRate(c, budget),
	}
	if w.BurnRate > 0 {
		seconds := max(0, budgetLeft) * dayLength.Seconds() / w.BurnRate
		w.BudgetSeconds = &seconds
	}
	return w
}

// causes returns where the requests spent their time, slowest first.
func causes(c *counts) []Cause {
	list := []Cause{}
	if c.Requests == 0 {
		return list
	}
	const microsPerMilli = 1000
	mean := func(micros int64) float64 { return float64(micros) / microsPerMilli / float64(c.Requests) }
	queue, link, server := mean(c.QueueMicros), mean(c.LinkMicros), mean(c.ServerMicros)
	retries := float64(c.Retries) / float64(c.Requests) * (queue + link + server)
	list = append(list, Cause{Name: "queue", MeanMillis: queue}, Cause{Name: "link", MeanMillis: link},
		Cause{Name: "backend server", MeanMillis: server}, Cause{Name: "retries", MeanMillis: retries})
	total := queue + link + server + retries
	for i := range list {
		if total > 0 {
			list[i].Share = list[i].MeanMillis / total
		}
	}
	slices.SortStableFunc(list, func(a, b Cause) int { return cmp.Compare(b.MeanMillis, a.MeanMillis) })
	return list
}

// points returns the series of the day up to now.
func points(minutes series, dayStart, now time.Time, budget float64) []Point {
	list := []Point{}
	for start := dayStart; start.Before(now); start = start.Add(shortWindow) {
		c := minutes.sum(minuteOf(start), minuteOf(start.Add(shortWindow)))
		if c.Requests == 0 {
			continue
		}
		list = append(list, Point{
			Time:      start,
			Requests:  c.Requests,
			BurnRate:  burnRate(c, budget),
			P99Millis: c.Latency.quantile(0.99),
		})
	}
	return list
}

func jobReport(p JobProgress, now time.Time) JobReport {
	report := JobReport{
		Name:     p.Job.Name,
		Team:     p.Job.Team,
		Tasks:    p.Job.Tasks,
		Finished: p.Finished,
		Running:  p.Running,
	}
	deadline := p.Job.Deadline
	if !deadline.IsZero() {
		local := deadline.In(now.Location())
		report.Deadline = &local
	}
	if expected, known := expectedFinish(p, now); known {
		report.ExpectedFinish = &expected
	}
	report.State = jobState(p, report.ExpectedFinish, now)
	return report
}

func jobState(p JobProgress, expected *time.Time, now time.Time) JobState {
	deadline := p.Job.Deadline
	switch {
	case p.Finished >= p.Job.Tasks && !deadline.IsZero() && p.FinishedAt.After(deadline):
		return JobLate
	case p.Finished >= p.Job.Tasks:
		return JobFinished
	case p.Stopped:
		return JobStopped
	case deadline.IsZero():
		return JobNoDeadline
	case now.After(deadline):
		return JobMissed
	case now.Add(p.Job.RunTime).After(deadline):
		return JobAtRisk
	case expected == nil:
		return JobWaiting
	case expected.After(deadline):
		return JobAtRisk
	}
	return JobOnTime
}

// expectedFinish estimates when the last task ends: the tasks that are left, in
// rounds of as many as run now, each round taking the declared run time.
func expectedFinish(p JobProgress, now time.Time) (time.Time, bool) {
	left := p.Job.Tasks - p.Finished
	if left <= 0 || p.Running <= 0 || p.Stopped {
		return time.Time{}, false
	}
	rounds := (left + p.Running - 1) / p.Running
	return now.Add(time.Duration(rounds) * p.Job.RunTime), true
}
