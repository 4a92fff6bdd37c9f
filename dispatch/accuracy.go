package dispatch

import (
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Forecasts keeps forecasts of the ends of active runs, to compare them with when
// the runs end. It is not safe for concurrent use.
type Forecasts struct {
	runs map[jobs.RunID]*runForecasts
}

// ForecastMoment is when a forecast of a run's end was made.
type ForecastMoment int

// The moments: the committed start of a run, and the first listing that shows its
// progress.
const (
	ForecastAtStart ForecastMoment = iota
	ForecastAtListing
	forecastMoments
)

// String returns the name of the moment in the metrics.
func (m ForecastMoment) String() string { return [...]string{"start", "listing"}[m] }

// runForecasts are the forecasts for one run.
type runForecasts struct {
	queue string
	group *api.TaskGroup
	made  [forecastMoments]time.Time // zero for none
	band  [forecastMoments]Band
}

// ForecastResult says how a forecast held.
type ForecastResult struct {
	Queue string
	Made  ForecastMoment
	Late  bool          // the end came after Latest
	Early bool          // it came before Likely
	Error time.Duration // between the end and Likely, without sign
}

// Outcome returns the result's name in the metrics.
func (r ForecastResult) Outcome() string {
	switch {
	case r.Late:
		return "late"
	case r.Early:
		return "early"
	}
	return "within"
}

// NewForecasts returns Forecasts of no runs.
func NewForecasts() *Forecasts { return &Forecasts{runs: map[jobs.RunID]*runForecasts{}} }

// Has reports whether a forecast for a run was made at a moment.
func (f *Forecasts) Has(run jobs.RunID, moment ForecastMoment) bool {
	r := f.runs[run]
	return r != nil && !r.made[moment].IsZero()
}

// TaskOf returns the queue and the group of an active run with a forecast. They are
// still known when the end of the run is the end of its job.
func (f *Forecasts) TaskOf(run jobs.RunID) (queue string, group *api.TaskGroup, known bool) {
	r := f.runs[run]
	if r == nil {
		return "", nil, false
	}
	return r.queue, r.group, true
}

// Add records a forecast for a run of a group that was made now.
func (f *Forecasts) Add(run jobs.RunID, queue string, group *api.TaskGroup, moment ForecastMoment, band Band, now time.Time) {
	r := f.runs[run]
	if r == nil {
		r = &runForecasts{queue: queue, group: group}
		f.runs[run] = r
	}
	r.made[moment], r.band[moment] = now, band
}

// End drops the forecasts for a run that has ended, and returns how they held.
func (f *Forecasts) End(run jobs.RunID, now time.Time) (results []ForecastResult) {
	r := f.runs[run]
	if r == nil {
		return nil
	}
	delete(f.runs, run)
	for m := range forecastMoments {
		if r.made[m].IsZero() {
			continue
		}
		took := now.Sub(r.made[m])
		results = append(results, ForecastResult{
			Queue: r.queue, Made: m, Late: took > r.band[m].Latest, Early: took < r.band[m].Likely,
			Error: (took - r.band[m].Likely).Abs(),
		})
	}
	return results
}
