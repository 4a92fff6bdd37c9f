package jobcontrol

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/fault"
	"amaranthpaddle/replica"
	"amaranthpaddle/timing"
)

// Server is the submitted-jobs service of one control replica.
type Server struct {
	api.UnimplementedJobsServer
	config    Config
	confirmer *replica.Confirmer
	stop      context.CancelFunc
	done      sync.WaitGroup
	where     whereLimiter

	mu   sync.Mutex
	lead *leadership // nil while this replica is not the leader

	pauses *timing.PauseWatch

	leadChanged chan struct{} // closed when lead changes
	leaders     leaderWatch
	runAges     *runAges
	stopped     <-chan struct{}
}

// New returns a server that does nothing until Start is called.
func New(config Config) *Server {
	config.setDefaults()
	return &Server{
		config:    config,
		confirmer: replica.NewConfirmer(config.Replica, confirmInterval, config.Clock),
		pauses:    timing.NewPauseWatch(config.Clock),

		leadChanged: make(chan struct{}),
		runAges:     newRunAges(config.State, config.Clock),
	}
}

// Register adds the service to a gRPC server.
func (s *Server) Register(registrar grpc.ServiceRegistrar) { api.RegisterJobsServer(registrar, s) }

// Start serves as leader whenever the replica leads, until Stop is called.
func (s *Server) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop, s.stopped = cancel, ctx.Done()
	s.done.Go(func() { s.watchLeader(ctx) })
	s.done.Go(func() { s.pauses.Run(ctx) })
	s.done.Go(func() { s.runAges.run(ctx) })
	s.done.Go(func() { replica.FollowLeadership(ctx, s.config.Replica, s.leadTerm) })
}

// Stop ends the leadership and its sessions, and waits for its goroutines.
func (s *Server) Stop() {
	s.stop()
	s.done.Wait()
}

// leadTerm serves as the leader of a term and returns when that leadership has
// ended.
func (s *Server) leadTerm(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lead := newLeadership(ctx, cancel, s, term)
	s.confirmer.Reset()
	s.setLeadership(lead)
	defer s.setLeadership(nil)
	klog.InfoS("Leadership started", "term", term, "jobs", lead.activeJobs())
	var loops sync.WaitGroup
	loops.Go(func() { s.confirmer.Run(ctx, term) })
	loops.Go(func() { lead.awaitConfirmation() })
	loops.Go(func() { lead.runRounds() })
	loops.Go(func() { lead.completeBatches() })
	loops.Go(func() { lead.logSummaries() })
	loops.Go(func() { lead.manageVMs() })
	loops.Go(func() { s.maintainMembers(ctx, lead) })
	replica.WaitLeadershipEnd(ctx, s.config.Replica, term)
	cancel()
	loops.Wait()
	lead.failPending()
	lead.interruptRecovery()
	klog.InfoS("Leadership ended", "term", term)
}

func (s *Server) setLeadership(lead *leadership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lead = lead
	close(s.leadChanged)
	s.leadChanged = make(chan struct{})
}

// currentLeadership returns the leadership in progress, or fault.NotLeader.
func (s *Server) currentLeadership() (*leadership, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead == nil || s.lead.ctx.Err() != nil {
		return nil, fault.New(fault.NotLeader, "this control replica does not lead")
	}
	return s.lead, nil
}

// Leads reports whether this replica leads.
func (s *Server) Leads() bool {
	_, err := s.currentLeadership()
	return err == nil
}

// leaderTrailer returns the trailer that redirects a caller to the leader, nil
// when the leader is not known.
func (s *Server) leaderTrailer() metadata.MD {
	leader := s.config.Replica.Status().Leader
	if leader == 0 {
		return nil
	}
	for _, member := range s.members() {
		if member.ID == leader {
			return metadata.Pairs(controlclient.LeaderTrailer, member.Address)
		}
	}
	return nil
}

func (s *Server) members() []replica.MemberStatus {
	members, err := s.config.Replica.Members()
	if err != nil {
		klog.V(1).InfoS("Failed to read the group's members", "error", err)
		return nil
	}
	return members
}

func (s *Server) memberAddresses() []string {
	var addresses []string
	for _, member := range s.members() {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// toStatus converts err to a gRPC status. For fault.NotLeader it sets the
// leader's address in the trailer.
func (s *Server) toStatus(ctx context.Context, err error) error {
	if fault.Is(err, fault.NotLeader) {
		if trailer := s.leaderTrailer(); trailer != nil {
			if trailerErr := grpc.SetTrailer(ctx, trailer); trailerErr != nil {
				klog.V(1).InfoS("Failed to set the trailer with the leader's address", "error", trailerErr)
			}
		}
	}
	return fault.ToStatus(err)
}

// confirmRead waits for a quorum confirmation of this replica's leadership that
// is at most readMaxAge older than the call. Errors: fault.NoQuorum.
func (s *Server) confirmRead(ctx context.Context) error {
	_, err := s.confirmer.Wait(ctx, s.config.Clock().Add(-readMaxAge))
	return err
}

// appliedIndex returns an index up to which the log is applied here. It includes the
// entry of every result that was delivered before.
func (s *Server) appliedIndex() uint64 {
	return max(s.config.State.Applied(), s.config.Replica.Status().Applied)
}

func (s *Server) now() time.Time { return s.config.Clock() }
