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
// tasks, whenever something changed and at least every loopInterval. After a
// round without decisions the next one waits for a change or quietInterval: a
// round reads every task, and most rounds of a settled fleet decide nothing.
func (s *Server) leaderLoop(ctx context.Context) {
	ticker := time.NewTicker(loopInterval)
	defer ticker.Stop()
	changed := true
	var nextRound time.Time
	for {
		s.loseExpired(ctx)
		s.reinstate(ctx)
		if now := time.Now(); changed || !now.Before(nextRound) {
			nextRound = now.Add(quietInterval)
			if s.schedule(ctx) > 0 {
				nextRound = now.Add(loopInterval)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			changed = false
		case <-s.work:
			changed = true
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
		s.metrics.vmsLost.Inc()
		_, err := s.commit(ctx, &api.Command{Body: &api.Command_LoseVm{LoseVm: &api.LoseVM{
			Vm:          vm,
			Incarnation: incarnations[vm],
		}}})
		s.leases.resolved(vm)
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

// holdingTasks returns how many tasks hold a grant.
func (s *State) holdingTasks() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.tasks.GrantCount()
}

// schedule takes one round of decisions, commits them and returns how many there were.
func (s *Server) schedule(ctx context.Context) int {
	now := time.Now()
	snapshot := s.planner.snapshot(now, s.reachable(now))
	if snapshot == nil {
		return 0
	}
	s.runningTasks.Store(int64(s.state.holdingTasks()))
	decisions := s.config.Decide(snapshot)
	s.metrics.decide.UpdateDuration(now)
	s.carryOut(ctx, decisions, now)
	return len(decisions)
}

// reachable returns a function that tells whether a VM's agent last reported
// within the heartbeat timeout.
func (s *Server) reachable(now time.Time) func(string) bool {
	bound := s.heartbeatTimeout()
	s.mu.Lock()
	defer s.mu.Unlock()
	heard := make(map[string]bool, len(s.sessions))
	for vm, session := range s.sessions {
		heard[vm] = now.Sub(session.view.heard) < bound
	}
	return func(vm string) bool { return heard[vm] }
}

// carryOut commits decisions in their order, evictions and placements in one
// batch each, and passes throttles to the sessions.
func (s *Server) carryOut(ctx context.Context, decisions []scheduler.Decision, now time.Time) {
	var place, evict []*scheduler.Decision
	for i := range decisions {
		d := &decisions[i]
		switch d.Action {
		case scheduler.Place:
			place = append(place, d)
		case scheduler.Evict:
			s.planner.limitCheckpoint(d, now)
			evict = append(evict, d)
		case scheduler.Throttle:
			s.planner.throttle(d)
			s.metrics.throttles.Inc()
			s.planner.decided(d, now)
			s.notifyVM(d.VM)
		}
	}
	s.commitBatch(ctx, evict, evictCommand(evict), now)
	s.commitBatch(ctx, place, placeCommand(place), now)
}

func evictCommand(decisions []*scheduler.Decision) *api.Command {
	body := &api.EvictTasks{}
	for _, d := range decisions {
		body.Evictions = append(body.Evictions, &api.Eviction{
			Task: d.Task, Generation: d.Generation, Reason: string(d.Reason),
		})
	}
	return &api.Command{Body: &api.Command_EvictTasks{EvictTasks: body}}
}

func placeCommand(decisions []*scheduler.Decision) *api.Command {
	body := &api.PlaceTasks{}
	for _, d := range decisions {
		body.Placements = append(body.Placements, &api.Placement{
			Task: d.Task, Generation: d.Generation, Vm: d.VM, Grant: fleet.Resources(d.Grant),
		})
	}
	return &api.Command{Body: &api.Command_PlaceTasks{PlaceTasks: body}}
}

// commitBatch commits decisions of one kind. Those that no longer hold are
// refused one by one; the next round decides anew.
func (s *Server) commitBatch(ctx context.Context, decisions []*scheduler.Decision, command *api.Command, now time.Time) {
	if len(decisions) == 0 {
		return
	}
	result, err := s.commit(ctx, command)
	if err != nil {
		klog.InfoS("Decisions not committed", "count", len(decisions), "error", err)
		return
	}
	for i, d := range decisions {
		if refused := result.Refusals[i]; refused != "" {
			s.metrics.refused.Inc()
			klog.V(1).InfoS("Decision no longer held", "action", d.Action, "task", d.Task, "reason", refused)
			continue
		}
		s.planner.decided(d, now)
		s.countDecision(d)
		klog.V(1).InfoS("Decision committed", "action", d.Action, "task", d.Task, "vm", d.VM, "reason", d.Reason)
	}
}

func (s *Server) countDecision(d *scheduler.Decision) {
	if d.Action == scheduler.Place {
		s.metrics.placements.Inc()
		return
	}
	s.metrics.evictions.Inc()
}

func (s *Server) notifyVM(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session := s.sessions[vm]; session != nil {
		signal(session.notify)
	}
}
