package dispatch

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/resource"
)

// maxPeerRacks is how many racks are compared for a group whose tasks belong together,
// those first that have most room now. It bounds the time of a plan on large fleets.
const maxPeerRacks = 4

// peerRack returns the rack on which all waiting tasks of a candidate whose tasks belong
// together have room, now or within the longest wait. It is empty if there is none: the
// tasks then start at once wherever they fit, as with remote_penalty off.
//
// A group whose tasks run on several racks takes several times as long. It handles groups
// that would begin on a rack with room for a part of their tasks only.
func (p *planner) peerRack(c candidate, spread spread, waiting int) string {
	group := c.group.Spec
	if !group.RackLocal || group.DataRack != "" || p.in.Policy.RemotePenalty <= 1 || group.LongRunning || group.BestEffort ||
		len(p.reserver.of(c.groupID())) > 0 { // reserved room may be on any rack
		return ""
	}
	within := max(p.longestWait(c, p.in.Policy.RemotePenalty), 0)
	best, earliest := "", within+1
	for _, rack := range p.peerRacks(c, spread, waiting) {
		if at, enough := p.locality.roomForAll(p, c, rack, spread, waiting, within); enough && at < earliest {
			best, earliest = rack, at
		}
	}
	return best
}

// peerRacks returns the racks to compare for a candidate: that with most of its runs, or
// those with most room if it has none.
func (p *planner) peerRacks(c candidate, spread spread, waiting int) (racks []string) {
	if len(spread.racks) > 0 {
		for _, rack := range p.locality.names {
			if len(racks) == 0 && spread.racks[rack] > 0 || len(racks) > 0 && spread.racks[rack] > spread.racks[racks[0]] {
				racks = []string{rack}
			}
		}
		return racks
	}
	need, room := demand(c.group.Spec), map[string]int{}
	for _, rack := range p.locality.names {
		for _, l := range p.locality.racks[rack] {
			if p.eligible(c, l, spread) {
				room[rack] += countFitting(need, l.free().Sub(p.locality.promised[l.worker.Key]), waiting)
			}
		}
	}
	racks = slices.Clone(p.locality.names)
	slices.SortStableFunc(racks, func(a, b string) int { return cmp.Compare(room[b], room[a]) })
	return racks[:min(len(racks), maxPeerRacks)]
}

// roomForAll returns the time until a rack has room for a number of tasks of a candidate,
// false if that is later than within.
func (y *locality) roomForAll(p *planner, c candidate, rack string, spread spread, tasks int, within time.Duration) (time.Duration, bool) {
	need, limit := demand(c.group.Spec), tasks
	var times []time.Duration // at which each of the tasks has room
	for _, l := range y.racks[rack] {
		if !p.eligible(c, l, spread) {
			continue
		}
		if perWorker := int(c.group.Spec.MaxPerWorker); perWorker > 0 {
			limit = min(tasks, perWorker-spread.workers[l.worker.Key])
		}
		times = y.forecast.appendRooms(times, l, need, y.promised[l.worker.Key], limit, within)
	}
	if len(times) < tasks {
		return 0, false
	}
	slices.Sort(times)
	return times[tasks-1], true
}

// appendRooms appends the times, up to within, at which a worker has room for one more
// task of a demand, beside what is promised. There are as many as the limit at most.
func (f *forecast) appendRooms(times []time.Duration, l *load, need, promised resource.Vector, limit int, within time.Duration) []time.Duration {
	free, fitting := l.free().Sub(promised), 0
	add := func(at time.Duration) {
		for n := countFitting(need, free, limit); fitting < n; fitting++ {
			times = append(times, at)
		}
	}
	if add(0); fitting == limit || within <= 0 {
		return times
	}
	ends := f.endsOn(l).byLatest
	for i, end := range ends {
		at := end.end.Latest + delayOfAll(ends, i)
		if free = free.Add(end.room); at > within || fitting == limit {
			break
		}
		add(at)
	}
	return times
}

// countFitting returns how many tasks of a demand fit into free room, up to a limit.
func countFitting(need, free resource.Vector, limit int) (tasks int) {
	for tasks < limit && need.Fits(free) {
		free = free.Sub(need)
		tasks++
	}
	return tasks
}

// peers is what the placement of one group's tasks has found out of its peers' rack.
type peers struct {
	decided bool
	rack    string // of peerRack
	full    bool   // it has no room now
	wait    bool   // the latest task waits for it
}

// nearPeers returns the worker for a task of the candidate, given its index and the best
// worker on any rack. It returns nil if the task waits for the rack of its peers.
func (p *planner) nearPeers(c candidate, index int, peers *peers, chosen *load, spread spread) *load {
	if !peers.decided {
		peers.decided, peers.rack = true, p.peerRack(c, spread, countWaitingFrom(c.group, index))
	}
	if peers.rack == "" || chosen.worker.Rack == peers.rack {
		return chosen
	}
	if !peers.full {
		near := c
		near.peerRack = peers.rack
		if l, _ := p.choose(near, spread, nil, false); l != nil {
			return l
		}
		peers.full = true
	}
	if p.waitsForPeers(c, peers, spread) {
		return nil
	}
	return chosen
}

// waitsForPeers reports whether a task of the candidate waits for the rack of its peers,
// which has no room now.
func (p *planner) waitsForPeers(c candidate, peers *peers, spread spread) bool {
	longest := p.longestWait(c, p.in.Policy.RemotePenalty)
	peers.wait = longest > 0 && p.locality.promise(p, c, peers.rack, spread, longest)
	return peers.wait
}
