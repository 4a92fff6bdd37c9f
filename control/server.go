package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/fault"
	"amaranthpaddle/replica"
)

// Server is the service of one control replica.
type Server struct {
	api.UnimplementedControlServer
	config     Config
	state      *State
	leases     *leaseTable
	confirmer  *replica.Confirmer
	scheduling *schedulingState
	metrics    *serverMetrics
	reschedule chan struct{} // wakes the leader's loop for a scheduling round
	// runningTasks is the number of tasks that held a grant when the last scheduling round began.
	runningTasks atomic.Int64
	stop         context.CancelFunc
	goroutines   sync.WaitGroup
	stopped      context.Context

	mu       sync.Mutex
	lead     *leadership         // nil while another replica leads
	sessions map[string]*session // by VM
	watchers map[*watcher]struct{}
	entries  map[string]entryView
}

// leadership is one term in which this replica leads.
type leadership struct {
	ctx    context.Context // ends with the leadership
	cancel context.CancelFunc
	term   uint64
	since  time.Time
}

// New returns a Server that is not yet running.
func New(config Config) *Server {
	config = config.withDefaults()
	s := &Server{
		config:     config,
		state:      config.State,
		leases:     newLeaseTable(config.Lease),
		confirmer:  replica.NewConfirmer(config.Node, confirmInterval, time.Now),
		scheduling: newSchedulingState(config.State),
		reschedule: make(chan struct{}, 1),
		sessions:   map[string]*session{},
		watchers:   map[*watcher]struct{}{},
		entries:    map[string]entryView{},
	}
	s.metrics = newServerMetrics(s)
	return s
}

// Register registers the gRPC service.
func (s *Server) Register(registrar grpc.ServiceRegistrar) {
	api.RegisterControlServer(registrar, s)
}

// Start starts the goroutines that follow the node's leadership and check the watches.
func (s *Server) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.stopped = ctx
	s.state.setObserver(s.onEffects)
	s.goroutines.Add(2)
	go func() {
		defer s.goroutines.Done()
		replica.FollowLeadership(ctx, s.config.Node, s.leadTerm)
	}()
	go func() {
		defer s.goroutines.Done()
		s.monitorWatchers(ctx)
	}()
}

// Stop ends every session and watch, and waits for the Server's goroutines.
func (s *Server) Stop() {
	s.stop()
	s.goroutines.Wait()
}

// onEffects wakes the leader loop and the sessions that an applied command
// affects. It must not block, because the replica applies no further command
// until it returns.
func (s *Server) onEffects(effects Effects) {
	if effects.Reschedule {
		signal(s.reschedule)
	}
	if len(effects.outcomes) > 0 {
		s.scheduling.queueOutcomes(effects.outcomes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if effects.Revision {
		s.notifyRefused()
	}
	if effects.AllVMs {
		for _, session := range s.sessions {
			signal(session.notify)
		}
		return
	}
	for _, vm := range effects.VMs {
		if session := s.sessions[vm]; session != nil {
			signal(session.notify)
		}
	}
}

// notifyRefused wakes the sessions with refused servers, whose ids the latest
// revision may have released. The caller holds mu.
func (s *Server) notifyRefused() {
	for _, session := range s.sessions {
		if session.view.refused {
			signal(session.notify)
		}
	}
}

// leadTerm runs the leader's loops until the leadership of the term has ended.
func (s *Server) leadTerm(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lead := &leadership{ctx: ctx, cancel: cancel, term: term, since: time.Now()}
	s.leases.reset(lead.since)
	s.confirmer.Reset()
	s.scheduling.reset()
	s.setLead(lead)
	defer s.setLead(nil)
	var loops sync.WaitGroup
	loops.Go(func() { s.confirmer.Run(ctx, term) })
	loops.Go(func() { s.leaderLoop(ctx) })
	replica.WaitLeadershipEnd(ctx, s.config.Node, term)
	cancel()
	loops.Wait()
}

func (s *Server) setLead(lead *leadership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lead = lead
}

// leading returns the current leadership, or fault.NotLeader.
func (s *Server) leading() (*leadership, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead == nil {
		return nil, fault.New(fault.NotLeader, "this control replica does not lead")
	}
	return s.lead, nil
}

// leaderPeer returns the addresses of the known leader, or zero if none is known.
func (s *Server) leaderPeer() Peer {
	id := s.config.Node.Status().Leader
	if id == 0 {
		return Peer{}
	}
	return s.config.Peers(id)
}

// leaderMetadata returns the trailer that names the leader's address, or nil.
func (s *Server) leaderMetadata() metadata.MD {
	if address := s.leaderPeer().Address; address != "" {
		return metadata.Pairs(controlclient.LeaderTrailer, address)
	}
	return nil
}

// propose replicates a command and returns its result. It returns an error only
// if there is no result; a refused command has a result, see resultError.
func (s *Server) propose(ctx context.Context, command *api.Command) (*api.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command.NowMs = time.Now().UnixMilli()
	data, err := proto.Marshal(command)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode command")
	}
	proposed := time.Now()
	answer, err := s.config.Node.Propose(ctx, data)
	s.metrics.commit.UpdateDuration(proposed)
	if err != nil {
		return nil, err
	}
	result := &api.CommandResult{}
	if err := proto.Unmarshal(answer, result); err != nil {
		return nil, fault.Wrap(fault.CommitUnknown, err, "decode result")
	}
	return result, nil
}

// commit proposes a command. Unlike propose, it also returns an error if the
// command was refused.
func (s *Server) commit(ctx context.Context, command *api.Command) (*api.CommandResult, error) {
	result, err := s.propose(ctx, command)
	if err != nil {
		return nil, err
	}
	return result, resultError(result)
}

// signal wakes the reader of a channel with a buffer of one, without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
