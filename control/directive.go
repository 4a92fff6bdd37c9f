package control

import (
	"slices"
	"strings"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fleet"
	"amaranthpaddle/task"
)

// runKey identifies one run of a task.
type runKey struct {
	task       string
	generation uint64
}

// runView is a copy of what the task table holds about a run on a VM.
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

// vmSnapshot is a copy of the replicated state on which a directive to a VM depends.
type vmSnapshot struct {
	revision    uint64
	version     uint64
	known       bool // announced by this agent incarnation and not lost
	inService   bool
	takesWork   bool
	incarnation uint64
	runs        []runView
}

// snapshotVM returns a new snapshot of the VM for the agent incarnation.
func (s *State) snapshotVM(id string, incarnation uint64) vmSnapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	view := vmSnapshot{revision: s.directory().Revision(), version: s.directiveVersion(id)}
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

// refresh updates the snapshot. It reports whether anything other than the
// revision may have changed.
func (s *State) refresh(view *vmSnapshot, id string, incarnation uint64) bool {
	s.mu.RLock()
	if view.known && view.incarnation == incarnation && view.version == s.directiveVersion(id) {
		view.revision = s.directory().Revision()
		s.mu.RUnlock()
		return false
	}
	s.mu.RUnlock()
	*view = s.snapshotVM(id, incarnation)
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

// directiveKind is the kind of a directive about a run.
type directiveKind uint8

const (
	directiveStart directiveKind = iota
	directiveStop
)

type directiveKey struct {
	runKey
	kind       directiveKind
	checkpoint bool
}

// agentRuns holds what one session knows about its agent's runs: what the agent
// has reported and what it was sent. It is owned by the session's goroutine.
type agentRuns struct {
	reported  map[runKey]api.TaskPhase
	sent      map[directiveKey]time.Time
	throttles map[runKey]float64
}

func newAgentRuns() *agentRuns {
	return &agentRuns{
		reported:  map[runKey]api.TaskPhase{},
		sent:      map[directiveKey]time.Time{},
		throttles: map[runKey]float64{},
	}
}

// caughtUp reports whether no directive about a run awaits its effect.
func (a *agentRuns) caughtUp() bool { return len(a.sent) == 0 }

// recordStatuses records the phases in an agent's report.
func (a *agentRuns) recordStatuses(statuses []*api.TaskStatus) {
	for _, status := range statuses {
		key := runKey{status.Task, status.Generation}
		a.reported[key] = status.Phase
	}
}

func isTerminal(phase api.TaskPhase) bool {
	return phase == api.TaskPhase_TASK_PHASE_STOPPED ||
		phase == api.TaskPhase_TASK_PHASE_FINISHED ||
		phase == api.TaskPhase_TASK_PHASE_FAILED
}

// due reports whether the directive must be sent at now. If so, it records the
// directive as sent.
func (a *agentRuns) due(key directiveKey, now time.Time) bool {
	if at, sent := a.sent[key]; sent && now.Sub(at) < resendInterval {
		return false
	}
	a.sent[key] = now
	return true
}

// directive returns the starts, stops and throttles that are due at now. Tasks
// are started only if the zone is in service and the VM accepts work.
func (a *agentRuns) directive(view vmSnapshot, throttles map[runKey]float64, deadlines checkpointDeadlines, now time.Time) *api.Directive {
	d := &api.Directive{}
	owned := make(map[runKey]bool, len(view.runs))
	for i := range view.runs {
		run := &view.runs[i]
		owned[run.runKey] = true
		a.addRunDirective(d, run, view, deadlines, now)
	}
	a.stopUnowned(d, owned, now)
	a.addThrottles(d, owned, throttles)
	a.prune(owned)
	return d
}

func (a *agentRuns) addRunDirective(d *api.Directive, run *runView, view vmSnapshot, deadlines checkpointDeadlines, now time.Time) {
	_, reported := a.reported[run.runKey]
	switch run.state {
	case task.Starting:
		if !reported && view.inService && view.takesWork && a.due(directiveKey{run.runKey, directiveStart, false}, now) {
			d.Start = append(d.Start, run.startTask())
		}
	case task.Running:
		// The worker lost the run, or an earlier agent incarnation started
		// it. Once the stop is confirmed, the task can be placed again.
		if !reported {
			a.addStop(d, run.runKey, true, now)
		}
	case task.Stopping:
		a.addStop(d, run.runKey, !deadlines.passed(run, now), now)
	case task.Cancelling:
		a.addStop(d, run.runKey, false, now)
	}
}

func (a *agentRuns) addStop(d *api.Directive, key runKey, checkpoint bool, now time.Time) {
	if a.due(directiveKey{key, directiveStop, checkpoint}, now) {
		d.Stop = append(d.Stop, &api.StopTask{Task: key.task, Generation: key.generation, Checkpoint: checkpoint})
	}
}

// stopUnowned stops the runs that the agent reports but the task table no longer
// assigns to its VM.
func (a *agentRuns) stopUnowned(d *api.Directive, owned map[runKey]bool, now time.Time) {
	for key, phase := range a.reported {
		if !owned[key] && !isTerminal(phase) {
			a.addStop(d, key, false, now)
		}
	}
}

func (a *agentRuns) addThrottles(d *api.Directive, owned map[runKey]bool, wanted map[runKey]float64) {
	for key, fraction := range wanted {
		if owned[key] && a.throttles[key] != fraction {
			a.throttles[key] = fraction
			d.Throttle = append(d.Throttle, &api.ThrottleTask{Task: key.task, Generation: key.generation, Fraction: fraction})
		}
	}
}

// prune drops the entries of ended runs, and sent starts that the agent has reported.
func (a *agentRuns) prune(owned map[runKey]bool) {
	for key, phase := range a.reported {
		if !owned[key] && isTerminal(phase) {
			delete(a.reported, key)
		}
	}
	for key := range a.sent {
		_, reported := a.reported[key.runKey]
		if !owned[key.runKey] && !reported || reported && key.kind == directiveStart {
			delete(a.sent, key)
		}
	}
	for key := range a.throttles {
		if !owned[key] {
			delete(a.throttles, key)
		}
	}
}

func (r *runView) startTask() *api.StartTask {
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

// checkpointDeadlines holds the time by which each stopping run must have taken
// its checkpoint.
type checkpointDeadlines map[runKey]time.Time

// passed reports whether the run's deadline has passed. If an earlier leader
// requested the stop, the deadline is checkpointTimeout after that request.
func (d checkpointDeadlines) passed(run *runView, now time.Time) bool {
	until, known := d[run.runKey]
	if !known {
		until = run.since.Add(checkpointTimeout)
	}
	return now.After(until)
}
