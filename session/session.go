package session

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/fault"
	"amaranthpaddle/timing"
	"amaranthpaddle/transport"
	"amaranthpaddle/worker"
)

const (
	heartbeatInterval = 2 * time.Second // until the leader names another one
	heartbeatJitter   = 0.2             // of the interval, either way
	pollInterval      = 250 * time.Millisecond
	workerTimeout     = 1 * time.Second
	workerSilence     = 3 * time.Second // a worker silent for longer counts as lost
	startTimeout      = 4 * time.Second // how long a start waits for confirmed permission
	usagePollInterval = 1 * time.Second
	answerTimeout     = 2 * time.Second // for a report's directive, after which the connection is given up
	reconnectMin      = 50 * time.Millisecond
	reconnectMax      = 1 * time.Second
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

// connectLoop opens one session after the other, to the leader where it is known.
func (s *Session) connectLoop(ctx context.Context) {
	delay := reconnectMin
	for next := rand.IntN(max(len(s.config.ControlAddresses), 1)); ctx.Err() == nil; next++ {
		began := time.Now()
		err := s.connect(ctx, s.chooseAddress(next))
		if ctx.Err() != nil {
			return
		}
		klog.V(1).InfoS("Session ended", "vm", s.config.VM.Id, "error", err)
		if time.Since(began) > reconnectMax {
			delay = reconnectMin
		}
		timing.Sleep(ctx, timing.Jitter(delay, heartbeatJitter))
		delay = min(2*delay, reconnectMax)
	}
}

// chooseAddress takes the leader's address when one was named, else the next in turn.
func (s *Session) chooseAddress(next int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leader := s.leader; leader != "" {
		s.leader = ""
		return leader
	}
	return s.config.ControlAddresses[next%len(s.config.ControlAddresses)]
}

func (s *Session) connect(ctx context.Context, address string) error {
	connection, err := s.config.Security.Dial(address)
	if err != nil {
		return err
	}
	defer connection.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := api.NewControlClient(connection).Session(ctx)
	if err != nil {
		return fault.FromStatus(err)
	}
	s.beginSession()
	received := make(chan error, 1)
	go func() { received <- s.receiveLoop(stream) }()
	sendErr := s.sendLoop(ctx, stream, received)
	cancel()
	if sendErr != nil {
		return sendErr
	}
	return nil
}

func (s *Session) beginSession() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outbox.reset()
	// The leader of the new session sends the starts that still hold.
	clear(s.starts)
	s.helloNeeded = true
	s.waiting = time.Time{}
}

func (s *Session) receiveLoop(stream grpc.BidiStreamingClient[api.AgentReport, api.Directive]) error {
	for {
		directive, err := stream.Recv()
		if err != nil {
			s.noteLeader(stream)
			return fault.FromStatus(err)
		}
		s.takeDirective(directive)
		if s.config.OnDirective != nil {
			s.config.OnDirective(directive)
		}
	}
}

func (s *Session) noteLeader(stream grpc.ClientStream) {
	values := stream.Trailer().Get(controlclient.LeaderTrailer)
	if len(values) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leader = values[0]
}

func (s *Session) takeDirective(directive *api.Directive) {
	now := time.Now()
	s.mu.Lock()
	s.waiting = time.Time{}
	s.usageEvery = time.Duration(directive.UsageMs) * time.Millisecond
	s.heartbeat = heartbeatInterval
	if directive.HeartbeatMs > 0 {
		s.heartbeat = time.Duration(directive.HeartbeatMs) * time.Millisecond
	}
	s.holder.Grant(directive)
	for _, start := range directive.Start {
		s.starts[runKey{start.Task, start.Generation}] = pendingStart{start, now, s.holder.lease.Expiry()}
	}
	for _, stop := range directive.Stop {
		key := runKey{stop.Task, stop.Generation}
		s.stops[key] = stop
	}
	for _, throttle := range directive.Throttle {
		s.throttles[runKey{throttle.Task, throttle.Generation}] = throttle
	}
	s.mu.Unlock()
	signal(s.wakeup)
}

// sendLoop sends a report whenever something changed, and at each heartbeat.
func (s *Session) sendLoop(
	ctx context.Context,
	stream grpc.BidiStreamingClient[api.AgentReport, api.Directive],
	received <-chan error,
) error {
	for {
		if s.silent(time.Now()) {
			return fault.New(fault.ConnectionLost, "the control replica is silent")
		}
		if report := s.nextReport(time.Now()); report != nil {
			if err := stream.Send(report); err != nil {
				return <-received
			}
		}
		timer := time.NewTimer(s.pause(time.Now()))
		select {
		case <-timer.C:
		case <-s.report:
		case <-s.announcementChanged():
		case err := <-received:
			timer.Stop()
			return err
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// silent reports whether a report has gone without an answer for so long that
// the connection, or the replica behind it, may be dead while others work. The
// VM's lease must not run out meanwhile.
func (s *Session) silent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.waiting.IsZero() && now.Sub(s.waiting) >= answerTimeout
}

// pause returns how long to wait for the next report, or for an answer to the last.
func (s *Session) pause(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := timing.Jitter(s.heartbeat, heartbeatJitter)
	if s.waiting.IsZero() {
		return next
	}
	return min(next, s.waiting.Add(answerTimeout).Sub(now))
}

// announcementChanged returns the channel that was taken before the announcement
// was last read, so that no change in between is missed.
func (s *Session) announcementChanged() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced
}

// nextReport builds the report to send at now. It returns nil while the worker
// is silent: a VM that can't be driven must not keep its lease.
func (s *Session) nextReport(now time.Time) *api.AgentReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clockAt.IsZero() || now.Sub(s.clockAt) > workerSilence {
		return nil
	}
	s.sequence++
	if s.waiting.IsZero() {
		s.waiting = now
	}
	report := &api.AgentReport{
		Sequence:    s.sequence,
		Incarnation: s.config.Incarnation,
		Revision:    s.holder.Revision(),
		Tasks:       s.outbox.take(s.sequence),
		Usage:       s.usage.take(s.usageEvery, s.outbox.active),
		Leaving:     s.leaving,
	}
	s.addAnnouncement(report)
	if s.helloNeeded {
		report.Vm = s.config.VM
		s.helloNeeded = false
	}
	s.holder.Sent(s.sequence, now, s.clockMS)
	return report
}

func (s *Session) addAnnouncement(report *api.AgentReport) {
	changed := s.helloNeeded
	select {
	case <-s.announced:
		changed = true
	default:
		changed = changed || s.announced == nil
	}
	if !changed {
		return
	}
	s.announced = s.config.Announcer.Changed()
	report.Servers = s.config.Announcer.Servers()
	report.ServersChanged = true
}
