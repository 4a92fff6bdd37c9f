package control

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/fleet"
	"amaranthpaddle/scheduler"
)

// leaderLoop declares VMs lost, reinstates VMs that were suppressed for flapping,
// and runs scheduling rounds. It runs on every change and at least every
// leaderLoopInterval. After a round without decisions, the next one waits for a
// change or for idleInterval, because a round reads every task and most rounds of
// a stable fleet make no decisions.
func (s *Server) leaderLoop(ctx context.Context) {
	ticker := time.NewTicker(leaderLoopInterval)
	defer ticker.Stop()
	changed := true
	var nextRound time.Time
	for {
		s.declareExpiredLost(ctx)
		s.reinstate(ctx)
		if now := time.Now(); changed || !now.Before(nextRound) {
			nextRound = now.Add(idleInterval)
			if s.schedule(ctx) > 0 {
				nextRound = now.Add(leaderLoopInterval)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			changed = false
		case <-s.reschedule:
			changed = true
		}
	}
}

// declareExpiredLost declares the VMs lost whose lease no agent can still hold.
func (s *Server) declareExpiredLost(ctx context.Context) {
	incarnations := s.state.liveVMs()
	vms := make([]string, 0, len(incarnations))
	for vm := range incarnations {
		vms = append(vms, vm)
	}
	for _, vm := range s.leases.takeExpired(vms, time.Now()) {
		klog.InfoS("VM lease expired, declaring the VM lost", "vm", vm)
		s.metrics.vmsLost.Inc()
		_, err := s.commit(ctx, &api.Command{Body: &api.Command_LoseVm{LoseVm: &api.LoseVM{
			Vm:          vm,
			Incarnation: incarnations[vm],
		}}})
		s.leases.resolveLoss(vm)
		if err != nil {
			klog.InfoS("VM not declared lost", "vm", vm, "error", err)
		}
	}
}

// liveVMs returns the agent incarnations of the VMs that are not lost.
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
		klog.InfoS("Suppressed VMs not reinstated", "error", err)
	}
}

func (s *State) needsReinstate(now time.Time) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.registry.NeedsReinstate(now.UnixMilli())
}

// grantedTasks returns the number of tasks that hold a grant.
func (s *State) grantedTasks() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.tasks.GrantCount()
}

// schedule runs one scheduling round: it computes decisions, commits them and
// returns their number.
func (s *Server) schedule(ctx context.Context) int {
	now := time.Now()
	snapshot := s.scheduling.snapshot(now, s.reachable(now))
	if snapshot == nil {
		return 0
	}
	s.runningTasks.Store(int64(s.state.grantedTasks()))
	decisions := s.config.Decide(snapshot)
	s.metrics.decide.UpdateDuration(now)
	s.applyDecisions(ctx, decisions, now)
	return len(decisions)
}

// reachable returns a function that reports whether a VM's agent sent a report
// within the heartbeat timeout before now.
func (s *Server) reachable(now time.Time) func(string) bool {
	timeout := s.heartbeatTimeout()
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := make(map[string]bool, len(s.sessions))
	for vm, session := range s.sessions {
		recent[vm] = now.Sub(session.view.lastReport) < timeout
	}
	return func(vm string) bool { return recent[vm] }
}

// applyDecisions commits the evictions as one batch and then the placements as
// another, each in their order, and passes throttles to the sessions.
func (s *Server) applyDecisions(ctx context.Context, decisions []scheduler.Decision, now time.Time) {
	var place, evict []*scheduler.Decision
	for i := range decisions {
		d := &decisions[i]
		switch d.Action {
		case scheduler.Place:
			place = append(place, d)
		case scheduler.Evict:
			s.scheduling.setCheckpointDeadline(d, now)
			evict = append(evict, d)
		case scheduler.Throttle:
			s.scheduling.setThrottle(d)
			s.metrics.throttles.Inc()
			s.scheduling.recordDecision(d, now)
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

// commitBatch commits decisions of one kind. State refuses the decisions that are
// outdated, one by one; the next round decides about them again.
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
			s.metrics.refusals.Inc()
			klog.V(1).InfoS("Outdated decision refused", "action", d.Action, "task", d.Task, "reason", refused)
			continue
		}
		s.scheduling.recordDecision(d, now)
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
