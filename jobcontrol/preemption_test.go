package jobcontrol

import (
	"fmt"
	"testing"
	"time"

	"amaranthpaddle/api"
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
	r.server.Stop()
	r.server = New(Config{Replica: r.replica, State: r.state, Lease: testLease, Clock: time.Now, UnixTime: time.Now})
	r.server.config.Policy.Preemption = enabled
	r.server.Start()
	defer r.server.Stop()
	r.wait(100 * time.Millisecond)
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
	stops := submitted(waiting, 1, 2000, 4)
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

// Guards against a waiting task that waits for the room of a run whose stop was lost.
func TestStopThatTakesTooLongIsNoLongerCountedAsRoom(t *testing.T) {
	slow, moved, ended := jobs.RunID{Number: 1}, jobs.RunID{Number: 2}, jobs.RunID{Number: 3}
	now := time.Now()
	l := &leadership{movingRuns: map[jobs.RunID]bool{slow: true, moved: true}, preemption: newPreemption()}
	l.preemption.stoppedAt[slow], l.preemption.stoppedAt[ended] = now, now
	if stops := l.stopsUnderWay(now.Add(maxClearingTime - 1)); !stops[slow] || !stops[moved] || len(l.preemption.stoppedAt) != 1 {
		t.Errorf("stops under way %v, remembered %v", stops, l.preemption.stoppedAt)
	}
	if stops := l.stopsUnderWay(now.Add(maxClearingTime)); stops[slow] || !stops[moved] || !l.movingRuns[slow] {
		t.Errorf("stops under way %v after %v, still ordered %v", stops, maxClearingTime, l.movingRuns)
	}
}
