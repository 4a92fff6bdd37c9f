package jobcontrol

import (
	"fmt"
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// Two runs of an expired job give way to one task. Guards against runs that are marked
// but never stopped, and against a room that is taken when only the first of them has
// ended: the victim's own task would come back there. With the setting off nothing stops.
func TestExpiredRunsAreStoppedForAWaitingTask(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		t.Run(fmt.Sprint(enabled), func(t *testing.T) { inBubble(t, func(r *rig) { r.testPreemption(enabled) }) })
	}
}

func (r *rig) testPreemption(enabled bool) {
	r.restart(dispatch.Policy{Preemption: enabled})
	defer r.server.Stop()
	configuration := testConfiguration(1)
	configuration.Queues[0].SlackFactor = 2
	if err := (Operators{Server: r.server}).Configure(r.t.Context(), configuration); err != nil {
		r.t.Fatal(err)
	}
	a := r.connect("a")
	submitted := func(job string, tasks int32, milliCPU int64, reports int) (stops []jobs.RunID) {
		spec := &api.JobSpec{Groups: []*api.TaskGroup{{Count: tasks, MilliCpu: milliCPU, EstimatedMs: 1000}}}
		r.mustCall(submit, "/q/"+job, spec, accepted)
		for range reports { // every 100 ms, which keeps the lease
			a.report()
			r.wait(50 * time.Millisecond)
		}
		_, stops, _, _ = a.drainDirectives()
		return stops
	}
	submitted("00000000000000b1", 3, 1300, 84) // the job expires after 7.2 s
	const waiting = "00000000000000b2"
	stops := submitted(waiting, 1, 2000, 2) // the agent reports the ends within maxClearingTime
	if want := map[bool]int{true: 2}[enabled]; len(stops) != want {
		r.t.Fatalf("stops %v, want %d of the three runs", stops, want)
	}
	r.withLeadership(func(l *leadership) {
		if remembered := len(l.preemption.tasks); remembered != len(stops) {
			r.t.Errorf("%d preempted tasks are remembered, want %d", remembered, len(stops))
		}
		l.preemption.tasks[jobs.TaskID{Job: "ended"}] = true
	})
	for i, stopped := range stops {
		a.report(&api.WorkerEnd{Run: stopped.Ref(), Outcome: api.RunOutcome_RUN_OUTCOME_STOPPED})
		r.wait(50 * time.Millisecond)
		starts, _, _, _ := a.drainDirectives()
		if i == 0 && len(starts) > 0 || i == 1 && (len(starts) == 0 || starts[0].Task != jobs.TaskID{Job: waiting}) {
			r.t.Fatalf("starts %v after %d of 2 ends", starts, i+1)
		}
	}
	r.withLeadership(func(l *leadership) {
		l.preemption.checkedAt = time.Time{}
		l.preemptRuns()
		if enabled && len(l.preemption.tasks) != len(stops) {
			r.t.Errorf("tasks %v are remembered, want only those of jobs that have not ended", l.preemption.tasks)
		}
	})
}

// Guards against a waiting task that waits for the room of a run whose stop was lost,
// whatever it was stopped for, and against ended runs that are remembered.
func TestStopThatTakesTooLongIsNoLongerCountedAsRoom(t *testing.T) {
	preempted, moved, ended := jobs.RunID{Number: 1}, jobs.RunID{Number: 2}, jobs.RunID{Number: 3}
	now := time.Now()
	l := &leadership{movingRuns: map[jobs.RunID]bool{preempted: true, moved: true}, preemption: newPreemption()}
	l.preemption.stoppedAt[ended] = now
	for _, c := range []struct {
		after time.Duration
		room  bool
	}{{0, true}, {maxStopTime - 1, true}, {maxStopTime, false}} {
		jobs.NewState().Read(func(view jobs.View) {
			stops := l.stopsUnderWay(view, now.Add(c.after))
			if stops[preempted] != c.room || stops[moved] != c.room || len(l.preemption.stoppedAt) != 2 || len(l.movingRuns) != 2 {
				t.Errorf("stops under way %v after %v, remembered %v", stops, c.after, l.preemption.stoppedAt)
			}
		})
	}
}

// Guards against a set that joins the entry of another one on its worker, so that the
// first waiting task waits for the second set too, and against a worker that stays
// closed for a stop that is lost.
func TestWorkerOpensWhenOneOfItsSetsHasEnded(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.configure()
		a := r.connect("a")
		spec := &api.JobSpec{Groups: []*api.TaskGroup{{Count: 3, MilliCpu: 1000, EstimatedMs: 1000}}}
		r.mustCall(submit, "/q/00000000000000b1", spec, accepted)
		a.report()
		r.wait(50 * time.Millisecond)
		r.withLeadership(func(l *leadership) {
			now, worker := time.Now(), ""
			var active []dispatch.Preemption
			l.assumed.Read(func(view jobs.View) {
				view.Workers(func(key string, _ int) { worker = key })
				view.RunsOn(worker, func(run jobs.RunID, _ *jobs.Group) {
					active = append(active, dispatch.Preemption{Run: run, Worker: worker, Set: 2})
				})
			})
			ended := dispatch.Preemption{Run: jobs.RunID{Task: jobs.TaskID{Job: "ended"}}, Worker: worker, Set: 2}
			for _, c := range []struct {
				set   []dispatch.Preemption
				since time.Duration
				open  bool
			}{
				{active[:2], 0, false}, {[]dispatch.Preemption{active[2], ended}, 0, false}, {[]dispatch.Preemption{ended, ended}, 0, true},
				{active[:2], maxClearingTime, true},
			} {
				l.preemption.clear(c.set, now.Add(-c.since))
				l.assumed.Read(func(view jobs.View) {
					in := l.holdClearingWorkers(view, l.planInput(view))
					if in.Workers[0].Open != c.open || c.open && len(l.preemption.clearing) > 0 {
						t.Errorf("worker open: %v, after set %v; sets %v", in.Workers[0].Open, c.set, l.preemption.clearing)
					}
				})
			}
		})
	})
}
