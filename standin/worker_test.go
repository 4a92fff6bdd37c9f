package standin

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"amaranthpaddle/resource"
	"amaranthpaddle/worker"
)

func newTestWorker(options WorkerOptions) *Worker {
	return &Worker{
		options: options, started: time.Now(), tasks: map[string]*run{},
		highest: map[string]uint64{}, firsts: map[string]resource.Vector{},
	}
}

// pausingLog keeps events. The process is paused for the given time, once, after the
// write of the first event of the kind, as SIGSTOP in the middle of a tick does.
type pausingLog struct {
	kind   EventKind
	pause  time.Duration
	events []Event
}

func (l *pausingLog) Write(line []byte) (int, error) {
	var event Event
	err := json.Unmarshal(line, &event)
	l.events = append(l.events, event)
	if event.Kind == l.kind {
		time.Sleep(l.pause)
		l.pause = 0
	}
	return len(line), err
}

// Guards against a worker that checks the lease once for all its runs: paused between
// the check and a later run's event, it works, finishes or starts after its successor
// elsewhere. Seen in docs/incidents/day-plan-run-after-lease.md.
func TestNothingIsDoneAfterAPauseThatOutlastsTheLease(t *testing.T) {
	for _, kind := range []EventKind{EventStart, EventWork} {
		synctest.Test(t, func(t *testing.T) {
			log := &pausingLog{kind: kind, pause: 5 * time.Second}
			w := newTestWorker(WorkerOptions{Events: log})
			for _, task := range []string{"a", "b"} {
				w.startRun(task, worker.StartRequest{Generation: 1, LeaseMS: 4000, WorkMS: 1})
			}
			w.advance(workerTick)
			paused := false
			for _, event := range log.events {
				paused = paused || event.PausedAt != 0 && event.ResumedAt-event.PausedAt >= int64(5*time.Second)
				if event.Kind != EventStop && event.At >= event.LeaseEnd {
					t.Errorf("%s of %s %v after the lease", event.Kind, event.Task, time.Duration(event.At-event.LeaseEnd))
				}
			}
			if !paused {
				t.Error("no event tells of the pause")
			}
		})
	}
}

// Guards against a start that revives runs whose lease has passed, before the next tick
// has ended them.
func TestStartDoesNotReviveRunsWithoutALease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWorker(WorkerOptions{})
		w.startRun("a", worker.StartRequest{Generation: 1, LeaseMS: 4000})
		time.Sleep(5 * time.Second)
		w.startRun("b", worker.StartRequest{Generation: 1, LeaseMS: 9000})
		if phase := w.tasks["a"].status.Phase; phase != worker.PhaseStopped {
			t.Errorf("the run without a lease is %s", phase)
		}
	})
}
