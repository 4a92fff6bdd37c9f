package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/fleet"
	"amaranthpaddle/timing"
)

// Delays before the next control replica is watched, and the timeout of a watch.
const (
	watchBackoff    = 200 * time.Millisecond
	maxWatchBackoff = 2 * time.Second
	watchTimeout    = 20 * time.Second // without an update or digest
)

// directory is the entry's current configuration. Its revision never decreases.
type directory struct {
	pool      *pool
	queueTime time.Duration

	mu          sync.Mutex
	content     *fleet.Directory
	minRevision uint64 // updates of lower revisions are ignored
	loaded      bool   // an update was applied
	services    map[string]*service
}

func newDirectory(p *pool, queueTime time.Duration) *directory {
	d := &directory{
		pool:      p,
		queueTime: queueTime,
		content:   fleet.NewDirectory(),
		services:  make(map[string]*service),
	}
	p.onLoad = d.observeLoad
	return d
}

// isLoaded reports whether a directory update was applied.
func (d *directory) isLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded
}

func (d *directory) revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.content.Revision()
}

// service returns the named service. Errors: fault.NotFound, and fault.NoBackend before the
// first update.
func (d *directory) service(name string) (*service, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.loaded {
		return nil, fault.New(fault.NoBackend, "the directory is not known yet")
	}
	s, ok := d.services[name]
	if !ok {
		return nil, fault.Newf(fault.NotFound, "service %q does not exist", name)
	}
	return s, nil
}

// observeLoad records the load of a backend server, as reported by its agent.
func (d *directory) observeLoad(server string, load *api.Load) {
	d.mu.Lock()
	var s *service
	if known := d.content.Server(server); known != nil {
		s = d.services[known.Service]
	}
	d.mu.Unlock()
	if s != nil {
		s.observeLoad(server, load)
	}
}

// apply applies an update; one of an older revision changes nothing. Errors:
// fault.Stale for an update that leaves a gap, and fault.DataCorrupt when the
// content differs from its digest; the next watch then brings the whole directory.
func (d *directory) apply(update *api.DirectoryUpdate) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if update.Revision < d.minRevision {
		return nil
	}
	before := d.content.Revision()
	if err := d.content.Apply(update); err != nil {
		if fault.Is(err, fault.DataCorrupt) {
			d.content = fleet.NewDirectory()
		}
		return err
	}
	d.minRevision = d.content.Revision()
	if d.loaded && d.minRevision == before {
		return nil
	}
	d.loaded = true
	d.rebuild()
	return nil
}

// rebuild updates services and peers from the directory. The caller holds mu.
func (d *directory) rebuild() {
	byService := make(map[string][]*api.BackendServer)
	addresses := make(map[string]bool)
	for _, policy := range d.content.Services() {
		byService[policy.Name] = nil
	}
	for _, server := range d.content.Servers() {
		addresses[server.AgentAddress] = true
		byService[server.Service] = append(byService[server.Service], server)
	}
	for name, servers := range byService {
		s, ok := d.services[name]
		if !ok {
			s = newService(name, d.queueTime)
			d.services[name] = s
		}
		s.update(slices.DeleteFunc(servers, d.outOfService))
	}
	for _, policy := range d.content.Services() {
		d.services[policy.Name].setPolicy(policy)
	}
	for name := range d.services {
		if _, ok := byService[name]; !ok {
			delete(d.services, name)
		}
	}
	d.pool.setAddresses(addresses)
}

// outOfService reports whether the backend server is leaving or its zone is out of service.
func (d *directory) outOfService(server *api.BackendServer) bool {
	zone := d.content.Zone(server.Zone)
	return server.Leaving || (zone != nil && !zone.InService)
}

// concurrentWatches is how many replicas an entry watches at a time, so that one
// unresponsive connection does not delay a change.
const concurrentWatches = 2

// follow keeps a Watch open on one control replica after another.
func (e *Entry) follow(first int) {
	if len(e.config.Control) == 0 {
		return
	}
	backoff := timing.NewBackoff(watchBackoff, maxWatchBackoff)
	for i := first; e.ctx.Err() == nil; i += concurrentWatches {
		address := e.config.Control[i%len(e.config.Control)]
		received, err := e.watch(address)
		if received {
			backoff.Reset()
		}
		klog.V(1).InfoS("Directory watch ended", "control", address, "reason", err)
		if !timing.Sleep(e.ctx, backoff.Next()) {
			return
		}
	}
}

// watch follows the directory from one replica until the stream ends.
func (e *Entry) watch(address string) (received bool, err error) {
	conn, err := e.config.Security.Dial(address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	request := &api.WatchRequest{Watcher: e.config.Name, Kind: "entry", Revision: e.directory.revision()}
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	watchdog := time.AfterFunc(watchTimeout, cancel)
	defer watchdog.Stop()
	stream, err := api.NewControlClient(conn).Watch(ctx, request)
	if err != nil {
		return false, fault.FromStatus(err)
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return received, fault.FromStatus(err)
		}
		watchdog.Reset(watchTimeout)
		if err := e.directory.apply(update); err != nil {
			return received, err
		}
		received = true
	}
}
