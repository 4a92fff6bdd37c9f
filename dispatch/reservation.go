package dispatch

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// Reservation holds room on a worker for tasks of a waiting group, until they start.
type Reservation struct {
	Group  jobs.GroupID
	Worker string        // key of the worker's incarnation
	Tasks  int           // for which room is held; several only for a gang
	At     Band          // until the room is there
	Due    time.Duration // from now; at 0 and below, the reservation has missed its forecast
	Misses int           // how many reservations of the group were missed before this one
}

// ReservationKey identifies a reservation: a worker has one of a group at most.
type ReservationKey struct {
	Group  jobs.GroupID
	Worker string
}

// Key returns the reservation's key.
func (r Reservation) Key() ReservationKey { return ReservationKey{r.Group, r.Worker} }

// Schedule is the result of a plan.
type Schedule struct {
	Starts       []Start
	Reservations []Reservation  // to hold until the next plan
	Missed       []Reservation  // dropped because their forecast was wrong
	Backfilled   int            // starts beside a reservation of another group
	Partial      []Start        // those of best-effort runs that find less unused CPU than they declare
	Kept         []Start        // those of best-effort runs whose jobs have stood still; their agents must not pause them
	HeldForRack  []jobs.GroupID // groups with tasks that wait for the rack of their data or peers
	Slowest      JobTime        // the job that took longest, if Input.Clock is set
	Cut          bool           // the plan took Input.MaxTime and left jobs out
}

const (
	// gapFactor is how many times a demand exceeds the mean of the runs that end before
	// it reserves. The end of a run or two makes room for smaller ones.
	gapFactor = 2
	// minReservationTime is how long a reservation lasts at least: two idle rounds of the
	// leader, within which it learns of an end that is due now.
	minReservationTime = 500 * time.Millisecond
	// maxMissDoublings bounds the doubling of a reservation's time with each miss.
	maxMissDoublings = 6
	// maxForecasts is how many workers are compared for a reservation, those first that
	// lack least. It covers the fleets of today and bounds the time of a plan on larger ones.
	maxForecasts = 64
)

// hold is a reservation in the course of a plan.
type hold struct {
	Reservation
	owner   candidate
	need    resource.Vector // of all its tasks
	passing resource.Vector // of starts of this plan that end before the room is needed
}

// reserver holds the reservations of a plan. Each worker has one at most, so that a
// backfill has one time to keep to.
type reserver struct {
	limit     int // of reservations per service
	forecast  *forecast
	holds     []*hold
	missed    []Reservation
	backfills int

	refused  map[placementClass][]refusal // demands that fit only into reserved room
	hopeless unfitDemands                 // demands for which no worker is foreseen
	gaps     map[string]resource.Vector   // by service: mean demand of the runs that end
	begun    map[jobs.GroupID]int         // number of a group's tasks that were tried for its reservations
	spreads  map[jobs.GroupID]spread      // of a group after that
	suitable []lackingLoad                // memory of planner.suitable
}

// newReserver returns nil if the policy allows no reservations. Without remember, each
// demand is compared with each worker.
func newReserver(view jobs.View, in Input, remember bool) *reserver {
	if in.Policy.Reservations <= 0 {
		return nil
	}
	r := &reserver{
		limit: in.Policy.Reservations, forecast: newForecast(view, in), refused: map[placementClass][]refusal{},
		gaps: map[string]resource.Vector{}, begun: map[jobs.GroupID]int{}, spreads: map[jobs.GroupID]spread{},
	}
	if remember {
		r.hopeless = unfitDemands{}
	}
	return r
}

// maxPerGroup returns how many of a service's reservations one group may have: not all
// of them, unless there is only one.
func (r *reserver) maxPerGroup() int { return (r.limit + 1) / 2 }

func (c *candidate) groupID() jobs.GroupID {
	return jobs.GroupID{Job: c.job.ID, Occurrence: c.occurrence, Group: c.groupIndex}
}

// hold takes over the reservations of the input that are still valid.
func (p *planner) hold(all []candidate) {
	r := p.reserver
	if r == nil || len(p.in.Reserved) == 0 {
		return
	}
	owners := map[jobs.GroupID]*candidate{}
	for _, reservation := range p.in.Reserved {
		owners[reservation.Group] = nil
	}
	for i := range all {
		if _, reserved := owners[all[i].groupID()]; reserved {
			owners[all[i].groupID()] = &all[i]
		}
	}
	var broken []jobs.GroupID // gangs that lack a part of their room
	for _, reservation := range p.in.Reserved {
		owner := owners[reservation.Group]
		if owner != nil && !p.tryRevalidate(*owner, reservation) && owner.group.Spec.Gang {
			broken = append(broken, reservation.Group)
		}
	}
	for _, gang := range broken {
		for _, h := range r.of(gang) {
			p.release(h)
		}
	}
	r.alignGangs()
}

// tryRevalidate calls revalidate. After a panic the reservation is dropped.
func (p *planner) tryRevalidate(owner candidate, reservation Reservation) (valid bool) {
	defer func() {
		if cause := recover(); cause != nil {
			valid = false
			p.in.Panicked(owner.job.ID, cause)
		}
	}()
	return p.revalidate(owner, reservation)
}

// revalidate adds a reservation of the input to those held, with its present
// forecast. It reports false if the reservation has missed its forecast or its worker
// is not suitable any more.
func (p *planner) revalidate(owner candidate, reservation Reservation) bool {
	r := p.reserver
	l := p.fleet.byKey[reservation.Worker]
	if reservation.Due <= 0 {
		r.missed = append(r.missed, reservation)
		return false
	}
	need := times(demand(owner.group.Spec), reservation.Tasks)
	if l == nil || l.hold != nil || r.count(owner.queue.Service) >= r.limit ||
		len(r.of(reservation.Group)) >= CountWaiting(owner.group) || !p.mayReserve(owner, l, p.briefSpreadOf(owner), need) {
		return false
	}
	at, foreseen := r.forecast.roomAt(l, need)
	if !foreseen {
		return false
	}
	reservation.At = at
	p.addHold(owner, l, reservation)
	return true
}

func (p *planner) addHold(owner candidate, l *load, reservation Reservation) {
	l.hold = &hold{Reservation: reservation, owner: owner, need: times(demand(owner.group.Spec), reservation.Tasks)}
	p.reserver.holds = append(p.reserver.holds, l.hold)
}

// alignGangs sets the time of each reservation of a gang to the latest of them: its
// tasks start together.
func (r *reserver) alignGangs() {
	latest := map[jobs.GroupID]Band{}
	for _, h := range r.holds {
		at := latest[h.Group]
		latest[h.Group] = Band{Likely: max(at.Likely, h.At.Likely), Latest: max(at.Latest, h.At.Latest)}
	}
	for _, h := range r.holds {
		if h.owner.group.Spec.Gang {
			h.At = latest[h.Group]
		}
	}
}

// mayReserve reports whether a worker may hold room for a candidate.
func (p *planner) mayReserve(c candidate, l *load, spread spread, need resource.Vector) bool {
	shrinking := !(resource.Vector{}).Fits(l.free())
	return !shrinking && need.Fits(l.worker.Capacity.Sub(l.lasting)) && p.eligible(c, l, spread)
}

// release drops a reservation, for a gang all of its reservations. The room may be
// taken from then on.
func (p *planner) release(dropped *hold) {
	r := p.reserver
	r.holds = slices.DeleteFunc(r.holds, func(h *hold) bool {
		drop := h == dropped || h.Group == dropped.Group && h.owner.group.Spec.Gang
		if drop {
			p.fleet.byKey[h.Worker].hold = nil
		}
		return drop
	})
	clear(r.refused)
	clear(r.hopeless)
}

// count returns the number of reservations of a service.
func (r *reserver) count(service string) (n int) {
	for _, h := range r.holds {
		if h.owner.queue.Service == service {
			n++
		}
	}
	return n
}

// of returns the reservations of a group.
func (r *reserver) of(group jobs.GroupID) (holds []*hold) {
	if r == nil {
		return nil
	}
	for _, h := range r.holds {
		if h.Group == group {
			holds = append(holds, h)
		}
	}
	return holds
}

// ownersFirst returns the candidates in the order in which they are placed: those with
// reservations go before others of their rank, with as many tasks as have a reservation.
// They take room that suffices, wherever it is, before backfills do.
func (p *planner) ownersFirst(all []candidate) []candidate {
	if p.reserver == nil || len(p.reserver.holds) == 0 {
		return all
	}
	reserved := map[jobs.GroupID]int{}
	for _, h := range p.reserver.holds {
		reserved[h.Group] += h.Tasks
	}
	ordered := make([]candidate, 0, len(all)+len(reserved))
	for len(all) > 0 {
		n := slices.IndexFunc(all, func(c candidate) bool { return c.rank() != all[0].rank() })
		if n < 0 {
			n = len(all)
		}
		for _, c := range all[:n] {
			if c.reserved = reserved[c.groupID()]; c.reserved > 0 {
				ordered = append(ordered, c)
			}
		}
		ordered = append(ordered, all[:n]...)
		all = all[n:]
	}
	return ordered
}

// firstTask returns the index of the first task that an earlier entry of the
// candidate's group has not tried.
func (p *planner) firstTask(c candidate) int {
	if p.reserver == nil {
		return 0
	}
	return p.reserver.begun[c.groupID()]
}

// settle drops the reservations that a candidate needs no longer after a start on a
// worker, with a number of tasks that still wait.
func (p *planner) settle(c candidate, l *load, waiting int) {
	holds := p.reserver.of(c.groupID())
	slices.SortFunc(holds, func(a, b *hold) int {
		return cmp.Or(-cmp.Compare(boolInt(a.Worker == l.worker.Key), boolInt(b.Worker == l.worker.Key)), -cmp.Compare(a.At.Latest, b.At.Latest))
	})
	for i, h := range holds {
		if h.Worker == l.worker.Key || len(holds)-i > waiting {
			p.release(h)
		}
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// schedule returns the result of the plan.
func (p *planner) schedule() Schedule {
	s := Schedule{Starts: p.starts}
	for _, i := range p.partial {
		s.Partial = append(s.Partial, p.starts[i])
	}
	for _, i := range p.kept {
		s.Kept = append(s.Kept, p.starts[i])
	}
	if p.locality != nil {
		s.HeldForRack = p.locality.held
	}
	if r := p.reserver; r != nil {
		s.Missed, s.Backfilled = r.missed, r.backfills
		for _, h := range r.holds {
			s.Reservations = append(s.Reservations, h.Reservation)
		}
	}
	return s
}

func countWaitingFrom(group *jobs.Group, from int) (tasks int) {
	for i := from; i < len(group.Tasks); i++ {
		if needsRun(group, i) {
			tasks++
		}
	}
	return tasks
}

// times returns n times a demand.
func times(v resource.Vector, n int) resource.Vector {
	return resource.Vector{MilliCPU: int64(n) * v.MilliCPU, MemoryMiB: int64(n) * v.MemoryMiB, Accelerators: int64(n) * v.Accelerators}
}
