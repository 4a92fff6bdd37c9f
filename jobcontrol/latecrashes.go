package jobcontrol

import (
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
)

// lateRun is a run that had survived its start when its worker crashed.
type lateRun struct {
	run    jobs.RunID
	ran    time.Duration
	chance float64 // that the task crashes its workers, from the evidence before
}

// lateRuns returns the runs that had survived their start when a worker crashed. Agents of
// earlier builds name the latest of them only.
func (l *leadership) lateRuns(c *api.WorkerCrash) (late []lateRun) {
	add := func(list []*api.RunRef, ranMS []int64) {
		l.assumed.Read(func(state jobs.View) {
			for i, ref := range list {
				r := lateRun{run: jobs.RunIDOf(ref), ran: ranBefore(ranMS, i)}
				job := state.Job(r.run.Task.Job)
				if job == nil || job.Phase.Ended() {
					continue
				}
				if _, task := job.Task(r.run.Task); task != nil && !task.Done {
					r.chance = max(task.CrashProbability(), l.outages.LateProbability(r.run.Task))
					late = append(late, r)
				}
			}
		})
	}
	if c.Evidence == api.CrashEvidence_CRASH_EVIDENCE_RECENT {
		add(c.Suspects, c.RanMs)
	}
	add(c.Running, c.RunningMs)
	return late
}

// taskGroup is a group in all occurrences of a job.
type taskGroup struct {
	job   string
	group int32
}

func groupOf(run jobs.RunID) taskGroup { return taskGroup{run.Task.Job, run.Task.Group} }

// innocence returns the probability that none of the runs is of a task that crashes its
// workers, for each group and for all together.
func innocence(late []lateRun) (byGroup map[taskGroup]float64, all float64) {
	byGroup, all = map[taskGroup]float64{}, 1
	for _, r := range late {
		group := groupOf(r.run)
		if _, known := byGroup[group]; !known {
			byGroup[group] = 1
		}
		byGroup[group] *= 1 - r.chance
		all *= 1 - r.chance
	}
	return byGroup, all
}

// weighLate queues what a crash says of the runs that had survived their start. The lock is
// held.
func (l *leadership) weighLate(crash reportedCrash) {
	c, now := crash.message, l.server.now()
	simultaneous := l.outages.Simultaneous(c.Worker, crash.at)
	alone, rate := l.outages.Rates(len(l.workers), now)
	if !dispatch.Joint(simultaneous) {
		rate = alone
	}
	late := l.lateRuns(c)
	known := l.crashes[c.Worker]
	known.weighed, known.late = true, map[jobs.RunID]dispatch.LateVerdict{}
	defer func() { l.crashes[c.Worker] = known }()
	byGroup, all := innocence(late)
	suspects := l.outages.LateSuspects()
	for _, r := range late {
		weighing := dispatch.WorkerCrashCase{
			Ran: r.ran, Simultaneous: simultaneous, Workers: len(l.workers), Rate: rate, RateAlone: alone,
			Earlier: l.outages.LateRan(r.run.Task),
			// Tasks of one group behave alike, so they don't exonerate each other.
			Others: []float64{1 - all/byGroup[groupOf(r.run)]},
		}
		verdict := weighing.JudgeLate(suspects)
		known.late[r.run] = verdict
		if verdict == dispatch.LateOutlived {
			continue
		}
		l.outages.NoteLate(r.run.Task, r.ran, now)
		if simultaneous > 0 {
			l.spread(r.run)
		}
		if verdict == dispatch.LateEvidence {
			l.noteCrashedUnder(r.run.Task, crash.agent)
			l.outages.SuspectLate(c.Worker, r.run.Task, weighing.LateRatio(), now)
			l.add(&api.JobChange{Body: &api.JobChange_Crash{Crash: &api.RunCrash{
				Run: r.run.Ref(), Evidence: api.CrashEvidence_CRASH_EVIDENCE_RECENT, Weight: l.outages.LateWeight(r.run.Task),
				Conclusive: dispatch.ConclusiveSuspicion(l.outages.LateSuspects()),
			}}})
		}
	}
}
