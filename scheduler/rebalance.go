package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amaranthpaddle/task"
)

// Limits of moves that rebalance services.
const (
	settleTime           = 20 * time.Second // how long each instance must have run before the next one moves
	maxRebalanceAttempts = 8                // instances per call for which a better VM is sought
)

// distribution counts the instances of a service by zone, rack and VM.
type distribution struct {
	instances []*Task
	byZone    map[string]int
	byRack    map[string]int
	byVM      map[string]int
	unsettled bool // an instance is not running, or not for settleTime
}

// rebalance moves service instances to availability zones, racks and VMs that
// hold fewer instances of the service, one instance of a service at a time. A
// task has one run at a time, so an instance stops before it starts
// elsewhere. Nothing is rebalanced during an evacuation.
func (c *cycle) rebalance() {
	if c.s.RebalancesLeft <= 0 || c.evacuationInProgress() {
		return
	}
	moves, attempts := c.s.RebalancesLeft, maxRebalanceAttempts
	services, domains := c.distributions(), c.schedulableDomains()
	for _, id := range c.roundRobin(services) {
		d := services[id]
		if moves == 0 || attempts == 0 {
			return
		}
		if d.unsettled || len(d.instances) < serviceStoppingDivisor {
			continue
		}
		if c.moveOne(d, domains.minCounts(d), &attempts) {
			moves--
		}
	}
}

// evacuationInProgress reports whether a VM under evacuation still holds a
// task.
func (c *cycle) evacuationInProgress() bool {
	return slices.ContainsFunc(c.vms, func(v vmView) bool { return v.evacuating() && len(v.tasks) > 0 })
}

// distributions groups the service instances that hold a grant by service. A
// service is unsettled while an instance is pending, starting, stopping or on
// a VM that is not fresh.
func (c *cycle) distributions() map[string]*distribution {
	services := map[string]*distribution{}
	for n := range c.vms {
		v := &c.vms[n]
		if v.services == 0 && len(v.placed) == 0 {
			continue
		}
		for _, t := range v.tasks {
			if t.Class == task.LatencyCritical {
				c.distributionOf(services, t.Job).add(t, v, c.settled(t, v))
			}
		}
	}
	for i := range c.s.Pending {
		if t := &c.s.Pending[i]; t.Class == task.LatencyCritical {
			c.distributionOf(services, t.Job).unsettled = true
		}
	}
	return services
}

func (c *cycle) distributionOf(services map[string]*distribution, job string) *distribution {
	d := services[job]
	if d == nil {
		d = &distribution{byZone: map[string]int{}, byRack: map[string]int{}, byVM: map[string]int{}}
		services[job] = d
	}
	return d
}

func (d *distribution) add(t *Task, v *vmView, settled bool) {
	d.instances = append(d.instances, t)
	d.byZone[v.Zone]++
	d.byRack[v.rackKey()]++
	d.byVM[v.ID]++
	d.unsettled = d.unsettled || !settled
}

func (c *cycle) settled(t *Task, v *vmView) bool {
	return t.State == task.Running && !c.evicted[t] && v.Fresh && !t.Trial && c.s.Now.Sub(t.Since) >= settleTime
}

// moveOne moves the first instance for which there is a better VM.
func (c *cycle) moveOne(d *distribution, minimum minCounts, attempts *int) bool {
	for _, t := range c.moveCandidates(d, minimum) {
		if *attempts == 0 {
			return false
		}
		*attempts--
		n := c.target(t)
		if n < 0 || !c.reducesImbalance(d, t, &c.vms[n]) {
			continue
		}
		c.vms[n].reserved = c.vms[n].reserved.add(demandOf(t))
		c.evict(t, ReasonRebalance, checkpointGrace, "")
		return true
	}
	return false
}

func (c *cycle) compareMoveCandidates(d *distribution, a, b *Task) int {
	va, vb := c.vmOf(a), c.vmOf(b)
	return cmp.Or(
		cmp.Compare(d.byZone[vb.Zone], d.byZone[va.Zone]),
		cmp.Compare(d.byRack[vb.rackKey()], d.byRack[va.rackKey()]),
		cmp.Compare(d.byVM[vb.ID], d.byVM[va.ID]),
		cmp.Compare(a.ID, b.ID),
	)
}

func (c *cycle) vmOf(t *Task) *vmView { return &c.vms[c.byID[t.VM]] }

// minCounts holds the lowest number of instances of a service in any
// schedulable zone, VM and rack.
type minCounts struct{ zone, vm, rack int }

// domainSet holds the zones and racks with schedulable VMs, and the number of
// schedulable VMs.
type domainSet struct {
	zones, racks map[string]bool
	vms          int
}

func (c *cycle) schedulableDomains() domainSet {
	d := domainSet{zones: map[string]bool{}, racks: map[string]bool{}}
	for n := range c.vms {
		if v := &c.vms[n]; v.schedulable() {
			d.zones[v.Zone] = true
			d.racks[v.rackKey()] = true
			d.vms++
		}
	}
	return d
}

func (d *domainSet) minCounts(s *distribution) minCounts {
	minimum := minCounts{zone: len(s.instances), vm: minCount(s.byVM, d.vms), rack: minCount(s.byRack, len(d.racks))}
	for zone := range d.zones {
		minimum.zone = min(minimum.zone, s.byZone[zone])
	}
	return minimum
}

// minCount returns the lowest count; it is 0 when some of the total have no
// entry.
func minCount(count map[string]int, total int) int {
	if total > len(count) {
		return 0
	}
	minimum := math.MaxInt
	for _, n := range count {
		minimum = min(minimum, n)
	}
	return minimum
}

// moveCandidates returns an instance of each VM in a zone, rack or VM that
// holds at least two more instances than the minimum, those in the fullest
// zones, racks and VMs first.
func (c *cycle) moveCandidates(d *distribution, minimum minCounts) []*Task {
	var list []*Task
	seen := map[string]bool{}
	for _, t := range d.instances {
		v := c.vmOf(t)
		uneven := d.byZone[v.Zone]-minimum.zone > 1
		if !uneven && c.s.RebalanceWithinZones {
			uneven = d.byVM[v.ID]-minimum.vm > 1 || d.byRack[v.rackKey()]-minimum.rack > 1
		}
		if uneven && t.Movable && !seen[v.ID] {
			seen[v.ID] = true
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *Task) int { return c.compareMoveCandidates(d, a, b) })
	return list
}

// reducesImbalance reports whether moving the instance to the VM evens out
// the counts: between zones, or between VMs without making the zones worse,
// or between racks without making zones and VMs worse. Racks come last
// because they differ in size. Each such move lowers the sums of the squared
// counts in that order, so rebalancing terminates.
func (c *cycle) reducesImbalance(d *distribution, t *Task, to *vmView) bool {
	from := c.vmOf(t)
	zones := imbalanceChange(d.byZone, from.Zone, to.Zone)
	if zones == 0 && !c.s.RebalanceWithinZones {
		return false
	}
	change := cmp.Or(
		zones,
		imbalanceChange(d.byVM, from.ID, to.ID),
		imbalanceChange(d.byRack, from.rackKey(), to.rackKey()),
	)
	return change < 0
}

// imbalanceChange returns half the change of the sum of the squared counts
// when one instance moves.
func imbalanceChange(count map[string]int, from, to string) int {
	if from == to {
		return 0
	}
	return count[to] - count[from] + 1
}

// target returns the VM that would be picked for the instance if it were
// pending, or -1 when there is none, or when that is its own VM, one that
// just came into service or one where the job failed. A move to it needs no
// preemption.
func (c *cycle) target(t *Task) int {
	source, j := c.vmOf(t), c.job(t.Job)
	load := source.vmLoad
	source.tasks = slices.DeleteFunc(slices.Clone(load.tasks), func(k *Task) bool { return k == t })
	source.committed = load.committed.sub(demandOf(t))
	source.cores -= usedCores(t)
	j.total--
	j.byZone[source.Zone]--
	j.byRack[source.rackKey()]--
	pending := *t
	pending.Grant = t.Grant.Max(t.Need)
	n := c.pick(&pending)
	source.vmLoad = load
	j.total++
	j.byZone[source.Zone]++
	j.byRack[source.rackKey()]++
	if n < 0 || &c.vms[n] == source || avoided(t, &c.vms[n]) || c.s.Now.Sub(c.vms[n].InServiceSince) < rampTime {
		return -1
	}
	return n
}

// reserveForRebalance reserves capacity on other VMs for the service instances
// that are stopping in order to move.
func (c *cycle) reserveForRebalance() {
	for n := range c.vms {
		v := &c.vms[n]
		if v.evacuating() || v.services == 0 || v.stopping == 0 {
			continue
		}
		for _, t := range v.tasks {
			if t.State != task.Stopping || t.Class != task.LatencyCritical {
				continue
			}
			if k := c.target(t); k >= 0 {
				c.vms[k].reserved = c.vms[k].reserved.add(demandOf(t))
			}
		}
	}
}

// roundRobin returns the services in an order that starts with another one
// each second, so that services without a better VM do not use up all
// attempts.
func (c *cycle) roundRobin(services map[string]*distribution) []string {
	ids := slices.Sorted(maps.Keys(services))
	if len(ids) == 0 {
		return nil
	}
	first := int(c.s.Now.Unix() % int64(len(ids)))
	return slices.Concat(ids[first:], ids[:first])
}
