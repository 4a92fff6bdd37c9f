// Command paddle-jobcontrol runs one control replica of submitted jobs.
package main

import (
	"context"
	"net/http"
	"time"

	"amaranthpaddle/controlclient"
	"amaranthpaddle/daemon"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/jobcontrol"
	"amaranthpaddle/jobnode"
	"amaranthpaddle/limit"
	"amaranthpaddle/operatorapi"
	"amaranthpaddle/platform"
	"amaranthpaddle/settings"
	"amaranthpaddle/telemetry"
	"amaranthpaddle/transport"
)

const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 10 * time.Second // of a request to the listener of metrics
	// stopPart of the grace is for the hand-over of the leadership and of the seat in
	// the group, the rest for the orders in progress.
	stopPart = 0.5
	// endedGrace is for the orders in progress at a replica that has ended, which
	// starts again at once.
	endedGrace = 500 * time.Millisecond
)

func main() {
	daemon.Program[settings.JobControl]{
		Name:        "paddle-jobcontrol",
		Description: "runs one control replica of submitted jobs",
		Load:        settings.LoadJobControl,
		Process:     func(s *settings.JobControl) (string, int) { return s.Name, s.LogLevel },
		Run:         run,
	}.Main()
}

func run(ctx context.Context, s *settings.JobControl, reloads <-chan *settings.JobControl) error {
	s.SetRuntime()
	security, err := s.TLS.Security()
	if err != nil {
		return err
	}
	client := controlclient.New(security, s.Seeds)
	defer client.Close()
	return jobnode.Supervise(ctx, s.DataFolder, s.FirstStart, func(firstStart bool) error {
		s.FirstStart = firstStart
		return runReplica(ctx, s, reloads, security, client)
	})
}

// runReplica runs a replica until ctx ends, or with jobnode.EndedError until it ends
// its part in the group.
func runReplica(ctx context.Context, s *settings.JobControl, reloads <-chan *settings.JobControl,
	security *transport.Security, client *controlclient.Client) error {
	limits := limit.New(s.Limits())
	control, err := jobnode.StartControl(jobnode.Config{
		Address: s.Advertised, Listen: s.Listen, Seeds: s.Seeds, FirstStart: s.FirstStart, DataDir: s.DataFolder,
		Voters: 2*s.Tolerated + 1, Lease: s.Lease(), LeaseLimit: s.LeaseLimit, Retain: s.Retain, Security: security, Limits: limits,
		Adviser: adviser(s, security), Fleet: fleet(s, security), Policy: policy(s.Scheduling),
		JobMemory: dispatch.MemoryBudget(s.JobMemory),
	}, client)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	platform.RegisterOperators(mux, control.Operators())
	servers := daemon.Servers{Security: security, Limits: limits}
	servers.Add("operators", s.Operators, limit.OtherShare, &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout})
	if s.Metrics != "" {
		metrics := telemetry.Mux(control.Ready, control.WriteMetrics, limits.WriteMetrics)
		metrics.HandleFunc("POST "+operatorapi.PathJobWhere, control.ServeWhere)
		servers.Add("metrics", s.Metrics, limit.ProbeShare, &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout})
	}
	if err := servers.Start(); err != nil {
		control.Kill()
		return err
	}
	for {
		select {
		case changed := <-reloads:
			client.AddAddresses(changed.Seeds)
		case err := <-control.Ended:
			servers.Stop(0, endedGrace)
			control.Kill()
			return err
		case err := <-servers.Failed():
			control.Kill()
			return err
		case <-ctx.Done():
			stopping, cancel := context.WithTimeout(context.Background(), time.Duration(stopPart*float64(s.Grace)))
			defer cancel()
			control.HandOver(stopping)
			control.Leave(stopping)
			servers.Stop(0, time.Duration((1-stopPart)*float64(s.Grace)))
			control.Kill()
			return nil
		}
	}
}

func adviser(s *settings.JobControl, security *transport.Security) jobcontrol.Adviser {
	if s.Adviser == "" {
		return nil
	}
	return platform.NewAdviser(s.Adviser, security.HTTPTransport())
}

func fleet(s *settings.JobControl, security *transport.Security) jobcontrol.Fleet {
	if s.Fleet == "" {
		return nil
	}
	return platform.NewMachines(s.Fleet, s.Name, security.HTTPTransport())
}

func policy(s settings.Scheduling) dispatch.Policy {
	return dispatch.Policy{
		Reservations: s.Reservations, Preemption: s.Preemption, ForecastAdmission: s.Admission == settings.AdmissionForecast,
		FairShares: s.FairShares, LateLast: s.LateLast, PartialFit: s.PartialFit, RemotePenalty: s.RemotePenalty, MoveFromShrunk: s.MoveFromShrunk,
	}
}
