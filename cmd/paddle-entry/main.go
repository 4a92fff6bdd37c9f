// Command paddle-entry takes callers' HTTP requests and passes them to backend servers.
package main

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/daemon"
	"amaranthpaddle/entry"
	"amaranthpaddle/fault"
	"amaranthpaddle/settings"
	"amaranthpaddle/telemetry"
	"amaranthpaddle/transport"
)

const (
	stopTimeout       = 16 * time.Minute // of a planned stop; callers' deadlines end earlier
	readHeaderTimeout = 5 * time.Second
)

func main() {
	daemon.Program[settings.Entry]{
		Name:        "paddle-entry",
		Description: "takes callers' HTTP requests and passes them to backend servers",
		Load:        settings.LoadEntry,
		Process:     func(s *settings.Entry) (string, int) { return s.Name, s.LogLevel },
		Run:         run,
	}.Main()
}

func run(ctx context.Context, s *settings.Entry, _ <-chan *settings.Entry) error {
	security, err := s.TLS.Security()
	if err != nil {
		return err
	}
	e, err := entry.New(entry.Config{
		Name:        s.Name,
		Control:     s.Control,
		Listen:      s.Callers,
		Security:    security,
		Zone:        s.Zone,
		Region:      s.Region,
		Connections: s.Connections,
		QueueTime:   s.QueueTime,
		MaxRequests: s.MaxRequests,
		MaxBody:     s.MaxBodyBytes,
		BlobDir:     s.BodyFolder,
		BlobBytes:   s.BodyBytes,
		LinkRate:    s.LinkRate,
		DrainNotice: s.DrainNotice,
	})
	if err != nil {
		return err
	}
	failed := transport.NewServerErrors()
	stopMetrics, err := serveMetrics(s.Metrics, security, e, failed)
	if err != nil {
		return err
	}
	defer stopMetrics()
	if err := e.Start(); err != nil {
		return err
	}
	klog.InfoS("Entry serves callers", "address", e.Address().String(), "zone", s.Zone)
	select {
	case <-ctx.Done():
	case err := <-e.Failed():
		return err
	case err := <-failed:
		return err
	}
	stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return e.Stop(stopping)
}

// serveMetrics serves /metrics, /healthz and /readyz at address, if there is one.
func serveMetrics(address string, security *transport.Security, e *entry.Entry, failed transport.ServerErrors) (stop func(), err error) {
	if address == "" {
		return func() {}, nil
	}
	listener, err := security.ListenHTTP(address)
	if err != nil {
		return nil, fault.Wrap(fault.InvalidArgument, err, "metrics address")
	}
	ready := func() error {
		if e.Ready() {
			return nil
		}
		return fault.New(fault.Draining, "no confirmed configuration yet, or stopping")
	}
	server := &http.Server{Handler: telemetry.Mux(ready), ReadHeaderTimeout: readHeaderTimeout}
	go failed.Serve("metrics", listener, server.Serve)
	return func() { server.Close() }, nil
}
