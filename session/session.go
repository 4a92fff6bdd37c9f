// Package session implements the agent's side of its session with the control
// group: it announces the VM and its backend servers, holds the VM's lease, and
// starts, throttles and stops tasks through the worker.
package session

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/transport"
	"amaranthpaddle/worker"
)

// Worker is the interface to the VM's worker; worker.Client implements it.
type Worker interface {
	Start(ctx context.Context, task string, request worker.StartRequest) error
	Throttle(ctx context.Context, task string, request worker.ThrottleRequest) error
	Stop(ctx context.Context, task string, request worker.StopRequest) error
	ExtendLease(ctx context.Context, request worker.LeaseRequest) error
	Forget(ctx context.Context, task string, generation uint64) error
	Tasks(ctx context.Context) (*worker.TaskList, error)
	Usage(ctx context.Context, afterMS int64) (*worker.UsageList, error)
}

// Announcer provides the announcement of the VM's backend servers.
type Announcer interface {
	// Servers returns the current announcement.
	Servers() []*api.BackendServer
	// Changed returns a channel that is closed when the announcement changes next.
	Changed() <-chan struct{}
}

// Config is the configuration of a Session.
type Config struct {
	VM               *api.VM
	Incarnation      uint64   // higher than in earlier processes of this agent
	ControlAddresses []string // ip:port of the control replicas
	Security         *transport.Security
	Worker           Worker
	Announcer        Announcer
	OnDirective      func(*api.Directive) // called for every directive, may be nil
}

// Session connects an agent to the leader of the control group.
//
// Session.mu guards all fields below it. It is not held during calls to the
// worker or the control group.
type Session struct {
	config     Config
	wakeDriver chan struct{} // wakes driveLoop before the next poll
	reportDue  chan struct{} // wakes sendLoop before the next heartbeat

	mu                sync.Mutex
	holder            *Holder
	outbox            *outbox
	usage             *usageBuffer  // samples not yet sent
	usageInterval     time.Duration // minimum time that a usage sample spans
	sequence          uint64
	epoch             string    // epoch of the worker process
	workerClockMS     int64     // latest reading of the worker's clock
	clockReadAt       time.Time // when that reading was requested
	usageAfter        int64     // worker clock up to which usage has been read, in ms
	sentLeaseUntil    int64     // lease end that the worker has confirmed, on its clock in ms
	starts            map[runKey]pendingStart
	stops             map[runKey]*api.StopTask
	throttles         map[runKey]*api.ThrottleTask
	leaving           bool
	helloNeeded       bool              // the next report must describe the VM
	heartbeat         time.Duration     // interval between reports
	unansweredSince   time.Time         // when the oldest unanswered report was sent, zero for none
	leader            string            // address to try first
	refused           map[string]string // by backend server that is refused now, the VM that its id is published for
	announcementStale <-chan struct{}   // closed when the last reported announcement is out of date
}

// pendingStart is a start directive that has not been carried out. It is valid
// only until the end of the lease that was held when it was received: after that
// the VM may have been declared lost and the task placed elsewhere, even if the
// VM has been granted another lease since.
type pendingStart struct {
	*api.StartTask
	received time.Time
	deadline time.Time
}

// New returns a Session that is not running yet.
func New(config Config) *Session {
	return &Session{
		config:     config,
		wakeDriver: make(chan struct{}, 1),
		reportDue:  make(chan struct{}, 1),
		holder:     NewHolder(),
		outbox:     newOutbox(),
		usage:      newUsageBuffer(),
		starts:     map[runKey]pendingStart{},
		stops:      map[runKey]*api.StopTask{},
		throttles:  map[runKey]*api.ThrottleTask{},
		heartbeat:  heartbeatInterval,
	}
}

// Run controls the worker and stays connected to the leader until ctx ends.
func (s *Session) Run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		s.driveLoop(ctx)
	}()
	s.connectLoop(ctx)
	wait.Wait()
}

// Leave announces a planned shutdown: the VM takes no new work from now on.
func (s *Session) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	signal(s.reportDue)
}

// Revision returns the configuration revision that is in force at this agent.
func (s *Session) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Revision()
}

// ActiveTasks returns the number of runs on the worker that have not ended.
func (s *Session) ActiveTasks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := 0
	for _, status := range s.outbox.listed {
		if !status.Phase.Final() {
			active++
		}
	}
	return active
}

// signal wakes the reader of c, a channel with a buffer of one, without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
