package jobcontrol

import (
	"context"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// maxStandstill is the operators' bound on the time for which a job has nothing running
// while workers have room for its task twice over and most of the capacity is free.
const maxStandstill = 3 * time.Second

// scriptedAdviser answers at once with tickets for the allowed workers.
type scriptedAdviser struct {
	allowed map[string]bool // by worker id
}

func (f *scriptedAdviser) Advise(_ context.Context, _ jobs.GroupID, workers []string) (map[string]string, error) {
	tickets := map[string]string{}
	for _, id := range workers {
		if f.allowed[id] {
			tickets[id] = "ticket"
		}
	}
	return tickets, nil
}

func (r *rig) advise(adviser Adviser, validity time.Duration) {
	r.t.Helper()
	r.server.config.Adviser = adviser
	advised := testConfiguration(1)
	advised.Queues[0].Advice = &api.PlacementAdvice{ValidityMs: validity.Milliseconds()}
	if err := (Operators{Server: r.server}).Configure(context.Background(), advised); err != nil {
		r.t.Fatal(err)
	}
}

// startedWithin reports whether a worker is told to start a run of a job within a time,
// while the given agents go on reporting.
func (r *rig) startedWithin(limit time.Duration, job string, at *fakeAgent, agents ...*fakeAgent) bool {
	r.t.Helper()
	for began := time.Now(); time.Since(began) < limit; r.wait(50 * time.Millisecond) {
		for _, a := range agents {
			a.report()
		}
		starts, _, _, _ := at.drainDirectives()
		for _, start := range starts {
			if start.Task.Job == job {
				return true
			}
		}
	}
	return false
}

// Guards against tickets that are kept until they expire though no worker is left that
// they are for, while the adviser allows others.
func TestTicketsOfWorkersThatAreGoneAreReplacedInTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(adviser *scriptedAdviser, b *fakeAgent) // b is the only allowed worker, and unreachable
	}{
		{"the worker starts anew", func(_ *scriptedAdviser, b *fakeAgent) { b.born, b.unreachable = 2, false }},
		{"another worker is allowed in its place", func(adviser *scriptedAdviser, b *fakeAgent) {
			adviser.allowed = map[string]bool{"w-a": true}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				adviser := &scriptedAdviser{allowed: map[string]bool{"w-b": true}}
				r.advise(adviser, 20*time.Second)
				a, b := r.connect("a"), r.connect("b")
				b.unreachable = true
				b.report()
				r.mustCall(submit, testPath, oneTask(), accepted)
				r.startedWithin(500*time.Millisecond, testJob, b, a, b)
				c.change(adviser, b)
				at := b
				if adviser.allowed["w-a"] {
					at = a
				}
				if !r.startedWithin(maxStandstill, testJob, at, a, b) {
					t.Errorf("no start in %v", maxStandstill)
				}
			})
		})
	}
}
