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

// Learner is what a leader learns from its agents' reports. It is not
// replicated: a new leader begins with what is declared and learns again. It
// is not safe for concurrent use.
type Learner struct {
	sizes      *estimate.Book
	harm       *interference.Model
	health     *health.Tracker
	references map[string]time.Duration // latencies, by service
	runs       map[string]*run          // by task
	table      *task.Table              // that loads were made from
	loads      map[string]*vmCache
	outSince   map[string]time.Time // by VM of a zone that is out
	budget     moveBudget
	spreads    moveBudget
	spreadAt   time.Time // when a snapshot last allowed a move that spreads a service
	swept      time.Time
	snapshot   Snapshot // its slices are reused
	fleet      []string
}

// run is what is known of a task's present run.
type run struct {
	generation uint64
	vm         string
	used       resource.Vector
	usedAt     time.Time
	throttle   float64 // 0 and 1 mean none
	pressure   Pressure
	answered   time.Time // when the pressure was last answered
	moved      time.Time // last eviction for interference or to spread a service, over all generations
	seen       time.Time
}

// Sample is what one run of a task used over a past interval.
type Sample struct {
	Task       string
	Generation uint64
	Start, End time.Time
	Used       resource.Vector
	Speed      float64       // work done relative to running alone; 0 when not measured
	Latency    time.Duration // p99 of a service instance; 0 when not measured
}

const (
	sweepEvery = 10 * time.Minute
	forgetRun  = 20 * time.Minute
	forgetJob  = 48 * time.Hour
)

// NewLearner returns a learner that knows nothing.
func NewLearner() *Learner {
	return &Learner{
		sizes:      estimate.NewBook(),
		harm:       interference.NewModel(),
		health:     health.NewTracker(),
		references: map[string]time.Duration{},
		loads:      map[string]*vmCache{},
		outSince:   map[string]time.Time{},
		runs:       map[string]*run{},
		budget:     moveBudget{perHour: movesPerHour, burst: moveBurst},
		spreads:    moveBudget{perHour: spreadsPerHour, burst: spreadBurst},
	}
}

// Decided records a decision that was committed.
func (l *Learner) Decided(now time.Time, d *Decision) {
	r := l.run(d.Task, now)
	l.changed(d.VM)
	switch d.Action {
	case Place:
		*r = run{generation: d.Generation, vm: d.VM, moved: r.moved, seen: now}
	case Throttle:
		r.throttle = d.Fraction
		l.answered(now, d.For)
	case Evict:
		if d.Reason == ReasonInterference {
			r.moved = now
			l.budget.take()
			l.answered(now, d.For)
		}
		if d.Reason == ReasonRebalance {
			r.moved = now
			l.spreads.take()
		}
	}
}

// answered records that something was done about the pressure on a task.
// Measurements of intervals that began earlier say nothing about its effect.
func (l *Learner) answered(now time.Time, victim string) {
	if r := l.runs[victim]; r != nil {
		r.pressure.Answered = true
		l.changed(r.vm)
		r.answered = now
	}
}

// Outcome records the effect of a report on a task of the VM, as
// task.Table.Report returned it.
func (l *Learner) Outcome(now time.Time, vm string, k *task.Task, e task.Effect) {
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

// observeRun records the run time of a task that finished after it ran for a
// while from the progress it resumed at.
func (l *Learner) observeRun(now time.Time, k *task.Task, ran time.Duration) {
	done := 1 - k.ResumedAt
	if done < smallestDone {
		return
	}
	l.sizes.ObserveRun(now, k.Job.ID, time.Duration(float64(ran)/done))
}

// smallestDone is the part of a task that one run must have done to tell
// something about the whole.
const smallestDone = 0.2

func (l *Learner) run(id string, now time.Time) *run {
	r := l.runs[id]
	if r == nil {
		r = &run{}
		l.runs[id] = r
	}
	r.seen = now
	return r
}

// jobOf returns the ID of a task's job.
func jobOf(taskID string) string {
	if i := strings.LastIndexByte(taskID, '/'); i >= 0 {
		return taskID[:i]
	}
	return taskID
}

// sweep forgets what was not seen for long, to bound the memory.
func (l *Learner) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepEvery {
		return
	}
	l.swept = now
	for vm, c := range l.loads {
		if now.Sub(c.made) > forgetRun {
			delete(l.loads, vm)
		}
	}
	for id, r := range l.runs {
		if now.Sub(r.seen) > forgetRun {
			delete(l.runs, id)
		}
	}
	l.sizes.Sweep(now.Add(-forgetJob))
	l.harm.Sweep(now.Add(-forgetJob))
}

// Budgets of evictions for interference and of moves that spread services:
// token buckets over the fleet.
const (
	spreadsPerHour = 1.0 // for a fleet of moveFleet VMs, and in proportion for others
	spreadBurst    = 5.0
	spreadEvery    = 5 * time.Second
	movesPerHour   = 6.0 // for a fleet of moveFleet VMs, and in proportion for others
	moveFleet      = 11.0
	moveBurst      = 2.0
	moveCooldown   = 20 * time.Minute // of one task
	smallestBurst  = 1.0
)

type moveBudget struct {
	perHour float64 // for a fleet of moveFleet VMs
	burst   float64 // likewise
	tokens  float64
	filled  time.Time
}

func (b *moveBudget) refill(now time.Time, vms int) {
	scale := float64(vms) / moveFleet
	limit := b.limit(vms)
	if b.filled.IsZero() {
		b.tokens = limit
	} else {
		b.tokens += now.Sub(b.filled).Hours() * b.perHour * scale
	}
	b.tokens = min(b.tokens, limit)
	b.filled = now
}

// limit returns the most tokens that the bucket holds.
func (b *moveBudget) limit(vms int) float64 {
	return max(b.burst*float64(vms)/moveFleet, smallestBurst)
}

// full reports whether nothing was taken, or it was filled up since.
func (b *moveBudget) full(vms int) bool { return b.tokens >= b.limit(vms) }

func (b *moveBudget) take()     { b.tokens-- }
func (b *moveBudget) left() int { return max(int(b.tokens), 0) }

// spreadsLeft returns how many moves that spread services are allowed now; 0
// until spreadEvery after it last allowed any, since looking reads every instance.
func (l *Learner) spreadsLeft(now time.Time) int {
	if now.Sub(l.spreadAt) < spreadEvery {
		return 0
	}
	l.spreadAt = now
	return l.spreads.left()
}
