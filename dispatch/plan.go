package dispatch

import (
	"cmp"
	"slices"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
)

// Input is what a plan rests on besides the jobs.
type Input struct {
	UnixMS    int64                         // time of day, for scheduled occurrences only
	Age       func(*jobs.Job) time.Duration // since the job was submitted
	PerCore   func(Pair) float64            // headroom that a core of best-effort work costs a service
	Durations *Durations
	Works     *Works
	Workers   []Worker
	// Behind reports whether a copy of a run would likely be done before it; nil
	// when nothing is known of runs.
	Behind func(run jobs.RunID) bool
	// Tickets returns the tickets of a group by worker key, for a queue with an
	// adviser, and false while they are not known.
	Tickets func(queue *api.JobQueue, group jobs.GroupID) (map[string]string, bool)
}

// Start is a decision to begin a run.
type Start struct {
	Run    jobs.RunID
	Worker string // key of the worker's incarnation
}

// Plan returns the runs to begin now, in the order of their urgency. Each start
// holds after those before it.
func Plan(view jobs.View, in Input) []Start {
	p := planner{view: view, in: in, loads: loads(view, in.Workers)}
	for _, c := range candidates(view, in) {
		p.place(c)
	}
	return p.starts
}

// candidate is a group with tasks that could start.
type candidate struct {
	job        *jobs.Job
	queue      *api.JobQueue
	occurrence int32
	index      int32
	group      *jobs.Group
	lateness   lateness
	waited     time.Duration     // since the job was submitted, while nothing of it runs; 0 otherwise
	tickets    map[string]string // of the queue's adviser, by worker key
	density    float64           // worth of the job for each core-second that it still needs
}

// lateness says what a job is still worth.
type lateness int

const (
	inTime    lateness = iota // the objective can still be met
	late                      // worth a part
	worthless                 // past the time in which a late job counts
)

// candidates returns the groups with tasks to start, the most urgent first.
//
// The load pattern that this answers: more work than the workers can do in
// time. Then work on a job that misses its objective all the same is wasted, and
// a job that needs little for what it is worth goes first. A job that has begun
// needs less and less, so it is finished rather than left for the next one.
func candidates(view jobs.View, in Input) []candidate {
	var all []candidate
	view.ActiveJobs(func(job *jobs.Job) {
		if !job.Phase.Ended() {
			all = append(all, jobCandidates(view, in, job)...)
		}
	})
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.rank(), b.rank()),
			cmp.Compare(a.lateness, b.lateness),
			-cmp.Compare(a.density, b.density),
			cmp.Compare(a.job.ID, b.job.ID),
			cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.index, b.index),
		)
	})
	return all
}

// rank orders by priority; worthless jobs come after all others.
func (c candidate) rank() int {
	if c.lateness == worthless {
		return worthlessRank + int(c.queue.Priority)
	}
	return int(c.queue.Priority)
}

// worthlessRank exceeds any priority.
const worthlessRank = 1 << 20

func jobCandidates(view jobs.View, in Input, job *jobs.Job) []candidate {
	queue := view.QueueOf(job)
	expect := in.Durations.Of(job.QueueKey)
	objective := Objective(queue, job.Spec, expect)
	worth := in.Works.Worth(job.QueueKey, Work(job.Spec, expect))
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
				job: job, queue: queue, occurrence: int32(k), index: int32(g), group: group,
				density: worth / remainingWork(occurrence, expect),
			}
			if !c.anyStartable(in) {
				continue
			}
			if job.Active() == 0 {
				c.waited = age
			}
			if !group.Spec.LongRunning {
				c.lateness = latenessOf(age, remainingChain(occurrence, expect), objective)
			}
			all = append(all, c)
		}
	}
	return all
}

// latenessOf judges a job by its age and the time that it needs at least.
func latenessOf(age, needed, objective time.Duration) lateness {
	switch {
	case age > lateFactor*objective:
		return worthless
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

// startable reports whether a task needs a run, or a copy of the one that it has.
func (c *candidate) startable(index int, in Input) bool {
	return waits(c.group, index) || c.copyable(index, in)
}

// WaitingIn returns how many tasks of a group have no run and need one.
func WaitingIn(group *jobs.Group) (tasks int) {
	for i := range group.Tasks {
		if waits(group, i) {
			tasks++
		}
	}
	return tasks
}

// waits reports whether a task has no run and needs one.
func waits(group *jobs.Group, index int) bool {
	return !group.Tasks[index].Done && len(group.Tasks[index].Runs) == 0
}

// copyable reports whether a second run of a task would likely be done before
// the first.
func (c *candidate) copyable(index int, in Input) bool {
	task := &c.group.Tasks[index]
	if !c.group.Spec.Speculative || c.group.Spec.Gang || task.Done || len(task.Runs) != 1 || in.Behind == nil {
		return false
	}
	return in.Behind(jobs.RunID{Task: c.task(index), Number: task.Runs[0].Number})
}

func (c *candidate) task(index int) jobs.TaskID {
	return jobs.TaskID{Job: c.job.ID, Occurrence: c.occurrence, Group: c.index, Index: int32(index)}
}

// planner places candidates one after the other.
type planner struct {
	view   jobs.View
	in     Input
	loads  []*load
	starts []Start
}

func (p *planner) place(c candidate) {
	if c.queue.Advice != nil {
		tickets, known := p.in.Tickets(c.queue, jobs.GroupID{Job: c.job.ID, Occurrence: c.occurrence, Group: c.index})
		if !known {
			return
		}
		c.tickets = tickets
	}
	if c.group.Spec.Gang {
		p.placeGang(c)
		return
	}
	spread := p.spreadOf(c)
	for i := range c.group.Tasks {
		if !c.startable(i, p.in) {
			continue
		}
		chosen := p.choose(c, spread, c.group.Tasks[i].Runs)
		if chosen == nil {
			return // the tasks of a group need the same room
		}
		p.start(c, i, c.group.NextRun(i), chosen, spread)
		c.waited = 0 // something of the job runs now
	}
}

// placeGang places all tasks of a gang or none.
func (p *planner) placeGang(c candidate) {
	for i := range c.group.Tasks {
		if !waits(c.group, i) {
			return // an earlier run of the gang has not ended everywhere
		}
	}
	number := c.group.NextRun(0)
	spread := p.spreadOf(c)
	placed := len(p.starts)
	for i := range c.group.Tasks {
		chosen := p.choose(c, spread, nil)
		if chosen == nil {
			p.undo(placed, c)
			return
		}
		p.start(c, i, number, chosen, spread)
	}
}

// undo takes back the starts from a position on.
func (p *planner) undo(from int, c candidate) {
	for _, start := range p.starts[from:] {
		for _, l := range p.loads {
			if l.worker.Key == start.Worker {
				l.remove(c.group.Spec)
			}
		}
	}
	p.starts = p.starts[:from]
}

func (p *planner) start(c candidate, index int, number int32, l *load, spread spread) {
	l.add(c.group.Spec)
	spread.workers[l.worker.Key]++
	spread.racks[l.worker.Rack]++
	p.starts = append(p.starts, Start{
		Run:    jobs.RunID{Task: c.task(index), Number: number},
		Worker: l.worker.Key,
	})
}

// spread counts the runs of one group by where they are.
type spread struct {
	workers map[string]int
	racks   map[string]int
}

func (p *planner) spreadOf(c candidate) spread {
	s := spread{workers: map[string]int{}, racks: map[string]int{}}
	for i := range c.group.Tasks {
		for _, run := range c.group.Tasks[i].Runs {
			s.workers[run.Worker]++
			for _, l := range p.loads {
				if l.worker.Key == run.Worker {
					s.racks[l.worker.Rack]++
				}
			}
		}
	}
	return s
}

// choose returns the best worker with room for one more task of the candidate
// and without any of the task's other runs, nil when there is none.
func (p *planner) choose(c candidate, spread spread, others []jobs.Run) *load {
	need := demand(c.group.Spec)
	var best *load
	var bestScore float64
	for _, l := range p.loads {
		if !p.fits(c, l, spread) || !need.Fits(l.free()) {
			continue
		}
		if slices.ContainsFunc(others, func(run jobs.Run) bool { return run.Worker == l.worker.Key }) {
			continue
		}
		if s := p.score(c.group.Spec, l, spread); best == nil || s > bestScore {
			best, bestScore = l, s
		}
	}
	return best
}

// fits reports whether the group may start on a worker, room apart.
func (p *planner) fits(c candidate, l *load, spread spread) bool {
	group := c.group.Spec
	if !l.worker.Open || !l.worker.allows(c.queue, group) {
		return false
	}
	if c.queue.Advice != nil && c.tickets[l.worker.Key] == "" {
		return false
	}
	if group.BestEffort && !p.mayFill(c, l) {
		return false
	}
	return group.MaxPerWorker == 0 || spread.workers[l.worker.Key] < int(group.MaxPerWorker)
}
