package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/session"
	"amaranthpaddle/standin"
	"amaranthpaddle/transport"
)

const (
	rackSize        = 3
	workerMilliCPU  = 32_000
	workerMemoryMiB = 125 * 1024
	announcePoll    = 500 * time.Millisecond
)

// lightAgent is an agent's session over a light worker, without a request side.
type lightAgent struct {
	worker  *standin.LightWorker
	session *session.Session
	servers *lightAnnouncer
}

// newLightAgent returns the agent of the numbered VM. requests is its request
// side, nil for none.
func newLightAgent(number int, zone zoneName, controls []string, requests *requestSide) *lightAgent {
	vm := &api.VM{
		Id:   fmt.Sprintf("vm-%04d", number),
		Zone: zone.name, Region: zone.region,
		Rack:     fmt.Sprintf("%s-rack-%d", zone.name, number/rackSize),
		Capacity: &api.Resources{MilliCpu: workerMilliCPU, MemoryMib: workerMemoryMiB, Accelerators: acceleratorsOf(number)},
	}
	a := &lightAgent{worker: standin.NewLightWorker()}
	identity := &api.BackendServer{
		Vm: vm.Id, Zone: vm.Zone, Region: vm.Region, AgentAddress: requests.address(),
		Incarnation: uint64(time.Now().UnixNano()), Slots: 8, Connections: 64,
	}
	a.servers = newLightAnnouncer(identity, a.worker)
	a.session = session.New(session.Config{
		VM:               vm,
		Incarnation:      identity.Incarnation,
		ControlAddresses: controls,
		Security:         &transport.Security{},
		Worker:           a.worker,
		Announcer:        a.servers,
	})
	return a
}

// acceleratorsOf spreads 640 accelerators over 550 VMs: two on every sixth VM
// and one on the others.
func acceleratorsOf(number int) int64 {
	if number%6 == 0 {
		return 2
	}
	return 1
}

func (a *lightAgent) run(ctx context.Context) {
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		a.servers.loop(ctx)
	}()
	a.session.Run(ctx)
	wait.Wait()
}

// lightAnnouncer announces a backend server for each service run of a worker.
type lightAnnouncer struct {
	identity *api.BackendServer // what all servers of the VM share
	worker   *standin.LightWorker

	mu      sync.Mutex
	servers []*api.BackendServer
	changed chan struct{}
}

func newLightAnnouncer(identity *api.BackendServer, worker *standin.LightWorker) *lightAnnouncer {
	return &lightAnnouncer{identity: identity, worker: worker, changed: make(chan struct{})}
}

func (l *lightAnnouncer) loop(ctx context.Context) {
	ticker := time.NewTicker(announcePoll)
	defer ticker.Stop()
	for {
		l.refresh()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *lightAnnouncer) refresh() {
	running := l.worker.Services()
	l.mu.Lock()
	defer l.mu.Unlock()
	if sameServers(l.servers, running) {
		return
	}
	l.servers = nil
	for _, run := range running {
		server := proto.Clone(l.identity).(*api.BackendServer)
		server.Id, server.Service = run.Task, run.Service
		l.servers = append(l.servers, server)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func sameServers(servers []*api.BackendServer, running []standin.ServiceRun) bool {
	if len(servers) != len(running) {
		return false
	}
	for i, server := range servers {
		if server.Id != running[i].Task {
			return false
		}
	}
	return true
}

// Servers returns the present announcement.
func (l *lightAnnouncer) Servers() []*api.BackendServer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers
}

// Changed returns a channel that is closed at the next change.
func (l *lightAnnouncer) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}
