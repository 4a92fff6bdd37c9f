package fleet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/resource"
)

// VM is what the control group knows of one VM.
type VM struct {
	ID          string
	Zone        string
	Region      string
	Rack        string
	Capacity    resource.Vector
	Incarnation uint64 // of the agent process
	Draining    bool   // drained by an operator
	Leaving     bool   // the agent announced a planned stop
	Lost        bool   // the lease expired without a renewal
	Suppressed  bool   // withheld because it flaps
	InSinceMS   int64  // when the VM last began to take work, Unix milliseconds
	OutSinceMS  int64  // when the VM last began to drain or leave

	servers map[string]*api.BackendServer
	flap    flapScore
	lostMS  int64 // when the VM was declared lost
}

// TakesWork reports whether new work may be placed on the VM.
func (v *VM) TakesWork() bool {
	return !v.Draining && !v.Leaving && !v.Lost && !v.Suppressed
}

// Servers returns the announced backend servers in order of id.
func (v *VM) Servers() []*api.BackendServer { return sortedValues(v.servers) }

// Registry is the aggregate of all VMs and their announcements. It publishes
// the backend servers. It is not safe for concurrent use; every method is
// deterministic in its arguments.
type Registry struct {
	vms       map[string]*VM
	publisher *Publisher
}

// NewRegistry returns an empty registry that publishes to p.
func NewRegistry(p *Publisher) *Registry {
	return &Registry{vms: map[string]*VM{}, publisher: p}
}

// VM returns the VM with the id, or nil.
func (r *Registry) VM(id string) *VM { return r.vms[id] }

// VMs returns all VMs in order of id.
func (r *Registry) VMs() []*VM { return sortedValues(r.vms) }

// Announcement is what an agent states about its VM.
type Announcement struct {
	VM             *api.VM
	Incarnation    uint64
	Servers        []*api.BackendServer
	ServersChanged bool // Servers replaces the earlier announcement
	Leaving        bool
}

// CheckAnnouncement returns fault.InvalidArgument for an announcement that no
// agent may make.
func CheckAnnouncement(a Announcement) error {
	if a.VM.GetId() == "" || a.VM.GetZone() == "" {
		return fault.New(fault.InvalidArgument, "a VM needs an id and an availability zone")
	}
	c := a.VM.GetCapacity()
	if c.GetMilliCpu() < 0 || c.GetMemoryMib() < 0 || c.GetAccelerators() < 0 {
		return fault.New(fault.InvalidArgument, "a VM's capacity is negative")
	}
	for _, s := range a.Servers {
		if s.Id == "" || s.Service == "" || s.AgentAddress == "" {
			return fault.New(fault.InvalidArgument, "a backend server needs an id, a service and an agent address")
		}
	}
	return nil
}

// Changes reports whether Announce with a would change the registry.
func (r *Registry) Changes(a Announcement) bool {
	v := r.vms[a.VM.Id]
	if v == nil || v.Incarnation != a.Incarnation || v.Lost || v.Leaving != a.Leaving || !v.sameMachine(a.VM) {
		return true
	}
	if !a.ServersChanged {
		return false
	}
	if len(a.Servers) != len(v.servers) {
		return true
	}
	for _, s := range a.Servers {
		old := v.servers[s.Id]
		if old == nil || !proto.Equal(old, v.ownServer(s)) {
			return true
		}
	}
	return false
}

// Refuses returns why Announce would refuse the announcement, or nil. Errors:
// fault.Stale when a later incarnation of the agent has announced itself and
// its VM is not lost, fault.Conflict when a backend server's id belongs to
// another VM that is not lost.
func (r *Registry) Refuses(a Announcement) error {
	if err := CheckAnnouncement(a); err != nil {
		return err
	}
	if v := r.vms[a.VM.Id]; v != nil && a.Incarnation < v.Incarnation && !v.Lost {
		return fault.Newf(fault.Stale, "VM %s has a later agent incarnation", v.ID)
	}
	return r.checkServerOwners(a)
}

// Announce takes in an announcement. Its errors are those of Refuses.
func (r *Registry) Announce(nowMS int64, a Announcement) error {
	if err := r.Refuses(a); err != nil {
		return err
	}
	v := r.vms[a.VM.Id]
	if v == nil {
		v = &VM{ID: a.VM.Id, servers: map[string]*api.BackendServer{}}
		r.vms[v.ID] = v
	} else if v.Lost || v.Incarnation != a.Incarnation {
		v.noteFlap(nowMS)
	}
	restarted := v.Incarnation != a.Incarnation
	wasTaking := v.TakesWork() && v.Incarnation != 0
	v.Incarnation = a.Incarnation
	v.Zone, v.Region, v.Rack = a.VM.Zone, a.VM.Region, a.VM.Rack
	v.Capacity = Vector(a.VM.Capacity)
	v.Lost, v.Leaving = false, a.Leaving
	if a.ServersChanged || restarted {
		r.replaceServers(v, a.Servers)
	}
	v.noteTakesWork(nowMS, wasTaking)
	r.publish(v)
	return nil
}

func (r *Registry) checkServerOwners(a Announcement) error {
	for _, s := range a.Servers {
		published := r.publisher.Directory().Server(s.Id)
		if published == nil || published.Vm == a.VM.Id {
			continue
		}
		return fault.Newf(fault.Conflict, "backend server %s belongs to VM %s", s.Id, published.Vm)
	}
	return nil
}

func (r *Registry) replaceServers(v *VM, servers []*api.BackendServer) {
	for id := range v.servers {
		r.withdraw(v, id)
	}
	v.servers = make(map[string]*api.BackendServer, len(servers))
	for _, s := range servers {
		v.servers[s.Id] = v.ownServer(s)
	}
}

// lostRetention is how long a lost VM is remembered that no operator has drained.
const lostRetention = 24 * time.Hour

// forgetLost drops VMs that were lost long ago, to bound the memory.
func (r *Registry) forgetLost(nowMS int64) {
	for id, v := range r.vms {
		if v.Lost && !v.Draining && nowMS-v.lostMS > lostRetention.Milliseconds() {
			delete(r.vms, id)
		}
	}
}

// Lose declares a VM lost at nowMS, unless a later incarnation has announced
// itself. It reports whether the VM became lost.
func (r *Registry) Lose(nowMS int64, id string, incarnation uint64) bool {
	r.forgetLost(nowMS)
	v := r.vms[id]
	if v == nil || v.Lost || v.Incarnation != incarnation {
		return false
	}
	v.Lost = true
	v.lostMS = nowMS
	r.publish(v)
	return true
}

// SetDraining drains or undrains a VM. Errors: fault.NotFound.
func (r *Registry) SetDraining(nowMS int64, id string, draining bool) error {
	v := r.vms[id]
	if v == nil {
		return fault.Newf(fault.NotFound, "VM %q is not known", id)
	}
	wasTaking := v.TakesWork()
	v.Draining = draining
	v.noteTakesWork(nowMS, wasTaking)
	r.publish(v)
	return nil
}

// Reinstate publishes VMs again whose flapping has died down at nowMS.
func (r *Registry) Reinstate(nowMS int64) {
	for _, v := range r.VMs() {
		if v.reinstatable(nowMS) {
			v.Suppressed = false
			v.noteTakesWork(nowMS, false)
			r.publish(v)
		}
	}
}

// NeedsReinstate reports whether Reinstate at nowMS would change anything.
func (r *Registry) NeedsReinstate(nowMS int64) bool {
	for _, v := range r.vms {
		if v.reinstatable(nowMS) {
			return true
		}
	}
	return false
}

func (v *VM) reinstatable(nowMS int64) bool {
	return v.Suppressed && v.flap.at(nowMS) < flapReuse
}

func (v *VM) noteTakesWork(nowMS int64, before bool) {
	if !before && v.TakesWork() {
		v.InSinceMS = nowMS
	}
	if before && (v.Draining || v.Leaving) {
		v.OutSinceMS = nowMS
	}
}

func (v *VM) noteFlap(nowMS int64) {
	v.flap = v.flap.add(nowMS)
	if v.flap.penalty >= flapSuppress {
		v.Suppressed = true
	}
}

// publish brings the directory in line with v. The servers of a lost or
// suppressed VM are withdrawn; those of a draining one take no new work.
func (r *Registry) publish(v *VM) {
	for _, s := range v.Servers() {
		if v.Lost || v.Suppressed {
			r.withdraw(v, s.Id)
			continue
		}
		if (v.Draining || v.Leaving) && !s.Leaving {
			s = proto.Clone(s).(*api.BackendServer)
			s.Leaving = true
		}
		r.publisher.SetServer(s)
	}
}

// withdraw removes a server from the directory if v still owns its entry there.
func (r *Registry) withdraw(v *VM, id string) {
	published := r.publisher.Directory().Server(id)
	if published != nil && published.Vm == v.ID {
		r.publisher.RemoveServer(id)
	}
}

func (v *VM) sameMachine(m *api.VM) bool {
	return v.Zone == m.Zone && v.Region == m.Region && v.Rack == m.Rack && v.Capacity == Vector(m.Capacity)
}

// ownServer returns s with the fields that the VM decides.
func (v *VM) ownServer(s *api.BackendServer) *api.BackendServer {
	own := proto.Clone(s).(*api.BackendServer)
	own.Vm, own.Zone, own.Region = v.ID, v.Zone, v.Region
	own.Incarnation = v.Incarnation
	return own
}
