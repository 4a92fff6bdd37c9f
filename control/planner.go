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

// planner is the leader's soft state for scheduling: what was learnt, wanted
// throttles and the time that evicted runs have for a checkpoint.
type planner struct {
	state *State

	mu      sync.Mutex // before State.mu
	learner *scheduler.Learner
	last    *scheduler.Snapshot // nil before the first

	queueMu   sync.Mutex // a leaf
	outcomes  []outcome
	throttles map[string]map[runKey]float64  // by VM; the inner maps are replaced, not changed
	deadlines map[string]checkpointDeadlines // by VM; likewise
	observed  map[string]observedVM          // by VM, as of the latest snapshot
}

// observedVM is what the leader knows of a VM beyond the replicated state.
type observedVM struct {
	used        resource.Vector
	quarantined bool
}

// outcome is a committed effect of a report.
type outcome struct {
	at     time.Time
	vm     string
	task   task.Task // as it was after the report
	effect task.Effect
}

// maxOutcomes bounds the outcomes that wait to be learnt from.
const maxOutcomes = 10_000

func newPlanner(state *State) *planner {
	p := &planner{state: state}
	p.reset()
	return p
}

// reset begins a leadership: nothing is known of what an earlier leader learnt.
func (p *planner) reset() {
	p.mu.Lock()
	p.learner = scheduler.NewLearner()
	p.last = nil
	p.mu.Unlock()
	p.queueMu.Lock()
	defer p.queueMu.Unlock()
	p.outcomes = nil
	p.throttles = map[string]map[runKey]float64{}
	p.deadlines = map[string]checkpointDeadlines{}
}

// note queues committed outcomes. It does not block on a running decision.
func (p *planner) note(outcomes []outcome) {
	p.queueMu.Lock()
	defer p.queueMu.Unlock()
	if len(p.outcomes) < maxOutcomes {
		p.outcomes = append(p.outcomes, outcomes...)
	}
}

func (p *planner) takeOutcomes() []outcome {
	p.queueMu.Lock()
	defer p.queueMu.Unlock()
	taken := p.outcomes
	p.outcomes = nil
	return taken
}

// snapshot returns what a decision at now depends on, nil before the first
// plan. It is valid until the next call.
func (p *planner) snapshot(now time.Time, reachable func(vm string) bool) *scheduler.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.takeOutcomes() {
		p.learner.RecordOutcome(o.at, o.vm, &o.task, o.effect)
	}
	p.state.mu.RLock()
	defer p.state.mu.RUnlock()
	if p.state.plan == nil {
		return nil
	}
	snapshot := p.learner.Snapshot(now, p.state.plan, p.state.tasks, p.state.schedulerVMs(reachable))
	p.noteObserved(snapshot)
	p.last = snapshot
	return snapshot
}

// pendingReasons returns why jobs waited at the last decision, by the job's ID.
func (p *planner) pendingReasons() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		return nil
	}
	return scheduler.WhyJobsPending(p.last)
}

func (p *planner) noteObserved(snapshot *scheduler.Snapshot) {
	observed := make(map[string]observedVM, len(snapshot.VMs))
	for i := range snapshot.VMs {
		vm := &snapshot.VMs[i]
		observed[vm.ID] = observedVM{
			quarantined: vm.Quarantine != scheduler.Trusted,
			used:        snapshot.UsedOn(i),
		}
	}
	p.queueMu.Lock()
	defer p.queueMu.Unlock()
	p.observed = observed
}

// observedVMs returns what is known by VM; it must not be changed.
func (p *planner) observedVMs() map[string]observedVM {
	p.queueMu.Lock()
	defer p.queueMu.Unlock()
	return p.observed
}

// schedulerVMs returns the VMs that are not lost. A VM that flaps gets no new work.
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

// outSince returns when the VM or its zone began to be emptied; the first of
// both decides how long work may take to finish there. It is zero when neither
// is, and when the agent waits for nothing but its last run to stop.
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

// observe learns from the usage in an agent's report.
func (p *planner) observe(vm string, samples []*api.UsageSample, now time.Time) {
	if len(samples) == 0 {
		return
	}
	converted := make([]scheduler.Sample, 0, len(samples))
	for _, sample := range samples {
		converted = append(converted, schedulerSample(sample))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.mu.RLock()
	defer p.state.mu.RUnlock()
	known := p.state.registry.VM(vm)
	if known == nil || p.state.plan == nil {
		return
	}
	view := p.state.schedulerVM(known)
	p.learner.RecordUsage(now, &view, converted, p.state.tasks, p.state.plan.LatencyWeight)
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

// decided records a decision that was committed or, for a throttle, taken.
func (p *planner) decided(d *scheduler.Decision, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learner.RecordDecision(now, d)
}

// controls returns the throttles and checkpoint times of a VM's runs.
func (p *planner) controls(vm string) (map[runKey]float64, checkpointDeadlines) {
	p.queueMu.Lock()
	defer p.queueMu.Unlock()
	return p.throttles[vm], p.deadlines[vm]
}

// limitCheckpoint sets the deadline of an evicted run's checkpoint.
func (p *planner) limitCheckpoint(d *scheduler.Decision, now time.Time) {
	if d.Grace <= 0 {
		return
	}
	p.queueMu.Lock()
	defer p.queueMu.Unlock()
	deadlines := checkpointDeadlines{}
	for key, until := range p.deadlines[d.VM] {
		if now.Sub(until) < deadlineRetention {
			deadlines[key] = until
		}
	}
	deadlines[runKey{d.Task, d.Generation}] = now.Add(d.Grace)
	p.deadlines[d.VM] = deadlines
}

// throttle records the wanted throttle of a run.
func (p *planner) throttle(d *scheduler.Decision) {
	p.queueMu.Lock()
	defer p.queueMu.Unlock()
	wanted := map[runKey]float64{}
	for key, fraction := range p.throttles[d.VM] {
		if key.task != d.Task {
			wanted[key] = fraction
		}
	}
	wanted[runKey{d.Task, d.Generation}] = d.Fraction
	p.throttles[d.VM] = wanted
}
