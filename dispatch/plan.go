package dispatch

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Input is the input to a plan besides the state of the jobs.
type Input struct {
	UnixMS    int64                         // time of day, for scheduled occurrences only
	Age       func(*jobs.Job) time.Duration // time since the submission of the job
	PerCore   func(Pair) float64            // headroom that a service loses per core of best-effort work
	Durations *Durations
	QueueWork *QueueWork
	Workers   []Worker
	// Behind reports whether a run is a straggler: a copy, started now, would
	// likely complete before it. It is nil if nothing is known of runs.
	Behind func(run jobs.RunID) bool
	// HeldForRack returns for how long tasks of a group have waited for the rack of
	// their data although another worker had room. It may be nil.
	HeldForRack func(group jobs.GroupID) time.Duration
	// Run returns the status of an active run, false if nothing is known of it. It may
	// be nil.
	Run    func(run jobs.RunID) (RunStatus, bool)
	Policy Policy
	// Reserved holds the reservations of the last plan, with the times that remain.
	Reserved []Reservation
	// Tickets returns the tickets of a group by worker key, for a queue with an
	// adviser. It returns false while the adviser has not answered.
	Tickets func(queue *api.JobQueue, group jobs.GroupID) (map[string]string, bool)
	// Panicked is told of a panic while a job was planned, and must be set. The job gets
	// no starts in this plan; others are not affected.
	Panicked func(job string, cause any)
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
	p := newPlanner(view, in, unfit)
	all := candidates(view, in)
	p.hold(all)
	for _, c := range p.ownersFirst(all) {
		p.tryPlace(c)
	}
	return p.schedule()
}

// tryPlace places a candidate. After a panic none of its tasks is started; the load
// that was counted for them stays.
func (p *planner) tryPlace(c candidate) {
	placed := len(p.starts)
	defer func() {
		if cause := recover(); cause != nil {
			p.starts = p.starts[:placed]
			p.in.Panicked(c.job.ID, cause)
		}
	}()
	p.place(c)
}

// candidate is a group with tasks that are ready to start.
type candidate struct {
	job        *jobs.Job
	queue      *api.JobQueue
	occurrence int32
	groupIndex int32
	group      *jobs.Group
	lateness   lateness
	lateLast   bool              // as the policy says
	waited     time.Duration     // time since submission, or since the occurrence was due, if no run of the job is active; 0 otherwise
	tickets    map[string]string // from the queue's adviser, by worker key
	density    float64           // value of the job per remaining core-second
	slack      time.Duration     // for which the job may wait and still be in time, 0 for long-running groups
	reserved   int               // for an entry that places only tasks with a reservation, their number
}

// lateness classifies a job by the value that it can still have.
type lateness int

const (
	inTime  lateness = iota // the objective can still be met
	late                    // the objective will be missed; the job has a part of its value
	expired                 // it cannot complete within expiryFactor objectives; the job has no value left
)

// candidates returns the groups with tasks to start, the most urgent first.
//
// The order handles overload, when the workers cannot complete all work in
// time. Work on a job that misses its objective anyway is wasted, so such jobs
// come after those that can still meet it, and jobs with a high value per
// remaining core-second go first. The remaining work of a job shrinks as it
// progresses, so jobs in progress tend to be finished before others are begun.
// Jobs with a task on probation go before others of their kind: such a task needs a
// worker that is starting nothing else.
func candidates(view jobs.View, in Input) []candidate {
	var all []candidate
	view.ActiveJobs(func(job *jobs.Job) {
		if !job.Phase.Ended() {
			all = append(all, tryCandidates(view, in, job)...)
		}
	})
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.rank(), b.rank()),
			cmp.Compare(a.lateness, b.lateness),
			-cmp.Compare(min(a.job.TasksOnProbation(), 1), min(b.job.TasksOnProbation(), 1)),
			-cmp.Compare(a.density, b.density),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.groupIndex, b.groupIndex),
		)
	})
	fairOrder(view, in, all)
	return all
}

// rank returns the sort key for the priority. Expired jobs come after all
// others, and late ones after those in time if the policy says so.
func (c candidate) rank() int {
	switch {
	case c.lateness == expired:
		return expiredRank + int(c.queue.Priority)
	case c.lateness == late && c.lateLast:
		return lateRank + int(c.queue.Priority)
	}
	return int(c.queue.Priority)
}

// lateRank is larger than any priority, and expiredRank than any rank of a late job.
const (
	lateRank    = 1 << 20
	expiredRank = 2 * lateRank
)

// tryCandidates returns the groups of a job with tasks to start, none after a panic.
func tryCandidates(view jobs.View, in Input, job *jobs.Job) (all []candidate) {
	defer func() {
		if cause := recover(); cause != nil {
			all = nil
			in.Panicked(job.ID, cause)
		}
	}()
	return jobCandidates(view, in, job)
}

func jobCandidates(view jobs.View, in Input, job *jobs.Job) []candidate {
	queue := view.QueueOf(job)
	estimate := in.Durations.ForQueue(job.QueueKey)
	objective := Objective(queue, job.Spec, estimate)
	value := in.QueueWork.Value(job.QueueKey, Work(job.Spec, estimate))
	var all []candidate
	for k, occurrence := range job.Occurrences {
		age := in.Age(job)
		if due, scheduled := job.DueMS(int32(k)); scheduled {
			if in.UnixMS < due {
				break
			}
			age = time.Duration(in.UnixMS-due) * time.Millisecond
		}
		for g, group := range occurrence.Groups {
			if group.Done() || !occurrence.Ready(group) {
				continue
			}
			c := candidate{
				job: job, queue: queue, occurrence: int32(k), groupIndex: int32(g), group: group,
				density: value / remainingWork(occurrence, estimate), lateLast: in.Policy.LateLast,
			}
			if !c.anyStartable(in) {
				continue
			}
			if job.ActiveRuns() == 0 {
				c.waited = age
			}
			if !group.Spec.LongRunning {
				needed := remainingCriticalPath(occurrence, estimate)
				c.lateness, c.slack = latenessOf(age, needed, objective), objective-age-needed
			}
			all = append(all, c)
		}
	}
	return all
}

// latenessOf classifies a job by its age and the shortest time that it still
// needs.
func latenessOf(age, needed, objective time.Duration) lateness {
	switch {
	case age+needed > expiryFactor*objective:
		return expired
	case age+needed > objective:
		return late
	}
	return inTime
}

func (c *candidate) anyStartable(in Input) bool {
	for i := range c.group.Tasks {
		if c.startable(i, in) {
			return true
		}
	}
	return false
}

// startable reports whether a task needs a run, or a copy of its only run.
func (c *candidate) startable(index int, in Input) bool {
	return needsRun(c.group, index) || c.needsCopy(index, in)
}

// CountWaiting returns the number of tasks of a group that are not done and
// have no run.
func CountWaiting(group *jobs.Group) (tasks int) {
	for i := range group.Tasks {
		if needsRun(group, i) {
			tasks++
		}
	}
	return tasks
}

// needsRun reports whether a task is not done and has no run.
func needsRun(group *jobs.Group, index int) bool {
	return !group.Tasks[index].Done && len(group.Tasks[index].Runs) == 0
}

// needsCopy reports whether a task of a speculative group has a single run that
// a copy would likely overtake.
func (c *candidate) needsCopy(index int, in Input) bool {
	task := &c.group.Tasks[index]
	if !c.group.Spec.Speculative || c.group.Spec.Gang || task.Done || task.OnProbation() || len(task.Runs) != 1 || in.Behind == nil {
		return false
	}
	return in.Behind(jobs.RunID{Task: c.taskID(index), Number: task.Runs[0].Number})
}

func (c *candidate) taskID(index int) jobs.TaskID {
	return jobs.TaskID{Job: c.job.ID, Occurrence: c.occurrence, Group: c.groupIndex, Index: int32(index)}
}

// planner places candidates in sequence.
type planner struct {
	view     jobs.View
	in       Input
	fleet    *fleetLoad
	unfit    unfitDemands
	reserver *reserver // nil without reservations
	starts   []Start
	locality *locality // nil until a task could start away from its data
}

func newPlanner(view jobs.View, in Input, unfit unfitDemands) *planner {
	return &planner{view: view, in: in, fleet: newFleetLoad(view, in.Workers), unfit: unfit, reserver: newReserver(view, in, unfit != nil)}
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
	spread := p.spreadOf(c)
	placed := 0
	if c.reserved > 0 {
		defer func() { p.reserver.spreads[c.groupID()] = spread }()
	}
	for i := first; i < len(c.group.Tasks); i++ {
		others, probation := c.group.Tasks[i].Runs, onProbation(c.group, i)
		if !c.startable(i, p.in) || c.reserved > 0 && (len(others) > 0 || probation) {
			continue
		}
		chosen, heldBack := p.choose(c, spread, others, probation)
		if chosen == nil && probation {
			continue // the group's other tasks may still find a worker
		}
		if chosen == nil {
			if len(others) == 0 {
				p.noteUnfit(c, heldBack)
				p.reserve(c, i)
			}
			return // all tasks of a group have the same demand
		}
		if len(others) == 0 && !probation && p.waitsForRack(c, chosen, spread) {
			continue
		}
		p.start(c, i, c.group.NextRun(i), chosen, spread)
		c.waited = 0 // a run of the job is active now
		if p.reserver != nil {
			p.settle(c, chosen, countWaitingFrom(c.group, i+1))
		}
		if placed++; placed == c.reserved {
			return
		}
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
	spread := p.spreadOf(c)
	placed := len(p.starts)
	for i := range c.group.Tasks {
		chosen, _ := p.choose(c, spread, nil, false)
		if chosen == nil {
			p.undo(placed, c)
			p.reserve(c, 0)
			return
		}
		p.start(c, i, number, chosen, spread)
	}
	for _, h := range p.reserver.of(c.groupID()) {
		p.release(h)
	}
}

// undo reverts the starts from the given index on.
func (p *planner) undo(from int, c candidate) {
	for _, start := range p.starts[from:] {
		l := p.fleet.byKey[start.Worker]
		p.fleet.add(l, c.group.Spec, -1)
		p.countBackfill(c, l, -1)
		l.starting--
	}
	p.starts = p.starts[:from]
	if p.reserver != nil {
		delete(p.reserver.begun, c.groupID())
	}
}

func (p *planner) start(c candidate, index int, number int32, l *load, spread spread) {
	p.countBackfill(c, l, 1)
	p.fleet.add(l, c.group.Spec, 1)
	p.fleet.addStarting(l, onProbation(c.group, index))
	spread.workers[l.worker.Key]++
	spread.racks[l.worker.Rack]++
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
	for i := range c.group.Tasks {
		for _, run := range c.group.Tasks[i].Runs {
			s.workers[run.Worker]++
			if l := p.fleet.byKey[run.Worker]; l != nil {
				s.racks[l.worker.Rack]++
			}
		}
	}
	return s
}

// choose returns the best worker with capacity for one more task of the
// candidate and without any of the other runs of that task, or nil if there is
// none. heldBack reports whether a reservation keeps the task off a worker.
func (p *planner) choose(c candidate, spread spread, others []jobs.Run, probation bool) (best *load, heldBack bool) {
	need := demand(c.group.Spec)
	var bestScore float64
	for _, l := range p.fleet.workers {
		if !p.eligible(c, l, spread) || !need.Fits(l.free()) {
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
		if s := p.score(c.group.Spec, l, spread, probation); best == nil || s > bestScore {
			best, bestScore = l, s
		}
	}
	return best, heldBack
}

// eligible reports whether a task of the candidate may start on the worker,
// apart from its capacity.
func (p *planner) eligible(c candidate, l *load, spread spread) bool {
	group := c.group.Spec
	if !l.worker.Open || l.probation || !l.worker.allows(c.queue, group) {
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
