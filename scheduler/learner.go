package scheduler

import (
	"strings"
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/scheduler/estimate"
	"amaranthpaddle/scheduler/health"
	"amaranthpaddle/scheduler/interference"
	"amaranthpaddle/task"
)

// Learner holds what a leader learns from the reports of its agents. It is
// not replicated: a new leader begins with the declared sizes and run times.
// It is not safe for concurrent use.
type Learner struct {
	sizes              *estimate.Estimator
	interference       *interference.Model
	health             *health.Tracker
	referenceLatency   map[string]time.Duration // first observed latency, by service
	runs               map[string]*run          // by task ID
	cachedTable        *task.Table              // table that loads were computed from
	loads              map[string]*cachedLoad
	outSince           map[string]time.Time // when the zone was first seen out of service, by VM
	evictionBudget     moveBudget
	rebalanceBudget    moveBudget
	rebalanceAllowedAt time.Time // when a snapshot last allowed a rebalancing move
	sweptAt            time.Time
	snapshot           Snapshot // last result; its slices are reused
	vmIDs              []string
}

// run holds the observations of a task's current run.
type run struct {
	generation  uint64
	vm          string
	used        resource.Vector
	usedAt      time.Time
	throttle    float64 // allowed fraction of the CPU; 0 and 1 mean unthrottled
	pressure    Pressure
	mitigatedAt time.Time // when the pressure was last mitigated
	movedAt     time.Time // last eviction for interference or rebalancing, kept across generations
	seenAt      time.Time
}

// Sample holds what one run of a task used over a past interval.
type Sample struct {
	Task       string
	Generation uint64
	Start, End time.Time
	Used       resource.Vector
	Speed      float64       // progress relative to running alone; 0 when not measured
	Latency    time.Duration // p99 of a service instance; 0 when not measured
}

const (
	sweepInterval = 10 * time.Minute
	runRetention  = 20 * time.Minute
	jobRetention  = 48 * time.Hour
)

// NewLearner returns a learner without observations.
func NewLearner() *Learner {
	return &Learner{
		sizes:            estimate.NewEstimator(),
		interference:     interference.NewModel(),
		health:           health.NewTracker(),
		referenceLatency: map[string]time.Duration{},
		loads:            map[string]*cachedLoad{},
		outSince:         map[string]time.Time{},
		runs:             map[string]*run{},
		evictionBudget:   moveBudget{perHour: evictionsPerHour, burst: evictionBurst},
		rebalanceBudget:  moveBudget{perHour: rebalancesPerHour, burst: rebalanceBurst},
	}
}

// RecordDecision records a committed decision.
func (l *Learner) RecordDecision(now time.Time, d *Decision) {
	r := l.run(d.Task, now)
	l.invalidate(d.VM)
	switch d.Action {
	case Place:
		*r = run{generation: d.Generation, vm: d.VM, movedAt: r.movedAt, seenAt: now}
	case Throttle:
		r.throttle = d.Fraction
		l.recordMitigation(now, d.Beneficiary)
	case Evict:
		if d.Reason == ReasonInterference {
			r.movedAt = now
			l.evictionBudget.take()
			l.recordMitigation(now, d.Beneficiary)
		}
		if d.Reason == ReasonRebalance {
			r.movedAt = now
			l.rebalanceBudget.take()
		}
	}
}

// recordMitigation records that the pressure on a task was mitigated.
// Measurements of intervals that began earlier do not show the effect.
func (l *Learner) recordMitigation(now time.Time, victim string) {
	if r := l.runs[victim]; r != nil {
		r.pressure.Mitigated = true
		l.invalidate(r.vm)
		r.mitigatedAt = now
	}
}

// RecordOutcome records the effect of a report on a task of the VM, as returned by
// task.Table.Report.
func (l *Learner) RecordOutcome(now time.Time, vm string, k *task.Task, e task.Effect) {
	switch e {
	case task.Done:
		l.health.Succeeded(now, vm)
		if ran := now.Sub(k.Started); ran > 0 && k.Started != (time.Time{}) {
			l.observeRun(now, k, ran)
		}
	case task.Failed:
		l.health.Failed(now, vm, k.Job.ID)
	case task.CheckpointSaved:
		l.health.Succeeded(now, vm)
	}
}

// observeRun records the run time of a finished task, extrapolated from the
// part it did since it resumed from its checkpoint.
func (l *Learner) observeRun(now time.Time, k *task.Task, ran time.Duration) {
	done := 1 - k.ResumedProgress
	if done < minDoneFraction {
		return
	}
	l.sizes.ObserveRun(now, k.Job.ID, time.Duration(float64(ran)/done))
}

// minDoneFraction is the part of a task that a run must have done for its run
// time to be extrapolated to the whole task.
const minDoneFraction = 0.2

func (l *Learner) run(id string, now time.Time) *run {
	r := l.runs[id]
	if r == nil {
		r = &run{}
		l.runs[id] = r
	}
	r.seenAt = now
	return r
}

// jobOf returns the ID of a task's job.
func jobOf(taskID string) string {
	if i := strings.LastIndexByte(taskID, '/'); i >= 0 {
		return taskID[:i]
	}
	return taskID
}

// sweep deletes entries that were not used for a long time, to bound the
// memory.
func (l *Learner) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	for vm, c := range l.loads {
		if now.Sub(c.computedAt) > runRetention {
			delete(l.loads, vm)
		}
	}
	for id, r := range l.runs {
		if now.Sub(r.seenAt) > runRetention {
			delete(l.runs, id)
		}
	}
	l.sizes.Sweep(now.Add(-jobRetention))
	l.interference.Sweep(now.Add(-jobRetention))
}

// Budgets of evictions for interference and of moves that rebalance services:
// token buckets scaled by the number of VMs.
const (
	rebalancesPerHour = 1.0 // for a fleet of referenceFleet VMs, scaled in proportion
	rebalanceBurst    = 5.0
	rebalanceInterval = 5 * time.Second
	evictionsPerHour  = 6.0 // for a fleet of referenceFleet VMs, scaled in proportion
	referenceFleet    = 11.0
	evictionBurst     = 2.0
	moveCooldown      = 20 * time.Minute // per task
	minBurst          = 1.0
)

type moveBudget struct {
	perHour    float64 // for a fleet of referenceFleet VMs
	burst      float64 // for a fleet of referenceFleet VMs
	tokens     float64
	refilledAt time.Time
}

func (b *moveBudget) refill(now time.Time, vms int) {
	scale := float64(vms) / referenceFleet
	limit := b.limit(vms)
	if b.refilledAt.IsZero() {
		b.tokens = limit
	} else {
		b.tokens += now.Sub(b.refilledAt).Hours() * b.perHour * scale
	}
	b.tokens = min(b.tokens, limit)
	b.refilledAt = now
}

// limit returns the capacity of the bucket.
func (b *moveBudget) limit(vms int) float64 {
	return max(b.burst*float64(vms)/referenceFleet, minBurst)
}

// full reports whether the bucket is full.
func (b *moveBudget) full(vms int) bool { return b.tokens >= b.limit(vms) }

func (b *moveBudget) take()          { b.tokens-- }
func (b *moveBudget) available() int { return max(int(b.tokens), 0) }

// rebalancesLeft returns how many rebalancing moves are allowed now. It returns
// 0 for rebalanceInterval after it allowed any, because looking for moves visits
// every service instance.
func (l *Learner) rebalancesLeft(now time.Time) int {
	if now.Sub(l.rebalanceAllowedAt) < rebalanceInterval {
		return 0
	}
	l.rebalanceAllowedAt = now
	return l.rebalanceBudget.available()
}
