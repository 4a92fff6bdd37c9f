package control

import (
	"slices"
	"strings"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fleet"
	"amaranthpaddle/task"
)

// runKey names one run of a task.
type runKey struct {
	task       string
	generation uint64
}

// runView is a run that the table holds on a VM.
type runView struct {
	runKey
	state      task.State
	since      time.Time
	grant      *api.Resources
	checkpoint string
	job        string
	service    string
	workMS     int64
}

// vmSnapshot is what a directive to a VM depends on.
type vmSnapshot struct {
	revision    uint64
	moves       uint64
	known       bool // announced by this incarnation, and not lost
	inService   bool
	takesWork   bool
	incarnation uint64
	runs        []runView
}

// viewVM returns what a directive to the VM depends on.
func (s *State) viewVM(id string, incarnation uint64) vmSnapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	view := vmSnapshot{revision: s.directory().Revision(), moves: s.moves(id)}
	vm := s.registry.VM(id)
	if vm == nil || vm.Lost || vm.Incarnation != incarnation {
		return view
	}
	view.known = true
	view.incarnation = vm.Incarnation
	view.inService = s.inService(vm.Zone)
	view.takesWork = !vm.Draining && !vm.Leaving
	for _, k := range s.tasks.OnVM(id) {
		view.runs = append(view.runs, newRunView(k))
	}
	slices.SortFunc(view.runs, func(a, b runView) int { return strings.Compare(a.task, b.task) })
	return view
}

// refresh brings the view up to date. It reports whether anything but the
// revision may have changed.
func (s *State) refresh(view *vmSnapshot, id string, incarnation uint64) bool {
	s.mu.RLock()
	if view.known && view.incarnation == incarnation && view.moves == s.moves(id) {
		view.revision = s.directory().Revision()
		s.mu.RUnlock()
		return false
	}
	s.mu.RUnlock()
	*view = s.viewVM(id, incarnation)
	return true
}

func newRunView(k *task.Task) runView {
	run := runView{
		runKey:     runKey{k.ID, k.Generation},
		state:      k.State,
		since:      k.Since,
		grant:      fleet.Resources(k.Grant),
		checkpoint: k.Checkpoint,
		job:        k.Job.Name,
		workMS:     k.Job.RunTime.Milliseconds(),
	}
	if k.Job.Class == task.LatencyCritical {
		run.service = k.Job.Name
	}
	return run
}

// sentKind is the kind of a directive about a run.
type sentKind uint8

const (
	sentStart sentKind = iota
	sentStop
)

type sentKey struct {
	runKey
	kind       sentKind
	checkpoint bool
}

// agentRuns is what one session knows of its agent's runs: what the agent has
// listed, and what it was told. It belongs to the session's goroutine.
type agentRuns struct {
	listed    map[runKey]api.TaskPhase
	sent      map[sentKey]time.Time
	throttles map[runKey]float64
}

func newAgentRuns() *agentRuns {
	return &agentRuns{
		listed:    map[runKey]api.TaskPhase{},
		sent:      map[sentKey]time.Time{},
		throttles: map[runKey]float64{},
	}
}

// settled reports whether the agent has done all that it was told to.
func (a *agentRuns) settled() bool { return len(a.sent) == 0 }

// list takes in the statuses of a report.
func (a *agentRuns) list(statuses []*api.TaskStatus) {
	for _, status := range statuses {
		key := runKey{status.Task, status.Generation}
		a.listed[key] = status.Phase
	}
}

func finalPhase(phase api.TaskPhase) bool {
	return phase == api.TaskPhase_TASK_PHASE_STOPPED ||
		phase == api.TaskPhase_TASK_PHASE_FINISHED ||
		phase == api.TaskPhase_TASK_PHASE_FAILED
}

// due reports whether the directive must be sent at now, and records that it is.
func (a *agentRuns) due(key sentKey, now time.Time) bool {
	if at, sent := a.sent[key]; sent && now.Sub(at) < resendAfter {
		return false
	}
	a.sent[key] = now
	return true
}

// directive returns the starts, stops and throttles that are due at now. A
// start needs the zone in service and a VM that takes work.
func (a *agentRuns) directive(view vmSnapshot, throttles map[runKey]float64, deadlines checkpointDeadlines, now time.Time) *api.Directive {
	d := &api.Directive{}
	held := make(map[runKey]bool, len(view.runs))
	for i := range view.runs {
		run := &view.runs[i]
		held[run.runKey] = true
		a.directRun(d, run, view, deadlines, now)
	}
	a.stopUnowned(d, held, now)
	a.throttle(d, held, throttles)
	a.forget(held)
	return d
}

func (a *agentRuns) directRun(d *api.Directive, run *runView, view vmSnapshot, deadlines checkpointDeadlines, now time.Time) {
	_, listed := a.listed[run.runKey]
	switch run.state {
	case task.Starting:
		if !listed && view.inService && view.takesWork && a.due(sentKey{run.runKey, sentStart, false}, now) {
			d.Start = append(d.Start, run.start())
		}
	case task.Running:
		// The worker lost the run, or an earlier incarnation of the agent
		// started it: a confirmed stop lets it run elsewhere.
		if !listed {
			a.stop(d, run.runKey, true, now)
		}
	case task.Stopping:
		a.stop(d, run.runKey, !deadlines.passed(run, now), now)
	case task.Cancelling:
		a.stop(d, run.runKey, false, now)
	}
}

func (a *agentRuns) stop(d *api.Directive, key runKey, checkpoint bool, now time.Time) {
	if a.due(sentKey{key, sentStop, checkpoint}, now) {
		d.Stop = append(d.Stop, &api.StopTask{Task: key.task, Generation: key.generation, Checkpoint: checkpoint})
	}
}

// stopUnowned stops the runs that the agent has and the table does not hold
// there any more.
func (a *agentRuns) stopUnowned(d *api.Directive, held map[runKey]bool, now time.Time) {
	for key, phase := range a.listed {
		if !held[key] && !finalPhase(phase) {
			a.stop(d, key, false, now)
		}
	}
}

func (a *agentRuns) throttle(d *api.Directive, held map[runKey]bool, wanted map[runKey]float64) {
	for key, fraction := range wanted {
		if held[key] && a.throttles[key] != fraction {
			a.throttles[key] = fraction
			d.Throttle = append(d.Throttle, &api.ThrottleTask{Task: key.task, Generation: key.generation, Fraction: fraction})
		}
	}
}

// forget drops what concerns runs that are over.
func (a *agentRuns) forget(held map[runKey]bool) {
	for key, phase := range a.listed {
		if !held[key] && finalPhase(phase) {
			delete(a.listed, key)
		}
	}
	for key := range a.sent {
		_, listed := a.listed[key.runKey]
		if !held[key.runKey] && !listed || listed && key.kind == sentStart {
			delete(a.sent, key)
		}
	}
	for key := range a.throttles {
		if !held[key] {
			delete(a.throttles, key)
		}
	}
}

func (r *runView) start() *api.StartTask {
	return &api.StartTask{
		Task:       r.task,
		Generation: r.generation,
		Grant:      r.grant,
		Checkpoint: r.checkpoint,
		Job:        r.job,
		Service:    r.service,
		WorkMs:     r.workMS,
	}
}

// checkpointDeadlines holds the time by which a stopping run must have taken its
// checkpoint.
type checkpointDeadlines map[runKey]time.Time

// passed reports whether the run's deadline is over. A run that an earlier leader
// asked to stop has checkpointTimeout from then.
func (d checkpointDeadlines) passed(run *runView, now time.Time) bool {
	until, known := d[run.runKey]
	if !known {
		until = run.since.Add(checkpointTimeout)
	}
	return now.After(until)
}
