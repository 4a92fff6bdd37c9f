package transport

import (
	"net"
	"net/http"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"amaranthpaddle/fault"
)

// ServerErrors receives why a server has ended by itself. Its process should end then, so
// that it is started again.
type ServerErrors chan error

// NewServerErrors returns a channel that keeps the first error.
func NewServerErrors() ServerErrors { return make(ServerErrors, 1) }

// Serve runs an HTTP or gRPC server on a listener until it is stopped. If it ends by
// itself, the channel receives a fault.Internal.
func (e ServerErrors) Serve(name string, listener net.Listener, serve func(net.Listener) error) {
	err := serve(listener)
	if err == nil || err == http.ErrServerClosed || errors.Is(err, grpc.ErrServerStopped) {
		return
	}
	klog.ErrorS(err, "Listener ended", "server", name, "address", listener.Addr().String())
	select {
	case e <- fault.Wrap(fault.Internal, err, "listener for "+name):
	default:
	}
}
