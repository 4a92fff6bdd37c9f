// Package burn counts how fast the services use up their error budgets, and
// compares batch jobs with their deadlines.
package burn

import "time"

// Report is the state of every service and batch job at one time.
type Report struct {
	Time       time.Time       `json:"time"`
	DayStart   time.Time       `json:"day_start"` // start of the day, in the plan's time zone
	PlanNumber uint64          `json:"plan_number"`
	Services   []ServiceReport `json:"services"`
	Jobs       []JobReport     `json:"jobs"`
}

// ServiceReport is the state of one service's error budget.
type ServiceReport struct {
	Name              string   `json:"name"`
	ObjectiveMillis   float64  `json:"objective_ms"`
	ObjectiveFraction float64  `json:"objective_fraction"` // share of requests to be within the objective
	BudgetLeft        float64  `json:"budget_left"`        // share of the day's error budget left; negative when overspent
	Windows           []Window `json:"windows"`            // 5m, 1h, 6h, day
	Causes            []Cause  `json:"causes"`             // over the last hour, slowest first
	Series            []Point  `json:"series"`             // of the day, every five minutes
}

// Window is what happened to a service's requests over one window that ends now.
type Window struct {
	Name          string    `json:"name"` // "5m", "1h", "6h" or "day"
	Start         time.Time `json:"start"`
	Requests      uint64    `json:"requests"`
	Within        uint64    `json:"within_objective"`
	NotRun        uint64    `json:"not_run"`
	Unknown       uint64    `json:"unknown"`
	Retries       uint64    `json:"retries"`
	P50Millis     float64   `json:"p50_ms"`
	P99Millis     float64   `json:"p99_ms"`
	BurnRate      float64   `json:"burn_rate"`                // 1 uses up the day's budget in exactly one day
	BudgetSeconds *float64  `json:"budget_seconds,omitempty"` // how long the rest of the budget lasts at BurnRate; absent when it is not being used up
}

// Cause is one place where requests spend their time.
type Cause struct {
	Name       string  `json:"name"`    // "queue", "link", "backend server" or "retries"
	MeanMillis float64 `json:"mean_ms"` // per request; for retries, estimated as retries times the mean of one try
	Share      float64 `json:"share"`   // of the time of all causes
}

// Point is five minutes of a service.
type Point struct {
	Time      time.Time `json:"time"` // start of the five minutes
	Requests  uint64    `json:"requests"`
	BurnRate  float64   `json:"burn_rate"`
	P99Millis float64   `json:"p99_ms"`
}

// JobState is how a batch job stands against its deadline.
type JobState string

// The job states.
const (
	JobNoDeadline JobState = "no deadline"
	JobOnTime     JobState = "on time"       // expected to finish before the deadline
	JobWaiting    JobState = "waiting"       // no task runs, and one that starts now would end before the deadline
	JobAtRisk     JobState = "at risk"       // expected to finish after it
	JobMissed     JobState = "missed"        // the deadline has passed and tasks are left
	JobFinished   JobState = "finished"      // before the deadline, if there is one
	JobLate       JobState = "finished late" // after it
	JobStopped    JobState = "stopped"       // canceled, failed or impossible to place
)

// JobReport is one batch job against its deadline.
type JobReport struct {
	Name           string     `json:"name"`
	Team           string     `json:"team"`
	State          JobState   `json:"state"`
	Tasks          int        `json:"tasks"`
	Finished       int        `json:"finished"`
	Running        int        `json:"running"`
	Deadline       *time.Time `json:"deadline,omitempty"`
	ExpectedFinish *time.Time `json:"expected_finish,omitempty"` // at the declared run time and the tasks now running
}
