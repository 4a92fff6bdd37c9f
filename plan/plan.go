// Package plan holds the day plan: what operators declare for one day, its
// sheet codec, its checks and its comparison with another plan.
package plan

import (
	"time"

	"amaranthpaddle/resource"
)

// DayPlan is one accepted or proposed declaration. Number orders plans: a
// higher number replaces a lower one as a whole.
type DayPlan struct {
	Number        uint64
	Day           string  // calendar day the plan is for, YYYY-MM-DD
	TimeZone      string  // IANA name of the time zone that Day is in, empty for UTC
	LatencyWeight float64 // 0 favours batch throughput, 1 favours tail latency
	Zones         []Zone
	Services      []Service
	Jobs          []Job
	Teams         []Team
}

// Zone declares whether an availability zone is in service.
type Zone struct {
	Name      string
	Region    string
	InService bool
}

// Service declares a latency-critical service.
type Service struct {
	Name              string
	Team              string
	Instances         int
	Size              resource.Vector // of one instance
	Objective         time.Duration   // latency objective
	ObjectiveFraction float64         // share of requests to be within Objective, such as 0.99
	Slots             int             // requests in progress per instance
	Connections       int             // open connections per instance
}

// Job declares a batch job of equal tasks.
type Job struct {
	Name     string
	Team     string
	Tasks    int
	Size     resource.Vector // of one task
	RunTime  time.Duration   // declared, of one task running alone
	Deadline time.Time       // zero when there is none
	Priority int             // higher goes first; UrgentPriority and above starts within seconds
}

// UrgentPriority is the lowest priority of urgent work.
const UrgentPriority = 100

// Team declares a team's share of the fleet.
type Team struct {
	Name  string
	Quota resource.Vector
}
