package agent

import (
	"sort"
	"sync"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/worker"
)

// announcementTTL is how long an announcement is valid without renewal.
const announcementTTL = 2 * time.Second

// maxBackendServers is the maximum number of backend servers on one VM.
const maxBackendServers = 256

// announced is a backend server of this VM with its latest announcement.
type announced struct {
	worker.Announcement
	expires time.Time
	leaving bool
}

// Registry holds the announced backend servers of the VM. It is safe for
// concurrent use.
type Registry struct {
	identity *api.BackendServer // the fields that all servers of this agent share

	mu      sync.Mutex
	servers map[string]announced
	changed chan struct{}
}

// NewRegistry returns an empty registry. identity holds the VM, zone, region,
// agent address and incarnation that every announcement carries.
func NewRegistry(identity *api.BackendServer) *Registry {
	return &Registry{identity: identity, servers: map[string]announced{}, changed: make(chan struct{})}
}

// Announce adds or renews a backend server. It returns fault.InvalidArgument for
// an incomplete announcement and fault.Overloaded when the VM has too many.
func (r *Registry) Announce(a worker.Announcement, now time.Time) error {
	if a.ID == "" || a.Service == "" || a.URL == "" || a.Slots <= 0 || a.Connections <= 0 {
		return fault.New(fault.InvalidArgument, "an announcement needs id, service, url, slots and connections")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known, present := r.servers[a.ID]
	if !present && len(r.servers) >= maxBackendServers {
		return fault.New(fault.Overloaded, "too many backend servers on this VM")
	}
	if known.leaving {
		// A renewal that arrives after the deregistration must not revive the server.
		return fault.New(fault.Draining, "the backend server is leaving")
	}
	r.servers[a.ID] = announced{Announcement: a, expires: now.Add(announcementTTL)}
	if !present || known.Announcement != a {
		r.notify()
	}
	return nil
}

// Leave marks a backend server as leaving: it gets no new work and is removed
// when its announcement expires.
func (r *Registry) Leave(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server, present := r.servers[id]
	if !present || server.leaving {
		return
	}
	server.leaving = true
	r.servers[id] = server
	r.notify()
}

// Expire removes the backend servers whose announcement has expired.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	dropped := false
	for id, server := range r.servers {
		if now.After(server.expires) {
			delete(r.servers, id)
			dropped = true
		}
	}
	if dropped {
		r.notify()
	}
}

// notify wakes the holders of the channel of Changed. The caller holds mu.
func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Servers returns the backend servers to announce to the control group, sorted by id.
func (r *Registry) Servers() []*api.BackendServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*api.BackendServer, 0, len(r.servers))
	for _, server := range r.servers {
		list = append(list, r.describe(server))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Id < list[j].Id })
	return list
}

func (r *Registry) describe(server announced) *api.BackendServer {
	return &api.BackendServer{
		Id: server.ID, Service: server.Service,
		Vm: r.identity.Vm, Zone: r.identity.Zone, Region: r.identity.Region,
		AgentAddress: r.identity.AgentAddress, Incarnation: r.identity.Incarnation,
		Slots: uint32(server.Slots), Connections: uint32(server.Connections),
		Leaving: server.leaving,
	}
}

// Present returns the backend servers that accept new work, sorted by id.
func (r *Registry) Present() []worker.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]worker.Announcement, 0, len(r.servers))
	for _, server := range r.servers {
		if !server.leaving {
			list = append(list, server.Announcement)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
