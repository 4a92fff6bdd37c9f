// Package controlclient calls the leader of the control group, wherever it is.
package controlclient

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/timing"
	"amaranthpaddle/transport"
)

// LeaderTrailer is the gRPC trailer in which a replica that does not lead names
// the leader's address (ip:port), when it knows it.
const LeaderTrailer = "paddle-leader"

// LostLeaderHeader is the gRPC header in which an agent names the address (ip:port) of
// the leader whose session it has lost.
const LostLeaderHeader = "paddle-lost-leader"

const (
	attemptTimeout = 1 * time.Second
	retryDelay     = 50 * time.Millisecond
	silentPause    = 2 * time.Second // before a replica that gave no answer is tried again while others answer; two attempts
)

// Client keeps one connection per control replica. It is safe for concurrent use.
type Client struct {
	security  *transport.Security
	addresses []string

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
	answered    map[string]time.Time // when an address last answered anything
	silent      map[string]time.Time // when an address last gave no answer, unless it has answered since
	leader      string               // address that answered last
	next        int                  // index into addresses to try when no leader is known
}

// New returns a client of the control group with the replicas' addresses (ip:port).
func New(security *transport.Security, addresses []string) *Client {
	return &Client{security: security, addresses: addresses, connections: map[string]*grpc.ClientConn{},
		answered: map[string]time.Time{}, silent: map[string]time.Time{}}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.connections {
		connection.Close()
	}
	clear(c.connections)
}

// Call makes an idempotent call at the leader, again at other replicas while it
// fails for want of a leader, until ctx ends. The last error is returned.
func (c *Client) Call(ctx context.Context, call func(context.Context, api.ControlClient, ...grpc.CallOption) error) error {
	return c.Do(ctx, func(ctx context.Context, connection *grpc.ClientConn, options ...grpc.CallOption) error {
		return call(ctx, api.NewControlClient(connection), options...)
	})
}

// NotAttempted is returned by a call that Do was given when it sent nothing. Do
// then ends with its cause, and what the client knows of the leader stays.
type NotAttempted struct{ Cause error }

func (e *NotAttempted) Error() string { return e.Cause.Error() }

// Do makes an idempotent call as Call does, over a connection to the leader.
func (c *Client) Do(ctx context.Context, call func(context.Context, *grpc.ClientConn, ...grpc.CallOption) error) error {
	for {
		err := c.tryOnce(ctx, call)
		if skipped, ok := err.(*NotAttempted); ok {
			return skipped.Cause
		}
		if err == nil || !mayTryElsewhere(err) {
			return err
		}
		if !timing.Sleep(ctx, retryDelay) {
			return err
		}
	}
}

// Claim asks for the right to run the request of an idempotency key. A claim of
// the same attempt is granted again.
func (c *Client) Claim(ctx context.Context, request *api.ClaimRequest) (*api.ClaimResponse, error) {
	var response *api.ClaimResponse
	err := c.Call(ctx, func(ctx context.Context, control api.ControlClient, options ...grpc.CallOption) (err error) {
		response, err = control.Claim(ctx, request, options...)
		return err
	})
	return response, err
}

// Report hands in an entry's counts. A report sent again counts once.
func (c *Client) Report(ctx context.Context, request *api.EntryReport) (*api.EntryReportAck, error) {
	var response *api.EntryReportAck
	err := c.Call(ctx, func(ctx context.Context, control api.ControlClient, options ...grpc.CallOption) (err error) {
		response, err = control.Report(ctx, request, options...)
		return err
	})
	return response, err
}

func mayTryElsewhere(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader, fault.NoQuorum, fault.ConnectionLost, fault.CommitUnknown, fault.DeadlineUnknown:
		return true
	}
	return false
}

func (c *Client) tryOnce(ctx context.Context, call func(context.Context, *grpc.ClientConn, ...grpc.CallOption) error) error {
	address := c.Target()
	connection, err := c.Connection(address)
	if err != nil {
		return err
	}
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var trailer metadata.MD
	err = call(attempt, connection, grpc.Trailer(&trailer))
	if _, ok := err.(*NotAttempted); ok {
		return err
	}
	err = fault.FromStatus(err)
	c.Note(address, trailer, err)
	return err
}

// Target returns the address to call next: that of the leader, when it is
// known, or the next one of the replicas, without those that gave no answer within
// silentPause unless all did.
func (c *Client) Target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	for range c.addresses {
		c.next++
		address := c.addresses[c.next%len(c.addresses)]
		if since, silent := c.silent[address]; !silent || time.Since(since) >= silentPause {
			return address
		}
	}
	c.next++
	return c.addresses[c.next%len(c.addresses)]
}

// Leader returns the address of the leader as far as it is known, empty otherwise.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// SetAddresses replaces the addresses (ip:port) of the replicas; an empty list
// changes nothing. Connections to other addresses are closed.
func (c *Client) SetAddresses(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = slices.Clone(addresses)
	if !slices.Contains(addresses, c.leader) {
		c.leader = ""
	}
	for address := range c.connections {
		if !slices.Contains(addresses, address) {
			c.dropLocked(address)
		}
	}
}

// Addresses returns the addresses (ip:port) of the replicas, and the leader's
// where it is known and not among them.
func (c *Client) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := slices.Clone(c.addresses)
	if c.leader != "" && !slices.Contains(addresses, c.leader) {
		addresses = append(addresses, c.leader)
	}
	return addresses
}

// AddAddresses adds addresses (ip:port) of replicas that may be asked.
func (c *Client) AddAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		if !slices.Contains(c.addresses, address) {
			c.addresses = append(c.addresses, address)
		}
	}
}

func (c *Client) dropLocked(address string) {
	if connection := c.connections[address]; connection != nil {
		connection.Close()
		delete(c.connections, address)
	}
}

// Note remembers who leads, or that the address did not. A connection that gave
// no answer in time is closed: it may have gone silent while a new one works.
func (c *Client) Note(address string, trailer metadata.MD, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := fault.Is(err, fault.DeadlineUnknown) || fault.Is(err, fault.ConnectionLost)
	if silent {
		c.silent[address] = time.Now()
	} else {
		c.answered[address] = time.Now()
		delete(c.silent, address)
	}
	if err == nil {
		c.leader = address
		return
	}
	if !mayTryElsewhere(err) {
		return
	}
	if silent && time.Since(c.answered[address]) >= attemptTimeout {
		c.dropLocked(address)
	}
	c.leader = ""
	if named := trailer.Get(LeaderTrailer); len(named) > 0 && named[0] != address {
		c.leader = named[0]
	}
}

// Connection returns the connection to an address, which it opens when there is none.
func (c *Client) Connection(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection, known := c.connections[address]; known {
		return connection, nil
	}
	connection, err := c.security.Dial(address)
	if err != nil {
		return nil, err
	}
	c.connections[address] = connection
	return connection, nil
}
