package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"amaranthpaddle/fault"
	"amaranthpaddle/transport"
)

// counter is a state machine that counts its entries and holds the last value.
type counter struct {
	mu      sync.Mutex
	entries uint64
	value   uint64
}

func (c *counter) Apply(_ uint64, data []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries++
	result := binary.LittleEndian.AppendUint64(nil, c.entries)
	result = binary.LittleEndian.AppendUint64(result, c.value)
	if len(data) == 8 {
		c.value = binary.LittleEndian.Uint64(data)
	}
	return result
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, c.entries), c.value), nil
}

func (c *counter) Restore(data []byte) error {
	if len(data) != 16 {
		return fmt.Errorf("snapshot of %d bytes", len(data))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = binary.LittleEndian.Uint64(data)
	c.value = binary.LittleEndian.Uint64(data[8:])
	return nil
}

func (c *counter) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries
}

func (c *counter) last() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value
}

// running is a started replica with its state.
type running struct {
	replica *Replica
	machine *counter
}

// host is one replica with its server, restartable on the same address and folder.
type host struct {
	tb       testing.TB
	config   Config
	machine  *counter
	server   *grpc.Server
	replica  *Replica
	listener net.Listener
	running  atomic.Pointer[running] // for other goroutines
}

func (h *host) start() {
	h.tb.Helper()
	var err error
	if h.listener == nil {
		if h.listener, err = h.config.Security.Listen(h.config.Address); err != nil {
			h.tb.Fatal(err)
		}
	}
	h.machine = &counter{}
	h.config.StateMachine = h.machine
	if h.replica, err = Start(h.config); err != nil {
		h.tb.Fatal(err)
	}
	h.server = grpc.NewServer(ServerOptions()...)
	h.replica.Register(h.server)
	go h.server.Serve(h.listener)
	h.running.Store(&running{h.replica, h.machine})
}

func (h *host) stop() {
	if h.replica == nil {
		return
	}
	h.server.Stop()
	h.replica.Stop()
	h.replica, h.listener = nil, nil
}

// newHost returns a host that is not started, on a free loopback port.
func newHost(tb testing.TB, id uint64) *host {
	var security transport.Security
	listener, err := security.Listen("127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	h := &host{tb: tb, listener: listener, config: Config{
		ID: id, Address: listener.Addr().String(), DataDir: tb.TempDir(),
	}}
	tb.Cleanup(h.stop)
	return h
}

// startGroup starts n replicas with ids from 1.
func startGroup(tb testing.TB, n int, adjust func(*Config)) []*host {
	hosts := make([]*host, n)
	peers := map[uint64]string{}
	for i := range hosts {
		hosts[i] = newHost(tb, uint64(i+1))
		peers[uint64(i+1)] = hosts[i].config.Address
	}
	for _, h := range hosts {
		h.config.Peers = peers
		if adjust != nil {
			adjust(&h.config)
		}
		h.start()
	}
	return hosts
}

// testWait bounds what a test waits for.
const testWait = 30 * time.Second

// waitLeader returns the host that leads and is ready.
func waitLeader(tb testing.TB, hosts []*host) *host {
	tb.Helper()
	deadline := time.Now().Add(testWait)
	for time.Now().Before(deadline) {
		for _, h := range hosts {
			if h.replica != nil && h.replica.Status().LeaderReady {
				return h
			}
		}
		time.Sleep(time.Millisecond)
	}
	tb.Fatal("no leader")
	return nil
}

func mustPropose(tb testing.TB, h *host, data []byte) []byte {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	result, err := h.replica.Propose(ctx, data)
	if err != nil {
		tb.Fatal(err)
	}
	return result
}

func mustConfirm(tb testing.TB, h *host) {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	for {
		_, err := h.replica.ConfirmRead(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			tb.Fatal(err)
		}
	}
}

func TestAReplicaAloneKeepsItsStateOverARestart(t *testing.T) {
	h := startGroup(t, 1, nil)[0]
	waitLeader(t, []*host{h})
	for range 10 {
		mustPropose(t, h, []byte("change"))
	}
	h.stop()
	h.start()
	waitLeader(t, []*host{h})
	mustConfirm(t, h)
	if got := h.machine.count(); got != 10 {
		t.Errorf("state after the restart has %d entries, want 10", got)
	}
}

func TestChangesSurviveTheLossOfTheLeader(t *testing.T) {
	hosts := startGroup(t, 3, nil)
	leader := waitLeader(t, hosts)
	for range 5 {
		mustPropose(t, leader, []byte("change"))
	}
	leader.stop()
	next := waitLeader(t, hosts)
	if result := mustPropose(t, next, []byte("change")); binary.LittleEndian.Uint64(result) != 6 {
		t.Errorf("the new leader's state has %v entries, want 6", result)
	}
	leader.start()
	mustConfirm(t, leader)
	if got := leader.machine.count(); got != 6 {
		t.Errorf("the returned replica confirmed a read with %d entries, want 6", got)
	}
}

func TestAFollowerRefusesProposals(t *testing.T) {
	hosts := startGroup(t, 3, nil)
	leader := waitLeader(t, hosts)
	for _, h := range hosts {
		if h == leader {
			continue
		}
		if _, err := h.replica.Propose(context.Background(), nil); !fault.Is(err, fault.NotLeader) {
			t.Errorf("got %v, want not-leader", err)
		}
	}
}

// Guards against a proposal that is accepted and then fits into no message to the others.
func TestTheLargestProposalIsReplicated(t *testing.T) {
	hosts := startGroup(t, 3, nil)
	leader, err := waitLeader(t, hosts), error(nil)
	for deadline := time.Now().Add(testWait); ; leader = waitLeader(t, hosts) {
		// A follower that is slow to take it in may elect another leader.
		_, err = leader.replica.Propose(testContext(t), make([]byte, MaxProposalBytes))
		if err == nil || time.Now().After(deadline) {
			break
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, h := range hosts {
		waitApplied(t, h, 1)
	}
	_, err = leader.replica.Propose(testContext(t), make([]byte, MaxProposalBytes+1))
	if !fault.Is(err, fault.TooLarge) {
		t.Errorf("a larger proposal: %v, want too-large", err)
	}
}
