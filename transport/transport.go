// Package transport opens and accepts the system's own connections.
package transport

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"amaranthpaddle/fault"
)

// Security is the transport security of one process. The zero value is
// plaintext, which is allowed on loopback addresses only unless Insecure is set.
type Security struct {
	Insecure bool // allows plaintext on addresses other than loopback
}

// Listen opens a TCP listener on address (ip:port). It returns
// fault.InvalidArgument when plaintext is not allowed there.
func (s *Security) Listen(address string) (net.Listener, error) {
	if err := s.checkPlaintext(address); err != nil {
		return nil, err
	}
	return net.Listen("tcp", address)
}

// ServerOptions returns the options for a gRPC server of this process.
func (s *Security) ServerOptions() []grpc.ServerOption { return nil }

// Dial returns a client connection to address (ip:port). It connects in the
// background; discovery, balancing and retries of the library stay off.
func (s *Security) Dial(address string, extra ...grpc.DialOption) (*grpc.ClientConn, error) {
	if err := s.checkPlaintext(address); err != nil {
		return nil, err
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithContextDialer(dialTCP),
	}
	return grpc.NewClient("passthrough:///"+address, append(options, extra...)...)
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

func (s *Security) checkPlaintext(address string) error {
	if s.Insecure {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fault.Wrap(fault.InvalidArgument, err, "address")
	}
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return fault.Newf(fault.InvalidArgument, "plaintext on %s needs insecure = true", address)
	}
	return nil
}
