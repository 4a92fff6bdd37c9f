package fleet

import (
	"maps"
	"slices"

	"amaranthpaddle/api"
)

// historyRevisions is the number of latest revisions that a delta can span.
const historyRevisions = 1024

// Publisher owns a Directory and records which items its latest revisions
// changed, so that watchers can receive deltas. The Set and Remove methods collect
// changes; Commit makes them visible as one new revision.
type Publisher struct {
	directory *Directory
	pending   changeSet
	history   []changeSet // history[i] holds the changes of revision base+i+1
	base      uint64      // oldest revision from which a delta can start
	committed bool        // whether Commit made a revision since the last TakeCommitted
}

// changeSet lists the names and ids of the items that one revision changed.
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

// RemoveService removes a service policy from the directory.
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

// RemoveServer removes a backend server from the directory.
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

// Commit turns the collected changes into one new revision. It reports whether
// there were any.
func (p *Publisher) Commit() bool {
	if p.pending.empty() {
		return false
	}
	p.directory.revision++
	p.committed = true
	p.history = append(p.history, p.pending)
	p.pending = changeSet{}
	if excess := len(p.history) - historyRevisions; excess > 0 {
		p.history = slices.Delete(p.history, 0, excess)
		p.base += uint64(excess)
	}
	return true
}

// TakeCommitted reports whether Commit made a new revision since the previous call.
func (p *Publisher) TakeCommitted() bool {
	committed := p.committed
	p.committed = false
	return committed
}

// Since returns the update from revision base to the current one: a delta when
// the history reaches back to base, else the whole directory. It returns nil
// when base is the current revision or a later one.
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
