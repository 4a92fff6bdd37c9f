package dispatch

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// reserve makes reservations for a candidate whose tasks, from an index on, fit
// nowhere. A gang reserves for all of its tasks or for none.
func (p *planner) reserve(c candidate, from int) {
	r := p.reserver
	if r == nil || c.reserved > 0 || c.group.Spec.BestEffort || c.queue.Advice != nil || c.job.TasksOnProbation() > 0 {
		return
	}
	waiting, allowed := countWaitingFrom(c.group, from), r.allowance(c)
	own := len(r.of(c.groupID()))
	gang := c.group.Spec.Gang
	if gang && (own > 0 || waiting < len(c.group.Tasks)) {
		return
	}
	workers, tasks := min(waiting-own, allowed), 1
	if workers <= 0 || !p.wide(c) {
		return
	}
	if gang {
		tasks = (waiting + allowed - 1) / allowed
		workers = (waiting + tasks - 1) / tasks
	}
	class, one := p.classOf(c)
	need := times(one, tasks)
	if r.hopeless.covers(class, need) {
		return
	}
	rooms := p.foreseenRooms(c, need)
	if len(rooms) == 0 {
		r.hopeless.note(c, class, need)
	}
	if len(rooms) == 0 || gang && len(rooms) < workers {
		return
	}
	p.reserveRooms(c, rooms[:min(workers, len(rooms))], waiting, tasks)
}

// allowance returns how many reservations a candidate may add, those of less urgent
// groups included, which give way.
func (r *reserver) allowance(c candidate) int {
	free, own := r.limit, 0
	for _, h := range r.holds {
		if h.owner.queue.Service == c.queue.Service && h.owner.rank() <= c.rank() {
			free--
		}
		if h.Group == c.groupID() {
			own++
		}
	}
	return min(free, r.maxPerGroup()-own)
}

// foreseenRoom is a worker and the time at which it has room.
type foreseenRoom struct {
	l      *load
	at     Band
	missed bool // a reservation of the group on this worker was missed
}

// foreseenRooms returns the workers that will have room for a demand of the candidate,
// the earliest first and those that missed their forecast last.
func (p *planner) foreseenRooms(c candidate, need resource.Vector) (rooms []foreseenRoom) {
	suitable := p.suitable(c, need)
	rooms = make([]foreseenRoom, 0, len(suitable))
	for _, s := range suitable {
		l := s.load
		if at, foreseen := p.reserver.forecast.roomAt(l, need); foreseen {
			missed := slices.ContainsFunc(p.reserver.missed, func(m Reservation) bool {
				return m.Group == c.groupID() && m.Worker == l.worker.Key
			})
			rooms = append(rooms, foreseenRoom{l, at, missed})
		}
	}
	slices.SortStableFunc(rooms, func(a, b foreseenRoom) int {
		return cmp.Or(cmp.Compare(boolInt(a.missed), boolInt(b.missed)),
			cmp.Compare(a.at.Latest, b.at.Latest),
			cmp.Compare(a.at.Likely, b.at.Likely))
	})
	return rooms
}

// suitable returns the maxForecasts workers that may hold room for a candidate and lack
// least of it.
func (p *planner) suitable(c candidate, need resource.Vector) []lackingLoad {
	spread, rank := p.briefSpreadOf(c), c.rank()
	suitable := p.reserver.suitable[:0]
	for _, l := range p.fleet.workers {
		if (l.hold == nil || l.hold.owner.rank() > rank) && p.mayReserve(c, l, spread, need) {
			suitable = append(suitable, lackingLoad{l, missingShare(l, need)})
		}
	}
	p.reserver.suitable = suitable // the next call uses the same memory
	if len(suitable) > maxForecasts {
		slices.SortStableFunc(suitable, func(a, b lackingLoad) int { return cmp.Compare(a.lacking, b.lacking) })
		suitable = suitable[:maxForecasts]
	}
	return suitable
}

// lackingLoad is a worker and how much of a demand it lacks.
type lackingLoad struct {
	*load
	lacking float64
}

// missingShare returns how much of a demand a worker lacks, as a share of its capacity
// in the resource that it lacks most.
func missingShare(l *load, need resource.Vector) float64 {
	lack, capacity := need.Sub(l.free()), l.worker.Capacity
	return max(0,
		float64(lack.MilliCPU)/float64(max(capacity.MilliCPU, 1)),
		float64(lack.MemoryMiB)/float64(max(capacity.MemoryMiB, 1)),
		float64(lack.Accelerators)/float64(max(capacity.Accelerators, 1)))
}

// reserveRooms reserves the rooms for a number of waiting tasks. Reservations of less
// urgent groups on the same workers, and above the limit of the service, are dropped.
func (p *planner) reserveRooms(c candidate, rooms []foreseenRoom, waiting, tasks int) {
	r := p.reserver
	misses := 0
	for _, m := range r.missed {
		if m.Group == c.groupID() {
			misses = max(misses, m.Misses+1)
		}
	}
	last := Band{}
	for _, room := range rooms {
		last = Band{Likely: max(last.Likely, room.at.Likely), Latest: max(last.Latest, room.at.Latest)}
	}
	for _, room := range rooms {
		if room.l.hold != nil {
			p.release(room.l.hold)
		}
		if r.count(c.queue.Service) >= r.limit {
			p.release(r.leastUrgent(c.queue.Service))
		}
		at := room.at
		if c.group.Spec.Gang {
			at = last
		}
		p.addHold(c, room.l, Reservation{
			Group: c.groupID(), Worker: room.l.worker.Key, Tasks: min(tasks, waiting), At: at, Due: timeToMiss(at, misses), Misses: misses,
		})
		waiting -= tasks
	}
}

// timeToMiss returns the time after which a reservation has missed its forecast for
// longer than the forecast's band. It doubles with each miss, so that a group whose
// forecasts are always too short keeps a worker in the end.
func timeToMiss(at Band, misses int) time.Duration {
	return max(2*at.Latest-at.Likely, minReservationTime) << min(misses, maxMissDoublings)
}

// leastUrgent returns the least urgent reservation of a service.
func (r *reserver) leastUrgent(service string) (least *hold) {
	for _, h := range r.holds {
		if h.owner.queue.Service == service && (least == nil || h.owner.rank() >= least.owner.rank()) {
			least = h
		}
	}
	return least
}

// wide reports whether a candidate's tasks need more room than the end of a run or two
// sets free, or many places at once.
func (p *planner) wide(c candidate) bool {
	if c.group.Spec.Gang {
		return true
	}
	gap, known := p.reserver.gaps[c.queue.Service]
	if !known {
		gap = p.meanEnding(c.queue.Service)
		p.reserver.gaps[c.queue.Service] = gap
	}
	return !demand(c.group.Spec).Fits(times(gap, gapFactor))
}

// meanEnding returns the mean demand of the runs of a service that end by themselves.
// Best-effort runs count by their memory only.
func (p *planner) meanEnding(service string) resource.Vector {
	var sum resource.Vector
	var runs, counted int64
	for _, l := range p.fleet.workers {
		if l.worker.Service != service {
			continue
		}
		p.view.RunsOn(l.worker.Key, func(_ jobs.RunID, group *jobs.Group) {
			if group.Spec.LongRunning {
				return
			}
			sum = sum.Add(demand(group.Spec))
			runs++
			if !group.Spec.BestEffort {
				counted++
			}
		})
	}
	return resource.Vector{
		MilliCPU: sum.MilliCPU / max(counted, 1), MemoryMiB: sum.MemoryMiB / max(runs, 1), Accelerators: sum.Accelerators / max(runs, 1),
	}
}
