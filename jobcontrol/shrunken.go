package jobcontrol

import (
	"maps"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// shrunkenMoves is what a leader remembers of the runs that it moved off workers that
// hold more than their capacity.
type shrunkenMoves struct {
	checkedAt time.Time
	jobs      map[string]time.Time // when runs of a job were last moved, within dispatch.ShrunkenMovePause
}

// shrunkenInterval is the time between checks for such workers. Workers report their
// capacity about as often.
const shrunkenInterval = 100 * time.Millisecond

// moveFromShrunken marks best-effort runs on workers that hold more than their capacity.
// They are then stopped, and their tasks start elsewhere. The lock is held.
func (l *leadership) moveFromShrunken() {
	now, moves := l.server.now(), &l.shrunkenMoves
	if !l.server.config.Policy.MoveFromShrunk || now.Sub(moves.checkedAt) < shrunkenInterval {
		return
	}
	moves.checkedAt = now
	maps.DeleteFunc(moves.jobs, func(_ string, at time.Time) bool { return now.Sub(at) >= dispatch.ShrunkenMovePause })
	var chosen []dispatch.ShrunkenMove
	l.assumed.Read(func(view jobs.View) {
		chosen = dispatch.MoveFromShrunken(view, l.planInput(view), dispatch.ShrunkenState{
			Leading: now.Sub(l.since), Stopping: l.stopsUnderWay(view, now),
			Recently: func(job string) bool { return !moves.jobs[job].IsZero() },
			Serving:  l.isServing,
		})
	})
	for _, move := range chosen {
		klog.InfoS("Run moved from shrunken worker", "job", move.Run.Task.Job, "run", move.Run.String(), "worker", move.Worker,
			"resource", move.Resource, "lost_core_seconds", move.Lost)
		telemetry.JobRunsOffShrunk.Add(1, string(move.Resource))
		l.movingRuns[move.Run], l.preemption.stoppedAt[move.Run] = true, now
		if moves.jobs == nil {
			moves.jobs = map[string]time.Time{}
		}
		moves.jobs[move.Run.Task.Job] = now
	}
}
