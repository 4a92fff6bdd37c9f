package daemon

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/fault"
	"amaranthpaddle/limit"
	"amaranthpaddle/telemetry"
	"amaranthpaddle/transport"
)

// Servers are the HTTP servers of one process.
type Servers struct {
	Security *transport.Security
	Limits   *limit.Process
	list     []namedServer
	failed   transport.ServerErrors
}

type namedServer struct {
	name    string
	address string
	share   float64
	server  *http.Server
}

// Add adds a server for an address (ip:port), with a share of the connections of the
// process.
func (s *Servers) Add(name, address string, share float64, server *http.Server) {
	s.list = append(s.list, namedServer{name, address, share, server})
}

// AddMetrics adds a server of metrics, unless the address is empty.
func (s *Servers) AddMetrics(address string, ready func() error, gauges ...telemetry.Gauges) {
	if address != "" {
		gauges = append(gauges, s.Limits.WriteMetrics)
		s.Add("metrics", address, limit.ProbeShare, &http.Server{Handler: telemetry.Mux(ready, gauges...)})
	}
}

// Start opens all listeners and serves them. Error: fault.InvalidArgument when
// one can't be opened.
func (s *Servers) Start() error {
	s.failed = transport.NewServerErrors()
	for i, named := range s.list {
		listener, err := s.Security.Listen(named.address)
		if err != nil {
			for _, opened := range s.list[:i] {
				opened.server.Close()
			}
			return fault.Wrap(fault.InvalidArgument, err, "listen for "+named.name)
		}
		listener = s.Security.HTTPListener(s.Limits.HTTP(listener, named.name, named.share, named.server))
		go s.failed.Serve(named.name, listener, named.server.Serve)
		klog.InfoS("Listening", "server", named.name, "address", named.address)
	}
	return nil
}

// Failed returns a channel that receives an error when a listener has ended by itself.
// The process should end then, so that it is started again.
func (s *Servers) Failed() <-chan error { return s.failed }

// Stop serves on for the notice, then takes no new connections and lets what is
// in progress end, and returns within the limit.
func (s *Servers) Stop(notice, limit time.Duration) {
	time.Sleep(notice)
	ctx, cancel := context.WithTimeout(context.Background(), limit-notice)
	defer cancel()
	for _, named := range s.list {
		if err := named.server.Shutdown(ctx); err != nil {
			klog.InfoS("Requests were cut", "server", named.name, "error", err)
			named.server.Close()
		}
	}
}
