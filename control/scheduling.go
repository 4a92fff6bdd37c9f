package control

import (
	"sync"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fleet"
	"amaranthpaddle/resource"
	"amaranthpaddle/scheduler"
	"amaranthpaddle/task"
)

// schedulingState is the leader's soft state for scheduling: what the learner has
// learnt, the wanted throttles, and the checkpoint deadlines of evicted runs.
type schedulingState struct {
	state *State

	mu           sync.Mutex // locked before State.mu
	learner      *scheduler.Learner
	lastSnapshot *scheduler.Snapshot // nil before the first

	queueMu   sync.Mutex // a leaf lock
	outcomes  []outcome
	throttles map[string]map[runKey]float64  // by VM; the inner maps are replaced, not changed
	deadlines map[string]checkpointDeadlines // by VM; the inner maps are replaced, not changed
	observed  map[string]observedVM          // by VM, as of the latest snapshot
}

// observedVM holds what the leader knows about a VM beyond the replicated state.
type observedVM struct {
	used        resource.Vector
	quarantined bool
}

// outcome is the committed effect of an agent's report on a task.
type outcome struct {
	at     time.Time
	vm     string
	task   task.Task // as it was after the report
	effect task.Effect
}

// maxOutcomes limits the queued outcomes; further ones are dropped.
const maxOutcomes = 10_000

func newSchedulingState(state *State) *schedulingState {
	s := &schedulingState{state: state}
	s.reset()
	return s
}

// reset starts a new leadership. It discards the state of an earlier leadership;
// what other leaders learnt is not known here.
func (s *schedulingState) reset() {
	s.mu.Lock()
	s.learner = scheduler.NewLearner()
	s.lastSnapshot = nil
	s.mu.Unlock()
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	s.outcomes = nil
	s.throttles = map[string]map[runKey]float64{}
	s.deadlines = map[string]checkpointDeadlines{}
}

// queueOutcomes queues committed outcomes for the learner. It does not wait for a
// running scheduling decision.
func (s *schedulingState) queueOutcomes(outcomes []outcome) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	if len(s.outcomes) < maxOutcomes {
		s.outcomes = append(s.outcomes, outcomes...)
	}
}

func (s *schedulingState) takeOutcomes() []outcome {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	taken := s.outcomes
	s.outcomes = nil
	return taken
}

// snapshot returns the scheduler's input at now, or nil before the first plan. It
// is valid until the next call.
func (s *schedulingState) snapshot(now time.Time, reachable func(vm string) bool) *scheduler.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.takeOutcomes() {
		s.learner.RecordOutcome(o.at, o.vm, &o.task, o.effect)
	}
	s.state.mu.RLock()
	defer s.state.mu.RUnlock()
	if s.state.plan == nil {
		return nil
	}
	snapshot := s.learner.Snapshot(now, s.state.plan, s.state.tasks, s.state.schedulerVMs(reachable))
	s.recordObserved(snapshot)
	s.lastSnapshot = snapshot
	return snapshot
}

// pendingReasons returns, by job ID, why jobs had pending tasks in the last snapshot.
func (s *schedulingState) pendingReasons() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastSnapshot == nil {
		return nil
	}
	return scheduler.WhyJobsPending(s.lastSnapshot)
}

func (s *schedulingState) recordObserved(snapshot *scheduler.Snapshot) {
	observed := make(map[string]observedVM, len(snapshot.VMs))
	for i := range snapshot.VMs {
		vm := &snapshot.VMs[i]
		observed[vm.ID] = observedVM{
			quarantined: vm.Quarantine != scheduler.Trusted,
			used:        snapshot.UsedOn(i),
		}
	}
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	s.observed = observed
}

// observedVMs returns the observations by VM. The caller must not change the map.
func (s *schedulingState) observedVMs() map[string]observedVM {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	return s.observed
}

// schedulerVMs returns the VMs that are not lost. A VM that is suppressed for
// flapping counts as not fresh and gets no new work.
func (s *State) schedulerVMs(reachable func(vm string) bool) []scheduler.VM {
	var list []scheduler.VM
	for _, vm := range s.registry.VMs() {
		if vm.Lost {
			continue
		}
		view := s.schedulerVM(vm)
		view.Fresh = reachable(vm.ID) && !vm.Suppressed
		list = append(list, view)
	}
	return list
}

func (s *State) schedulerVM(vm *fleet.VM) scheduler.VM {
	view := scheduler.VM{
		ID:             vm.ID,
		Zone:           vm.Zone,
		Rack:           vm.Rack,
		Capacity:       vm.Capacity,
		Draining:       vm.Draining || vm.Leaving,
		InServiceSince: time.UnixMilli(vm.InSinceMS),
	}
	if z := s.zones[vm.Zone]; z != nil {
		view.InService = z.inService()
		view.InServiceSince = time.UnixMilli(max(vm.InSinceMS, z.inSinceMS))
	}
	view.OutOfServiceSince = s.outSince(vm)
	return view
}

// outSince returns when the VM or its zone began to be drained, whichever came
// first; it determines how long work may still take to finish there. It is zero
// if neither is being drained, and if the agent is leaving, since the agent then
// only waits for its last run to stop.
func (s *State) outSince(vm *fleet.VM) time.Time {
	var since time.Time
	if vm.Leaving {
		return since
	}
	if vm.Draining {
		since = time.UnixMilli(vm.OutSinceMS)
	}
	z := s.zones[vm.Zone]
	if z == nil || z.inService() {
		return since
	}
	out := time.UnixMilli(z.outSinceMS)
	if since.IsZero() || out.Before(since) {
		return out
	}
	return since
}

// learnUsage passes the usage samples of an agent's report to the learner.
func (s *schedulingState) learnUsage(vm string, samples []*api.UsageSample, now time.Time) {
	if len(samples) == 0 {
		return
	}
	converted := make([]scheduler.Sample, 0, len(samples))
	for _, sample := range samples {
		converted = append(converted, schedulerSample(sample))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.mu.RLock()
	defer s.state.mu.RUnlock()
	known := s.state.registry.VM(vm)
	if known == nil || s.state.plan == nil {
		return
	}
	view := s.state.schedulerVM(known)
	s.learner.RecordUsage(now, &view, converted, s.state.tasks, s.state.plan.LatencyWeight)
}

func schedulerSample(sample *api.UsageSample) scheduler.Sample {
	return scheduler.Sample{
		Task:       sample.Task,
		Generation: sample.Generation,
		Start:      time.UnixMilli(sample.StartUnixMs),
		End:        time.UnixMilli(sample.EndUnixMs),
		Used:       fleet.Vector(sample.Used),
		Speed:      sample.Speed,
		Latency:    time.Duration(sample.LatencyMs * float64(time.Millisecond)),
	}
}

// recordDecision tells the learner about a decision that was committed or, for a
// throttle, made.
func (s *schedulingState) recordDecision(d *scheduler.Decision, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learner.RecordDecision(now, d)
}

// runControls returns the throttles and checkpoint deadlines of a VM's runs.
func (s *schedulingState) runControls(vm string) (map[runKey]float64, checkpointDeadlines) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	return s.throttles[vm], s.deadlines[vm]
}

// setCheckpointDeadline sets the deadline of an evicted run's checkpoint.
func (s *schedulingState) setCheckpointDeadline(d *scheduler.Decision, now time.Time) {
	if d.Grace <= 0 {
		return
	}
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	deadlines := checkpointDeadlines{}
	for key, until := range s.deadlines[d.VM] {
		if now.Sub(until) < deadlineRetention {
			deadlines[key] = until
		}
	}
	deadlines[runKey{d.Task, d.Generation}] = now.Add(d.Grace)
	s.deadlines[d.VM] = deadlines
}

// setThrottle records the wanted throttle of a run.
func (s *schedulingState) setThrottle(d *scheduler.Decision) {
	s.queueMu.Lock()
	defer s.queueMu.Unlock()
	wanted := map[runKey]float64{}
	for key, fraction := range s.throttles[d.VM] {
		if key.task != d.Task {
			wanted[key] = fraction
		}
	}
	wanted[runKey{d.Task, d.Generation}] = d.Fraction
	s.throttles[d.VM] = wanted
}
