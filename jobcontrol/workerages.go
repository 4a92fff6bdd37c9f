package jobcontrol

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/jobs"
	"amaranthpaddle/timing"
)

// workerAges knows since when the log of a replica, whether it leads or not, has had runs on
// each incarnation of a worker. A new leader bounds with it what it has not seen itself. A
// replica that was started later knows them since its start.
type workerAges struct {
	state *jobs.State
	clock func() time.Time

	mu   sync.Mutex
	ages map[string]workerAge // by key of the incarnation
}

type workerAge struct{ first, last time.Time }

const (
	workerAgeInterval  = 500 * time.Millisecond // between looks at the log
	workerAgeRetention = time.Minute            // of an incarnation without runs
)

func newWorkerAges(state *jobs.State, clock func() time.Time) *workerAges {
	return &workerAges{state: state, clock: clock, ages: map[string]workerAge{}}
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
			age, known := a.ages[key]
			if !known {
				age.first = now
			}
			age.last = now
			a.ages[key] = age
		})
	})
	for key, age := range a.ages {
		if now.Sub(age.last) > workerAgeRetention {
			delete(a.ages, key)
		}
	}
}

// since returns when the log was first seen with a run on an incarnation; known is false for
// one that has none or has just got its first.
func (a *workerAges) since(key string) (since time.Time, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	age, known := a.ages[key]
	return age.first, known
}
