// Command paddle-agent runs beside a worker and its backend servers: it
// announces them, delivers requests to them and drives the VM's tasks.
package main

import (
	"context"
	"time"

	"amaranthpaddle/agent"
	"amaranthpaddle/api"
	"amaranthpaddle/daemon"
	"amaranthpaddle/settings"
)

// stopTimeout bounds a planned stop; requests' deadlines end earlier.
const stopTimeout = 16 * time.Minute

func main() {
	daemon.Program[settings.Agent]{
		Name:        "paddle-agent",
		Description: "runs beside a worker and its backend servers",
		Load:        settings.LoadAgent,
		Process:     func(s *settings.Agent) (string, int) { return s.Name, s.LogLevel },
		Run:         run,
	}.Main()
}

func run(ctx context.Context, s *settings.Agent, _ <-chan *settings.Agent) error {
	security, err := s.TLS.Security()
	if err != nil {
		return err
	}
	started, err := agent.Start(agent.Config{
		VM: &api.VM{
			Id: s.Name, Zone: s.Zone, Region: s.Region, Rack: s.Rack,
			Capacity: &api.Resources{
				MilliCpu:     s.Capacity.MilliCPU,
				MemoryMib:    s.Capacity.MemoryMiB,
				Accelerators: s.Capacity.Accelerators,
			},
		},
		ControlAddresses: s.Control,
		ListenAddress:    s.Entries,
		LocalAddress:     s.Local,
		WorkerURL:        s.Worker,
		DataDir:          s.BodyFolder,
		Security:         security,
	})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err := <-started.Failed():
		started.Kill()
		return err
	}
	stopping, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return started.Stop(stopping)
}
