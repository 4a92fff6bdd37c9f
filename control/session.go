package control

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/fleet"
)

// session is the leader's side of one agent's session. Its fields are owned by
// the goroutine that serves it, except view, which Server.mu guards.
type session struct {
	server       *Server
	lead         *leadership
	stream       grpc.BidiStreamingServer[api.AgentReport, api.Directive]
	vm           *api.VM
	incarnation  uint64
	servers      []*api.BackendServer // as announced
	refused      []*api.RefusedServer // of servers, published for other VMs
	leaving      bool
	runs         *agentRuns
	newStatuses  bool       // the agent reported task statuses since the last directive
	state        vmSnapshot // on which the last directive was based
	acknowledged uint64
	received     time.Time // when the acknowledged report arrived
	lastSent     sentState
	notify       chan struct{} // the VM's directives may have changed
	cancel       context.CancelFunc

	view agentView
}

// agentView is the part of a session that other goroutines read.
type agentView struct {
	revision   uint64
	lastReport time.Time
	refused    bool // some announced server is refused, so that a new revision may release it
}

// sentState holds the fields of a directive whose change makes a push necessary.
type sentState struct {
	inService bool
	drain     bool
	refused   string // ids of the refused servers
}

func sentStateOf(d *api.Directive) sentState {
	return sentState{d.ZoneInService, d.Drain, joinIDs(d.RefusedServers)}
}

// Session serves one agent. Only the leader accepts sessions.
func (s *Server) Session(stream grpc.BidiStreamingServer[api.AgentReport, api.Directive]) error {
	err := s.serveSession(stream)
	stream.SetTrailer(s.leaderMetadata())
	return fault.ToStatus(err)
}

func (s *Server) serveSession(stream grpc.BidiStreamingServer[api.AgentReport, api.Directive]) error {
	lead, err := s.leading()
	if err != nil {
		return err
	}
	first, err := stream.Recv()
	if err != nil {
		return fault.Wrap(fault.Canceled, err, "first report")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	session, err := newSession(s, lead, stream, first, cancel)
	if err != nil {
		return err
	}
	s.addSession(session)
	defer s.removeSession(session)
	if err := session.report(ctx, first); err != nil {
		return err
	}
	reports := receiveReports(ctx, stream)
	return session.serve(ctx, reports)
}

func newSession(s *Server, lead *leadership, stream grpc.BidiStreamingServer[api.AgentReport, api.Directive],
	first *api.AgentReport, cancel context.CancelFunc) (*session, error) {
	if err := fleet.CheckAnnouncement(fleet.Announcement{VM: first.Vm, Servers: first.Servers}); err != nil {
		return nil, err
	}
	return &session{
		server:      s,
		lead:        lead,
		stream:      stream,
		vm:          first.Vm,
		incarnation: first.Incarnation,
		runs:        newAgentRuns(),
		notify:      make(chan struct{}, 1),
		cancel:      cancel,
	}, nil
}

// addSession registers a session and cancels an earlier session of the same VM.
func (s *Server) addSession(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if earlier := s.sessions[session.vm.Id]; earlier != nil {
		earlier.cancel()
	}
	session.view.lastReport = time.Now()
	s.sessions[session.vm.Id] = session
}

func (s *Server) removeSession(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[session.vm.Id] == session {
		delete(s.sessions, session.vm.Id)
	}
}

func receiveReports(ctx context.Context, stream grpc.BidiStreamingServer[api.AgentReport, api.Directive]) <-chan *api.AgentReport {
	reports := make(chan *api.AgentReport)
	go func() {
		defer close(reports)
		for {
			report, err := stream.Recv()
			if err != nil {
				return
			}
			select {
			case reports <- report:
			case <-ctx.Done():
				return
			}
		}
	}()
	return reports
}

// serve answers reports and pushes directives until the session ends. It ends the
// session of a silent agent when the agent's lease has expired.
func (c *session) serve(ctx context.Context, reports <-chan *api.AgentReport) error {
	limit := c.server.config.Lease.NewLeaderWait()
	silence := time.NewTimer(limit)
	defer silence.Stop()
	for {
		var err error
		select {
		case report, ok := <-reports:
			if !ok {
				return fault.New(fault.Canceled, "the agent ended the session")
			}
			silence.Reset(limit)
			err = c.report(ctx, report)
		case <-silence.C:
			return fault.New(fault.ConnectionLost, "the agent reported nothing for a whole lease")
		case <-c.notify:
			err = c.push(ctx)
		case <-c.lead.ctx.Done():
			return fault.New(fault.NotLeader, "this control replica leads no more")
		case <-ctx.Done():
			return fault.New(fault.Canceled, "the session was replaced")
		}
		if err != nil {
			return err
		}
	}
}

// report processes a report: it commits what the report changes and answers it.
func (c *session) report(ctx context.Context, report *api.AgentReport) error {
	received := time.Now()
	if report.Incarnation != c.incarnation {
		return fault.New(fault.InvalidArgument, "the agent's incarnation changed within a session")
	}
	if report.ServersChanged {
		c.servers = report.Servers
	}
	c.leaving = report.Leaving
	if err := c.announce(ctx, report); err != nil {
		return err
	}
	c.runs.recordStatuses(report.Tasks)
	c.newStatuses = c.newStatuses || len(report.Tasks) > 0
	if err := c.commitTasks(ctx, report.Tasks); err != nil {
		return err
	}
	c.server.scheduling.learnUsage(c.vm.Id, report.Usage, received)
	c.acknowledged, c.received = report.Sequence, received
	c.updateView(report.Revision, received)
	return c.answerReport(ctx)
}

func (c *session) updateView(revision uint64, now time.Time) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.view.revision, c.view.lastReport = revision, now
}

// commitTasks commits the statuses that change the task table.
func (c *session) commitTasks(ctx context.Context, statuses []*api.TaskStatus) error {
	changing := c.server.state.changingStatuses(c.vm.Id, statuses)
	if len(changing) == 0 {
		return nil
	}
	_, err := c.server.commit(ctx, &api.Command{Body: &api.Command_ReportTasks{ReportTasks: &api.ReportTasks{
		Vm:          c.vm.Id,
		Incarnation: c.incarnation,
		Tasks:       changing,
	}}})
	return err
}

func (s *State) changingStatuses(vm string, statuses []*api.TaskStatus) []*api.TaskStatus {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var changing []*api.TaskStatus
	for _, status := range statuses {
		if s.tasks.WouldChange(vm, taskReport(status)) {
			changing = append(changing, status)
		}
	}
	return changing
}

// answerReport sends the directive that answers the acknowledged report. It
// requires a confirmation that began after the report arrived: a new leader was
// then elected later than that, even if this process or its clock was paused.
func (c *session) answerReport(ctx context.Context) error {
	d, err := c.buildDirective(ctx, c.received)
	if err != nil {
		return err
	}
	return c.send(d)
}

// push sends a directive without a report, if it contains anything new. Its
// permissions are counted from the last report, so an earlier confirmation is
// sufficient.
func (c *session) push(ctx context.Context) error {
	if err := c.announceReleased(ctx); err != nil {
		return err
	}
	d, err := c.buildDirective(ctx, time.Now().Add(-confirmMaxAge))
	if err != nil {
		return err
	}
	if sentStateOf(d) == c.lastSent && len(d.Start) == 0 && len(d.Stop) == 0 && len(d.Throttle) == 0 {
		return nil
	}
	return c.send(d)
}

func (c *session) send(d *api.Directive) error {
	c.lastSent = sentStateOf(d)
	return fault.Wrap(fault.Canceled, c.stream.Send(d), "send directive")
}

// buildDirective returns the directive for the current state. Lease and freshness
// are based on a quorum confirmation that began after notBefore, and are counted
// from the acknowledged report.
func (c *session) buildDirective(ctx context.Context, notBefore time.Time) (*api.Directive, error) {
	server := c.server
	confirmed, err := server.confirmer.Wait(ctx, notBefore)
	if err != nil {
		return nil, err
	}
	changed := server.state.refresh(&c.state, c.vm.Id, c.incarnation) || c.newStatuses
	view := &c.state
	now := time.Now()
	d := &api.Directive{}
	throttles, deadlines := server.scheduling.runControls(c.vm.Id)
	if changed || !c.runs.caughtUp() || len(throttles) > 0 {
		d = c.runs.directive(*view, throttles, deadlines, now)
	}
	c.newStatuses = false
	d.Acknowledged = c.acknowledged
	d.Revision = view.revision
	d.Drain = !view.takesWork
	d.ZoneInService = view.inService
	if interval := server.currentHeartbeatInterval(); interval > minHeartbeatInterval {
		d.HeartbeatMs = millis(interval)
	}
	d.RefusedServers = c.refused
	d.UsageMs = millis(usageInterval(int(server.runningTasks.Load())))
	if view.known && server.leases.grant(c.vm.Id, now) {
		config := server.config
		d.LeaseMs = millis(min(remainingPermission(config.Lease.Duration, confirmed, c.received), config.Lease.Duration))
		d.FreshMs = millis(remainingPermission(config.Freshness, confirmed, c.received))
	}
	return d, nil
}

func millis(d time.Duration) uint32 { return uint32(d.Milliseconds()) }
