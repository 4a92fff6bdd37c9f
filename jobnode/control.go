// Package jobnode assembles a control replica for submitted jobs from the replicated
// log and the service on it, and maintains its membership in the group.
package jobnode

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/disk"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobcontrol"
	"amaranthpaddle/jobs"
	"amaranthpaddle/limit"
	"amaranthpaddle/replica"
	"amaranthpaddle/timing"
	"amaranthpaddle/transport"
)

// Config holds the settings of one control replica.
type Config struct {
	Address    string   // ip:port at which agents, entries and other replicas reach this one
	Listen     string   // ip:port to listen on, empty for Address
	Seeds      []string // ip:port of known replicas; the first members of a new group
	FirstStart bool     // whether the whole system starts for the first time
	DataDir    string
	Voters     int // number of voting members
	Lease      time.Duration
	LeaseLimit time.Duration // the longest lease that workers grant, 0 for the default
	Retain     time.Duration
	Heartbeat  time.Duration
	Election   time.Duration
	Security   *transport.Security
	Limits     *limit.Process     // bounds on what peers make the process hold, nil for the defaults
	Adviser    jobcontrol.Adviser // nil without a placement adviser
	Fleet      jobcontrol.Fleet   // nil when maintenance and moves of VMs cannot be ordered
	Policy     dispatch.Policy
	JobMemory  dispatch.MemoryBudget // of the retained jobs, 0 for no bound
	FS         disk.FS               // nil for the operating system's
}

// Control is a running control replica.
type Control struct {
	config   Config
	client   *controlclient.Client
	listener net.Listener
	grpc     *grpc.Server
	replica  *replica.Replica
	server   *jobcontrol.Server
	cancel   context.CancelFunc
	done     sync.WaitGroup
	started  time.Time
	// Ended receives an EndedError once the replica takes no part in the group any
	// more: fault.Conflict when the group has removed it or does not know its data
	// folder, else the error of replica.Replica.Err or of the listener.
	Ended chan error
}

// StartControl starts a replica with the identity stored in its data folder. Without
// one, the replica is a first member if the system starts for the first time and the
// seeds contain its address, and otherwise asks to join the group. Errors: those of
// replica.StoredID, of replica.Start and of listening.
func StartControl(config Config, client *controlclient.Client) (*Control, error) {
	if config.FS == nil {
		config.FS = disk.OS{}
	}
	if config.Limits == nil {
		config.Limits = limit.New(limit.Config{})
	}
	id, inGroup, err := replica.StoredID(config.FS, config.DataDir)
	if err != nil {
		return nil, err
	}
	first := config.FirstStart && slices.Contains(config.Seeds, config.Address)
	join := !inGroup && !first
	peers := map[uint64]string{}
	for i, address := range slices.Sorted(slices.Values(config.Seeds)) {
		peers[uint64(i+1)] = address
		if first && id == 0 && address == config.Address {
			id = uint64(i + 1)
		}
	}
	if id == 0 {
		id = joinerID()
	}
	listener, err := config.Security.Listen(cmp.Or(config.Listen, config.Address))
	if err != nil {
		return nil, err
	}
	state := jobs.NewState()
	replicaConfig := replica.Config{
		ID: id, Address: config.Address, Join: join, DataDir: config.DataDir, Security: *config.Security,
		StateMachine: state, Heartbeat: config.Heartbeat, Election: config.Election, FS: config.FS,
	}
	if first {
		replicaConfig.Peers = peers
	} else if inGroup {
		replicaConfig.Join = true // the stored group is used, not the seeds
	}
	started, err := replica.Start(replicaConfig)
	if err != nil {
		listener.Close()
		return nil, err
	}
	klog.InfoS("Control replica started", "replica", id, "address", config.Address, "in_group", inGroup, "first", first, "joins", join)
	return assemble(config, client, listener, started, state, id), nil
}

// joinerID returns a random id that differs from those of all first members and is
// unlikely to be drawn by another joiner.
func joinerID() uint64 { return 1<<32 | uint64(rand.Uint32())<<8 | uint64(rand.Uint32N(1<<8)) }

func assemble(config Config, client *controlclient.Client, listener net.Listener,
	started *replica.Replica, state *jobs.State, id uint64) *Control {
	c := &Control{
		config: config, client: client, listener: listener, replica: started,
		started: timing.Boot(), Ended: make(chan error, 1),
	}
	c.server = jobcontrol.New(jobcontrol.Config{
		Replica: started, State: state, Lease: config.Lease, LeaseLimit: config.LeaseLimit, Retain: config.Retain, Voters: config.Voters,
		Adviser: config.Adviser, Fleet: config.Fleet, Policy: config.Policy, JobMemory: config.JobMemory,
	})
	listener, bounds := config.Limits.GRPC(listener, "control", limit.MainShare)
	c.grpc = grpc.NewServer(slices.Concat(replica.ServerOptions(), config.Security.ServerOptions(), transport.RecoverPanics(), bounds)...)
	started.Register(c.grpc)
	c.server.Register(c.grpc)
	c.server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.done.Go(func() {
		if err := c.grpc.Serve(listener); err != nil {
			c.end(fault.Wrap(fault.Internal, err, "gRPC server failed"))
		}
	})
	c.done.Go(func() {
		select {
		case <-ctx.Done():
		case <-started.Failed():
			c.end(started.Err())
		}
	})
	c.done.Go(func() { c.maintainMembership(ctx, id) })
	return c
}

// end reports why the replica has ended. Only the first cause counts.
func (c *Control) end(cause error) {
	select {
	case c.Ended <- &EndedError{Cause: cause}:
	default:
	}
}

// Operators returns the handler of operators' orders.
func (c *Control) Operators() jobcontrol.Operators {
	return jobcontrol.Operators{Server: c.server, Client: c.client}
}

// Ready returns nil when the replica knows a leader, and fault.NotLeader otherwise,
// as it cannot confirm its state then.
func (c *Control) Ready() error {
	if c.replica.Status().Leader == 0 {
		return fault.New(fault.NotLeader, "no leader is known")
	}
	return nil
}

// WriteMetrics writes the gauges of this replica.
func (c *Control) WriteMetrics(w io.Writer) { c.server.WriteMetrics(w) }

// HandOver transfers the leadership to another replica, if this one leads.
func (c *Control) HandOver(ctx context.Context) {
	if err := c.replica.TransferLeadership(ctx, 0); err != nil {
		klog.InfoS("Leadership not transferred before stop", "error", err)
	}
}

// Leave asks the group to give this replica's seat to a learner, if one has caught up,
// until ctx ends. The leadership has to be handed over before. If that was done, the
// data folder is marked as discarded: this replica joins anew if it is started again.
func (c *Control) Leave(ctx context.Context) {
	id := c.replica.Status().ID
	if !c.isVoter(id) {
		return
	}
	removed := false
	err := c.client.Do(ctx, func(ctx context.Context, connection *grpc.ClientConn, options ...grpc.CallOption) error {
		answer, err := api.NewJobsClient(connection).Leave(ctx, &api.LeaveRequest{Id: id}, options...)
		if err == nil {
			removed = answer.Removed
		}
		return err
	})
	if removed {
		err = markDiscarded(c.config.DataDir)
	}
	klog.InfoS("Asked to leave the group before the stop", "replica", id, "removed", removed, "error", err)
}

// Kill stops the replica at once, without transferring the leadership.
func (c *Control) Kill() {
	c.cancel()
	c.server.Stop()
	c.grpc.Stop()
	c.replica.Stop()
	c.done.Wait()
}

// Intervals and timeout of membership maintenance.
const (
	joinInterval        = 300 * time.Millisecond // between requests to join
	memberCheckInterval = 2 * time.Second        // between checks of a voter, which asks the group when it knows no leader
	joinTimeout         = time.Second
)

// maintainMembership asks to join until this replica is a voter, and ends the replica
// when the group has removed it.
func (c *Control) maintainMembership(ctx context.Context, id uint64) {
	for {
		pause := memberCheckInterval
		if !c.isVoter(id) {
			pause = joinInterval
		}
		if !timing.Sleep(ctx, timing.Jitter(pause, 0.2)) {
			return
		}
		if c.isVoter(id) && c.replica.Status().Leader != 0 {
			continue
		}
		if c.askToJoin(ctx, id) {
			c.end(fault.Newf(fault.Conflict, "the group has removed replica %d", id))
			return
		}
	}
}

func (c *Control) isVoter(id uint64) bool {
	members, err := c.replica.Members()
	if err != nil {
		return false // not in a group yet
	}
	return slices.ContainsFunc(members, func(m replica.MemberStatus) bool { return m.ID == id && m.Voter })
}

// askToJoin sends one request to join, and reports whether the group has removed
// this replica.
func (c *Control) askToJoin(ctx context.Context, id uint64) (removed bool) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	request := &api.JoinRequest{
		Id: id, Address: c.config.Address, AgeMs: timing.Boot().Sub(c.started).Milliseconds(),
	}
	err := c.client.Do(ctx, func(ctx context.Context, connection *grpc.ClientConn, options ...grpc.CallOption) error {
		answer, err := api.NewJobsClient(connection).Join(ctx, request, options...)
		if err == nil {
			removed = answer.Removed
		}
		return err
	})
	if err != nil && !fault.Is(err, fault.Canceled) {
		klog.V(1).InfoS("Join request failed", "replica", id, "error", err)
	}
	return removed
}
