package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// Pauses before the directory is followed from the next control replica.
const (
	watchPause    = 200 * time.Millisecond
	watchPauseMax = 2 * time.Second
	watchSilence  = 20 * time.Second // without an update or digest
)

// directory is the configuration in force at this entry. It only moves upward.
type directory struct {
	pool      *pool
	queueTime time.Duration

	mu       sync.Mutex
	revision uint64
	known    bool // an update was taken in
	zones    map[string]*api.Zone
	policies map[string]*api.ServicePolicy
	servers  map[string]*api.BackendServer
	services map[string]*service
}

func newDirectory(p *pool, queueTime time.Duration) *directory {
	d := &directory{
		pool:      p,
		queueTime: queueTime,
		zones:     make(map[string]*api.Zone),
		policies:  make(map[string]*api.ServicePolicy),
		servers:   make(map[string]*api.BackendServer),
		services:  make(map[string]*service),
	}
	p.onLoad = d.observeLoad
	return d
}

// confirmed reports whether a directory update was taken in.
func (d *directory) confirmed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

func (d *directory) inForce() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// service returns the named service. Errors: fault.NotFound, and fault.NoBackend before the
// first update.
func (d *directory) service(name string) (*service, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.known {
		return nil, fault.New(fault.NoBackend, "the directory is not known yet")
	}
	s, ok := d.services[name]
	if !ok {
		return nil, fault.Newf(fault.NotFound, "service %q does not exist", name)
	}
	return s, nil
}

// observeLoad takes in the load of a backend server, as its agent reports it.
func (d *directory) observeLoad(server string, load *api.Load) {
	d.mu.Lock()
	known, ok := d.servers[server]
	var s *service
	if ok {
		s = d.services[known.Service]
	}
	d.mu.Unlock()
	if s != nil {
		s.observeLoad(server, load)
	}
}

// apply takes an update in. It returns fault.Stale for one that would go back
// or that leaves a gap; the watch is then opened again.
func (d *directory) apply(update *api.DirectoryUpdate) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known && update.Revision < d.revision {
		return fault.Newf(fault.Stale, "revision %d is older than %d in force", update.Revision, d.revision)
	}
	if update.BaseRevision != 0 && update.BaseRevision != d.revision {
		return fault.Newf(fault.Stale, "update from revision %d does not follow %d", update.BaseRevision, d.revision)
	}
	if update.BaseRevision == 0 {
		clear(d.zones)
		clear(d.policies)
		clear(d.servers)
	}
	d.merge(update)
	d.revision = update.Revision
	d.known = true
	d.rebuild()
	return nil
}

func (d *directory) merge(update *api.DirectoryUpdate) {
	for _, zone := range update.Zones {
		d.zones[zone.Name] = zone
	}
	for _, policy := range update.Services {
		d.policies[policy.Name] = policy
	}
	for _, server := range update.Servers {
		d.servers[server.Id] = server
	}
	for _, name := range update.RemovedServices {
		delete(d.policies, name)
	}
	for _, id := range update.RemovedServers {
		delete(d.servers, id)
	}
}

// rebuild brings services and peers in line with the directory. The caller holds mu.
func (d *directory) rebuild() {
	byService := make(map[string][]*api.BackendServer)
	addresses := make(map[string]bool)
	for _, server := range d.servers {
		addresses[server.AgentAddress] = true
		zone, zoneKnown := d.zones[server.Zone]
		if server.Leaving || (zoneKnown && !zone.InService) {
			byService[server.Service] = append(byService[server.Service], nil)
			continue
		}
		byService[server.Service] = append(byService[server.Service], server)
	}
	for name := range d.policies {
		byService[name] = append(byService[name], nil)
	}
	for name, servers := range byService {
		s, ok := d.services[name]
		if !ok {
			s = newService(name, d.queueTime)
			d.services[name] = s
		}
		s.update(servers, d.policies[name])
	}
	for name := range d.services {
		if _, ok := byService[name]; !ok {
			delete(d.services, name)
		}
	}
	d.pool.keep(addresses)
}

// follow keeps a Watch open on one control replica after another.
func (e *Entry) follow() {
	pause := watchPause
	for i := rand.IntN(max(len(e.config.Control), 1)); e.ctx.Err() == nil; i++ {
		if len(e.config.Control) == 0 {
			return
		}
		address := e.config.Control[i%len(e.config.Control)]
		received, err := e.watch(address)
		if received {
			pause = watchPause
		}
		klog.V(1).InfoS("The directory watch ended", "control", address, "reason", err)
		if !sleep(e.ctx, pause/2+rand.N(pause/2)) {
			return
		}
		pause = min(2*pause, watchPauseMax)
	}
}

// watch follows the directory from one replica until the stream ends.
func (e *Entry) watch(address string) (received bool, err error) {
	conn, err := e.config.Security.Dial(address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	request := &api.WatchRequest{Watcher: e.config.Name, Kind: "entry", Revision: e.directory.inForce()}
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	stream, err := api.NewControlClient(conn).Watch(ctx, request)
	if err != nil {
		return false, fault.FromStatus(err)
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return received, fault.FromStatus(err)
		}
		silence.Reset(watchSilence)
		if err := e.directory.apply(update); err != nil {
			return received, err
		}
		received = true
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
