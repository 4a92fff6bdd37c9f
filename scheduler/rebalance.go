package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amaranthpaddle/task"
)

// Limits of moves that spread a service again.
const (
	settleTime    = 20 * time.Second // that each instance must have run before the next one moves
	maxSpreadTrys = 8                // per call, instances for which a better VM is sought
)

// spreadView is how the instances of one service are spread.
type spreadView struct {
	instances []*Task
	byZone    map[string]int
	byRack    map[string]int
	byVM      map[string]int
	unsettled bool // an instance is not up, or not for long
}

// rebalance moves instances of services to availability zones, racks and VMs
// that hold fewer of them, one instance of a service at a time. A task has one
// run at a time, so an instance stops before it starts elsewhere. Nothing
// moves while work is moved away from a VM that leaves.
func (c *cycle) rebalance() {
	if c.s.SpreadsLeft <= 0 || c.anyLeaves() {
		return
	}
	moves, trys := c.s.SpreadsLeft, maxSpreadTrys
	services, open := c.spreadViews(), c.openPlaces()
	for _, id := range c.inTurn(services) {
		view := services[id]
		if moves == 0 || trys == 0 {
			return
		}
		if view.unsettled || len(view.instances) < serviceStoppingPart {
			continue
		}
		if c.spreadOne(view, open.emptiest(view), &trys) {
			moves--
		}
	}
}

// anyLeaves reports whether a VM that leaves still holds a task.
func (c *cycle) anyLeaves() bool {
	return slices.ContainsFunc(c.vms, func(v vmView) bool { return v.leaves() && len(v.tasks) > 0 })
}

// spreadViews groups the instances of services that hold a grant. A service
// with an instance that is pending, starting, stopping or out of touch is unsettled.
func (c *cycle) spreadViews() map[string]*spreadView {
	services := map[string]*spreadView{}
	for n := range c.vms {
		v := &c.vms[n]
		if v.services == 0 && len(v.placed) == 0 {
			continue
		}
		for _, t := range v.tasks {
			if t.Class == task.LatencyCritical {
				c.spreadOf(services, t.Job).add(t, v, c.settled(t, v))
			}
		}
	}
	for i := range c.s.Pending {
		if t := &c.s.Pending[i]; t.Class == task.LatencyCritical {
			c.spreadOf(services, t.Job).unsettled = true
		}
	}
	return services
}

func (c *cycle) spreadOf(services map[string]*spreadView, job string) *spreadView {
	view := services[job]
	if view == nil {
		view = &spreadView{byZone: map[string]int{}, byRack: map[string]int{}, byVM: map[string]int{}}
		services[job] = view
	}
	return view
}

func (s *spreadView) add(t *Task, v *vmView, settled bool) {
	s.instances = append(s.instances, t)
	s.byZone[v.Zone]++
	s.byRack[v.rackKey()]++
	s.byVM[v.ID]++
	s.unsettled = s.unsettled || !settled
}

func (c *cycle) settled(t *Task, v *vmView) bool {
	return t.State == task.Running && !c.evicted[t] && v.Fresh && !t.Trial && c.s.Now.Sub(t.Since) >= settleTime
}

// spreadOne moves the first instance that has a better VM.
func (c *cycle) spreadOne(s *spreadView, least emptiest, trys *int) bool {
	for _, t := range c.crowded(s, least) {
		if *trys == 0 {
			return false
		}
		*trys--
		n := c.target(t)
		if n < 0 || !c.improves(s, t, &c.vms[n]) {
			continue
		}
		c.vms[n].reserved = c.vms[n].reserved.add(held(t))
		c.evict(t, ReasonRebalance, checkpointGrace, "")
		return true
	}
	return false
}

func (c *cycle) compareCrowded(s *spreadView, a, b *Task) int {
	va, vb := c.vmOf(a), c.vmOf(b)
	return cmp.Or(
		cmp.Compare(s.byZone[vb.Zone], s.byZone[va.Zone]),
		cmp.Compare(s.byRack[vb.rackKey()], s.byRack[va.rackKey()]),
		cmp.Compare(s.byVM[vb.ID], s.byVM[va.ID]),
		cmp.Compare(a.ID, b.ID),
	)
}

func (c *cycle) vmOf(t *Task) *vmView { return &c.vms[c.byID[t.VM]] }

// emptiest holds the fewest instances of a service that a zone, VM or rack
// that takes work holds.
type emptiest struct{ zone, vm, rack int }

// openPlaces counts what takes work.
type openPlaces struct {
	zones, racks map[string]bool
	vms          int
}

func (c *cycle) openPlaces() openPlaces {
	open := openPlaces{zones: map[string]bool{}, racks: map[string]bool{}}
	for n := range c.vms {
		if v := &c.vms[n]; v.open() {
			open.zones[v.Zone] = true
			open.racks[v.rackKey()] = true
			open.vms++
		}
	}
	return open
}

func (o *openPlaces) emptiest(s *spreadView) emptiest {
	least := emptiest{zone: len(s.instances), vm: fewest(s.byVM, o.vms), rack: fewest(s.byRack, len(o.racks))}
	for zone := range o.zones {
		least.zone = min(least.zone, s.byZone[zone])
	}
	return least
}

// fewest returns the least count, 0 when there are more places than counts.
func fewest(count map[string]int, places int) int {
	if places > len(count) {
		return 0
	}
	least := math.MaxInt
	for _, n := range count {
		least = min(least, n)
	}
	return least
}

// crowded returns an instance of each VM that may hold one too many, those in
// the fullest zones, racks and VMs first.
func (c *cycle) crowded(s *spreadView, least emptiest) []*Task {
	var list []*Task
	seen := map[string]bool{}
	for _, t := range s.instances {
		v := c.vmOf(t)
		uneven := s.byZone[v.Zone]-least.zone > 1
		if !uneven && c.s.SpreadVMs {
			uneven = s.byVM[v.ID]-least.vm > 1 || s.byRack[v.rackKey()]-least.rack > 1
		}
		if uneven && t.Movable && !seen[v.ID] {
			seen[v.ID] = true
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *Task) int { return c.compareCrowded(s, a, b) })
	return list
}

// improves reports whether moving the instance to the VM lowers the
// imbalance: by an instance or more between zones, or between VMs with the
// zones no worse, or between racks with both no worse. Racks come last since
// they differ in size. Each such move lowers the sums of the squared counts in
// that order, so that moves come to an end.
func (c *cycle) improves(s *spreadView, t *Task, to *vmView) bool {
	from := c.vmOf(t)
	zones := moveChange(s.byZone, from.Zone, to.Zone)
	if zones == 0 && !c.s.SpreadVMs {
		return false
	}
	change := cmp.Or(
		zones,
		moveChange(s.byVM, from.ID, to.ID),
		moveChange(s.byRack, from.rackKey(), to.rackKey()),
	)
	return change < 0
}

// moveChange returns the change, halved, of the sum of the squared counts when
// one instance moves.
func moveChange(count map[string]int, from, to string) int {
	if from == to {
		return 0
	}
	return count[to] - count[from] + 1
}

// target returns the VM that would be picked for the instance if it were
// pending now, or -1 when that VM just came into service or failed the job.
// It never needs an eviction.
func (c *cycle) target(t *Task) int {
	source, j := c.vmOf(t), c.job(t.Job)
	load := source.vmLoad
	source.tasks = slices.DeleteFunc(slices.Clone(load.tasks), func(k *Task) bool { return k == t })
	source.committed = load.committed.sub(held(t))
	source.cores -= cores(t)
	j.total--
	j.byZone[source.Zone]--
	j.byRack[source.rackKey()]--
	asked := *t
	asked.Grant = t.Grant.Max(t.Need)
	n := c.pick(&asked)
	source.vmLoad = load
	j.total++
	j.byZone[source.Zone]++
	j.byRack[source.rackKey()]++
	if n < 0 || &c.vms[n] == source || avoided(t, &c.vms[n]) || c.s.Now.Sub(c.vms[n].InSince) < rampTime {
		return -1
	}
	return n
}

// keepRoomForSpread reserves room for the instances that stop to move to another VM.
func (c *cycle) keepRoomForSpread() {
	for n := range c.vms {
		v := &c.vms[n]
		if v.leaves() || v.services == 0 || v.stopping == 0 {
			continue
		}
		for _, t := range v.tasks {
			if t.State != task.Stopping || t.Class != task.LatencyCritical {
				continue
			}
			if k := c.target(t); k >= 0 {
				c.vms[k].reserved = c.vms[k].reserved.add(held(t))
			}
		}
	}
}

// inTurn returns the services in an order that begins with another one each
// second, so that those for which no better VM is found do not take all trys.
func (c *cycle) inTurn(services map[string]*spreadView) []string {
	ids := slices.Sorted(maps.Keys(services))
	if len(ids) == 0 {
		return nil
	}
	first := int(c.s.Now.Unix() % int64(len(ids)))
	return slices.Concat(ids[first:], ids[:first])
}
