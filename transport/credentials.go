package transport

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
)

// reloadingCredentials makes each gRPC handshake with the files as they are then.
type reloadingCredentials struct {
	certificates *certificates
}

func (r *reloadingCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	host, _, err := net.SplitHostPort(authority)
	if err != nil {
		host = authority
	}
	return credentials.NewTLS(r.certificates.client(host)).ClientHandshake(ctx, authority, conn)
}

func (r *reloadingCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(r.certificates.processServer()).ServerHandshake(conn)
}

func (r *reloadingCredentials) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

func (r *reloadingCredentials) Clone() credentials.TransportCredentials {
	return &reloadingCredentials{certificates: r.certificates}
}

// OverrideServerName is part of credentials.TransportCredentials; names are
// always those that were dialled.
func (r *reloadingCredentials) OverrideServerName(string) error { return nil }
