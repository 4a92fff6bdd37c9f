package dispatch

import (
	"slices"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Input is the input to a plan besides the state of the jobs.
type Input struct {
	UnixMS int64                         // time of day, for scheduled occurrences only
	Age    func(*jobs.Job) time.Duration // time since the submission of the job
	// Idle returns for how long a job has had no run at work: one that is active and not
	// paused. If it is nil, the time since the submission stands in for jobs without
	// active runs.
	Idle func(*jobs.Job) time.Duration
	// TaskIdle returns for how long a waiting task of a long-running group has had no run. If
	// it is nil, the time since the submission of its job stands in.
	TaskIdle  func(jobs.TaskID) time.Duration
	PerCore   func(Pair) float64 // headroom that a service loses per core of best-effort work
	Durations *Durations
	QueueWork *QueueWork
	Workers   []Worker
	// Behind reports whether a run is a straggler: a copy, started now, would
	// likely complete before it. It is nil if nothing is known of runs.
	Behind func(run jobs.RunID) bool
	// HeldForRack returns for how long tasks of a group have waited for the rack of
	// their data or peers although another worker had room. It may be nil.
	HeldForRack func(group jobs.GroupID) time.Duration
	// Run returns the status of an active run, false if nothing is known of it. It may
	// be nil.
	Run    func(run jobs.RunID) (RunStatus, bool)
	Policy Policy
	// ZoneWeights returns the weights of a queue's zones in fair shares; see ZoneDemand.
	// Zones without a weight have 1. It may be nil.
	ZoneWeights func(queue string) map[string]float64
	// Reserved holds the reservations of the last plan, with the times that remain.
	Reserved []Reservation
	// Paused reports whether a task does not start yet, after a crash of its worker. It may be
	// nil.
	Paused func(task jobs.TaskID) bool
	// CrashedUnder returns the keys of the workers of VMs that have crashed under a task on
	// probation. It may be nil.
	CrashedUnder func(task jobs.TaskID) []string
	// Tickets returns the tickets of a group by worker key, for a queue with an
	// adviser. It returns false while the adviser has not answered.
	Tickets func(queue *api.JobQueue, group jobs.GroupID) (map[string]string, bool)
	// Panicked is told of a panic while a job was planned, and must be set. The job gets
	// no starts in this plan; others are not affected.
	Panicked func(job string, cause any)
	// MaxRuns bounds the runs on all workers, 0 for no bound. Jobs with few runs may exceed it.
	MaxRuns int
	// Clock measures the plan. If it is nil, nothing is measured and MaxTime has no effect.
	Clock func() time.Time
	// MaxTime is the time after which a plan leaves out the jobs that it has not looked at,
	// 0 for no bound. The jobs that it looks at first differ from plan to plan.
	MaxTime time.Duration

	clock *planClock // of the present plan, nil outside of one
}

// Start is a decision to start a run.
type Start struct {
	Run    jobs.RunID
	Worker string // key of the worker's incarnation
}

// Plan returns the runs to start now, the most urgent first. Each start assumes
// that those before it are carried out.
func Plan(view jobs.View, in Input) []Start { return MakeSchedule(view, in).Starts }

// MakeSchedule returns the starts of Plan with the reservations to hold.
func MakeSchedule(view jobs.View, in Input) Schedule { return plan(view, in, unfitDemands{}) }

func plan(view jobs.View, in Input, unfit unfitDemands) Schedule {
	in.clock = newPlanClock(in.Clock, in.MaxTime)
	p := newPlanner(view, in, unfit)
	all := candidates(view, in)
	p.hold(all)
	p.clearing = newClearing(in.Workers, all)
	in.clock.nextPhase()
	for i, c := range p.ownersFirst(all) {
		p.tryPlace(c)
		if i%lapCandidates == 0 && in.clock.lap(c.job.ID) || p.full() {
			break
		}
	}
	s := p.schedule()
	in.clock.report(&s)
	return s
}

// tryPlace places a candidate. After a panic none of its tasks is started; the load
// that was counted for them stays.
func (p *planner) tryPlace(c candidate) {
	placed := len(p.starts)
	defer func() {
		if cause := recover(); cause != nil {
			p.dropStarts(placed)
			p.in.Panicked(c.job.ID, cause)
		}
	}()
	p.place(c)
}

// planner places candidates in sequence.
type planner struct {
	view     jobs.View
	in       Input
	fleet    *fleetLoad
	unfit    unfitDemands
	reserver *reserver // nil without reservations
	starts   []Start
	clearing clearing  // nil outside of a plan
	locality *locality // nil until a task could start away from its data
	passing  spread    // of briefSpreadOf

	idleServices map[string]idleService // results of mostlyUnused
	partialFits  *partialFits           // nil if the policy asks for whole fits
	partial      []int                  // indexes of starts with less unused CPU than they declare
	kept         []int                  // indexes of starts of best-effort runs whose jobs have stood still
}

func newPlanner(view jobs.View, in Input, unfit unfitDemands) *planner {
	return &planner{
		view: view, in: in, fleet: loadFleet(view, in), unfit: unfit,
		reserver: newReserver(view, in, unfit != nil), partialFits: newPartialFits(view, in),
	}
}

func (p *planner) place(c candidate) {
	if c.queue.Advice != nil {
		tickets, known := p.in.Tickets(c.queue, c.groupID())
		if !known {
			return
		}
		c.tickets = tickets
	}
	first := p.firstTask(c)
	c.few = c.hasFewRuns(0)
	if class, need := p.classOf(c); p.unfit.covers(class, need) || p.refuses(c, class, need) {
		p.reserve(c, first)
		return
	}
	if c.group.Spec.Gang {
		p.placeGang(c, first)
		return
	}
	p.placeTasks(c, first)
}

// placeTasks places the tasks of a candidate from an index on, until one fits nowhere.
func (p *planner) placeTasks(c candidate, first int) {
	spread := p.briefSpreadOf(c)
	if c.reserved > 0 {
		spread = p.spreadOf(c)
		defer func() { p.reserver.spreads[c.groupID()] = spread }()
	}
	placed, peers := 0, peers{}
	for i := first; i < len(c.group.Tasks); i++ {
		others, probation := c.group.Tasks[i].Runs, onProbation(c.group, i)
		c.crashes = c.group.Tasks[i].Crashes()
		plain := len(others) == 0 && !probation && c.crashes == 0
		if !c.startable(i, p.in) || c.reserved > 0 && !plain || plain && peers.wait && p.waitsForPeers(c, &peers, spread) {
			continue
		}
		if probation || c.crashes > 0 {
			others = p.avoidCrashed(c, i, spread, others)
		}
		chosen, heldBack := p.choose(c, spread, others, probation)
		if chosen == nil && (probation || c.crashes > 0) {
			continue // the group's other tasks may still find a worker
		}
		if chosen == nil {
			if len(others) == 0 {
				p.noteUnfit(c, heldBack)
				p.reserve(c, i)
			}
			return // all tasks of a group have the same demand
		}
		if plain {
			chosen = p.nearPeers(c, i, &peers, chosen, spread)
		}
		if chosen == nil || plain && p.waitsForRack(c, chosen, spread) {
			continue
		}
		p.start(c, i, c.group.NextRun(i), chosen, spread)
		c.markAtWork()
		if p.reserver != nil {
			p.settle(c, chosen, countWaitingFrom(c.group, i+1))
		}
		if placed++; placed == c.reserved || p.full() {
			return
		}
		c.few = c.hasFewRuns(placed)
	}
}

// placeGang places all tasks of a gang or none.
func (p *planner) placeGang(c candidate, first int) {
	for i := range c.group.Tasks {
		if i < first || !needsRun(c.group, i) {
			return // it starts in this plan, or an earlier run of it has not ended on all workers
		}
	}
	number := c.group.NextRun(0)
	spread := p.briefSpreadOf(c)
	placed, peers := len(p.starts), peers{}
	for i := range c.group.Tasks {
		chosen, _ := p.choose(c, spread, nil, false)
		if chosen == nil {
			p.undo(placed, c)
			p.reserve(c, 0)
			return
		}
		if chosen = p.nearPeers(c, i, &peers, chosen, spread); chosen == nil {
			p.undo(placed, c)
			return
		}
		p.start(c, i, number, chosen, spread)
	}
	for _, h := range p.reserver.of(c.groupID()) {
		p.release(h)
	}
}

// dropStarts drops the starts from the given index on.
func (p *planner) dropStarts(from int) {
	p.starts = p.starts[:from]
	dropped := func(start int) bool { return start >= from }
	p.partial, p.kept = slices.DeleteFunc(p.partial, dropped), slices.DeleteFunc(p.kept, dropped)
}

// undo reverts the starts from the given index on.
func (p *planner) undo(from int, c candidate) {
	for _, start := range p.starts[from:] {
		l := p.fleet.byKey[start.Worker]
		p.fleet.add(l, c.group.Spec, -1)
		p.countBackfill(c, l, -1)
		l.starting--
		l.crashes -= squaredCrashes(c.group, start.Run.Task.Index)
	}
	p.dropStarts(from)
	if p.reserver != nil {
		delete(p.reserver.begun, c.groupID())
	}
}

func (p *planner) start(c candidate, index int, number int32, l *load, spread spread) {
	if c.group.Spec.BestEffort && !hasUnclaimedCPU(c, l) {
		p.partial = append(p.partial, len(p.starts))
	}
	p.countBackfill(c, l, 1)
	p.fleet.add(l, c.group.Spec, 1)
	p.fleet.addStarting(l, onProbation(c.group, index))
	l.crashes += squaredCrashes(c.group, int32(index))
	spread.workers[l.worker.Key]++
	spread.racks[l.worker.Rack]++
	if c.group.Spec.BestEffort && c.idle > 0 && p.standsStill(c) && p.mayKeep(c, l) {
		p.kept = append(p.kept, len(p.starts))
		l.keep(c.group.Spec)
	}
	p.starts = append(p.starts, Start{
		Run:    jobs.RunID{Task: c.taskID(index), Number: number},
		Worker: l.worker.Key,
	})
	if p.reserver != nil && c.reserved > 0 {
		p.reserver.begun[c.groupID()] = index + 1
	}
}

// spread counts the runs of one group by worker and by rack, those included that were
// started for its reservations.
type spread struct {
	workers map[string]int
	racks   map[string]int
}

func (p *planner) spreadOf(c candidate) spread {
	if p.reserver != nil {
		if s, begun := p.reserver.spreads[c.groupID()]; begun {
			return s
		}
	}
	s := spread{workers: map[string]int{}, racks: map[string]int{}}
	p.countRuns(c, s)
	return s
}

// briefSpreadOf is as spreadOf, for a spread that is used until the next call only.
func (p *planner) briefSpreadOf(c candidate) spread {
	if p.reserver != nil {
		if s, begun := p.reserver.spreads[c.groupID()]; begun {
			return s
		}
	}
	if p.passing.workers == nil {
		p.passing = spread{workers: map[string]int{}, racks: map[string]int{}}
	}
	clear(p.passing.workers)
	clear(p.passing.racks)
	// The placement of other groups does not depend on where their runs are.
	if group := c.group.Spec; group.MaxPerWorker > 0 || group.LongRunning || group.RackLocal {
		p.countRuns(c, p.passing)
	}
	return p.passing
}

// countRuns adds the runs of a candidate's group to a spread.
func (p *planner) countRuns(c candidate, s spread) {
	for i := range c.group.Tasks {
		for _, run := range c.group.Tasks[i].Runs {
			s.workers[run.Worker]++
			if l := p.fleet.byKey[run.Worker]; l != nil {
				s.racks[l.worker.Rack]++
			}
		}
	}
}

// choose returns the best worker with capacity for one more task of the
// candidate and without any of the other runs of that task, or nil if there is
// none. heldBack reports whether a reservation keeps the task off a worker.
func (p *planner) choose(c candidate, spread spread, others []jobs.Run, probation bool) (best *load, heldBack bool) {
	need := demand(c.group.Spec)
	var bestScore float64
	for _, l := range p.fleet.workers {
		if !need.Fits(l.free()) || !p.eligible(c, l, spread) {
			continue
		}
		if probation && !p.fleet.allowsProbation(l) {
			continue
		}
		if slices.ContainsFunc(others, func(run jobs.Run) bool { return run.Worker == l.worker.Key }) {
			continue
		}
		if p.heldBack(c, l) {
			heldBack = true
			continue
		}
		s := p.score(c.group.Spec, l, spread, probation)
		if c.crashes > 0 {
			// The next crash tells apart tasks that the latest one met together.
			s -= weightCrashes * float64(l.crashes)
		}
		if best == nil || s > bestScore {
			best, bestScore = l, s
		}
	}
	return best, heldBack
}

// eligible reports whether a task of the candidate may start on the worker,
// apart from its capacity.
func (p *planner) eligible(c candidate, l *load, spread spread) bool {
	group := c.group.Spec
	if !l.worker.Open || l.probation || p.atRunLimit(c, l) || p.isKept(c, l) || !l.worker.allows(c.queue, group) || c.peerRack != "" && c.peerRack != l.worker.Rack {
		return false
	}
	if c.queue.Advice != nil && c.tickets[l.worker.Key] == "" {
		return false
	}
	if group.BestEffort && !p.allowsBestEffort(c, l) {
		return false
	}
	return group.MaxPerWorker == 0 || spread.workers[l.worker.Key] < int(group.MaxPerWorker)
}
