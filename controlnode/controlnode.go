// Package controlnode assembles one control process: a replica of the log, the
// control service on top of it, and their listeners.
package controlnode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"amaranthpaddle/control"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/replica"
	"amaranthpaddle/task/lease"
	"amaranthpaddle/transport"
)

const readHeaderTimeout = 5 * time.Second

// Config is the configuration of a Node.
type Config struct {
	ID        uint64
	Peers     map[uint64]control.Peer // initial members by id, including this replica; a peer without Address is a member added later
	Join      bool                    // join an existing group as a learner, see paddlectl control replace
	DataDir   string
	Security  *transport.Security
	Operators *transport.Operators // who may call the operators' API; nil for everyone
	Listener  net.Listener         // for agents, entries and replicas; nil to listen on Peers[ID].Address
	Operator  net.Listener         // for operators; nil to listen on Peers[ID].OperatorAddress

	// Zero values are replaced by the defaults of packages replica and control.
	Heartbeat       time.Duration // between a leader's heartbeats
	Election        time.Duration // minimum election timeout: the silence of a leader before an election
	SnapshotEntries uint64        // log entries between snapshots
	Lease           lease.Terms   // of the VMs
	Freshness       time.Duration // how long agents may act on zone_in_service
}

// Node is a running control process.
type Node struct {
	config   Config
	replica  *replica.Replica
	server   *control.Server
	grpc     *grpc.Server
	operator *http.Server
	failed   transport.ServerErrors
	wait     sync.WaitGroup
}

// Start starts a control process. It returns the errors of replica.Start, and
// fault.InvalidArgument for an address that cannot be used.
func Start(config Config) (*Node, error) {
	if err := openListeners(&config); err != nil {
		return nil, err
	}
	n := &Node{config: config, failed: transport.NewServerErrors()}
	if err := n.assemble(); err != nil {
		config.Listener.Close()
		config.Operator.Close()
		return nil, err
	}
	n.spawn(func() { n.failed.Serve("agents, entries and replicas", config.Listener, n.grpc.Serve) })
	n.spawn(func() { n.failed.Serve("operators", config.Operator, n.operator.Serve) })
	n.server.Start()
	klog.InfoS("Control replica started", "id", config.ID,
		"address", config.Listener.Addr().String(), "operators", config.Operator.Addr().String())
	return n, nil
}

func openListeners(config *Config) (err error) {
	self := config.Peers[config.ID]
	if config.Listener == nil {
		if config.Listener, err = config.Security.Listen(self.Address); err != nil {
			return err
		}
	}
	if config.Operator == nil {
		if config.Operator, err = config.Security.ListenHTTP(self.OperatorAddress); err != nil {
			config.Listener.Close()
			return err
		}
	}
	return nil
}

func (n *Node) assemble() error {
	state := control.NewState()
	started, err := replica.Start(replica.Config{
		ID:           n.config.ID,
		Address:      n.config.Peers[n.config.ID].Address,
		Peers:        addresses(n.config.Peers),
		Join:         n.config.Join,
		DataDir:      n.config.DataDir,
		Security:     *n.config.Security,
		StateMachine: state,

		Heartbeat:       n.config.Heartbeat,
		Election:        n.config.Election,
		SnapshotEntries: n.config.SnapshotEntries,
	})
	if err != nil {
		return err
	}
	n.replica = started
	n.server = control.New(control.Config{
		Node: started, State: state, Peers: n.peer, Membership: membership{n},
		Lease: n.config.Lease, Freshness: n.config.Freshness,
	})
	n.grpc = grpc.NewServer(append(replica.ServerOptions(), n.config.Security.ServerOptions()...)...)
	n.replica.Register(n.grpc)
	n.server.Register(n.grpc)
	n.operator = &http.Server{Handler: n.operatorHandler(), ReadHeaderTimeout: readHeaderTimeout}
	return nil
}

// operatorHandler requires a credential for the operators' API, except for health
// checks and metrics.
func (n *Node) operatorHandler() http.Handler {
	handler := n.server.Handler()
	if n.config.Operators == nil {
		return handler
	}
	mux := http.NewServeMux()
	mux.Handle("/", n.config.Operators.Require(handler))
	for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
		mux.Handle(path, handler)
	}
	return mux
}

func addresses(peers map[uint64]control.Peer) map[uint64]string {
	result := make(map[uint64]string, len(peers))
	for id, peer := range peers {
		if peer.Address != "" {
			result[id] = peer.Address
		}
	}
	return result
}

// peer returns the addresses of a replica. The address of a replica that joined
// later comes from the replicated membership.
func (n *Node) peer(id uint64) control.Peer {
	peer := n.config.Peers[id]
	if peer.Address != "" {
		return peer
	}
	members, err := n.replica.Members()
	if err != nil {
		return peer
	}
	for _, member := range members {
		if member.ID == id {
			peer.Address = member.Address
		}
	}
	return peer
}

func (n *Node) spawn(f func()) {
	n.wait.Add(1)
	go func() {
		defer n.wait.Done()
		f()
	}()
}

// Failed returns a channel that receives why one of the listeners has ended by itself.
func (n *Node) Failed() <-chan error { return n.failed }

// Replica returns the replica of the log.
func (n *Node) Replica() *replica.Replica { return n.replica }

// Address returns the ip:port for agents, entries and replicas.
func (n *Node) Address() string { return n.config.Listener.Addr().String() }

// OperatorAddress returns the ip:port of the operators' API.
func (n *Node) OperatorAddress() string { return n.config.Operator.Addr().String() }

// Stop shuts the process down gracefully: it first transfers the leadership and
// then waits for the operators' calls in progress, both until ctx ends.
func (n *Node) Stop(ctx context.Context) {
	if err := n.replica.TransferLeadership(ctx, 0); err != nil {
		klog.V(1).InfoS("Stopping without a leadership transfer", "id", n.config.ID, "error", err)
	}
	if err := n.operator.Shutdown(ctx); err != nil {
		klog.InfoS("Operators' calls in progress were cut off", "id", n.config.ID, "error", err)
	}
	n.Kill()
}

// Kill stops the process immediately, without a leadership transfer.
func (n *Node) Kill() {
	n.server.Stop()
	n.grpc.Stop()
	n.operator.Close()
	n.replica.Stop()
	n.wait.Wait()
}

// membership adapts the replica to the operators' API.
type membership struct{ node *Node }

// Members returns the replicas, or nil if they cannot be read.
func (m membership) Members() []operatorapi.Member {
	members, err := m.node.replica.Members()
	if err != nil {
		return nil
	}
	list := make([]operatorapi.Member, 0, len(members))
	for _, member := range members {
		list = append(list, operatorapi.Member{
			ID: member.ID, Address: member.Address,
			OperatorAddress: m.node.config.Peers[member.ID].OperatorAddress,
			Voter:           member.Voter, Match: member.Match, Silent: !member.Active && !member.Leader,
		})
	}
	return list
}

// Replace replaces a replica with a new member at the address.
func (m membership) Replace(ctx context.Context, remove, add uint64, address string) error {
	return m.node.replica.ReplaceMember(ctx, remove, add, address)
}
