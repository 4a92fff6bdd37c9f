// Command paddle-jobagent runs beside a worker and drives its runs.
package main

import (
	"context"
	"net/http"
	"time"

	"amaranthpaddle/controlclient"
	"amaranthpaddle/daemon"
	"amaranthpaddle/jobagent"
	"amaranthpaddle/limit"
	"amaranthpaddle/platform"
	"amaranthpaddle/settings"
)

const headerTimeout = 5 * time.Second

func main() {
	daemon.Program[settings.JobAgent]{
		Name:        "paddle-jobagent",
		Description: "runs beside a worker and drives its runs",
		Load:        settings.LoadJobAgent,
		Process:     func(s *settings.JobAgent) (string, int) { return s.Name, s.LogLevel },
		Run:         run,
	}.Main()
}

func run(ctx context.Context, s *settings.JobAgent, reloads <-chan *settings.JobAgent) error {
	s.SetRuntime()
	security, err := s.TLS.Security()
	if err != nil {
		return err
	}
	client := controlclient.New(security, s.Seeds)
	defer client.Close()
	transport := security.HTTPTransport()
	transport.MaxIdleConnsPerHost = jobagent.MaxConcurrentCalls + 1
	agent := jobagent.New(jobagent.Config{
		Name: s.Name, Region: s.Region, Worker: platform.NewWorker(transport),
		Control: client, LeaseLimit: s.LeaseLimit,
	})
	agent.Start()
	defer agent.Stop()
	mux := http.NewServeMux()
	platform.RegisterWorkers(mux, agent)
	servers := daemon.Servers{Security: security, Limits: limit.New(s.Limits())}
	servers.Add("worker", s.Listen, limit.MainShare, &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout})
	servers.AddMetrics(s.Metrics, agent.Ready)
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
			servers.Stop(0, s.Grace)
			return nil
		}
	}
}
