package telemetry

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metric is one metric of the system, with the names of its labels.
type Metric struct {
	Name   string
	Labels []string
}

// The metrics of a VM's tasks; packages entry and delivery define those of the
// request path.
var (
	TaskStarts    = Metric{"paddle_agent_task_starts_total", []string{"result"}}
	AgentTasks    = Metric{"paddle_agent_tasks", []string{"vm"}}
	AgentRevision = Metric{"paddle_agent_revision", []string{"vm"}}
)

// The gauges of paddle-control that are taken when they are read; package
// control defines the others. Those of the fleet are written by the leader only.
var (
	ControlTerm    = Metric{"paddle_control_term", []string{"replica"}}
	ControlCommit  = Metric{"paddle_control_commit_index", []string{"replica"}}
	ControlApplied = Metric{"paddle_control_applied_index", []string{"replica"}}
	ControlStorage = Metric{"paddle_control_storage_fault", []string{"replica"}}
	PlanNumber     = Metric{"paddle_plan_number", nil}
	ZoneInService  = Metric{"paddle_zone_in_service", []string{"zone"}}
	ZoneTasks      = Metric{"paddle_zone_tasks", []string{"zone"}}
	VMs            = Metric{"paddle_vms", []string{"state"}}
	ServiceRunning = Metric{"paddle_service_instances_running", []string{"service"}}
	ServiceWanted  = Metric{"paddle_service_instances_wanted", []string{"service"}}
	JobTasks       = Metric{"paddle_job_tasks", []string{"state"}}
	Evictions      = Metric{"paddle_evictions", nil}
	WatcherLag     = Metric{"paddle_watcher_lag_revisions", []string{"kind"}}
)

// Metrics of submitted jobs. Those of the fleet are written by the leader only.
var (
	JobEntryCalls    = Metric{"paddle_jobentry_calls_total", []string{"call", "answer"}}
	JobEntryRefusals = Metric{"paddle_jobentry_calls_without_leader_total", []string{"call"}}
	JobEntrySeconds  = Metric{"paddle_jobentry_call_seconds", []string{"call"}}
	JobCalls         = Metric{"paddle_jobs_calls_total", []string{"call", "answer"}}
	JobBatchSeconds  = Metric{"paddle_jobs_commit_seconds", nil}
	JobWaitSeconds   = Metric{"paddle_jobs_first_start_seconds", nil}
	JobZoneWait      = Metric{"paddle_jobs_zone_first_start_seconds", []string{"zone"}}
	JobRunTimesSaved = Metric{"paddle_jobs_run_times_saved_total", nil}
	JobRunsEnded     = Metric{"paddle_jobs_runs_ended_total", []string{"outcome"}}
	JobRunsStalled   = Metric{"paddle_jobs_runs_stalled_total", nil}
	JobRunsRelocated = Metric{"paddle_jobs_runs_relocated_total", nil}
	JobRunsKept      = Metric{"paddle_jobs_runs_kept_at_work_total", nil}
	JobRunsOffShrunk = Metric{"paddle_jobs_runs_moved_from_shrunk_total", []string{"resource"}}
	JobRunsPreempted = Metric{"paddle_jobs_runs_preempted_total", []string{"reason"}}
	JobWorkDiscarded = Metric{"paddle_jobs_discarded_core_seconds_total", nil}
	JobForecastEnds  = Metric{"paddle_jobs_forecast_ends_total", []string{"queue", "made", "result"}}
	JobForecastError = Metric{"paddle_jobs_forecast_error_seconds", []string{"queue", "made"}}
	JobRackWaits     = Metric{"paddle_jobs_rack_waits_total", nil}
	JobsGivenUp      = Metric{"paddle_jobs_given_up_total", nil}
	JobWorkerCrashes = Metric{"paddle_jobs_worker_crashes_total", []string{"evidence"}}
	JobStandstills   = Metric{"paddle_jobs_standstill_seconds", nil}
	JobFleet         = Metric{"paddle_jobs_fleet", []string{"what"}}
	JobAgentEnds     = Metric{"paddle_jobagent_ends_total", []string{"outcome"}}
	JobAgentCalls    = Metric{"paddle_jobagent_worker_calls_total", []string{"call", "result"}}
	JobAgentSeconds  = Metric{"paddle_jobagent_worker_call_seconds", []string{"call"}}
	// JobAgentUnanswered is a histogram of the times from a start without an answer to the
	// end of its run at the agent.
	JobAgentUnanswered = Metric{"paddle_jobagent_unanswered_start_seconds", []string{"outcome"}}
	// JobAgentCrossedStarts counts the runs that an incarnation of a worker started by an
	// order for an earlier one.
	JobAgentCrossedStarts = Metric{"paddle_jobagent_crossed_starts_total", nil}
	// JobAgentOutlivedRuns counts the runs that a worker still listed as running after they
	// had been reported lost.
	JobAgentOutlivedRuns = Metric{"paddle_jobagent_outlived_runs_total", nil}
	// JobReservations counts reservations that were made or missed their forecast.
	JobReservations    = Metric{"paddle_jobs_reservations_total", []string{"event"}}
	JobTasksBackfilled = Metric{"paddle_jobs_tasks_backfilled_total", nil}
	JobPartialFits     = Metric{"paddle_jobs_partial_fits_total", nil}
	JobOrdersRefused   = Metric{"paddle_jobs_orders_refused_total", []string{"reason"}}
	JobsRefused        = Metric{"paddle_jobs_refused_total", []string{"reason"}}
	// JobRecovery is a histogram of the waits between a change of leader and the end
	// of the recovery.
	JobRecovery = Metric{"paddle_jobs_recovery_seconds", []string{"wait"}}
	JobsTooLate = Metric{"paddle_jobs_accepted_too_late_total", []string{"queue"}}
	// JobAssumedDifferences counts how often the state that the leader plans on had parted
	// from the committed one.
	JobAssumedDifferences = Metric{"paddle_jobs_assumed_differences_total", []string{"found"}}
	// JobRoundSeconds is a histogram of the rounds, for which reports and calls wait.
	JobRoundSeconds = Metric{"paddle_jobs_round_seconds", nil}
	// JobPlansCut counts the plans that left out jobs because they took too long.
	JobPlansCut = Metric{"paddle_jobs_plans_cut_total", nil}
	// JobMemory is the estimated memory that the retained jobs take in one copy of their
	// state, and its limit.
	JobMemory = Metric{"paddle_job_memory_bytes", []string{"what"}}
)

// Metrics of the bounds on clients, of every process of submitted jobs.
var (
	BodyRefusals      = Metric{"paddle_body_refusals_total", []string{"kind"}}
	BodyBytes         = Metric{"paddle_body_bytes", []string{"what"}}
	Connections       = Metric{"paddle_connections", []string{"server", "what"}}
	ConnectionsClosed = Metric{"paddle_connections_closed_total", []string{"server", "reason"}}
)

// Metrics lists every metric of this package.
func Metrics() []Metric {
	return []Metric{
		TaskStarts, AgentTasks, AgentRevision,
		JobEntryCalls, JobEntryRefusals, JobEntrySeconds, JobCalls, JobBatchSeconds, JobWaitSeconds, JobZoneWait, JobRunTimesSaved, JobRunsEnded, JobRunsStalled, JobRunsRelocated, JobRunsKept, JobRunsOffShrunk,
		JobRunsPreempted, JobWorkDiscarded, JobWorkerCrashes, JobsGivenUp, JobRackWaits, JobStandstills, JobFleet,
		JobForecastEnds, JobForecastError, JobReservations, JobTasksBackfilled, JobPartialFits, JobOrdersRefused,
		JobAgentEnds, JobAgentCalls, JobAgentSeconds, JobAgentUnanswered, JobAgentCrossedStarts, JobAgentOutlivedRuns,
		ControlTerm, ControlCommit, ControlApplied, ControlStorage, PlanNumber,
		ZoneInService, ZoneTasks, VMs, ServiceRunning, ServiceWanted, JobTasks, Evictions, WatcherLag,
		JobsRefused, JobsTooLate, JobRecovery, JobAssumedDifferences, JobRoundSeconds, JobPlansCut, JobMemory,
		BodyRefusals, BodyBytes, Connections, ConnectionsClosed,
	}
}

// with returns the metric's name with the values of its labels, in their order.
func (m Metric) with(values []string) string {
	if len(m.Labels) == 0 {
		return m.Name
	}
	pairs := make([]string, len(m.Labels))
	for i, label := range m.Labels {
		pairs[i] = fmt.Sprintf("%s=%q", label, values[i])
	}
	return m.Name + "{" + strings.Join(pairs, ",") + "}"
}

// Add adds n to a counter. values are those of the metric's labels.
func (m Metric) Add(n int, values ...string) {
	metrics.GetOrCreateCounter(m.with(values)).Add(n)
}

// AddFloat adds n, which must not be negative, to a counter of fractions. values are
// those of the metric's labels.
func (m Metric) AddFloat(n float64, values ...string) {
	metrics.GetOrCreateFloatCounter(m.with(values)).Add(n)
}

// Observe adds a duration to the histogram.
func (m Metric) Observe(d time.Duration, values ...string) {
	metrics.GetOrCreateHistogram(m.with(values)).Update(d.Seconds())
}

// Write writes the present value of a gauge.
func (m Metric) Write(w io.Writer, value float64, values ...string) {
	metrics.WriteGaugeFloat64(w, m.with(values), value)
}

// WriteBool writes 1 for true and 0 for false.
func (m Metric) WriteBool(w io.Writer, value bool, values ...string) {
	number := 0.0
	if value {
		number = 1
	}
	m.Write(w, number, values...)
}
