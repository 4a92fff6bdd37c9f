package jobcontrol

import (
	"context"
	"maps"
	"sync"
	"time"

	"amaranthpaddle/jobs"
	"amaranthpaddle/timing"
)

// workerAges knows since when the log of a replica, whether it leads or not, has had each
// active run, and runs on each incarnation of a worker. A new leader bounds with it what it has
// not seen itself. A replica that was started later knows them since its start.
type workerAges struct {
	state *jobs.State
	clock func() time.Time

	mu   sync.Mutex
	ages map[string]age // by key of the incarnation
	runs map[jobs.RunID]age
}

// age is when something was first and last seen.
type age struct{ first, last time.Time }

const (
	workerAgeInterval  = 500 * time.Millisecond // between looks at the log
	workerAgeRetention = time.Minute            // of an incarnation without runs
)

func newWorkerAges(state *jobs.State, clock func() time.Time) *workerAges {
	return &workerAges{state: state, clock: clock, ages: map[string]age{}, runs: map[jobs.RunID]age{}}
}

// run keeps the ages up to date until ctx ends.
func (a *workerAges) run(ctx context.Context) {
	for {
		a.update()
		if !timing.Sleep(ctx, workerAgeInterval) {
			return
		}
	}
}

func (a *workerAges) update() {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Read(func(view jobs.View) {
		view.Workers(func(key string, _ int) {
			observe(a.ages, key, now)
			view.RunsOn(key, func(run jobs.RunID, _ *jobs.Group) { observe(a.runs, run, now) })
		})
	})
	maps.DeleteFunc(a.ages, func(_ string, seen age) bool { return now.Sub(seen.last) > workerAgeRetention })
	maps.DeleteFunc(a.runs, func(_ jobs.RunID, seen age) bool { return seen.last != now })
}

// observe records that something was seen at a time.
func observe[K comparable](ages map[K]age, key K, now time.Time) {
	seen, known := ages[key]
	if !known {
		seen.first = now
	}
	seen.last = now
	ages[key] = seen
}

// runSince returns when the log was first seen with an active run, which is now for one that
// it has just got.
func (a *workerAges) runSince(run jobs.RunID) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if seen, known := a.runs[run]; known {
		return seen.first
	}
	return a.clock()
}

// since returns when the log was first seen with a run on an incarnation; known is false for
// one that has none or has just got its first.
func (a *workerAges) since(key string) (since time.Time, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen, known := a.ages[key]
	return seen.first, known
}
