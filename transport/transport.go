// Package transport opens and accepts the system's own connections, in
// plaintext on loopback or under TLS, and authenticates operators.
package transport

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"amaranthpaddle/fault"
)

// dialTimeout bounds the opening of one TCP connection.
const dialTimeout = 5 * time.Second

// Security is the transport security of one process. The zero value is
// plaintext, which is allowed on loopback addresses only unless Insecure is
// set. Open returns one with TLS.
type Security struct {
	Insecure bool // allows plaintext on addresses other than loopback

	certificates *certificates // nil for plaintext
}

// Files names the PEM files of one process.
type Files struct {
	Certificate string // certificate chain of this process, leaf first
	Key         string // its private key
	CA          string // certificate authorities that sign the certificates of the system and its operators
}

// Open returns TLS security with the given files, which are read again when
// they change. It returns fault.InvalidArgument when one can't be used.
func Open(files Files) (*Security, error) {
	if files.Certificate == "" || files.Key == "" || files.CA == "" {
		return nil, fault.New(fault.InvalidArgument, "TLS needs certificate, key and authorities")
	}
	loaded, err := openCertificates(files)
	if err != nil {
		return nil, err
	}
	return &Security{certificates: loaded}, nil
}

// OpenClient returns TLS security for a process that only dials, with the
// certificate authorities in the file ca and without a certificate of its own.
func OpenClient(ca string) (*Security, error) {
	loaded, err := openCertificates(Files{CA: ca})
	if err != nil {
		return nil, err
	}
	return &Security{certificates: loaded}, nil
}

// TLS reports whether connections are encrypted.
func (s *Security) TLS() bool { return s.certificates != nil }

// Scheme returns the URL scheme of this security, "http" or "https".
func (s *Security) Scheme() string {
	if s.TLS() {
		return "https"
	}
	return "http"
}

// Listen opens a TCP listener on address (ip:port) for a gRPC server with
// ServerOptions. It returns fault.InvalidArgument when plaintext is not allowed there.
func (s *Security) Listen(address string) (net.Listener, error) {
	if err := s.checkPlaintext(address); err != nil {
		return nil, err
	}
	return net.Listen("tcp", address)
}

// ServerOptions returns the options for a gRPC server of this process. Under
// TLS it accepts only clients with a process certificate.
func (s *Security) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.Creds(s.grpcCredentials()),
		grpc.StaticStreamWindowSize(streamWindow),
		grpc.StaticConnWindowSize(connectionWindow),
	}
}

// Flow control windows in bytes. Fixed ones keep the library from sending a
// ping with each small message to estimate the bandwidth. They exceed what
// 30 Mbit/s over 24 ms there and back can have under way.
const (
	streamWindow     = 1 << 20
	connectionWindow = 2 << 20
)

// connectParams keeps a peer that accepts connections and never answers, such as
// a frozen process, from holding up calls for the library's default of 20 s.
var connectParams = grpc.ConnectParams{
	Backoff: backoff.Config{
		BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second,
	},
	MinConnectTimeout: 2 * time.Second,
}

// Dial returns a client connection to address (ip:port). It connects in the
// background; discovery, balancing and retries of the library stay off.
func (s *Security) Dial(address string, extra ...grpc.DialOption) (*grpc.ClientConn, error) {
	if err := s.checkPlaintext(address); err != nil {
		return nil, err
	}
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(s.grpcCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithConnectParams(connectParams),
		grpc.WithContextDialer(dialTCP),
		grpc.WithStaticStreamWindowSize(streamWindow),
		grpc.WithStaticConnWindowSize(connectionWindow),
	}
	return grpc.NewClient("passthrough:///"+address, append(options, extra...)...)
}

func (s *Security) grpcCredentials() credentials.TransportCredentials {
	if !s.TLS() {
		return insecure.NewCredentials()
	}
	return &reloadingCredentials{certificates: s.certificates}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

func (s *Security) checkPlaintext(address string) error {
	if s.Insecure || s.TLS() {
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
