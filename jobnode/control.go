// Package jobnode assembles a control replica of submitted jobs: the replicated
// log, the service on it, and its membership in the group.
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
	"amaranthpaddle/fault"
	"amaranthpaddle/jobcontrol"
	"amaranthpaddle/jobs"
	"amaranthpaddle/replica"
	"amaranthpaddle/timing"
	"amaranthpaddle/transport"
)

// Config holds the settings of one control replica.
type Config struct {
	Address    string   // ip:port at which agents, entries and replicas reach this one
	Listen     string   // ip:port on which it listens, empty for Address
	Seeds      []string // ip:port of replicas to ask; the first members of a new group
	FirstStart bool     // the whole system starts for the first time
	DataDir    string
	Voters     int // members that vote
	Lease      time.Duration
	Retain     time.Duration
	Heartbeat  time.Duration
	Election   time.Duration
	Security   *transport.Security
	Adviser    jobcontrol.Adviser // nil for none
	Fleet      jobcontrol.Fleet   // nil when there is none
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
	// Removed is closed when the group has removed this replica: its data folder
	// can't be used any more.
	Removed chan struct{}
}

// StartControl starts a replica: with the identity in its data folder; else as
// a first member, when the system starts for the first time and the seeds name
// its address; else as one that joins the group. Errors: those of replica.Start.
func StartControl(config Config, client *controlclient.Client) (*Control, error) {
	id, inGroup, err := replica.StoredID(disk.OS{}, config.DataDir)
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
		StateMachine: state, Heartbeat: config.Heartbeat, Election: config.Election,
	}
	if first {
		replicaConfig.Peers = peers
	} else if inGroup {
		replicaConfig.Join = true // the stored group and its members count
	}
	started, err := replica.Start(replicaConfig)
	if err != nil {
		listener.Close()
		return nil, err
	}
	klog.InfoS("Control replica started", "replica", id, "address", config.Address, "in_group", inGroup, "first", first, "joins", join)
	return assemble(config, client, listener, started, state, id), nil
}

// joinerID returns an id that no first member has and that no other joiner is
// likely to draw.
func joinerID() uint64 { return 1<<32 | uint64(rand.Uint32())<<8 | uint64(rand.Uint32N(1<<8)) }

func assemble(config Config, client *controlclient.Client, listener net.Listener,
	started *replica.Replica, state *jobs.State, id uint64) *Control {
	c := &Control{
		config: config, client: client, listener: listener, replica: started,
		started: timing.Boot(), Removed: make(chan struct{}),
	}
	c.server = jobcontrol.New(jobcontrol.Config{
		Replica: started, State: state, Lease: config.Lease, Retain: config.Retain, Voters: config.Voters,
		Adviser: config.Adviser, Fleet: config.Fleet,
	})
	c.grpc = grpc.NewServer(append(replica.ServerOptions(), config.Security.ServerOptions()...)...)
	started.Register(c.grpc)
	c.server.Register(c.grpc)
	c.server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.done.Go(func() {
		if err := c.grpc.Serve(listener); err != nil {
			klog.ErrorS(err, "Listener ended")
		}
	})
	c.done.Go(func() { c.maintainMembership(ctx, id) })
	return c
}

// Operators returns the side of the replica that takes operators' orders.
func (c *Control) Operators() jobcontrol.Operators {
	return jobcontrol.Operators{Server: c.server, Client: c.client}
}

// Ready returns why this replica can't confirm its state, nil when it can.
func (c *Control) Ready() error {
	if c.replica.Status().Leader == 0 {
		return fault.New(fault.NotLeader, "no leader is known")
	}
	return nil
}

// WriteMetrics writes the gauges of this replica.
func (c *Control) WriteMetrics(w io.Writer) { c.server.WriteMetrics(w) }

// HandOver gives the leadership to another replica, if this one has it.
func (c *Control) HandOver(ctx context.Context) {
	if err := c.replica.TransferLeadership(ctx, 0); err != nil {
		klog.InfoS("Stopping without a hand-over", "error", err)
	}
}

// Kill ends the replica at once.
func (c *Control) Kill() {
	c.cancel()
	c.server.Stop()
	c.grpc.Stop()
	c.replica.Stop()
	c.done.Wait()
}

// Pauses of the membership's upkeep.
const (
	joinInterval        = 300 * time.Millisecond // between requests to join
	memberCheckInterval = 2 * time.Second        // between looks of a member that hears no leader
	joinTimeout         = time.Second
)

// maintainMembership asks to join until this replica votes, and later notices when
// the group has removed it.
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
			close(c.Removed)
			return
		}
	}
}

func (c *Control) isVoter(id uint64) bool {
	members, err := c.replica.Members()
	if err != nil {
		return false // in no group yet
	}
	return slices.ContainsFunc(members, func(m replica.MemberStatus) bool { return m.ID == id && m.Voter })
}

// askToJoin reports whether the group has removed this replica.
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
		klog.V(1).InfoS("Not joined yet", "replica", id, "error", err)
	}
	return removed
}
