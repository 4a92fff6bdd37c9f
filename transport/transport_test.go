package transport

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"

	"amaranthpaddle/fault"
)

// authority signs certificates for one test.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{t: t, cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a certificate for 127.0.0.1 into dir, replacing an earlier one.
func (a *authority) issue(dir, unit string) Files {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "test", OrganizationalUnit: []string{unit}},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := Files{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
	a.write(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	a.write(files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}))
	a.write(files.CA, a.pem)
	return files
}

func (a *authority) write(name string, data []byte) {
	a.t.Helper()
	if err := os.WriteFile(name, data, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

func (a *authority) security(unit string) *Security {
	a.t.Helper()
	s, err := Open(a.issue(a.t.TempDir(), unit))
	if err != nil {
		a.t.Fatal(err)
	}
	return s
}

// serveGRPC serves the health service and returns its address.
func serveGRPC(t *testing.T, s *Security) string {
	t.Helper()
	listener, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(s.ServerOptions()...)
	healthpb.RegisterHealthServer(server, health.NewServer())
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func callGRPC(t *testing.T, s *Security, address string) error {
	t.Helper()
	conn, err := s.Dial(address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err = healthpb.NewHealthClient(conn).Check(ctx, &healthpb.HealthCheckRequest{})
	return err
}

func TestGRPCIsMutual(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	address := serveGRPC(t, ours.security("agent"))
	if err := callGRPC(t, ours.security("entry"), address); err != nil {
		t.Errorf("process refused: %v", err)
	}
	refused := map[string]*Security{
		"another authority":         theirs.security("entry"),
		"an operator's certificate": ours.security(OperatorUnit),
		"plaintext":                 {},
	}
	for name, client := range refused {
		if err := callGRPC(t, client, address); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

func TestChangedFilesAreReadWithoutARestart(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	server, err := Open(first.issue(dir, "agent"))
	if err != nil {
		t.Fatal(err)
	}
	address := serveGRPC(t, server)
	if err := callGRPC(t, first.security("entry"), address); err != nil {
		t.Fatal(err)
	}
	// A half-written replacement keeps the earlier files in force.
	first.write(filepath.Join(dir, "cert.pem"), []byte("not yet whole"))
	if err := callGRPC(t, first.security("entry"), address); err != nil {
		t.Errorf("a damaged replacement stopped the server: %v", err)
	}
	second.issue(dir, "agent")
	if err := callGRPC(t, second.security("entry"), address); err != nil {
		t.Errorf("the new files are not in force: %v", err)
	}
	if err := callGRPC(t, first.security("entry"), address); err == nil {
		t.Error("the replaced authority is still accepted")
	}
}

func TestPlaintextNeedsLoopbackOrInsecure(t *testing.T) {
	plain := &Security{}
	for _, address := range []string{"192.0.2.1:80", "0.0.0.0:0", "[::]:0", "example.org:80", ":80", "80"} {
		if _, err := plain.Listen(address); !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("listen on %s: %v", address, err)
		}
		if _, err := plain.Dial(address); !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("dial %s: %v", address, err)
		}
		if _, err := plain.HTTPTransport().DialContext(context.Background(), "tcp", address); !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("HTTP to %s: %v", address, err)
		}
	}
	conn, err := (&Security{Insecure: true}).Dial("192.0.2.1:80")
	if err != nil {
		t.Fatalf("insecure = true: %v", err)
	}
	conn.Close()
}

func TestOpenNamesTheFileAtFault(t *testing.T) {
	a := newAuthority(t)
	if _, err := Open(Files{CA: a.issue(t.TempDir(), "agent").CA}); !fault.Is(err, fault.InvalidArgument) {
		t.Errorf("without a certificate: %v", err)
	}
	for i := range 3 {
		files := a.issue(t.TempDir(), "agent")
		name := []string{files.Certificate, files.Key, files.CA}[i]
		a.write(name, []byte("damaged"))
		if _, err := Open(files); !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("damaged %s: %v", filepath.Base(name), err)
		}
		if err := os.Remove(name); err != nil {
			t.Fatal(err)
		}
		if _, err := Open(files); !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("missing %s: %v", filepath.Base(name), err)
		}
	}
}

// serveHTTP serves one page for operators and returns its URL.
func serveHTTP(t *testing.T, s *Security, operators *Operators) string {
	t.Helper()
	listener, err := s.ListenHTTP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	page := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "page") })
	server := &http.Server{Handler: operators.Require(page)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return s.Scheme() + "://" + listener.Addr().String() + "/"
}

func get(t *testing.T, s *Security, url, token string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	roundTripper := s.HTTPTransport()
	defer roundTripper.CloseIdleConnections()
	response, err := (&http.Client{Transport: roundTripper}).Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func TestOperatorCallsNeedATokenOrAnOperatorsCertificate(t *testing.T) {
	const token, rotated = "0123456789abcdef", "fedcba9876543210-new"
	a := newAuthority(t)
	file := filepath.Join(t.TempDir(), "tokens")
	a.write(file, []byte(token+"\n"))
	operators, err := OpenOperators(file)
	if err != nil {
		t.Fatal(err)
	}
	plain := &Security{}
	plainURL := serveHTTP(t, plain, operators)
	tlsURL := serveHTTP(t, a.security("control"), operators)
	check := func(name string, want, got int) {
		t.Helper()
		if got != want {
			t.Errorf("%s: status %d, want %d", name, got, want)
		}
	}
	check("no credential", 401, get(t, plain, plainURL, ""))
	check("wrong token", 401, get(t, plain, plainURL, "0123456789abcdee"))
	check("token", 200, get(t, plain, plainURL, token))
	check("operator's certificate", 200, get(t, a.security(OperatorUnit), tlsURL, ""))
	tokenOnly, err := OpenClient(a.issue(t.TempDir(), "unused").CA)
	if err != nil {
		t.Fatal(err)
	}
	check("token over TLS", 200, get(t, tokenOnly, tlsURL, token))
	check("no credential over TLS", 401, get(t, tokenOnly, tlsURL, ""))
	check("process's certificate", 403, get(t, a.security("agent"), tlsURL, ""))
	check("process's certificate with token", 200, get(t, a.security("agent"), tlsURL, token))
	check("another authority's certificate", 0, get(t, newAuthority(t).security(OperatorUnit), tlsURL, token))
	a.write(file, []byte(rotated+"\n"))
	check("new token", 200, get(t, plain, plainURL, rotated))
	check("old token", 401, get(t, plain, plainURL, token))
	a.write(file, []byte("short\n"))
	check("token while the file is damaged", 200, get(t, plain, plainURL, rotated))
	closed := serveHTTP(t, plain, &Operators{})
	check("no tokens configured", 401, get(t, plain, closed, token))
}

func TestTokenFileMustHoldTokens(t *testing.T) {
	file := filepath.Join(t.TempDir(), "tokens")
	for _, text := range []string{"", "\n \n", "short"} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := OpenOperators(file); !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// panicking answers health checks by a panic, but for the service "sound".
type panicking struct {
	healthpb.UnimplementedHealthServer
}

func (panicking) Check(_ context.Context, request *healthpb.HealthCheckRequest) (*healthpb.HealthCheckResponse, error) {
	if request.Service != "sound" {
		panic("malformed")
	}
	return &healthpb.HealthCheckResponse{}, nil
}

func (panicking) Watch(*healthpb.HealthCheckRequest, healthpb.Health_WatchServer) error {
	panic("malformed")
}

// Failure: a panic in one handler, such as by a malformed message, ended the whole
// process.
func TestAPanicEndsOneCallAlone(t *testing.T) {
	s := &Security{}
	listener, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(append(s.ServerOptions(), RecoverPanics()...)...)
	healthpb.RegisterHealthServer(server, panicking{})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	conn, err := s.Dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	client := healthpb.NewHealthClient(conn)
	if _, err := client.Check(ctx, &healthpb.HealthCheckRequest{}); !fault.Is(fault.FromStatus(err), fault.Internal) {
		t.Errorf("a unary call: %v", err)
	}
	stream, err := client.Watch(ctx, &healthpb.HealthCheckRequest{})
	if err == nil {
		_, err = stream.Recv()
	}
	if !fault.Is(fault.FromStatus(err), fault.Internal) {
		t.Errorf("a stream: %v", err)
	}
	if _, err := client.Check(ctx, &healthpb.HealthCheckRequest{Service: "sound"}); err != nil {
		t.Errorf("the next call: %v", err)
	}
}
