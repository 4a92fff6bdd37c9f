package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"amaranthpaddle/agent"
	"amaranthpaddle/api"
	"amaranthpaddle/control"
	"amaranthpaddle/controlnode"
	"amaranthpaddle/entry"
	"amaranthpaddle/plan"
	"amaranthpaddle/resource"
	"amaranthpaddle/standin"
	"amaranthpaddle/transport"
)

const (
	controlReplicas = 3
	entryCount      = 2
	workerCount     = 11
	rackSize        = 3
	loopback        = "127.0.0.1:0"
	stopTimeout     = 10 * time.Second
)

// workerCapacity is the size of every development VM.
var workerCapacity = resource.Vector{MilliCPU: 32_000, MemoryMiB: 125 * 1024}

// vm is one worker VM with its agent.
type vm struct {
	id     string
	zone   string
	worker *standin.Worker
	agent  *agent.Agent
}

// fleet is every process of a development run, in this process.
type fleet struct {
	dataDir  string
	security *transport.Security
	ledger   *standin.Ledger
	controls []*controlnode.Node
	entries  []*entry.Entry
	vms      []*vm
}

// startFleet starts the control replicas, entries, agents and workers. Backend
// servers run in the region with the most availability zones, callers and
// entries in the other.
func startFleet(dataDir string, day *plan.DayPlan) (*fleet, error) {
	f := &fleet{dataDir: dataDir, security: &transport.Security{}, ledger: standin.NewLedger()}
	if err := f.startControls(); err != nil {
		return f, err
	}
	backendZones, callerZone := splitZones(day)
	if err := f.startEntries(callerZone); err != nil {
		return f, err
	}
	return f, f.startVMs(backendZones)
}

// splitZones returns the zones of the region with the most zones, and one of another region.
func splitZones(day *plan.DayPlan) (backend []plan.Zone, caller plan.Zone) {
	byRegion := map[string][]plan.Zone{}
	for _, zone := range day.Zones {
		byRegion[zone.Region] = append(byRegion[zone.Region], zone)
	}
	for _, zone := range day.Zones {
		if len(byRegion[zone.Region]) > len(backend) {
			backend = byRegion[zone.Region]
		}
	}
	caller = day.Zones[0]
	for _, zone := range day.Zones {
		if zone.Region != backend[0].Region {
			caller = zone
		}
	}
	return backend, caller
}

func (f *fleet) startControls() error {
	configs := make([]controlnode.Config, controlReplicas)
	peers := map[uint64]control.Peer{}
	for i := range configs {
		id := uint64(i + 1)
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			return err
		}
		operator, err := net.Listen("tcp", loopback)
		if err != nil {
			return err
		}
		peers[id] = control.Peer{Address: listener.Addr().String(), OperatorAddress: operator.Addr().String()}
		configs[i] = controlnode.Config{
			ID: id, Peers: peers, Security: f.security, Listener: listener, Operator: operator,
			DataDir: filepath.Join(f.dataDir, fmt.Sprintf("control-%d", id)),
		}
	}
	for _, config := range configs {
		node, err := controlnode.Start(config)
		if err != nil {
			return err
		}
		f.controls = append(f.controls, node)
	}
	return nil
}

func (f *fleet) controlAddresses() []string {
	var list []string
	for _, node := range f.controls {
		list = append(list, node.Address())
	}
	return list
}

func (f *fleet) operatorAddresses() []string {
	var list []string
	for _, node := range f.controls {
		list = append(list, node.OperatorAddress())
	}
	return list
}

func (f *fleet) startEntries(zone plan.Zone) error {
	for i := range entryCount {
		e, err := entry.New(entry.Config{
			Name: fmt.Sprintf("entry-%d", i+1), Control: f.controlAddresses(), Listen: loopback,
			Security: f.security, Zone: zone.Name, Region: zone.Region,
		})
		if err != nil {
			return err
		}
		if err := e.Start(); err != nil {
			return err
		}
		f.entries = append(f.entries, e)
	}
	return nil
}

func (f *fleet) entryURLs() []string {
	var list []string
	for _, e := range f.entries {
		list = append(list, "http://"+e.Address().String())
	}
	return list
}

func (f *fleet) startVMs(zones []plan.Zone) error {
	for i := range workerCount {
		zone := zones[i%len(zones)]
		rack := fmt.Sprintf("%s-rack-%d", zone.Name, i/len(zones)/rackSize)
		started, err := f.startVM(fmt.Sprintf("vm-%02d", i+1), zone, rack)
		if err != nil {
			return err
		}
		f.vms = append(f.vms, started)
	}
	return nil
}

// startVM starts a worker and its agent. The worker must know the agent's local
// address and the agent the worker's, so the agent's port is reserved first.
func (f *fleet) startVM(id string, zone plan.Zone, rack string) (*vm, error) {
	local, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	worker, err := standin.StartWorker(standin.WorkerOptions{
		VM: id, Zone: zone.Name, Capacity: workerCapacity,
		AnnounceURL: "http://" + local.Addr().String(), Ledger: f.ledger,
	})
	if err != nil {
		return nil, err
	}
	started, err := agent.Start(agent.Config{
		VM: &api.VM{
			Id: id, Zone: zone.Name, Region: zone.Region, Rack: rack,
			Capacity: &api.Resources{MilliCpu: workerCapacity.MilliCPU, MemoryMib: workerCapacity.MemoryMiB},
		},
		ControlAddresses: f.controlAddresses(), ListenAddress: loopback, Local: local,
		WorkerURL: worker.URL(), Security: f.security,
	})
	if err != nil {
		worker.Stop()
		return nil, err
	}
	return &vm{id: id, zone: zone.Name, worker: worker, agent: started}, nil
}

// stop is a planned stop of every process, callers' side first.
func (f *fleet) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var first error
	for _, e := range f.entries {
		if err := e.Stop(ctx); err != nil && first == nil {
			first = err
		}
	}
	for _, v := range f.vms {
		v.agent.Kill()
		v.worker.Stop()
	}
	for _, node := range f.controls {
		node.Kill()
	}
	if err := os.RemoveAll(f.dataDir); err != nil && first == nil {
		first = err
	}
	return first
}
