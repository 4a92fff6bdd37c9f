package dispatch

import (
	"cmp"
	"slices"

	"amaranthpaddle/api"
	"amaranthpaddle/jobs"
	"amaranthpaddle/resource"
)

// Limits of an explanation.
const (
	maxExplainedGroups  = 32
	maxExplainedWorkers = 32 // in each group
)

// Explanation tells what the next plan does with the waiting tasks of one job, and why.
type Explanation struct {
	Job           string             `json:"job,omitempty"` // empty for a job that is not sent
	Queue         string             `json:"queue"`
	Service       string             `json:"service"`
	Phase         string             `json:"phase"`
	Priority      int32              `json:"priority"` // 0 is the most urgent
	Groups        []GroupExplanation `json:"groups"`   // that are not done
	GroupsOmitted int                `json:"groups_omitted"`
	Admission     *Admission         `json:"admission,omitempty"` // of a job that is not sent
}

// Admission is the verdict on a job that is not sent.
type Admission struct {
	Refused      bool   `json:"refused"`
	Reason       string `json:"reason,omitempty"`
	WaitMS       int64  `json:"wait_ms"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// Values of GroupExplanation.State.
const (
	GroupReady     = "ready"     // in the order of the plan
	GroupRunning   = "running"   // no task waits
	GroupBlocked   = "blocked"   // an earlier group is not done
	GroupScheduled = "scheduled" // its occurrence is not due
)

// GroupExplanation tells what the next plan does with one group of a job.
type GroupExplanation struct {
	Occurrence int32  `json:"occurrence"`
	Group      int32  `json:"group"`
	State      string `json:"state"`
	Tasks      int    `json:"tasks"`
	Waiting    int    `json:"waiting"` // tasks that are not done and have no run

	// The place of a ready group in the order.
	Lateness     string  `json:"lateness,omitempty"`
	Density      float64 `json:"density"`       // value of the job per remaining core-second
	GroupsBefore int     `json:"groups_before"` // of the service, with tasks to start

	Starts         int            `json:"starts"`  // copies of stragglers included
	Workers        []WorkerStarts `json:"workers"` // that the starts are on, the one with most first
	WorkersOmitted int            `json:"workers_omitted"`

	Left      int              `json:"left"`                // tasks that still wait after the plan
	Obstacles map[Obstacle]int `json:"obstacles,omitempty"` // workers by what keeps these tasks from them
	Details   map[Obstacle]int `json:"details,omitempty"`   // of the workers that are closed or held, as far as known
	Room      *RoomForecast    `json:"room,omitempty"`      // nil if no room can be foreseen

	Reservations []RoomForecast `json:"reservations,omitempty"` // that the plan holds for the group
}

// WorkerStarts is the number of starts of a group on a worker.
type WorkerStarts struct {
	Worker string `json:"worker"`
	Rack   string `json:"rack"`
	Zone   string `json:"zone"`
	Starts int    `json:"starts"`
}

// RoomForecast is the time until a worker has room for a number of tasks, by the ends of
// the runs on it; see Band.
type RoomForecast struct {
	Worker   string `json:"worker"`
	Tasks    int    `json:"tasks"`
	LikelyMS int64  `json:"likely_ms"`
	LatestMS int64  `json:"latest_ms"`
}

// String returns the name of a lateness in answers.
func (l lateness) String() string {
	switch l {
	case inTime:
		return "in-time"
	case late:
		return "late"
	}
	return "expired"
}

// ExplainJob explains what Plan does with a job for the same view and input. It returns
// false for an unknown job. It makes one plan, and compares the tasks of at most
// maxExplainedGroups groups with each worker once.
func ExplainJob(view jobs.View, in Input, id string) (Explanation, bool) {
	job := view.Job(id)
	if job == nil || job.Spec == nil {
		return Explanation{}, false
	}
	queue := view.QueueOf(job)
	e := Explanation{
		Job: id, Queue: job.QueueKey, Service: queue.GetService(), Phase: job.Phase.String(), Priority: queue.GetPriority(),
		Groups: []GroupExplanation{},
	}
	if job.Phase.Ended() {
		return e, true
	}
	x := newExplainer(view, in, job)
	job.Unfinished(func(k int32, occurrence *jobs.Occurrence) bool {
		for g, group := range occurrence.Groups {
			if group.Done() {
				continue
			}
			if len(e.Groups) == maxExplainedGroups {
				e.GroupsOmitted++
				continue
			}
			e.Groups = append(e.Groups, x.describe(k, int32(g), occurrence, group))
		}
		return true
	})
	x.explainReady(e.Groups)
	return e, true
}

// explainer retraces a plan up to the groups of one job.
type explainer struct {
	*planner
	job      *jobs.Job
	schedule Schedule
	order    []candidate // a group with reservations has two turns in it
	turns    map[jobs.GroupID]turns
	rest     []turnStart // starts that are not retraced yet
	forecast *forecast
	times    map[*jobs.Group]expectedTimes
	planned  map[string][]roomEnd // by worker key: ends of retraced starts that the forecast doesn't have yet
}

// turns are the places of a group in the order.
type turns struct {
	first, last int
	reserved    int // tasks that are placed at the first turn, if there are two
}

// turnStart is a start with the turn that it was made at.
type turnStart struct {
	Start
	turn int
}

func newExplainer(view jobs.View, in Input, job *jobs.Job) *explainer {
	x := &explainer{
		planner: newPlanner(view, in, nil), job: job, schedule: MakeSchedule(view, in), turns: map[jobs.GroupID]turns{},
		forecast: newForecast(view, in), times: map[*jobs.Group]expectedTimes{}, planned: map[string][]roomEnd{},
	}
	all := candidates(view, in)
	x.hold(all)
	x.order, x.clearing = x.ownersFirst(all), newClearing(in.Workers, all)
	for i, c := range x.order {
		if t, again := x.turns[c.groupID()]; again {
			x.turns[c.groupID()] = turns{first: t.first, last: i, reserved: x.order[t.first].reserved}
		} else {
			x.turns[c.groupID()] = turns{first: i, last: i}
		}
	}
	seen := map[jobs.GroupID]int{}
	for _, start := range x.schedule.Starts {
		group := start.Run.Task.GroupID()
		t := x.turns[group]
		turn := t.last
		if seen[group]++; seen[group] <= t.reserved {
			turn = t.first
		}
		x.rest = append(x.rest, turnStart{start, turn})
	}
	slices.SortStableFunc(x.rest, func(a, b turnStart) int { return cmp.Compare(a.turn, b.turn) })
	return x
}

func (x *explainer) describe(occurrenceIndex, index int32, occurrence *jobs.Occurrence, group *jobs.Group) GroupExplanation {
	e := GroupExplanation{
		Occurrence: occurrenceIndex, Group: index, Tasks: len(group.Tasks), Waiting: CountWaiting(group),
		State: GroupRunning, Workers: []WorkerStarts{},
	}
	due, scheduled := x.job.DueMS(occurrenceIndex)
	_, ordered := x.turns[jobs.GroupID{Job: x.job.ID, Occurrence: occurrenceIndex, Group: index}]
	switch {
	case ordered:
		e.State = GroupReady
	case scheduled && x.in.UnixMS < due:
		e.State = GroupScheduled
	case !occurrence.Ready(group):
		e.State = GroupBlocked
	}
	return e
}

// explainReady fills in the ready groups, in the order of the plan.
func (x *explainer) explainReady(groups []GroupExplanation) {
	byTurn := map[int]*GroupExplanation{}
	for i := range groups {
		if groups[i].State == GroupReady {
			byTurn[x.turns[jobs.GroupID{Job: x.job.ID, Occurrence: groups[i].Occurrence, Group: groups[i].Group}].last] = &groups[i]
		}
	}
	service, before := x.view.QueueOf(x.job).GetService(), 0
	for i, c := range x.order {
		if e := byTurn[i]; e != nil {
			e.Lateness, e.Density, e.GroupsBefore = c.lateness.String(), c.density, before
			x.retrace(i)
			x.explain(c, e)
		}
		if c.queue.GetService() == service && x.turns[c.groupID()].last == i {
			before++
		}
	}
}

// retrace adds the starts up to a turn to the load.
func (x *explainer) retrace(turn int) {
	for len(x.rest) > 0 && x.rest[0].turn <= turn {
		start := x.rest[0].Start
		x.rest = x.rest[1:]
		l, group := x.fleet.byKey[start.Worker], x.groupOf(start)
		x.fleet.add(l, group.Spec, 1)
		x.fleet.addStarting(l, onProbation(group, int(start.Run.Task.Index)))
		x.expectEnd(l, start, group)
	}
}

// explain fills in what the plan does with a candidate, whose starts are retraced.
func (x *explainer) explain(c candidate, e *GroupExplanation) {
	spread, onWorker := x.spreadOf(c), map[string]int{}
	e.Left = e.Waiting
	for _, start := range x.schedule.Starts {
		if start.Run.Task.GroupID() != c.groupID() {
			continue
		}
		c.markAtWork() // as in the plan
		onWorker[start.Worker]++
		spread.workers[start.Worker]++
		e.Starts++
		if needsRun(c.group, int(start.Run.Task.Index)) {
			e.Left--
		}
	}
	e.setWorkers(onWorker, x.fleet)
	for _, r := range x.schedule.Reservations {
		if r.Group == c.groupID() {
			e.Reservations = append(e.Reservations, RoomForecast{
				Worker: r.Worker, Tasks: r.Tasks, LikelyMS: r.At.Likely.Milliseconds(), LatestMS: r.At.Latest.Milliseconds(),
			})
		}
	}
	if e.Left > 0 {
		x.explainLeft(c, spread, e)
	}
}

// expectEnd notes the end of a run that the plan starts.
func (x *explainer) expectEnd(l *load, start Start, group *jobs.Group) {
	if group.Spec.LongRunning {
		return
	}
	times, known := x.times[group]
	if !known {
		times = x.in.Durations.RunTimes.of(x.view.Job(start.Run.Task.Job).QueueKey, group.Spec)
		x.times[group] = times
	}
	resumed := Resumed(group.Tasks[start.Run.Task.Index], start.Run)
	end := times.remaining(RunStatus{Pace: FullPace}, resumed)
	x.planned[l.worker.Key] = append(x.planned[l.worker.Key], roomEnd{end, demand(group.Spec)})
}

// roomAt is as that of the forecast, with the ends of the runs that the plan starts.
func (x *explainer) roomAt(l *load, need resource.Vector) (Band, bool) {
	if planned := x.planned[l.worker.Key]; len(planned) > 0 {
		ends := x.forecast.endsOn(l)
		ends.byLikely, ends.byLatest = slices.Concat(ends.byLikely, planned), slices.Concat(ends.byLatest, planned)
		slices.SortFunc(ends.byLikely, func(a, b roomEnd) int { return cmp.Compare(a.end.Likely, b.end.Likely) })
		slices.SortFunc(ends.byLatest, func(a, b roomEnd) int { return cmp.Compare(a.end.Latest, b.end.Latest) })
		x.forecast.ends[l.worker.Key] = ends
		delete(x.planned, l.worker.Key)
	}
	return x.forecast.roomAt(l, need)
}

func (x *explainer) groupOf(start Start) *jobs.Group {
	group, _ := x.view.Job(start.Run.Task.Job).Task(start.Run.Task)
	return group
}

func (e *GroupExplanation) setWorkers(onWorker map[string]int, fleet *fleetLoad) {
	for key, starts := range onWorker {
		w := fleet.byKey[key].worker
		e.Workers = append(e.Workers, WorkerStarts{Worker: key, Rack: w.Rack, Zone: w.Zone, Starts: starts})
	}
	slices.SortFunc(e.Workers, func(a, b WorkerStarts) int {
		return cmp.Or(-cmp.Compare(a.Starts, b.Starts), cmp.Compare(a.Worker, b.Worker))
	})
	e.WorkersOmitted = max(len(e.Workers)-maxExplainedWorkers, 0)
	e.Workers = e.Workers[:len(e.Workers)-e.WorkersOmitted]
}

// explainLeft counts what keeps the tasks that are left from the workers, and finds
// the worker that likely has room first.
func (x *explainer) explainLeft(c candidate, spread spread, e *GroupExplanation) {
	if c.queue.Advice != nil {
		c.tickets, _ = x.in.Tickets(c.queue, c.groupID())
	}
	counts, apart := newObstacles(), x.apartOf(c, spread)
	e.Obstacles, e.Details = counts.Workers, counts.Details
	for _, l := range x.fleet.workers {
		obstacle := cmp.Or(x.obstacle(c, l, spread, apart), ObstacleHeld)
		counts.add(obstacle)
		if waitsForEnds(obstacle, c.group.Spec) {
			x.noteRoom(e, l, demand(c.group.Spec))
		}
	}
}

// waitsForEnds reports whether a worker has room as soon as runs on it have ended. A
// best-effort task also depends on the CPU that is unused, of which there is no forecast.
func waitsForEnds(obstacle Obstacle, group *api.TaskGroup) bool {
	return obstacle == ObstacleMemory || obstacle == ObstacleCPU && !group.BestEffort
}

func (x *explainer) noteRoom(e *GroupExplanation, l *load, need resource.Vector) {
	at, foreseeable := x.roomAt(l, need)
	if !foreseeable {
		return
	}
	room := RoomForecast{Worker: l.worker.Key, Tasks: 1, LikelyMS: at.Likely.Milliseconds(), LatestMS: at.Latest.Milliseconds()}
	if e.Room == nil || cmp.Or(cmp.Compare(room.LikelyMS, e.Room.LikelyMS), cmp.Compare(room.Worker, e.Room.Worker)) < 0 {
		e.Room = &room
	}
}
