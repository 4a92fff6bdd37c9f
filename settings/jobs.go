package settings

import (
	"cmp"
	"runtime/debug"
	"time"

	"amaranthpaddle/limit"
)

// JobProcess holds the settings that all processes of submitted jobs share.
type JobProcess struct {
	Process
	TLS         TLS
	Seeds       []string // ip:port of control replicas to ask first
	MemoryLimit int64    // bytes, 0 for none
	Metrics     string   // ip:port for /metrics, empty for none

	limits limit.Config // without the memory
}

// Limits returns the bounds on what clients make the process hold.
func (p *JobProcess) Limits() limit.Config {
	limits := p.limits
	limits.Memory = p.MemoryLimit
	return limits
}

// heapPart of the memory that a process may use is the runtime's target for the
// heap; the rest is for stacks, buffers of the kernel and the program itself.
const heapPart = 0.7

// SetRuntime sets the runtime's memory limit.
func (p *JobProcess) SetRuntime() {
	if p.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(heapPart * float64(p.MemoryLimit)))
	}
}

// JobEntry holds the settings of paddle-jobentry.
type JobEntry struct {
	JobProcess
	Callers   string        // ip:port for callers
	Readiness string        // ip:port for the balancer's looks
	Grace     time.Duration // between the order to stop and the end of the process
	// RefuseWithoutLeader answers calls at once while no leader is to be expected in
	// time, in place of trying until the caller's deadline.
	RefuseWithoutLeader bool
}

// JobControl holds the settings of paddle-jobcontrol.
type JobControl struct {
	JobProcess
	DataFolder string
	FirstStart bool   // the whole system starts for the first time
	Listen     string // ip:port for agents, entries and the other replicas
	Advertised string // ip:port at which they reach it, where a forwarder stands before it
	Operators  string // ip:port for operators
	Tolerated  int    // control VMs that may be lost at a time
	LeaseLimit time.Duration
	Retain     time.Duration // how long a job that ended is known
	JobMemory  int64         // bytes that the retained jobs may take in one copy of their state
	Adviser    string        // ip:port of the placement adviser, empty for none
	Fleet      string        // ip:port of the owner of the VMs, empty for none
	Grace      time.Duration
	Scheduling Scheduling
}

// Scheduling holds the scheduling features that are switched on.
type Scheduling struct {
	Reservations  int     // largest number of reservations per service at a time, 0 for none
	Preemption    bool    // runs of little value give way to waiting tasks
	Admission     string  // AdmissionBacklog or AdmissionForecast, empty for the former
	FairShares    bool    // callers that compete for too little room share it
	LateLast      bool    // late jobs go after those of less urgent queues that can still be in time
	PartialFit    float64 // least share of its CPU with which a best-effort task starts, 0 for all of it
	RemotePenalty float64 // factor on the duration of a task away from its data or peers, 0 if unknown

	MoveFromShrunk bool // best-effort runs are moved off workers that hold more than their capacity
}

// Values of Scheduling.Admission.
const (
	AdmissionBacklog  = "backlog"  // by the work ahead and the recent drain rate
	AdmissionForecast = "forecast" // by a forecast of the room that each job needs
)

// leasePart of the longest lease that a worker grants is used; a lease is
// shortened by the age of what it rests on, and workers' clocks may be slow.
const (
	leasePart   = 0.8
	longestWait = 4 * time.Second // before work of a lost worker starts anew
)

// Lease returns the lease of a worker's runs.
func (s *JobControl) Lease() time.Duration {
	if s.LeaseLimit == 0 {
		return longestWait
	}
	return min(longestWait, time.Duration(leasePart*float64(s.LeaseLimit)))
}

// JobAgent holds the settings of paddle-jobagent.
type JobAgent struct {
	JobProcess
	Listen     string // ip:port for the worker beside it
	LeaseLimit time.Duration
	Grace      time.Duration
}

// LoadJobEntry reads the settings of paddle-jobentry. Errors have kind fault.InvalidArgument.
func LoadJobEntry(file string) (*JobEntry, error) { return load(file, ParseJobEntry) }

// LoadJobControl reads the settings of paddle-jobcontrol. Errors have kind fault.InvalidArgument.
func LoadJobControl(file string) (*JobControl, error) { return load(file, ParseJobControl) }

// LoadJobAgent reads the settings of paddle-jobagent. Errors have kind fault.InvalidArgument.
func LoadJobAgent(file string) (*JobAgent, error) { return load(file, ParseJobAgent) }

// Ranges of the settings of submitted jobs.
const (
	longestGrace  = 10 * time.Minute
	longestLease  = 10 * time.Minute
	longestRetain = 30 * 24 * time.Hour
	mostTolerated = 4

	longestBodyTime = 10 * time.Minute

	maxReservations  = 1000
	maxRemotePenalty = 100
	minPartialFit    = 0.1 // a task with less crawls

	// A leader holds two copies of the state of jobs, and for moments a third one or a
	// snapshot.
	jobMemoryDivisor = 8
)

// ParseJobEntry reads the settings of paddle-jobentry from data; name stands in faults.
func ParseJobEntry(name string, data []byte) (*JobEntry, error) {
	r := newReader(name, data)
	s := &JobEntry{
		JobProcess: r.jobProcess(),
		Callers:    r.address("listen", "callers", required),
		Readiness:  r.address("listen", "readiness", required),
		Grace:      r.duration("limits", "grace", 0, longestGrace),

		RefuseWithoutLeader: r.boolean("calls", "refuse_without_leader"),
	}
	return finish(r, s)
}

// ParseJobControl reads the settings of paddle-jobcontrol from data; name stands in faults.
func ParseJobControl(name string, data []byte) (*JobControl, error) {
	r := newReader(name, data)
	s := &JobControl{
		JobProcess: r.jobProcess(),
		DataFolder: r.text("control", "data_folder", required),
		FirstStart: r.boolean("control", "first_start"),
		Listen:     r.address("listen", "control", required),
		Advertised: r.address("control", "advertised", optional),
		Operators:  r.address("listen", "operators", required),
		Tolerated:  r.count("control", "tolerated_losses", 0, mostTolerated),
		LeaseLimit: r.duration("leases", "limit", time.Second, longestLease),
		Retain:     r.duration("limits", "retain", time.Second, longestRetain),
		Adviser:    r.address("adviser", "address", optional),
		Fleet:      r.address("fleet", "address", optional),
		Grace:      r.duration("limits", "grace", 0, longestGrace),
		Scheduling: r.scheduling(),
		JobMemory:  r.size("limits", "job_memory", 1<<20, 1<<44),
	}
	if s.JobMemory == 0 {
		s.JobMemory = cmp.Or(s.MemoryLimit, limit.DefaultMemory) / jobMemoryDivisor
	}
	if s.Advertised == "" {
		s.Advertised = s.Listen
	}
	return finish(r, s)
}

// ParseJobAgent reads the settings of paddle-jobagent from data; name stands in faults.
func ParseJobAgent(name string, data []byte) (*JobAgent, error) {
	r := newReader(name, data)
	s := &JobAgent{
		JobProcess: r.jobProcess(),
		Listen:     r.address("listen", "worker", required),
		LeaseLimit: r.duration("leases", "limit", time.Second, longestLease),
		Grace:      r.duration("limits", "grace", 0, longestGrace),
	}
	return finish(r, s)
}

func (r *reader) scheduling() Scheduling {
	return Scheduling{
		Reservations:  r.count("scheduling", "reservations", 0, maxReservations),
		Preemption:    r.boolean("scheduling", "preemption"),
		Admission:     r.choice("scheduling", "admission", AdmissionBacklog, AdmissionForecast),
		FairShares:    r.boolean("scheduling", "fair_shares"),
		LateLast:      r.boolean("scheduling", "late_last"),
		PartialFit:    r.factor("scheduling", "partial_fit", minPartialFit, 1),
		RemotePenalty: r.factor("scheduling", "remote_penalty", 1, maxRemotePenalty),

		MoveFromShrunk: r.boolean("scheduling", "move_from_shrunk"),
	}
}

func (r *reader) jobProcess() JobProcess {
	return JobProcess{
		Process:     r.process(),
		TLS:         r.tls(),
		Seeds:       r.seeds(),
		MemoryLimit: r.size("limits", "memory", 1<<20, 1<<44),
		Metrics:     r.address("listen", "metrics", optional),
		limits: limit.Config{
			Descriptors: r.count("limits", "descriptors", 1, 1<<20),
			Connections: r.count("limits", "connections", 1, 1<<20),
			BodyBytes:   r.size("limits", "body_memory", 1<<20, 1<<44),
			BodyTime:    r.duration("limits", "body_time", time.Second, longestBodyTime),
		},
	}
}

// seeds reads the seeds. With a port of their own, the control replicas listen
// there in place of the port that is given with each seed.
func (r *reader) seeds() []string {
	addresses := r.addresses("control", "seeds", required)
	port := r.count("control", "port", 1, 65535)
	if port == 0 {
		return addresses
	}
	return withPort(addresses, port)
}
