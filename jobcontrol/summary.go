package jobcontrol

import (
	"io"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobs"
	"amaranthpaddle/telemetry"
)

// summaryInterval is the time between summaries in the log.
const summaryInterval = 2 * time.Second

// logSummaries logs the state of the fleet at intervals, until the leadership ends.
func (l *leadership) logSummaries() {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
			l.logSummary()
		}
	}
}

// fleetSummary holds the workers' capacity and its use in cores, and counts of runs,
// of waiting tasks, of jobs with any of these and of jobs that have not begun. Counted cores are those of runs that are neither
// best-effort nor services with a target latency.
type fleetSummary struct {
	capacity, counted, services, bestEffort, bestEffortUsed float64
	running, waitingTasks, waitingJobs, pendingJobs         int
}

func (l *leadership) logSummary() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countTooLate()
	s := l.summary()
	waits := l.logStandstills(s.waitingJobs)
	klog.InfoS("Fleet", "term", l.term, "workers", len(l.workers), "sessions", len(l.sessions),
		"capacity_cores", int(s.capacity), "counted_cores", int(s.counted), "service_cores", int(s.services),
		"best_effort_cores", int(s.bestEffort), "best_effort_used", int(s.bestEffortUsed),
		"runs", s.running, "waiting_tasks", s.waitingTasks, "waiting_jobs", s.waitingJobs, "pending_jobs", s.pendingJobs,
		"obstacles", waits.Workers, "obstacle_details", waits.Details, "group_obstacles", waits.Groups)
}

// explainWaits tells what keeps waiting tasks from the workers, if any wait. It has no
// effect on plans. The lock is held.
func (l *leadership) explainWaits(waitingJobs int, groups []jobs.GroupID) (waits dispatch.Waits) {
	if waitingJobs == 0 {
		return dispatch.Waits{}
	}
	l.assumed.Read(func(view jobs.View) {
		in := l.passiveInput(view, nil)
		holdWorkers(in.Workers, l.preemption.unfinished(view, l.server.now()))
		waits = dispatch.Explain(view, in, dispatch.Question{Groups: groups, RackWaits: l.heldForRack})
	})
	return waits
}

func (l *leadership) summary() (s fleetSummary) {
	unixMS := l.server.config.UnixTime().UnixMilli()
	l.server.config.State.Read(func(state jobs.View) {
		for _, view := range l.workers {
			s.capacity += float64(view.worker.MilliCpu) / 1000
			state.RunsOn(view.key, func(run jobs.RunID, group *jobs.Group) { s.addRun(view, run, group) })
		}
		state.ActiveJobs(func(job *jobs.Job) { s.addWaiting(job, unixMS) })
	})
	return s
}

func (s *fleetSummary) addRun(view *workerView, run jobs.RunID, group *jobs.Group) {
	s.running++
	cores := float64(group.Spec.MilliCpu) / 1000
	switch {
	case group.Spec.BestEffort:
		s.bestEffort += cores
		s.bestEffortUsed += float64(view.runs[run].GetUsage()) / 1000
	case group.Spec.TargetLatencyMs > 0:
		s.services += cores
	default:
		s.counted += cores
	}
}

func (s *fleetSummary) addWaiting(job *jobs.Job, unixMS int64) {
	before := s.waitingTasks
	if job.Phase.Ended() {
		return
	}
	if job.Phase == jobs.PhaseQueued {
		s.pendingJobs++
	}
	var counted *jobs.Occurrence // occurrences that have not begun share one state
	waiting := 0
	job.Due(unixMS, func(_ int32, occurrence *jobs.Occurrence) bool {
		if occurrence != counted {
			counted, waiting = occurrence, 0
			for _, group := range occurrence.Groups {
				if !group.Done() && occurrence.Ready(group) {
					waiting += dispatch.CountWaiting(group)
				}
			}
		}
		s.waitingTasks += waiting
		return true
	})
	if s.waitingTasks > before {
		s.waitingJobs++
	}
}

// WriteMetrics writes the gauges of the fleet, on the leader only.
func (s *Server) WriteMetrics(w io.Writer) {
	lead, err := s.currentLeadership()
	if err != nil {
		return
	}
	lead.mu.Lock()
	defer lead.mu.Unlock()
	s.config.State.Read(func(view jobs.View) {
		_, total := view.Memory("")
		telemetry.JobMemory.Write(w, float64(total.All), "used")
	})
	telemetry.JobMemory.Write(w, float64(s.config.JobMemory), "limit")
	f := lead.summary()
	for _, gauge := range []struct {
		what  string
		value float64
	}{
		{"workers", float64(len(lead.workers))}, {"sessions", float64(len(lead.sessions))},
		{"capacity_cores", f.capacity}, {"counted_cores", f.counted}, {"service_cores", f.services},
		{"best_effort_cores", f.bestEffort}, {"best_effort_cores_used", f.bestEffortUsed},
		{"runs", float64(f.running)}, {"waiting_tasks", float64(f.waitingTasks)}, {"waiting_jobs", float64(f.waitingJobs)},
		{"pending_jobs", float64(f.pendingJobs)},
		{"still_jobs", float64(lead.standstills.stillJobs)}, {"longest_standstill_seconds", lead.standstills.longest.Seconds()},
		{"still_long_running_tasks", float64(lead.standstills.stillTasks)}, {"unlisted_runs", float64(lead.standstills.notSeen)},
		{"reservations", float64(len(lead.reservations.held))},
	} {
		telemetry.JobFleet.Write(w, gauge.value, gauge.what)
	}
}
