package jobcontrol

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/jobs"
	"amaranthpaddle/timing"
)

// runAges knows since when the log of a replica, whether it leads or not, has had each active
// run. A new leader bounds with it what it has not seen itself. A replica that was started
// later knows them since its start.
type runAges struct {
	state *jobs.State
	clock func() time.Time

	mu    sync.Mutex
	first map[jobs.RunID]time.Time // when each active run was first seen
}

// runAgeInterval is the time between looks at the log.
const runAgeInterval = 500 * time.Millisecond

func newRunAges(state *jobs.State, clock func() time.Time) *runAges {
	return &runAges{state: state, clock: clock, first: map[jobs.RunID]time.Time{}}
}

// run keeps the ages up to date until ctx ends.
func (a *runAges) run(ctx context.Context) {
	for {
		a.update()
		if !timing.Sleep(ctx, runAgeInterval) {
			return
		}
	}
}

func (a *runAges) update() {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	active := make(map[jobs.RunID]time.Time, len(a.first))
	a.state.Read(func(view jobs.View) {
		view.Workers(func(key string, _ int) {
			view.RunsOn(key, func(run jobs.RunID, _ *jobs.Group) {
				first, known := a.first[run]
				if !known {
					first = now
				}
				active[run] = first
			})
		})
	})
	a.first = active
}

// since returns when the log was first seen with an active run, which is now for one that it
// has just got.
func (a *runAges) since(run jobs.RunID) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if first, known := a.first[run]; known {
		return first
	}
	return a.clock()
}
