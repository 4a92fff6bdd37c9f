// Command paddle-jobentry takes callers' jobs on an entry VM and carries them to
// the control group.
package main

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/controlclient"
	"amaranthpaddle/daemon"
	"amaranthpaddle/jobentry"
	"amaranthpaddle/limit"
	"amaranthpaddle/platform"
	"amaranthpaddle/settings"
)

const (
	headerTimeout = 3 * time.Second  // of a caller that is slow to send
	idleTimeout   = 30 * time.Second // of a connection between requests
	// drainPart of the grace passes before the listeners end, so that the
	// balancer has noticed and callers have moved on.
	drainPart = 0.6
)

func main() {
	daemon.Program[settings.JobEntry]{
		Name:        "paddle-jobentry",
		Description: "takes callers' jobs and carries them to the control group",
		Load:        settings.LoadJobEntry,
		Process:     func(s *settings.JobEntry) (string, int) { return s.Name, s.LogLevel },
		Run:         run,
	}.Main()
}

func run(ctx context.Context, s *settings.JobEntry, reloads <-chan *settings.JobEntry) error {
	s.SetRuntime()
	security, err := s.TLS.Security()
	if err != nil {
		return err
	}
	client := controlclient.New(security, s.Seeds)
	defer client.Close()
	gateway := jobentry.New(client, jobentry.Options{RefuseWithoutLeader: s.RefuseWithoutLeader, Zone: s.Zone})
	gateway.Start()
	defer gateway.Stop()
	servers := daemon.Servers{Security: security, Limits: limit.New(s.Limits())}
	servers.Add("callers", s.Callers, limit.MainShare, &http.Server{
		Handler: platform.CallersHandler(gateway), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	})
	servers.Add("readiness", s.Readiness, limit.ProbeShare, &http.Server{Handler: platform.ReadyHandler(gateway.Ready)})
	servers.AddMetrics(s.Metrics, gateway.Ready)
	if err := servers.Start(); err != nil {
		return err
	}
	for {
		select {
		case changed := <-reloads:
			client.AddAddresses(changed.Seeds)
		case err := <-servers.Failed():
			return err
		case <-ctx.Done():
			gateway.Drain()
			klog.InfoS("Entry drains", "grace", s.Grace)
			servers.Stop(time.Duration(drainPart*float64(s.Grace)), s.Grace)
			return nil
		}
	}
}
