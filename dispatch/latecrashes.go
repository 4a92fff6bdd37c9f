package dispatch

import (
	"math"
	"time"

	"amaranthpaddle/jobs"
)

// A task may also crash its workers some time after its start. Such a crash proves less than
// one right at a start, as it falls on all that runs there: what tells is that the runs of
// one task end so again and again, each soon after its start, beside others each time.

// Parameters of crashes some time after a start.
const (
	minLateRatio = 16 // likelihood ratio from which a crash counts
	// minLateCrashes is the number of such crashes from which a task may be given up for their
	// likelihood ratio.
	minLateCrashes = 3
	// lateSuspects is the number of suspects up to which minLateRatio suffices. As four
	// crashes give a task up, the ratio grows with the fourth root of their number.
	lateSuspects = 100
	// unsteadyFactor is how many times as much it takes if the crashes under the task came at
	// different times after its starts.
	unsteadyFactor = 2
	lateTolerance  = 100 * time.Millisecond // between times that agents measure
)

// LateVerdict says what a crash some time after the start of a run tells of its task.
type LateVerdict int

const (
	// LateOutlived: the run had run for so long that the crash is no surprise.
	LateOutlived LateVerdict = iota
	// LateUnclear: it may be the cause, but others are as likely.
	LateUnclear
	// LateEvidence: it supports evidence against the task.
	LateEvidence
)

// steady reports whether a crash came as long after the start as the one before under the
// task. Most tasks that crash their workers do so at one point of their work.
func (c WorkerCrashCase) steady() bool {
	return c.Earlier > 0 && (c.Ran-c.Earlier).Abs() <= lateTolerance+c.Earlier/10
}

// exposed returns the time in which a crash by chance would look the same.
func (c WorkerCrashCase) exposed() time.Duration {
	if c.steady() {
		return min(c.Ran, 2*(lateTolerance+c.Earlier/10))
	}
	return c.Ran
}

// JudgeLate judges a crash some time after the start of a run, while workers crashed under a
// number of tasks within outageRetention.
func (c WorkerCrashCase) JudgeLate(suspects int) LateVerdict {
	ratio := minLateRatio * max(1, math.Pow(float64(suspects)/lateSuspects, 0.25))
	if ratio*min(c.RateAlone*c.exposed().Seconds(), 1) > 1 {
		return LateOutlived
	}
	if c.Earlier > 0 && !c.steady() {
		ratio *= unsteadyFactor
	}
	if c.LateRatio() < ratio {
		return LateUnclear
	}
	return LateEvidence
}

// lateWeights are what late crashes add to the suspicion against a task, in units of
// weightUnit. The first two leave it off probation, as they say as much of the innocent runs
// beside it, and probation tells nothing of crashes some time after a start.
var lateWeights = []int32{1, 2, 1}

// LateWeight returns what a late crash adds to the suspicion against a task, in units of
// weightUnit: enough to give it up if several are conclusive.
func (o *Outages) LateWeight(task jobs.TaskID) int32 {
	late := o.late[task]
	conclusive := max(minConclusive, ConclusiveSuspicion(o.LateSuspects()))
	if len(late.keys) >= minLateCrashes && units(late.ratio) >= conclusive {
		return conclusive
	}
	return lateWeights[min(len(late.keys), len(lateWeights))-1]
}

// minConclusive is the least suspicion from which a task is given up, in units of weightUnit.
const minConclusive = 10

// LateProbability returns the probability that a task crashes its workers, from the late
// crashes that this leader has weighed.
func (o *Outages) LateProbability(task jobs.TaskID) float64 {
	return jobs.ProbabilityOf(max(o.late[task].ratio, 1))
}

// LateRatio returns the likelihood ratio of such a crash.
func (c WorkerCrashCase) LateRatio() float64 {
	c.Ran = c.exposed()
	return min(1/c.chance(), maxSoleRatio)
}

// Joint reports whether so many others went down with a worker that their crashes count
// apart from others. Two may coincide.
func Joint(simultaneous int) bool { return simultaneous >= 2 }

// Rates returns the rates of the joint crashes and of the others.
func (o *Outages) Rates(workers int, now time.Time) (alone, joint float64) {
	n := 0
	for key, at := range o.crashes {
		if !Joint(o.Simultaneous(key, at)) {
			n++
		}
	}
	return o.rateOf(n, workers, now), o.rateOf(len(o.crashes)-n, workers, now)
}

// ranTime is how long a run had run when its worker crashed at a time.
type ranTime struct {
	at  time.Time
	ran time.Duration
}

// LateRan returns how long the latest run of a task that may have caused a crash some time
// after its start had run, 0 if there was none lately.
func (o *Outages) LateRan(task jobs.TaskID) time.Duration { return o.lateRan[task].ran }

// NoteLate records such a run.
func (o *Outages) NoteLate(task jobs.TaskID, ran time.Duration, now time.Time) {
	o.lateRan[task] = ranTime{now, ran}
}

// lateCrashes are the crashes that are evidence against a task though they came some time
// after its starts, within outageRetention of each other.
type lateCrashes struct {
	at    time.Time // of the latest one
	keys  []string  // of the incarnations
	ratio float64   // likelihood ratio of all of them
}

// explainingRatio is the likelihood ratio, for each suspect, from which late crashes under
// one of them are explained by it.
const explainingRatio = 10

// LateSuspects returns the number of tasks under which workers crashed within
// outageRetention, at any time after their starts. It counts towards what late crashes have
// to prove, and not towards what those right at a start have to, which blame fewer.
func (o *Outages) LateSuspects() int { return len(o.suspects) + len(o.late) }

// SuspectLate records that a crash some time after a start is evidence against a task, with
// its likelihood ratio. A task with several such crashes explains them if that is unlikely to
// be chance for any of the suspects. They don't count then towards the rate of the crashes
// that no task causes.
func (o *Outages) SuspectLate(key string, task jobs.TaskID, ratio float64, now time.Time) {
	late, known := o.late[task]
	if !known {
		late.ratio = 1
	}
	late.at, late.keys, late.ratio = now, append(late.keys, key), late.ratio*ratio
	o.late[task] = late
	if len(late.keys) < 2 || late.ratio < explainingRatio*float64(o.LateSuspects()) {
		return
	}
	for _, explained := range late.keys {
		delete(o.crashes, explained)
	}
}
