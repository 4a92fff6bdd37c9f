// Package session is an agent's side of its session with the control group: it
// announces the VM and its backend servers, holds the VM's lease, and starts,
// throttles and stops tasks through the worker.
package session

import (
	"context"
	"sync"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/transport"
	"amaranthpaddle/worker"
)

// Worker is what a session needs of the VM's worker; worker.Client implements it.
type Worker interface {
	Start(ctx context.Context, task string, request worker.StartRequest) error
	Throttle(ctx context.Context, task string, request worker.ThrottleRequest) error
	Stop(ctx context.Context, task string, request worker.StopRequest) error
	ExtendLease(ctx context.Context, request worker.LeaseRequest) error
	Forget(ctx context.Context, task string, generation uint64) error
	Tasks(ctx context.Context) (*worker.TaskList, error)
	Usage(ctx context.Context, afterMS int64) (*worker.UsageList, error)
}

// Announcer tells which backend servers the VM has.
type Announcer interface {
	// Servers returns the present announcement.
	Servers() []*api.BackendServer
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Config is the configuration of a Session.
type Config struct {
	VM               *api.VM
	Incarnation      uint64   // higher than that of earlier processes of this agent
	ControlAddresses []string // ip:port of the control replicas
	Security         *transport.Security
	Worker           Worker
	Announcer        Announcer
	OnDirective      func(*api.Directive) // called for every directive, may be nil
}

// Session keeps an agent in touch with the leader of the control group.
//
// Session.mu guards everything below it; no call leaves the process under it.
type Session struct {
	config Config
	wakeup chan struct{} // the driver has work
	report chan struct{} // the sender has something to report

	mu          sync.Mutex
	holder      *Holder
	outbox      *outbox
	usage       *usageBuffer  // not yet sent
	usageEvery  time.Duration // least length of a usage sample
	sequence    uint64
	epoch       string    // of the worker process
	clockMS     int64     // last reading of the worker's clock
	clockAt     time.Time // when that reading was asked for
	usageAfter  int64
	leaseSent   int64 // worker lease that the worker has
	starts      map[runKey]pendingStart
	stops       map[runKey]*api.StopTask
	throttles   map[runKey]*api.ThrottleTask
	leaving     bool
	helloNeeded bool
	heartbeat   time.Duration // between reports
	waiting     time.Time     // when the oldest report without an answer was sent, zero for none
	leader      string        // address to try first
	announced   <-chan struct{}
}

// pendingStart is a start directive that has not been carried out. It is good
// only until the lease ends that was held when it came: after that the VM may
// have been declared lost and the task placed elsewhere, whatever lease the VM
// was granted since.
type pendingStart struct {
	*api.StartTask
	received time.Time
	deadline time.Time
}

// New returns a Session that is not yet running.
func New(config Config) *Session {
	return &Session{
		config:    config,
		wakeup:    make(chan struct{}, 1),
		report:    make(chan struct{}, 1),
		holder:    NewHolder(),
		outbox:    newOutbox(),
		usage:     newUsageBuffer(),
		starts:    map[runKey]pendingStart{},
		stops:     map[runKey]*api.StopTask{},
		throttles: map[runKey]*api.ThrottleTask{},
		heartbeat: heartbeatInterval,
	}
}

// Run drives the worker and stays connected to the leader until ctx ends.
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

// Leave announces a planned stop: the VM takes no new work from now on.
func (s *Session) Leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	signal(s.report)
}

// Revision returns the configuration revision in force at this agent.
func (s *Session) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Revision()
}

// ActiveTasks returns how many runs at the worker have not ended.
func (s *Session) ActiveTasks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := 0
	for _, status := range s.outbox.present {
		if !status.Phase.Final() {
			active++
		}
	}
	return active
}

// signal wakes the reader of a channel with room for one signal.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
