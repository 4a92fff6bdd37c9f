// Package controlclient calls the leader of the control group, wherever it is.
package controlclient

import (
	"context"
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

const (
	attemptTimeout = 1 * time.Second
	retryDelay     = 50 * time.Millisecond
)

// Client keeps one connection per control replica. It is safe for concurrent use.
type Client struct {
	security  *transport.Security
	addresses []string

	mu          sync.Mutex
	connections map[string]*grpc.ClientConn
	leader      string // address that answered last
	next        int    // index into addresses to try when no leader is known
}

// New returns a client of the control group with the replicas' addresses (ip:port).
func New(security *transport.Security, addresses []string) *Client {
	return &Client{security: security, addresses: addresses, connections: map[string]*grpc.ClientConn{}}
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
	for {
		err := c.tryOnce(ctx, call)
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

func (c *Client) tryOnce(ctx context.Context, call func(context.Context, api.ControlClient, ...grpc.CallOption) error) error {
	address := c.target()
	connection, err := c.connection(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var trailer metadata.MD
	err = fault.FromStatus(call(ctx, api.NewControlClient(connection), grpc.Trailer(&trailer)))
	c.note(address, trailer, err)
	return err
}

func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	c.next++
	return c.addresses[c.next%len(c.addresses)]
}

// note remembers who leads, or that the address did not.
func (c *Client) note(address string, trailer metadata.MD, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.leader = address
		return
	}
	if !mayTryElsewhere(err) {
		return
	}
	c.leader = ""
	if named := trailer.Get(LeaderTrailer); len(named) > 0 && named[0] != address {
		c.leader = named[0]
	}
}

func (c *Client) connection(address string) (*grpc.ClientConn, error) {
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
