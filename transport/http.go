package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// Bounds of HTTP connections.
const (
	idleTimeout         = 90 * time.Second
	tlsHandshakeTimeout = 5 * time.Second
	maxIdlePerHost      = 8
)

// ListenHTTP opens a listener on address (ip:port) for an http.Server. Under
// TLS, clients may show a certificate, which is verified when they do.
func (s *Security) ListenHTTP(address string) (net.Listener, error) {
	listener, err := s.Listen(address)
	if err != nil {
		return nil, err
	}
	return s.HTTPListener(listener), nil
}

// HTTPListener returns a listener for an http.Server on one of Listen, as ListenHTTP does.
func (s *Security) HTTPListener(listener net.Listener) net.Listener {
	if !s.TLS() {
		return listener
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.certificates.openServer(), nil
		},
	}
	return tls.NewListener(listener, config)
}

// HTTPTransport returns a round tripper for URLs of Scheme with an IP address
// and port as their host. It uses no proxy.
func (s *Security) HTTPTransport() *http.Transport {
	return &http.Transport{
		DialContext:         s.dialHTTP,
		DialTLSContext:      s.dialHTTPS,
		TLSHandshakeTimeout: tlsHandshakeTimeout,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
	}
}

func (s *Security) dialHTTP(ctx context.Context, _, address string) (net.Conn, error) {
	if err := (&Security{Insecure: s.Insecure}).checkPlaintext(address); err != nil {
		return nil, err
	}
	return dialTCP(ctx, address)
}

func (s *Security) dialHTTPS(ctx context.Context, _, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: host}
	if s.TLS() {
		config = s.certificates.client(host)
	}
	conn, err := dialTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}
