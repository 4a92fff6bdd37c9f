package jobcontrol

import (
	"time"

	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// forecastStart records the forecast of the end of a run whose start is committed.
// The lock is held.
func (l *leadership) forecastStart(run jobs.RunID) {
	l.server.config.State.Read(func(view jobs.View) {
		l.addForecast(view, run, dispatch.ForecastAtStart, l.server.now())
	})
}

// forecastListed records the forecast of the end of a run when a listing first shows
// progress. The lock is held.
func (l *leadership) forecastListed(view jobs.View, run jobs.RunID, now time.Time) {
	if !l.forecasts.Has(run, dispatch.ForecastAtStart) || l.forecasts.Has(run, dispatch.ForecastAtListing) {
		return
	}
	if status, known := l.runStatus(view, run, now); known && status.Percent > 0 {
		l.addForecast(view, run, dispatch.ForecastAtListing, now)
	}
}

// addForecast records the forecast of a run's end, except for a long-running task.
// The lock is held.
func (l *leadership) addForecast(view jobs.View, run jobs.RunID, moment dispatch.ForecastMoment, now time.Time) {
	job, group, task := view.Run(run)
	if group == nil || group.Spec.LongRunning {
		return
	}
	in := dispatch.Input{
		Durations: l.knowledge.Durations, Policy: l.server.config.Policy,
		Run: func(run jobs.RunID) (dispatch.RunStatus, bool) { return l.runStatus(view, run, now) },
	}
	if band, foreseeable := dispatch.RunEnd(view, in, run, l.rackOf(task, run)); foreseeable {
		l.forecasts.Add(run, job.QueueKey, group.Spec, moment, band, now)
	}
}

// checkForecasts drops the forecasts for a run that has ended, and counts how they
// held if its task was done. The lock is held.
func (l *leadership) checkForecasts(run jobs.RunID, done bool) {
	results := l.forecasts.End(run, l.server.now())
	if !done {
		return
	}
	for _, r := range results {
		telemetry.JobForecastEnds.Add(1, r.Queue, r.Made.String(), r.Outcome())
		telemetry.JobForecastError.Observe(r.Error, r.Queue, r.Made.String())
	}
}
