// Package scheduler decides where tasks run. Decide is a pure function from a
// Snapshot to Decisions: it does no I/O, starts no goroutine and reads no
// clock. The decisions are optimistic; task.Table validates each of them
// again when it is committed.
package scheduler

import (
	"time"

	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// VM is a worker VM as the scheduler sees it.
type VM struct {
	ID        string
	Zone      string
	Rack      string
	Capacity  resource.Vector
	InService bool // its availability zone is in service
	// Fresh is set while the agent's reports arrive, so that the agent can learn
	// within the freshness bound that its zone is out of service.
	Fresh          bool
	Draining       bool      // takes no new tasks, and its tasks are moved away
	InServiceSince time.Time // when the VM or its zone last came into service
	// OutOfServiceSince is when the VM's zone left service. If it is zero, a
	// Learner sets it to the time when it first saw the zone out of service.
	OutOfServiceSince time.Time
	Quarantine        Quarantine
}

// Quarantine is the degree to which a VM is trusted with new tasks.
type Quarantine uint8

// The degrees of quarantine.
const (
	Trusted     Quarantine = iota
	Quarantined            // takes no tasks
	Probation              // takes one task at a time, to probe whether it still fails
)

// Task is a task that holds a grant or is pending.
type Task struct {
	ID         string
	Job        string
	Team       string
	Class      task.Class
	State      task.State
	Generation uint64 // of the current run, or of the last one if pending
	VM         string
	Grant      resource.Vector // held, or to be requested if pending
	Need       resource.Vector // expected use, estimated from the job's observed use
	Used       resource.Vector // observed, zero while unknown
	Unobserved bool            // no use of the job was observed yet: Need is as declared
	Priority   int
	Deadline   time.Time     // zero when there is none
	Remaining  time.Duration // estimated remaining run time
	JobWork    time.Duration // estimated run time of all the job's unfinished tasks together
	AtRisk     time.Duration // work that an eviction would lose
	NotBefore  time.Time
	Since      time.Time // start of the current State
	Throttle   float64   // fraction of the CPU that it may use now; 0 and 1 mean all
	Movable    bool      // false for a while after an eviction for interference or rebalancing
	Trial      bool      // its job fails on every VM: only one task runs at a time
	Avoid      []string  // VMs where its job failed
}

// Urgent reports whether the task must start within seconds.
func (t *Task) Urgent() bool { return t.Priority >= plan.UrgentPriority }

// Team is a team with its quota. A zero component of Quota is unlimited.
type Team struct {
	Name  string
	Quota resource.Vector
}

// Antagonist is a task beside a service instance, with the slowdown that it
// adds to the instance. Only batch tasks are throttled or evicted for it.
type Antagonist struct {
	Task  string
	Share float64 // added slowdown: 0.1 makes the victim 10% slower
}

// Pressure is the measured slowdown of a service instance.
type Pressure struct {
	Task        string
	VM          string
	Slowdown    float64 // relative to running alone, smoothed; 0.2 is 20% slower
	Threshold   float64 // of Slowdown, above which it is mitigated
	HighCount   int     // consecutive measurements above the threshold
	CalmCount   int     // consecutive measurements below calmRatio of the threshold
	Mitigated   bool    // mitigated since the last measurement
	Antagonists []Antagonist
}

// InterferenceModel predicts interference between jobs.
type InterferenceModel interface {
	// Slowdown returns how much slower a task of the victim's job becomes, 0.1
	// is 10%, by a task of the other job that uses the given cores on the same
	// VM.
	Slowdown(victim, other string, cores float64) float64
	// LoadSlowdown returns how much slower a task of the job becomes on a VM of
	// which the given share of the CPU is used.
	LoadSlowdown(victim string, load float64) float64
}

// Snapshot is the input of a decision.
type Snapshot struct {
	Now                  time.Time
	LatencyWeight        float64 // 0 favours batch throughput, 1 favours tail latency
	VMs                  []VM
	Tasks                []Task // tasks that hold a grant; empty in a snapshot made by a Learner, see EachTask
	Pending              []Task
	Teams                []Team
	Pressures            []Pressure
	Interference         InterferenceModel // nil when there is no model
	EvictionsLeft        int               // evictions for interference that the budget allows now
	RebalancesLeft       int               // rebalancing moves that the budget allows now
	RebalanceWithinZones bool              // the budget also allows moves between VMs and racks when zones are even

	loads   []vmLoad                   // by index in VMs; made from Tasks and Pressures when nil
	teamUse map[string]resource.Vector // by team; set together with loads
}

// UsedOn returns the observed use of VMs[i]. The snapshot must come from a
// Learner.
func (s *Snapshot) UsedOn(i int) resource.Vector { return s.loads[i].used }

// EachTask calls f for each task that holds a grant on one of the VMs.
func (s *Snapshot) EachTask(f func(*Task)) {
	for i := range s.Tasks {
		f(&s.Tasks[i])
	}
	for i := range s.loads {
		for _, t := range s.loads[i].tasks {
			f(t)
		}
	}
}

// Action is the kind of a Decision.
type Action uint8

// The actions.
const (
	Place Action = iota
	Evict
	Throttle
)

// String returns the lowercase name of a.
func (a Action) String() string {
	return [...]string{"place", "evict", "throttle"}[a]
}

// Reason is why a decision was taken; its values are stable names for logs
// and operators.
type Reason string

// The reasons.
const (
	ReasonScheduled    Reason = "scheduled"    // a pending task is placed on the best VM
	ReasonProbe        Reason = "probe"        // a VM on probation is probed with one task
	ReasonZoneOut      Reason = "zone-out"     // the zone left service
	ReasonDraining     Reason = "draining"     // the VM is being emptied
	ReasonPreempted    Reason = "preempted"    // more important work needs the room
	ReasonQuota        Reason = "quota"        // a team reclaims quota that others borrowed
	ReasonOvercommit   Reason = "overcommit"   // observed use exceeds the VM's capacity
	ReasonInterference Reason = "interference" // a service instance is slowed down
	ReasonRebalance    Reason = "rebalance"    // a zone, rack or VM holds more instances of the service than another
	ReasonCalm         Reason = "calm"         // the slowdown is over
	ReasonQuarantine   Reason = "quarantine"   // the VM fails the tasks it is given
)

// Decision is one action to commit. Decisions are committed in order.
type Decision struct {
	Action      Action
	Task        string
	Generation  uint64 // of the new run for a Place, otherwise of the current run
	VM          string
	Zone        string
	Capacity    resource.Vector // of the VM
	Grant       resource.Vector // of a Place
	Fraction    float64         // of the CPU, for a Throttle; 1 lifts it
	Grace       time.Duration   // for an Evict: time for a checkpoint before the task is stopped without one
	Reason      Reason
	Beneficiary string // task on whose behalf it is taken, for a preemption, a throttle or an eviction for interference
}

// Placement returns a Place decision as the log entry to commit.
func (d *Decision) Placement() task.Placement {
	return task.Placement{
		Task:       d.Task,
		Generation: d.Generation,
		VM:         d.VM,
		Zone:       d.Zone,
		Capacity:   d.Capacity,
		Grant:      d.Grant,
	}
}
