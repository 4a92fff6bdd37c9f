package delivery

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

// Limits and timeouts of an agent's gRPC server.
const (
	maxMessageBytes  = 4 << 20 // size of one received message, in bytes
	streamWindow     = 1 << 20 // flow-control window of one stream, in bytes
	connectionWindow = 4 << 20 // flow-control window of one connection, in bytes
	maxStreams       = 2048    // concurrent streams on one connection
	keepaliveIdle    = 20 * time.Second
	keepaliveTimeout = 10 * time.Second
	minPingInterval  = 5 * time.Second
)

// ServerOptions returns options for the gRPC server that a Delivery is
// registered with: a message size limit, flow-control windows large enough for
// a link between regions, and keepalive pings that close dead connections.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.InitialWindowSize(streamWindow),
		grpc.InitialConnWindowSize(connectionWindow),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveIdle, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
	}
}
