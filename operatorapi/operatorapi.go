// Package operatorapi holds the messages of the operators' HTTP API, which
// package control serves and paddlectl calls. Bodies are JSON.
//
//	POST /v1/plan                 body: canonical plan   answer: PlanResult
//	GET  /v1/plan                                        answer: PlanInForce
//	POST /v1/zones/{zone}/out|in                         answer: ChangeResult
//	POST /v1/vms/{vm}/drain|undrain                      answer: ChangeResult
//	POST /v1/jobs/{job}/cancel                           answer: ChangeResult
//	GET  /v1/status                                      answer: Status
//	GET  /v1/tasks                                       answer: Tasks
//	GET  /v1/burn                                        answer: burn.Report
//	GET  /v1/control/members                             answer: Members
//	POST /v1/control/replace      body: ReplaceRequest   answer: ChangeResult
//	POST /v1/jobs/where           body: WhereRequest     answer: dispatch.Explanation
//
// Every POST but the last carries HeaderChangeID. A change sent again under the same id
// takes effect once and gets the first answer again. The last one changes nothing; control
// replicas of submitted jobs answer it on their listener of metrics.
package operatorapi

import (
	"encoding/json"
	"time"
)

// Headers of the API.
const (
	HeaderChangeID = "Paddle-Change-Id" // names a change, so that a resend is recognised
	HeaderLeader   = "Paddle-Leader"    // on a not-leader answer: ip:port of the leader's operator listener, when known
)

// Paths of the API. Names in path segments are escaped with url.PathEscape.
const (
	PathPlan           = "/v1/plan"
	PathZones          = "/v1/zones/"
	PathVMs            = "/v1/vms/"
	PathJobs           = "/v1/jobs/"
	PathStatus         = "/v1/status"
	PathTasks          = "/v1/tasks"
	PathBurn           = "/v1/burn"
	PathControlMembers = "/v1/control/members"
	PathControlReplace = "/v1/control/replace"
	PathJobWhere       = "/v1/jobs/where"
)

// MaxBodyBytes limits the body of a request and of an answer.
const MaxBodyBytes = 16 << 20

// WhereRequest asks where the waiting tasks of a submitted job would go now. It holds
// either the id of the job or, for one that is not sent, its specification with the host
// and path that it would be submitted to.
type WhereRequest struct {
	Job  string          `json:"job,omitempty"`
	Host string          `json:"host,omitempty"`
	Path string          `json:"path,omitempty"`
	Spec json.RawMessage `json:"spec,omitempty"` // proto JSON form of api.JobSpec
}

// MaxWhereBytes limits the body of a WhereRequest.
const MaxWhereBytes = 1 << 20

// Error is the body of every answer with a status of 400 or above.
type Error struct {
	Kind    string `json:"kind"` // name of a fault.Kind
	Message string `json:"message"`
	Outcome string `json:"outcome"`          // a fault.Outcome
	Leader  string `json:"leader,omitempty"` // like HeaderLeader
}

// PlanResult answers a submitted plan.
type PlanResult struct {
	Number   uint64   `json:"number"`
	Digest   string   `json:"digest"`   // SHA-256 of the canonical plan, hexadecimal
	Revision uint64   `json:"revision"` // configuration revision that holds the plan
	Repeated bool     `json:"repeated"` // the plan had been accepted before
	Warnings []string `json:"warnings,omitempty"`
}

// PlanInForce is the accepted plan. Plan is null before the first one.
type PlanInForce struct {
	Number   uint64          `json:"number"`
	Digest   string          `json:"digest"`
	Revision uint64          `json:"revision"`
	Plan     json.RawMessage `json:"plan"` // canonical encoding of plan.DayPlan
}

// ChangeResult answers a change other than a plan.
type ChangeResult struct {
	Revision uint64 `json:"revision"` // configuration revision that holds the change
	Repeated bool   `json:"repeated"` // the change had been accepted before
	Message  string `json:"message,omitempty"`
}

// Resources is an amount of VM resources.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMiB    int64 `json:"memory_mib"`
	Accelerators int64 `json:"accelerators"`
}

// Status is the state of the fleet as confirmed by the leader.
type Status struct {
	Time       time.Time       `json:"time"`
	Leader     uint64          `json:"leader"`
	Term       uint64          `json:"term"`
	Revision   uint64          `json:"revision"`
	PlanNumber uint64          `json:"plan_number"`
	Zones      []ZoneStatus    `json:"zones"`
	VMs        []VMStatus      `json:"vms"`
	Services   []ServiceStatus `json:"services"`
	Jobs       []JobStatus     `json:"jobs"`
	Watchers   []WatcherStatus `json:"watchers,omitempty"`
}

// ZoneStatus is the state of one availability zone.
type ZoneStatus struct {
	Name      string `json:"name"`
	Region    string `json:"region"`
	InService bool   `json:"in_service"`
	VMs       int    `json:"vms"`
	Tasks     int    `json:"tasks"` // starting, running or stopping there
}

// VMState is what a VM may do.
type VMState string

// The states of a VM.
const (
	VMReady       VMState = "ready"       // takes work
	VMDraining    VMState = "draining"    // drained by an operator, or its agent is leaving
	VMQuarantined VMState = "quarantined" // fails its work or flaps; gets none for a while
	VMLost        VMState = "lost"        // its lease is over
)

// VMStatus is the state of one VM.
type VMStatus struct {
	ID          string    `json:"id"`
	Zone        string    `json:"zone"`
	Rack        string    `json:"rack"`
	State       VMState   `json:"state"`
	Capacity    Resources `json:"capacity"`
	Granted     Resources `json:"granted"`
	Used        Resources `json:"used"` // last report
	Tasks       int       `json:"tasks"`
	LeaseMillis int64     `json:"lease_ms"` // left of the VM's lease, as granted
}

// ServiceStatus is the state of one service.
type ServiceStatus struct {
	Name           string `json:"name"`
	Instances      int    `json:"instances"` // declared
	Running        int    `json:"running"`
	BackendServers int    `json:"backend_servers"` // announced and taking work
}

// JobState is how far a batch job has come.
type JobState string

// The states of a batch job.
const (
	JobPending     JobState = "pending"
	JobRunning     JobState = "running"
	JobFinished    JobState = "finished"
	JobFailed      JobState = "failed"
	JobCanceled    JobState = "canceled"
	JobUnplaceable JobState = "unplaceable" // no VM of the fleet could hold one of its tasks
)

// JobStatus is the state of one batch job.
type JobStatus struct {
	Name      string     `json:"name"`
	Team      string     `json:"team"`
	State     JobState   `json:"state"`
	Tasks     int        `json:"tasks"`
	Pending   int        `json:"pending"`
	Running   int        `json:"running"`
	Finished  int        `json:"finished"`
	Failed    int        `json:"failed"`
	Evictions int        `json:"evictions"`
	Deadline  *time.Time `json:"deadline,omitempty"`
	Reason    string     `json:"reason,omitempty"` // why it waits or failed
}

// The kinds of a watcher.
const (
	WatcherAgent = "agent"
	WatcherEntry = "entry"
)

// WatcherStatus is the configuration revision in force at an entry or agent.
type WatcherStatus struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"` // WatcherAgent or WatcherEntry
	Revision uint64 `json:"revision"`
}

// Tasks lists tasks.
type Tasks struct {
	Revision uint64 `json:"revision"`
	Tasks    []Task `json:"tasks"`
}

// Task is one task of a job or one instance of a service.
type Task struct {
	ID         string    `json:"id"`
	Job        string    `json:"job,omitempty"`
	Service    string    `json:"service,omitempty"`
	State      string    `json:"state"`
	Generation uint64    `json:"generation"` // number of the run; a resumed task has a higher one
	VM         string    `json:"vm,omitempty"`
	Zone       string    `json:"zone,omitempty"`
	Grant      Resources `json:"grant"`
	Progress   float64   `json:"progress"` // 0 to 1
	Evictions  int       `json:"evictions"`
	Checkpoint string    `json:"checkpoint,omitempty"`
	Reason     string    `json:"reason,omitempty"`
}

// Members lists the control replicas.
type Members struct {
	Leader  uint64   `json:"leader"`
	Term    uint64   `json:"term"`
	Members []Member `json:"members"`
}

// Member is one control replica.
type Member struct {
	ID              uint64 `json:"id"`
	Address         string `json:"address"`                    // of the control protocol, ip:port
	OperatorAddress string `json:"operator_address,omitempty"` // of this API, ip:port
	Voter           bool   `json:"voter"`                      // false for a learner
	Match           uint64 `json:"match"`                      // index of the last log entry known to be durable there
	Silent          bool   `json:"silent"`                     // has not answered the leader within the election timeout
}

// ReplaceRequest replaces a control replica by a new one with an empty disk.
// The new replica votes once it holds a synced snapshot.
type ReplaceRequest struct {
	Remove  uint64 `json:"remove"` // id of the replica that goes
	Add     uint64 `json:"add"`    // id never used before
	Address string `json:"address"`
}
