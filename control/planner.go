package control

import (
	"sync"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/scheduler"
	"amaranthpaddle/task"
)

// planner is the leader's soft state for scheduling. It is safe for concurrent use.
type planner struct {
	mu        sync.Mutex
	throttles map[string]map[runKey]float64 // by VM
	grace     map[string]graceBook          // by VM
}

func newPlanner() *planner {
	p := &planner{}
	p.reset()
	return p
}

// reset begins a leadership.
func (p *planner) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.throttles = map[string]map[runKey]float64{}
	p.grace = map[string]graceBook{}
}

// note takes in committed ends of runs.
func (p *planner) note(Effects) {}

// observe takes in what an agent measured.
func (p *planner) observe(string, *api.AgentReport) {}

// controls returns the throttles and checkpoint times of a VM's runs.
func (p *planner) controls(vm string) (map[runKey]float64, graceBook) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.throttles[vm], p.grace[vm]
}

// snapshot returns what a decision at now depends on. fresh reports whether a
// VM's agent is in touch.
func (s *State) snapshot(now time.Time, fresh func(vm string) bool) *scheduler.Snapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	snapshot := &scheduler.Snapshot{Now: now}
	if s.plan == nil {
		return snapshot
	}
	snapshot.LatencyWeight = s.plan.LatencyWeight
	for _, t := range s.plan.Teams {
		snapshot.Teams = append(snapshot.Teams, scheduler.Team{Name: t.Name, Quota: t.Quota})
	}
	for _, vm := range s.registry.VMs() {
		if vm.Lost {
			continue
		}
		z := s.zones[vm.Zone]
		view := scheduler.VM{
			ID:       vm.ID,
			Zone:     vm.Zone,
			Rack:     vm.Rack,
			Capacity: vm.Capacity,
			Fresh:    fresh(vm.ID),
			Draining: vm.Draining || vm.Leaving,
			InSince:  time.UnixMilli(vm.InSinceMS),
		}
		if z != nil {
			view.InService = z.inService()
			view.InSince = time.UnixMilli(max(vm.InSinceMS, z.inSinceMS))
		}
		if vm.Suppressed {
			view.Quarantine = scheduler.Quarantined
		}
		snapshot.VMs = append(snapshot.VMs, view)
	}
	for _, vm := range s.tasks.VMs() {
		for _, k := range s.tasks.OnVM(vm) {
			snapshot.Tasks = append(snapshot.Tasks, schedulerTask(k, now))
		}
	}
	for _, k := range s.tasks.Pending() {
		snapshot.Pending = append(snapshot.Pending, schedulerTask(k, now))
	}
	return snapshot
}

func schedulerTask(k *task.Task, now time.Time) scheduler.Task {
	view := scheduler.Task{
		ID:         k.ID,
		Job:        k.Job.ID,
		Team:       k.Job.Team,
		Class:      k.Job.Class,
		State:      k.State,
		Generation: k.Generation,
		VM:         k.VM,
		Grant:      k.Grant,
		Priority:   k.Job.Priority,
		Deadline:   k.Job.Deadline,
		Remaining:  time.Duration((1 - k.Progress) * float64(k.Job.RunTime)),
		NotBefore:  later(k.NotBefore, k.Job.NotBefore),
		Since:      k.Since,
		Movable:    true,
		Trial:      k.Job.Failing(),
		Avoid:      k.Job.FailedVMs,
	}
	if k.State == task.Pending {
		view.Grant = k.Job.Size
		return view
	}
	saved := k.Since
	if k.SavedAt.After(saved) {
		saved = k.SavedAt
	}
	view.AtRisk = now.Sub(saved)
	return view
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// enrich adds to a snapshot what was learnt.
func (p *planner) enrich(*scheduler.Snapshot) {}

// allowCheckpoint limits the time that an evicted run has for its checkpoint.
func (p *planner) allowCheckpoint(d *scheduler.Decision, now time.Time) {
	if d.Grace <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	book := graceBook{}
	for key, until := range p.grace[d.VM] {
		if now.Sub(until) < graceMemory {
			book[key] = until
		}
	}
	book[runKey{d.Task, d.Generation}] = now.Add(d.Grace)
	p.grace[d.VM] = book
}

// throttle records the wanted throttle of a run.
func (p *planner) throttle(d *scheduler.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[runKey]float64{}
	for key, fraction := range p.throttles[d.VM] {
		if key.task != d.Task {
			wanted[key] = fraction
		}
	}
	wanted[runKey{d.Task, d.Generation}] = d.Fraction
	p.throttles[d.VM] = wanted
}
