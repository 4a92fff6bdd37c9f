package transport

import (
	"context"
	"runtime/debug"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"amaranthpaddle/fault"
)

// RecoverPanics returns options for a gRPC server under which a panic in a handler
// ends that call alone, with fault.Internal. The handlers of the server must release
// their locks by defer, and leave nothing that other calls depend on half changed.
func RecoverPanics() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (answer any, err error) {
			defer func() { recoverCall(info.FullMethod, recover(), &err) }()
			return handler(ctx, request)
		}),
		grpc.ChainStreamInterceptor(func(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
			defer func() { recoverCall(info.FullMethod, recover(), &err) }()
			return handler(server, stream)
		}),
	}
}

// recoverCall turns a panic into the call's error. panicked is nil for none.
func recoverCall(method string, panicked any, err *error) {
	if panicked == nil {
		return
	}
	*err = fault.ToStatus(LogPanic(method, panicked))
}

// LogPanic logs a recovered panic with its stack, and returns it as fault.Internal.
func LogPanic(where string, panicked any) error {
	err := fault.Newf(fault.Internal, "panic: %v", panicked)
	klog.ErrorS(err, "Call ended by a panic", "where", where, "stack", string(debug.Stack()))
	return err
}
