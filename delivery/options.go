package delivery

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

// Bounds of an agent's gRPC server.
const (
	maxMessageBytes  = 4 << 20 // bytes of one message
	streamWindow     = 1 << 20 // bytes in flight of one stream
	connectionWindow = 4 << 20 // bytes in flight of one connection
	maxStreams       = 2048    // on one connection
	keepaliveIdle    = 20 * time.Second
	keepaliveTimeout = 10 * time.Second
	minPingInterval  = 5 * time.Second
)

// ServerOptions returns options for the gRPC server that a Delivery is
// registered with: bounded messages, windows wide enough for a link between
// regions, and an end to connections that went silent.
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
