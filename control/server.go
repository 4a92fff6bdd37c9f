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
	config   Config
	state    *State
	leases   *leaseTable
	confirms *replica.Confirmer
	planner  *planner
	metrics  *serverMetrics
	work     chan struct{} // the leader's loop has something to do
	// runningTasks is the number of tasks that held a grant before the last round.
	runningTasks atomic.Int64
	stop         context.CancelFunc
	done         sync.WaitGroup
	watchDone    context.Context

	mu       sync.Mutex
	lead     *leadership         // nil while another replica leads
	sessions map[string]*session // by VM
	watchers map[*watcher]struct{}
	entries  map[string]entryView
}

// leadership is one period in which this replica leads.
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
		config:   config,
		state:    config.State,
		leases:   newLeaseTable(config.Lease),
		confirms: replica.NewConfirmer(config.Node, confirmInterval, time.Now),
		planner:  newPlanner(config.State),
		work:     make(chan struct{}, 1),
		sessions: map[string]*session{},
		watchers: map[*watcher]struct{}{},
		entries:  map[string]entryView{},
	}
	s.metrics = newServerMetrics(s)
	return s
}

// Register registers the gRPC service.
func (s *Server) Register(registrar grpc.ServiceRegistrar) {
	api.RegisterControlServer(registrar, s)
}

// Start begins to follow the node's leadership.
func (s *Server) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.watchDone = ctx
	s.state.observe(s.onEffects)
	s.done.Add(2)
	go func() {
		defer s.done.Done()
		replica.FollowLeadership(ctx, s.config.Node, s.leadTerm)
	}()
	go func() {
		defer s.done.Done()
		s.guardWatchers(ctx)
	}()
}

// Stop ends every session and watch, and waits for the Server's goroutines.
func (s *Server) Stop() {
	s.stop()
	s.done.Wait()
}

// onEffects wakes those whom an applied command concerns. It must not block:
// the replica applies no further command before it returns.
func (s *Server) onEffects(effects Effects) {
	if effects.Work {
		signal(s.work)
	}
	if len(effects.outcomes) > 0 {
		s.planner.note(effects.outcomes)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
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

// leadTerm returns when the leadership of the term has ended.
func (s *Server) leadTerm(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lead := &leadership{ctx: ctx, cancel: cancel, term: term, since: time.Now()}
	s.leases.reset(lead.since)
	s.confirms.Reset()
	s.planner.reset()
	s.setLead(lead)
	defer s.setLead(nil)
	var loops sync.WaitGroup
	loops.Go(func() { s.confirms.Run(ctx, term) })
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

// leading returns the present leadership, or fault.NotLeader.
func (s *Server) leading() (*leadership, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead == nil {
		return nil, fault.New(fault.NotLeader, "this control replica does not lead")
	}
	return s.lead, nil
}

// leader returns where the known leader can be reached.
func (s *Server) leader() Peer {
	id := s.config.Node.Status().Leader
	if id == 0 {
		return Peer{}
	}
	return s.config.Peers(id)
}

// leaderMetadata is the trailer of a refused call.
func (s *Server) leaderMetadata() metadata.MD {
	if address := s.leader().Address; address != "" {
		return metadata.Pairs(controlclient.LeaderTrailer, address)
	}
	return nil
}

// propose replicates a command and returns its result. An error says that the
// command has no result; a refused command has one, see resultError.
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

// commit proposes a command and returns an error also when it was refused.
func (s *Server) commit(ctx context.Context, command *api.Command) (*api.CommandResult, error) {
	result, err := s.propose(ctx, command)
	if err != nil {
		return nil, err
	}
	return result, resultError(result)
}

// signal wakes the reader of a channel with room for one signal.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
