package dispatch

import (
	"time"

	"amaranthpaddle/jobs"
)

// Progress tracks the progress of runs from the listings of their workers. It
// handles tasks that make no or little progress on some workers although the
// worker reports itself healthy. It is not safe for concurrent use.
type Progress struct {
	runs map[jobs.RunID]*runProgress
}

// runProgress is the progress of one run.
type runProgress struct {
	began          time.Time // first listing of the run
	percent        int32
	unchangedSince time.Time // first listing at this percent and at full pace
	listings       int       // further ones at this percent and at full pace
	pace           int32     // of the latest listing, in percent
	throttledSince time.Time // first of the latest listings at a pace below relocationPace, zero at a higher one

	listedAt    time.Time     // of the latest listing
	lost        time.Duration // to a lower pace, until then
	basePercent int32         // of the first listing that shows progress
	baseAt      time.Time
	baseLost    time.Duration
	stepAt      time.Time // first listing at this percent

	checkpoint   string // of the latest listing
	savedPercent int32  // of the first listing that shows it
}

// Parameters of the detection of stalled runs and stragglers.
const (
	minStallTime     = 2 * time.Second // without progress; twice the longest interval between listings
	stallFraction    = 0.25            // of the expected duration: a long task takes a while for each percent
	minStallListings = 3               // that show no progress
	stragglerFactor  = 2.0             // of the expected duration, before a run counts as a straggler
	copyLatency      = time.Second     // for the placement and start of a copy and its first listing
	StallWeight      = 6               // number of failed runs as which a stalled run counts against its worker
)

// NewProgress returns a Progress without runs.
func NewProgress() *Progress { return &Progress{runs: map[jobs.RunID]*runProgress{}} }

// Record records the progress of a run from a new listing of its worker.
// Listings at less than full pace count as progress, so that throttled runs are
// not taken for stalled.
func (p *Progress) Record(run jobs.RunID, percent, pace int32, now time.Time) {
	r := p.runs[run]
	if r == nil {
		r = &runProgress{began: now, percent: percent, unchangedSince: now, listedAt: now, stepAt: now, pace: pace}
		p.runs[run] = r
	}
	r.recordWork(percent, now)
	r.pace = pace
	switch {
	case !Throttled(pace):
		r.throttledSince = time.Time{}
	case r.throttledSince.IsZero():
		r.throttledSince = now
	}
	if percent != r.percent || pace < FullPace {
		r.percent, r.unchangedSince, r.listings = percent, now, 0
		return
	}
	r.listings++
}

// RecordCheckpoint records the latest checkpoint of a run, empty for none, from the
// same listing as Record.
func (p *Progress) RecordCheckpoint(run jobs.RunID, checkpoint string, percent int32) {
	if r := p.runs[run]; r != nil && checkpoint != r.checkpoint {
		r.checkpoint, r.savedPercent = checkpoint, percent
	}
}

// recordWork updates what a listing tells of the rate of progress. r has the pace
// and the percent of the listing before.
func (r *runProgress) recordWork(percent int32, now time.Time) {
	r.lost += r.lostSince(now)
	r.listedAt = now
	if r.baseAt.IsZero() && percent > 0 {
		r.basePercent, r.baseAt, r.baseLost = percent, now, r.lost
	}
	if percent != r.percent {
		r.stepAt = now
	}
}

// lostSince returns the time lost to a lower pace since the latest listing.
func (r *runProgress) lostSince(now time.Time) time.Duration {
	return now.Sub(r.listedAt) * time.Duration(FullPace-min(max(r.pace, 0), FullPace)) / FullPace
}

// Lost returns the time that a run has lost to paces below full pace, false if no
// listing has shown it.
func (p *Progress) Lost(run jobs.RunID, now time.Time) (time.Duration, bool) {
	r := p.runs[run]
	if r == nil {
		return 0, false
	}
	return r.lost + r.lostSince(now), true
}

// AddTo completes the status of a run with the progress that its listings show.
// fromStart tells that the run began at 0 percent, at age 0; the base of its progress
// is its first progress otherwise. A status without an age gets the time since the first listing.
func (p *Progress) AddTo(status *RunStatus, run jobs.RunID, fromStart bool, now time.Time) {
	r := p.runs[run]
	if r == nil {
		return
	}
	if status.Age == 0 {
		status.Age = now.Sub(r.began)
	}
	status.SavedPercent = r.savedPercent
	status.Lost, status.ListedAgo = r.lost+r.lostSince(now), now.Sub(r.listedAt)
	if !fromStart && !r.baseAt.IsZero() {
		status.BasePercent, status.BaseAge = r.basePercent, max(status.Age-now.Sub(r.baseAt)-r.baseLost, 0)
	}
}

// advancingSteps is the number of steps of one percent, at the rate of a run so far,
// that pass before it counts as stalled.
const advancingSteps = 3

// Advancing reports whether a run that shows no progress may still be at its rate so
// far: one percent of an inherently long task takes longer than minStallTime.
func (p *Progress) Advancing(run jobs.RunID, now time.Time) bool {
	r := p.runs[run]
	if r == nil || r.percent <= 0 {
		return false
	}
	step := r.stepAt.Sub(r.began) / time.Duration(r.percent)
	return now.Sub(r.stepAt) < advancingSteps*step
}

// Stalled reports whether a run has stopped making progress. expected is the
// usual duration of the task.
func (p *Progress) Stalled(run jobs.RunID, expected time.Duration, now time.Time) bool {
	r := p.runs[run]
	limit := max(minStallTime, time.Duration(stallFraction*float64(expected)))
	return r != nil && r.listings >= minStallListings && now.Sub(r.unchangedSince) > limit
}

// Behind reports whether a run is a straggler: a copy, started now, would
// likely complete before it.
func (p *Progress) Behind(run jobs.RunID, expected time.Duration, now time.Time) bool {
	r := p.runs[run]
	if r == nil {
		return false
	}
	elapsed := now.Sub(r.began)
	if elapsed < time.Duration(stragglerFactor*float64(expected))+copyLatency {
		return false
	}
	left := float64(elapsed) * float64(FullPace-r.percent) / float64(max(r.percent, 1))
	return left > float64(expected+copyLatency)
}

// Throttled returns the state of a run that is below relocationPace. expected is
// the usual duration of the task.
func (p *Progress) Throttled(run jobs.RunID, expected time.Duration, now time.Time) (ThrottledRun, bool) {
	r := p.runs[run]
	if r == nil || r.throttledSince.IsZero() {
		return ThrottledRun{}, false
	}
	return ThrottledRun{
		Run: run, Since: now.Sub(r.throttledSince), Pace: max(r.pace, 0),
		Remaining: expected * time.Duration(FullPace-min(r.percent, FullPace)) / FullPace, Expected: expected,
	}, true
}

// Forget drops a run that has ended.
func (p *Progress) Forget(run jobs.RunID) { delete(p.runs, run) }
