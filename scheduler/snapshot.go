// Package scheduler decides where tasks run. Decide is a function from a
// Snapshot to Decisions: it does no I/O, starts no goroutine and reads no
// clock. The decisions are optimistic; task.Table checks each of them again
// where it is committed.
package scheduler

import (
	"time"

	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/task"
)

// VM is a worker as the scheduler sees it.
type VM struct {
	ID        string
	Zone      string
	Rack      string
	Capacity  resource.Vector
	InService bool // its availability zone is in service
	// Fresh is set while the agent's reports arrive, so that the agent can
	// learn within the freshness bound that its zone is out of service.
	Fresh    bool
	Draining bool      // takes no new work, and what runs is moved away
	InSince  time.Time // when the VM or its zone last came into service
	// OutSince is when its zone left service; a Learner that finds it zero takes
	// the time when it first saw the zone out.
	OutSince   time.Time
	Quarantine Quarantine
}

// Quarantine says how far a VM is trusted with new work.
type Quarantine uint8

// The degrees of quarantine.
const (
	Trusted     Quarantine = iota
	Quarantined            // takes no work
	Probation              // takes one task at a time, to see whether it still fails
)

// Task is one task that holds a grant or waits for one.
type Task struct {
	ID         string
	Job        string
	Team       string
	Class      task.Class
	State      task.State
	Generation uint64 // of the present run, or of the last one of a pending task
	VM         string
	Grant      resource.Vector // held, or to be asked for by a pending task
	Need       resource.Vector // expected use, from what the job was seen to use
	Used       resource.Vector // observed, zero while unknown
	Untried    bool            // nothing was seen of the job yet: Need is as declared
	Priority   int
	Deadline   time.Time     // zero when there is none
	Remaining  time.Duration // estimated run time that is left
	JobWork    time.Duration // sum of Remaining over the job's tasks that are not done
	AtRisk     time.Duration // work that an eviction would lose
	NotBefore  time.Time
	Since      time.Time // of the present State
	Throttle   float64   // fraction of the processor time allowed now; 0 and 1 mean all
	Movable    bool      // not moved for interference so recently that it must be left alone
	Trial      bool      // its job fails everywhere: one task at a time
	Avoid      []string  // VMs where its job failed
}

// Urgent reports whether the task must start within seconds.
func (t *Task) Urgent() bool { return t.Priority >= plan.UrgentPriority }

// Team is a team's share. A zero component of Quota is not limited.
type Team struct {
	Name  string
	Quota resource.Vector
}

// Disturber is a running batch task and its share in the slowdown of a service instance.
type Disturber struct {
	Task  string
	Share float64 // of the slowdown: 0.1 makes the victim 10% slower
}

// Pressure is a service instance that measurements show to be slowed down.
type Pressure struct {
	Task       string
	VM         string
	Slowdown   float64 // above running alone, smoothed, 0.2 is 20% slower
	Bound      float64 // of Slowdown, at which something is done
	Sustained  int     // consecutive measurements above the bound
	Calm       int     // consecutive measurements below the bound
	Answered   bool    // something was done since the last measurement
	Disturbers []Disturber
}

// Harm predicts interference between jobs.
type Harm interface {
	// Slowdown returns how much slower a task of the victim's job gets, 0.1 is
	// 10%, from a task of the other job that uses so many cores on the same VM.
	Slowdown(victim, other string, cores float64) float64
	// LoadSlowdown returns how much slower a task of the job gets on a VM of
	// which so large a share of the processor time is used.
	LoadSlowdown(victim string, load float64) float64
}

// Snapshot is all that a decision depends on.
type Snapshot struct {
	Now           time.Time
	LatencyWeight float64 // 0 favours batch throughput, 1 favours tail latency
	VMs           []VM
	Tasks         []Task // that hold a grant; empty in a snapshot made by a Learner, see EachTask
	Pending       []Task
	Teams         []Team
	Pressures     []Pressure
	Harm          Harm // nil when nothing is known
	MovesLeft     int  // evictions for interference that the budget allows now
	SpreadsLeft   int  // moves that spread services that the budget allows now
	SpreadVMs     bool // the budget allows moves between VMs and racks of even zones

	loads   []vmLoad                   // by index in VMs; made from Tasks and Pressures when nil
	teamUse map[string]resource.Vector // with loads
}

// UsedOn returns the observed use of the VM with the index in VMs, in a
// snapshot made by a Learner.
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

// Action is what a Decision asks for.
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

// Reason is why a decision was taken; a stable name for logs and operators.
type Reason string

// The reasons.
const (
	ReasonScheduled    Reason = "scheduled"    // the best VM for a pending task
	ReasonProbe        Reason = "probe"        // a VM on probation is tried with one task
	ReasonZoneOut      Reason = "zone-out"     // the zone left service
	ReasonDraining     Reason = "draining"     // the VM is being emptied
	ReasonPreempted    Reason = "preempted"    // more important work needs the room
	ReasonQuota        Reason = "quota"        // a team takes back what was borrowed
	ReasonOvercommit   Reason = "overcommit"   // observed use exceeds the VM's capacity
	ReasonInterference Reason = "interference" // a service instance is slowed down
	ReasonRebalance    Reason = "rebalance"    // a zone, rack or VM holds more of the service than another
	ReasonCalm         Reason = "calm"         // the slowdown is over
	ReasonQuarantine   Reason = "quarantine"   // the VM fails what it is given
)

// Decision is one step to take. Decisions are committed in order.
type Decision struct {
	Action     Action
	Task       string
	Generation uint64 // Place: of the new run; otherwise of the present run
	VM         string
	Zone       string
	Capacity   resource.Vector // of the VM
	Grant      resource.Vector // of a Place
	Fraction   float64         // of a Throttle; 1 lifts it
	Grace      time.Duration   // of an Evict: time for the checkpoint, then stop without
	Reason     Reason
	For        string // task that profits, for a preemption or a throttle
}

// Placement returns a Place decision as the entry to commit.
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
