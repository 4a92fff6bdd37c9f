package fleet

import (
	"bytes"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

// Directory is the published configuration: zones, service policies and
// backend servers at one revision. It is not safe for concurrent use. The
// messages that it returns are shared and must not be modified.
type Directory struct {
	revision   uint64
	planNumber uint64
	zones      map[string]*api.Zone
	services   map[string]*api.ServicePolicy
	servers    map[string]*api.BackendServer
	sum        digest
}

// NewDirectory returns an empty directory at revision 0.
func NewDirectory() *Directory {
	return &Directory{
		zones:    map[string]*api.Zone{},
		services: map[string]*api.ServicePolicy{},
		servers:  map[string]*api.BackendServer{},
		sum:      planDigest(0),
	}
}

// Revision returns the revision of d.
func (d *Directory) Revision() uint64 { return d.revision }

// PlanNumber returns the number of the plan in force, 0 before the first one.
func (d *Directory) PlanNumber() uint64 { return d.planNumber }

// Digest returns the digest of all items and the plan number.
func (d *Directory) Digest() []byte { return d.sum.bytes() }

// Zone returns the named zone, or nil.
func (d *Directory) Zone(name string) *api.Zone { return d.zones[name] }

// Zones returns all zones, sorted by name.
func (d *Directory) Zones() []*api.Zone { return sortedValues(d.zones) }

// Services returns all service policies, sorted by name.
func (d *Directory) Services() []*api.ServicePolicy { return sortedValues(d.services) }

// Server returns the backend server with the given id, or nil.
func (d *Directory) Server(id string) *api.BackendServer { return d.servers[id] }

// Servers returns all backend servers, sorted by id.
func (d *Directory) Servers() []*api.BackendServer { return sortedValues(d.servers) }

// Apply advances d to the update's revision. An update that does not raise the
// revision changes nothing: a watcher's configuration never reverts. Errors:
// fault.Stale when the update's base is a different revision, fault.DataCorrupt
// when the digests differ afterwards; the watcher then needs a full update.
func (d *Directory) Apply(u *api.DirectoryUpdate) error {
	if u.Revision < d.revision {
		return nil
	}
	if u.Revision == d.revision {
		return d.verify(u)
	}
	if u.BaseRevision != 0 && u.BaseRevision != d.revision {
		return fault.Newf(fault.Stale, "update from revision %d meets revision %d", u.BaseRevision, d.revision)
	}
	next := d
	if u.BaseRevision == 0 {
		next = NewDirectory()
	}
	next.merge(u)
	if next != d {
		*d = *next
	}
	return d.verify(u)
}

func (d *Directory) verify(u *api.DirectoryUpdate) error {
	if !bytes.Equal(u.Digest, d.Digest()) {
		return fault.Newf(fault.DataCorrupt, "directory digest differs at revision %d", u.Revision)
	}
	return nil
}

func (d *Directory) merge(u *api.DirectoryUpdate) {
	for _, z := range u.Zones {
		d.setZone(z)
	}
	for _, s := range u.Services {
		d.setService(s)
	}
	for _, s := range u.Servers {
		d.setServer(s)
	}
	for _, name := range u.RemovedServices {
		d.removeService(name)
	}
	for _, id := range u.RemovedServers {
		d.removeServer(id)
	}
	d.setPlanNumber(u.PlanNumber)
	d.revision = u.Revision
}

// Full returns the whole directory as one update.
func (d *Directory) Full() *api.DirectoryUpdate {
	return &api.DirectoryUpdate{
		Revision:   d.revision,
		Digest:     d.Digest(),
		PlanNumber: d.planNumber,
		Zones:      d.Zones(),
		Services:   d.Services(),
		Servers:    d.Servers(),
	}
}

// Check returns an update without items, with which a watcher at d's revision
// verifies its digest.
func (d *Directory) Check() *api.DirectoryUpdate {
	return &api.DirectoryUpdate{
		Revision:     d.revision,
		BaseRevision: d.revision,
		Digest:       d.Digest(),
		PlanNumber:   d.planNumber,
	}
}

func (d *Directory) setZone(z *api.Zone) bool {
	old := d.zones[z.Name]
	if old != nil && proto.Equal(old, z) {
		return false
	}
	if old != nil {
		d.sum = d.sum.minus(zoneDigest(old))
	}
	d.zones[z.Name] = z
	d.sum = d.sum.plus(zoneDigest(z))
	return true
}

func (d *Directory) setService(s *api.ServicePolicy) bool {
	old := d.services[s.Name]
	if old != nil && proto.Equal(old, s) {
		return false
	}
	d.removeService(s.Name)
	d.services[s.Name] = s
	d.sum = d.sum.plus(serviceDigest(s))
	return true
}

func (d *Directory) removeService(name string) bool {
	old := d.services[name]
	if old == nil {
		return false
	}
	delete(d.services, name)
	d.sum = d.sum.minus(serviceDigest(old))
	return true
}

func (d *Directory) setServer(s *api.BackendServer) bool {
	old := d.servers[s.Id]
	if old != nil && proto.Equal(old, s) {
		return false
	}
	d.removeServer(s.Id)
	d.servers[s.Id] = s
	d.sum = d.sum.plus(serverDigest(s))
	return true
}

func (d *Directory) removeServer(id string) bool {
	old := d.servers[id]
	if old == nil {
		return false
	}
	delete(d.servers, id)
	d.sum = d.sum.minus(serverDigest(old))
	return true
}

func (d *Directory) setPlanNumber(number uint64) bool {
	if number == d.planNumber {
		return false
	}
	d.sum = d.sum.minus(planDigest(d.planNumber)).plus(planDigest(number))
	d.planNumber = number
	return true
}

func sortedValues[T any](m map[string]T) []T {
	keys := slices.Sorted(maps.Keys(m))
	out := make([]T, 0, len(keys))
	for _, k := range keys {
		out = append(out, m[k])
	}
	return out
}
