package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fleet"
	"amaranthpaddle/scheduler"
)

// leaderLoop declares VMs lost, reinstates damped ones, and places and evicts
// tasks, whenever something changed and at least every loopInterval.
func (s *Server) leaderLoop(ctx context.Context) {
	ticker := time.NewTicker(loopInterval)
	defer ticker.Stop()
	for {
		s.loseExpired(ctx)
		s.reinstate(ctx)
		s.schedule(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.work:
		}
	}
}

// loseExpired declares those VMs lost whose lease no agent can still hold.
func (s *Server) loseExpired(ctx context.Context) {
	incarnations := s.state.liveVMs()
	vms := make([]string, 0, len(incarnations))
	for vm := range incarnations {
		vms = append(vms, vm)
	}
	for _, vm := range s.leases.takeExpired(vms, time.Now()) {
		klog.InfoS("VM lost", "vm", vm)
		_, err := s.commit(ctx, &api.Command{Body: &api.Command_LoseVm{LoseVm: &api.LoseVM{
			Vm:          vm,
			Incarnation: incarnations[vm],
		}}})
		if err != nil {
			klog.InfoS("VM not declared lost", "vm", vm, "error", err)
		}
	}
}

// liveVMs returns the incarnations of the VMs that are not lost.
func (s *State) liveVMs() map[string]uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	live := map[string]uint64{}
	for _, vm := range s.registry.VMs() {
		if !vm.Lost {
			live[vm.ID] = vm.Incarnation
		}
	}
	return live
}

func (s *Server) reinstate(ctx context.Context) {
	if !s.state.needsReinstate(time.Now()) {
		return
	}
	_, err := s.commit(ctx, &api.Command{Body: &api.Command_ReinstateVms{ReinstateVms: &api.ReinstateVMs{}}})
	if err != nil {
		klog.InfoS("VMs not reinstated", "error", err)
	}
}

func (s *State) needsReinstate(now time.Time) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.registry.NeedsReinstate(now.UnixMilli())
}

// schedule takes one round of decisions and commits them.
func (s *Server) schedule(ctx context.Context) {
	now := time.Now()
	snapshot := s.state.snapshot(now, s.inTouch(now))
	s.planner.enrich(snapshot)
	s.carryOut(ctx, s.config.Decide(snapshot), now)
}

// inTouch returns a function that tells whether a VM's agent reported within
// the freshness bound and a heartbeat.
func (s *Server) inTouch(now time.Time) func(string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	heard := make(map[string]bool, len(s.sessions))
	for vm, session := range s.sessions {
		heard[vm] = now.Sub(session.view.heard) < 2*s.config.Fresh
	}
	return func(vm string) bool { return heard[vm] }
}

// carryOut commits decisions in their order, in batches of one kind.
func (s *Server) carryOut(ctx context.Context, decisions []scheduler.Decision, now time.Time) {
	place, evict := &api.PlaceTasks{}, &api.EvictTasks{}
	for i := range decisions {
		d := &decisions[i]
		switch d.Action {
		case scheduler.Place:
			place.Placements = append(place.Placements, &api.Placement{
				Task: d.Task, Generation: d.Generation, Vm: d.VM, Grant: fleet.Resources(d.Grant),
			})
		case scheduler.Evict:
			s.planner.allowCheckpoint(d, now)
			evict.Evictions = append(evict.Evictions, &api.Eviction{
				Task: d.Task, Generation: d.Generation, Reason: string(d.Reason),
			})
		case scheduler.Throttle:
			s.planner.throttle(d)
			s.notifyVM(d.VM)
		}
	}
	s.commitEvictions(ctx, evict)
	s.commitPlacements(ctx, place)
}

func (s *Server) commitEvictions(ctx context.Context, evict *api.EvictTasks) {
	if len(evict.Evictions) == 0 {
		return
	}
	result, err := s.commit(ctx, &api.Command{Body: &api.Command_EvictTasks{EvictTasks: evict}})
	logBatch("Evictions", len(evict.Evictions), result, err)
}

func (s *Server) commitPlacements(ctx context.Context, place *api.PlaceTasks) {
	if len(place.Placements) == 0 {
		return
	}
	result, err := s.commit(ctx, &api.Command{Body: &api.Command_PlaceTasks{PlaceTasks: place}})
	logBatch("Placements", len(place.Placements), result, err)
}

func logBatch(kind string, count int, result *api.CommandResult, err error) {
	if err != nil {
		klog.InfoS("Batch not committed", "kind", kind, "count", count, "error", err)
		return
	}
	for _, refused := range result.Refusals {
		if refused != "" {
			klog.V(1).InfoS("Decision no longer held", "kind", kind, "reason", refused)
		}
	}
}

func (s *Server) notifyVM(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session := s.sessions[vm]; session != nil {
		signal(session.notify)
	}
}
