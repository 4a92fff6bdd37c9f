package fleet

import (
	"maps"
	"slices"

	"amaranthpaddle/api"
)

// historyRevisions is how many revisions back a delta can start.
const historyRevisions = 1024

// Publisher owns a Directory and remembers which items changed in its latest
// revisions, so that watchers get deltas. Changes are collected by the Set and
// Remove methods and become visible as one new revision at Commit.
type Publisher struct {
	directory *Directory
	pending   changeSet
	history   []changeSet // history[i] made revision base+i+1
	base      uint64      // oldest revision from which a delta can start
	moved     bool        // Commit made a revision since the last TakeMoved
}

// changeSet names the items that one revision changed.
type changeSet struct {
	zones    []string
	services []string
	servers  []string
	plan     bool
}

func (c *changeSet) empty() bool {
	return len(c.zones) == 0 && len(c.services) == 0 && len(c.servers) == 0 && !c.plan
}

// NewPublisher returns a publisher of d.
func NewPublisher(d *Directory) *Publisher {
	return &Publisher{directory: d, base: d.revision}
}

// Directory returns the published directory.
func (p *Publisher) Directory() *Directory { return p.directory }

// SetZone publishes a zone.
func (p *Publisher) SetZone(z *api.Zone) {
	if p.directory.setZone(z) {
		p.pending.zones = append(p.pending.zones, z.Name)
	}
}

// SetService publishes a service policy.
func (p *Publisher) SetService(s *api.ServicePolicy) {
	if p.directory.setService(s) {
		p.pending.services = append(p.pending.services, s.Name)
	}
}

// RemoveService withdraws a service policy.
func (p *Publisher) RemoveService(name string) {
	if p.directory.removeService(name) {
		p.pending.services = append(p.pending.services, name)
	}
}

// SetServer publishes a backend server.
func (p *Publisher) SetServer(s *api.BackendServer) {
	if p.directory.setServer(s) {
		p.pending.servers = append(p.pending.servers, s.Id)
	}
}

// RemoveServer withdraws a backend server.
func (p *Publisher) RemoveServer(id string) {
	if p.directory.removeServer(id) {
		p.pending.servers = append(p.pending.servers, id)
	}
}

// SetPlanNumber publishes the number of the plan in force.
func (p *Publisher) SetPlanNumber(number uint64) {
	if p.directory.setPlanNumber(number) {
		p.pending.plan = true
	}
}

// Commit makes the collected changes one new revision. It reports whether there were any.
func (p *Publisher) Commit() bool {
	if p.pending.empty() {
		return false
	}
	p.directory.revision++
	p.moved = true
	p.history = append(p.history, p.pending)
	p.pending = changeSet{}
	if excess := len(p.history) - historyRevisions; excess > 0 {
		p.history = slices.Delete(p.history, 0, excess)
		p.base += uint64(excess)
	}
	return true
}

// TakeMoved reports whether there was a new revision since it was last called.
func (p *Publisher) TakeMoved() bool {
	moved := p.moved
	p.moved = false
	return moved
}

// Since returns the update from revision base to the present one: a delta when
// the history reaches back to base, else the whole directory. It returns nil
// when base is the present revision or a later one.
func (p *Publisher) Since(base uint64) *api.DirectoryUpdate {
	if base >= p.directory.revision {
		return nil
	}
	if base < p.base || base == 0 {
		return p.directory.Full()
	}
	update := p.directory.Check()
	update.BaseRevision = base
	changed := mergeChanges(p.history[base-p.base:])
	p.fill(update, changed)
	return update
}

func (p *Publisher) fill(update *api.DirectoryUpdate, changed changeSet) {
	for _, name := range changed.zones {
		update.Zones = append(update.Zones, p.directory.zones[name])
	}
	for _, name := range changed.services {
		if s := p.directory.services[name]; s != nil {
			update.Services = append(update.Services, s)
		} else {
			update.RemovedServices = append(update.RemovedServices, name)
		}
	}
	for _, id := range changed.servers {
		if s := p.directory.servers[id]; s != nil {
			update.Servers = append(update.Servers, s)
		} else {
			update.RemovedServers = append(update.RemovedServers, id)
		}
	}
}

func mergeChanges(sets []changeSet) changeSet {
	if len(sets) == 1 {
		return sets[0]
	}
	zones, services, servers := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, set := range sets {
		addAll(zones, set.zones)
		addAll(services, set.services)
		addAll(servers, set.servers)
	}
	return changeSet{
		zones:    slices.Sorted(maps.Keys(zones)),
		services: slices.Sorted(maps.Keys(services)),
		servers:  slices.Sorted(maps.Keys(servers)),
	}
}

func addAll(set map[string]bool, names []string) {
	for _, name := range names {
		set[name] = true
	}
}
