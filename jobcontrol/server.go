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
)

// Server is the service of one control replica.
type Server struct {
	api.UnimplementedJobsServer
	config    Config
	confirmer *replica.Confirmer
	stop      context.CancelFunc
	done      sync.WaitGroup

	mu   sync.Mutex
	lead *leadership // nil while this replica does not lead
}

// New returns a server; Start begins its work.
func New(config Config) *Server {
	config.setDefaults()
	return &Server{
		config:    config,
		confirmer: replica.NewConfirmer(config.Replica, confirmInterval, config.Clock),
	}
}

// Register adds the service to a gRPC server.
func (s *Server) Register(registrar grpc.ServiceRegistrar) { api.RegisterJobsServer(registrar, s) }

// Start follows the leadership of the replica until Stop.
func (s *Server) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.done.Go(func() { replica.FollowLeadership(ctx, s.config.Replica, s.leadTerm) })
}

// Stop ends the server's work and its sessions.
func (s *Server) Stop() {
	s.stop()
	s.done.Wait()
}

// leadTerm returns when the leadership of the term has ended.
func (s *Server) leadTerm(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lead := newLeadership(ctx, cancel, s, term)
	s.confirmer.Reset()
	s.setLeadership(lead)
	defer s.setLeadership(nil)
	klog.InfoS("Leadership begins", "term", term, "jobs", lead.activeJobs())
	var loops sync.WaitGroup
	loops.Go(func() { s.confirmer.Run(ctx, term) })
	loops.Go(func() { lead.runRounds() })
	loops.Go(func() { lead.completeBatches() })
	loops.Go(func() { lead.logSummaries() })
	loops.Go(func() { lead.manageVMs() })
	loops.Go(func() { s.maintainMembers(ctx, lead) })
	replica.WaitLeadershipEnd(ctx, s.config.Replica, term)
	cancel()
	loops.Wait()
	lead.failPending()
	klog.InfoS("Leadership ends", "term", term)
}

func (s *Server) setLeadership(lead *leadership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lead = lead
}

// currentLeadership returns the present leadership, or fault.NotLeader.
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

// leaderTrailer names the leader to a caller that came to another replica.
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
		klog.V(1).InfoS("Members are not known", "error", err)
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

// toStatus returns err as a status, with the leader's address in the trailer.
func (s *Server) toStatus(ctx context.Context, err error) error {
	if fault.Is(err, fault.NotLeader) {
		if trailer := s.leaderTrailer(); trailer != nil {
			if trailerErr := grpc.SetTrailer(ctx, trailer); trailerErr != nil {
				klog.V(1).InfoS("Leader's address not sent", "error", trailerErr)
			}
		}
	}
	return fault.ToStatus(err)
}

// confirmRead returns once a quorum has confirmed lately that this replica
// leads. Errors: fault.NoQuorum.
func (s *Server) confirmRead(ctx context.Context) error {
	_, err := s.confirmer.Wait(ctx, s.config.Clock().Add(-readMaxAge))
	return err
}

func (s *Server) now() time.Time { return s.config.Clock() }
