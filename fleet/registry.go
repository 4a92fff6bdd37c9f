package fleet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/resource"
)

// VM is the control group's record of one VM.
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
	Suppressed  bool   // its servers are withdrawn because it flaps
	InSinceMS   int64  // when the VM last became ready for new work, Unix milliseconds
	OutSinceMS  int64  // when the VM last began to drain or leave, Unix milliseconds

	servers map[string]*api.BackendServer
	flap    flapScore
	lostMS  int64 // when the VM was declared lost, Unix milliseconds
}

// TakesWork reports whether new work may be placed on the VM.
func (v *VM) TakesWork() bool {
	return !v.Draining && !v.Leaving && !v.Lost && !v.Suppressed
}

// Servers returns the announced backend servers, sorted by id.
func (v *VM) Servers() []*api.BackendServer { return sortedValues(v.servers) }

// Registry holds all VMs and their announced backend servers, and publishes the
// servers. It is not safe for concurrent use. Every method is deterministic: it
// depends only on the registry's state and its arguments.
type Registry struct {
	vms       map[string]*VM
	publisher *Publisher
}

// NewRegistry returns an empty registry that publishes to p.
func NewRegistry(p *Publisher) *Registry {
	return &Registry{vms: map[string]*VM{}, publisher: p}
}

// VM returns the VM with the given id, or nil.
func (r *Registry) VM(id string) *VM { return r.vms[id] }

// VMs returns all VMs, sorted by id.
func (r *Registry) VMs() []*VM { return sortedValues(r.vms) }

// Announcement is an agent's description of its VM and the VM's backend servers.
type Announcement struct {
	VM             *api.VM
	Incarnation    uint64
	Servers        []*api.BackendServer
	ServersChanged bool // Servers replaces the previously announced servers
	Leaving        bool
}

// CheckAnnouncement returns fault.InvalidArgument for an announcement with a
// missing field or a negative capacity.
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

// WouldChange reports whether announcing a would change the registry.
func (r *Registry) WouldChange(a Announcement) bool {
	v := r.vms[a.VM.Id]
	if v == nil || v.Incarnation != a.Incarnation || v.Lost || v.Leaving != a.Leaving || !v.sameProperties(a.VM) {
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
		if old == nil || !proto.Equal(old, v.bindServer(s)) {
			return true
		}
	}
	return false
}

// Validate returns the error with which Announce would refuse the announcement, or
// nil. Errors: fault.InvalidArgument as CheckAnnouncement, fault.Stale when a later
// incarnation of the agent has announced itself and its VM is not lost,
// fault.Conflict when a backend server's id is published for another VM. The
// servers of a lost VM are not published.
func (r *Registry) Validate(a Announcement) error {
	if err := CheckAnnouncement(a); err != nil {
		return err
	}
	if v := r.vms[a.VM.Id]; v != nil && a.Incarnation < v.Incarnation && !v.Lost {
		return fault.Newf(fault.Stale, "VM %s has a later agent incarnation", v.ID)
	}
	return r.checkServerOwners(a)
}

// Announce records an announcement and publishes the VM's backend servers. Its
// errors are those of Validate.
func (r *Registry) Announce(nowMS int64, a Announcement) error {
	if err := r.Validate(a); err != nil {
		return err
	}
	v := r.vms[a.VM.Id]
	if v == nil {
		v = &VM{ID: a.VM.Id, servers: map[string]*api.BackendServer{}}
		r.vms[v.ID] = v
	} else if v.Lost || v.Incarnation != a.Incarnation {
		v.recordFlap(nowMS)
	}
	restarted := v.Incarnation != a.Incarnation
	tookWork := v.TakesWork() && v.Incarnation != 0
	v.Incarnation = a.Incarnation
	v.Zone, v.Region, v.Rack = a.VM.Zone, a.VM.Region, a.VM.Rack
	v.Capacity = Vector(a.VM.Capacity)
	v.Lost, v.Leaving = false, a.Leaving
	if a.ServersChanged || restarted {
		r.replaceServers(v, a.Servers)
	}
	v.recordWorkTransition(nowMS, tookWork)
	r.publish(v)
	return nil
}

func (r *Registry) checkServerOwners(a Announcement) error {
	if _, refused := r.PartitionServers(a.VM.Id, a.Servers); len(refused) > 0 {
		return fault.Newf(fault.Conflict, "backend server %s belongs to VM %s", refused[0].Id, refused[0].Vm)
	}
	return nil
}

// PartitionServers splits the servers of an announcement of the VM into those
// that Announce accepts and those that it refuses, because their ids are
// published for other VMs. Both keep the order of servers.
func (r *Registry) PartitionServers(vm string, servers []*api.BackendServer) (accepted []*api.BackendServer, refused []*api.RefusedServer) {
	for _, s := range servers {
		published := r.publisher.Directory().Server(s.Id)
		if published == nil || published.Vm == vm {
			accepted = append(accepted, s)
			continue
		}
		refused = append(refused, &api.RefusedServer{Id: s.Id, Vm: published.Vm})
	}
	return accepted, refused
}

func (r *Registry) replaceServers(v *VM, servers []*api.BackendServer) {
	for id := range v.servers {
		r.withdraw(v, id)
	}
	v.servers = make(map[string]*api.BackendServer, len(servers))
	for _, s := range servers {
		v.servers[s.Id] = v.bindServer(s)
	}
}

// lostRetention is how long the record of a lost VM is kept, unless an operator
// has drained the VM: a drained VM's record is kept without limit.
const lostRetention = 24 * time.Hour

// removeExpiredLost removes VMs that were lost more than lostRetention ago, to
// bound memory use.
func (r *Registry) removeExpiredLost(nowMS int64) {
	for id, v := range r.vms {
		if v.Lost && !v.Draining && nowMS-v.lostMS > lostRetention.Milliseconds() {
			delete(r.vms, id)
		}
	}
}

// MarkLost declares a VM lost at nowMS, unless another incarnation has announced
// itself. It reports whether the VM became lost.
func (r *Registry) MarkLost(nowMS int64, id string, incarnation uint64) bool {
	r.removeExpiredLost(nowMS)
	v := r.vms[id]
	if v == nil || v.Lost || v.Incarnation != incarnation {
		return false
	}
	v.Lost = true
	v.lostMS = nowMS
	r.publish(v)
	return true
}

// SetDraining starts or ends the drain of a VM. Errors: fault.NotFound for an
// unknown VM.
func (r *Registry) SetDraining(nowMS int64, id string, draining bool) error {
	v := r.vms[id]
	if v == nil {
		return fault.Newf(fault.NotFound, "VM %q is not known", id)
	}
	tookWork := v.TakesWork()
	v.Draining = draining
	v.recordWorkTransition(nowMS, tookWork)
	r.publish(v)
	return nil
}

// Reinstate publishes suppressed VMs again whose flap penalty has decayed below
// flapReuseThreshold at nowMS.
func (r *Registry) Reinstate(nowMS int64) {
	for _, v := range r.VMs() {
		if v.canReinstate(nowMS) {
			v.Suppressed = false
			v.recordWorkTransition(nowMS, false)
			r.publish(v)
		}
	}
}

// NeedsReinstate reports whether Reinstate at nowMS would change anything.
func (r *Registry) NeedsReinstate(nowMS int64) bool {
	for _, v := range r.vms {
		if v.canReinstate(nowMS) {
			return true
		}
	}
	return false
}

func (v *VM) canReinstate(nowMS int64) bool {
	return v.Suppressed && v.flap.at(nowMS) < flapReuseThreshold
}

func (v *VM) recordWorkTransition(nowMS int64, tookWork bool) {
	if !tookWork && v.TakesWork() {
		v.InSinceMS = nowMS
	}
	if tookWork && (v.Draining || v.Leaving) {
		v.OutSinceMS = nowMS
	}
}

func (v *VM) recordFlap(nowMS int64) {
	v.flap = v.flap.add(nowMS)
	if v.flap.penalty >= flapSuppressThreshold {
		v.Suppressed = true
	}
}

// publish updates the directory with v's servers. Those of a lost or suppressed VM
// are withdrawn; those of a draining or leaving VM are marked as leaving, so that
// they get no new work.
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

// withdraw removes a server from the directory if it is published for v.
func (r *Registry) withdraw(v *VM, id string) {
	published := r.publisher.Directory().Server(id)
	if published != nil && published.Vm == v.ID {
		r.publisher.RemoveServer(id)
	}
}

func (v *VM) sameProperties(m *api.VM) bool {
	return v.Zone == m.Zone && v.Region == m.Region && v.Rack == m.Rack && v.Capacity == Vector(m.Capacity)
}

// bindServer returns a copy of s with the VM, zone, region and incarnation of v.
func (v *VM) bindServer(s *api.BackendServer) *api.BackendServer {
	bound := proto.Clone(s).(*api.BackendServer)
	bound.Vm, bound.Zone, bound.Region = v.ID, v.Zone, v.Region
	bound.Incarnation = v.Incarnation
	return bound
}
