package dispatch

import (
	"time"

	"amaranthpaddle/jobs"
)

// Progress watches how far runs have come, list by list. The load pattern that
// it answers: tasks on some workers stand still or crawl while the worker says
// that it is well. It is not safe for concurrent use.
type Progress struct {
	runs map[jobs.RunID]*progress
}

// progress is what is known of one run.
type progress struct {
	began   time.Time // when it was first listed
	percent int32
	since   time.Time // when it was first listed at this percent and at full pace
	lists   int       // of the worker since then
}

// Parameters of the judgement of a run.
const (
	stallTime   = 2 * time.Second // without any progress; twice the longest pause between lists
	stallPart   = 0.25            // of a long task's duration: the first percent of it take their time
	stallLists  = 3               // that must agree
	lagFactor   = 2.0             // of the expected duration, after which a run is behind
	lagLatency  = time.Second     // of placing and beginning a run, and of its first list
	StallWeight = 6               // ends as which a run that stands still speaks against its worker
)

// NewProgress returns a Progress that knows no runs.
func NewProgress() *Progress { return &Progress{runs: map[jobs.RunID]*progress{}} }

// Look takes in a run's progress as its worker has just listed it.
func (p *Progress) Look(run jobs.RunID, percent int32, fullPace bool, now time.Time) {
	r := p.runs[run]
	if r == nil {
		r = &progress{began: now, percent: percent, since: now}
		p.runs[run] = r
	}
	if percent != r.percent || !fullPace {
		r.percent, r.since, r.lists = percent, now, 0
		return
	}
	r.lists++
}

// Stalled reports whether a run that should take the expected time stands still.
func (p *Progress) Stalled(run jobs.RunID, expected time.Duration, now time.Time) bool {
	r := p.runs[run]
	limit := max(stallTime, time.Duration(stallPart*float64(expected)))
	return r != nil && r.lists >= stallLists && now.Sub(r.since) > limit
}

// Behind reports whether a copy of a run, begun now, would likely be done
// before it.
func (p *Progress) Behind(run jobs.RunID, expected time.Duration, now time.Time) bool {
	r := p.runs[run]
	if r == nil {
		return false
	}
	elapsed := now.Sub(r.began)
	if elapsed < time.Duration(lagFactor*float64(expected))+lagLatency {
		return false
	}
	left := float64(elapsed) * float64(FullPace-r.percent) / float64(max(r.percent, 1))
	return left > float64(expected+lagLatency)
}

// Forget drops a run that has ended.
func (p *Progress) Forget(run jobs.RunID) { delete(p.runs, run) }
