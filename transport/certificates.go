package transport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"amaranthpaddle/fault"
)

// OperatorUnit is the organizational unit in the subject of an operator's
// certificate. Certificates without it belong to the system's processes.
const OperatorUnit = "operator"

// certificates holds the certificate, key and authorities of one process and
// reads them again when a file changes.
type certificates struct {
	files Files

	mu        sync.Mutex
	stamps    [3]fileStamp
	leaf      []tls.Certificate // none for a client without a certificate
	authority *x509.CertPool
}

// fileStamp changes when a file is replaced or rewritten.
type fileStamp struct {
	modified int64 // nanoseconds since 1970
	size     int64
}

func openCertificates(files Files) (*certificates, error) {
	c := &certificates{files: files}
	stamps, err := c.readStamps()
	if err != nil {
		return nil, err
	}
	if err := c.load(stamps); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *certificates) readStamps() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, name := range []string{c.files.Certificate, c.files.Key, c.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, fault.Wrap(fault.InvalidArgument, err, "TLS file")
		}
		stamps[i] = fileStamp{modified: info.ModTime().UnixNano(), size: info.Size()}
	}
	return stamps, nil
}

// load reads the files. On an error c keeps what it had.
func (c *certificates) load(stamps [3]fileStamp) error {
	leaf := []tls.Certificate{}
	if c.files.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
		if err != nil {
			return fault.Wrap(fault.InvalidArgument, err, "TLS certificate and key")
		}
		leaf = append(leaf, pair)
	}
	data, err := os.ReadFile(c.files.CA)
	if err != nil {
		return fault.Wrap(fault.InvalidArgument, err, "TLS authorities")
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(data) {
		return fault.Newf(fault.InvalidArgument, "TLS authorities: %s holds no certificate", c.files.CA)
	}
	c.leaf, c.authority, c.stamps = leaf, authority, stamps
	return nil
}

// current returns the certificate and authorities, read again if a file
// changed. While the changed files can't be used, the earlier ones stay in
// force: an operator may be replacing them one after the other.
func (c *certificates) current() ([]tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	stamps, err := c.readStamps()
	if err == nil && stamps != c.stamps {
		err = c.load(stamps)
		if err == nil {
			klog.InfoS("TLS files read again", "certificate", c.files.Certificate)
		}
	}
	if err != nil {
		klog.ErrorS(err, "TLS files can't be read, keeping the earlier ones")
	}
	return c.leaf, c.authority
}

// processServer returns the configuration of a listener for the system's processes.
func (c *certificates) processServer() *tls.Config {
	leaf, authority := c.current()
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		Certificates:     leaf,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ClientCAs:        authority,
		VerifyConnection: requireProcess,
	}
}

// openServer returns the configuration of a listener for callers and operators,
// which may do without a client certificate.
func (c *certificates) openServer() *tls.Config {
	leaf, authority := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: leaf,
		ClientAuth:   tls.VerifyClientCertIfGiven,
		ClientCAs:    authority,
		NextProtos:   []string{"h2", "http/1.1"},
	}
}

// client returns the configuration of a connection to host, an IP address or name.
func (c *certificates) client(host string) *tls.Config {
	leaf, authority := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: leaf,
		RootCAs:      authority,
		ServerName:   host,

		VerifyConnection: requireProcess,
	}
}

// requireProcess refuses operators' certificates where a process must stand at the other end.
func requireProcess(state tls.ConnectionState) error {
	if isOperator(state) {
		return fault.New(fault.Forbidden, "the peer shows an operator's certificate in place of a process's")
	}
	return nil
}

// isOperator reports whether the peer showed a verified operator's certificate.
func isOperator(state tls.ConnectionState) bool {
	if len(state.VerifiedChains) == 0 || len(state.PeerCertificates) == 0 {
		return false
	}
	return slices.Contains(state.PeerCertificates[0].Subject.OrganizationalUnit, OperatorUnit)
}
