package jobcontrol

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
)

// sendDirectives answers reports and sends orders until the session or the
// leadership ends.
func (l *leadership) sendDirectives(ctx context.Context, session *session,
	stream grpc.BidiStreamingServer[api.WorkerReport, api.WorkerDirective]) error {
	for {
		select {
		case <-session.notify:
		case <-l.ctx.Done():
			return fault.New(fault.NotLeader, "this control replica leads no more")
		case <-ctx.Done():
			return fault.New(fault.Canceled, "the session ended")
		}
		directive := l.nextDirective(session)
		if directive == nil {
			continue
		}
		if err := stream.Send(directive); err != nil {
			return fault.Wrap(fault.ConnectionLost, err, "send directive")
		}
	}
}

// nextDirective returns the directive that is due, nil for none.
func (l *leadership) nextDirective(session *session) *api.WorkerDirective {
	members := l.server.memberAddresses()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions[session.agent] != session {
		return nil
	}
	d := &api.WorkerDirective{Acknowledged: session.receivedSeq, Term: l.term, Worker: session.key}
	if l.server.confirmer.Began().IsZero() {
		return nil // an answer would grant no lease; awaitConfirmation signals the session
	}
	if session.answeredSeq != session.receivedSeq {
		d.LeaseMs = l.grantLease(session).Milliseconds()
		d.Members = members
		d.HealthPath = l.healthPath(session.key)
	}
	d.Starts, session.starts = session.starts, nil
	d.Stops, session.stops = session.stops, nil
	d.Recorded, session.recorded = session.recorded, nil
	if session.sendExpected && session.key != "" {
		session.sendExpected = false
		d.ExpectedListed = true
		d.Expected, d.Described = l.expectedRuns(session.key)
	}
	if session.sendKept && session.key != "" {
		session.sendKept = false
		d.KeptListed, d.KeptAtWork = true, l.keptOn(session.key)
	}
	if session.answeredSeq == session.receivedSeq && len(d.Starts)+len(d.Stops)+len(d.Recorded) == 0 && !d.ExpectedListed && !d.KeptListed {
		return nil
	}
	session.answeredSeq = session.receivedSeq
	d.Costs = l.costsFor(session) // counted as sent, so only of a directive that is
	return d
}

// healthPath returns the path of a worker's health check, empty for none. The lock
// is held.
func (l *leadership) healthPath(key string) (path string) {
	view := l.viewOf(key)
	if view == nil {
		return ""
	}
	l.server.config.State.Read(func(state jobs.View) {
		for _, service := range state.Configuration().GetServices() {
			if service.Name == view.worker.Service {
				path = service.HealthPath
			}
		}
	})
	return path
}

// costsFor returns the costs of the pairs of images on the session's worker that
// the agent does not have yet. All pairs of a large fleet, sent to each agent at
// each change, would fill the links between regions. The lock is held.
func (l *leadership) costsFor(session *session) []*api.PairCost {
	var costs []*api.PairCost
	services, bestEffort := l.imagesOn(session.key)
	for service := range services {
		for image := range bestEffort {
			pair := dispatch.Pair{Service: service, BestEffort: image}
			cost := l.knowledge.Interference.PerCore(pair)
			if sent, known := session.sentCosts[pair]; known && !dispatch.CostChanged(sent, cost) {
				continue
			}
			session.sentCosts[pair] = cost
			costs = append(costs, dispatch.PairCost{Pair: pair, PerCore: cost}.Message())
		}
	}
	return costs
}

// imagesOn returns the images of the services and of the best-effort runs that are
// committed on a worker's incarnation.
func (l *leadership) imagesOn(key string) (services, bestEffort map[string]bool) {
	services, bestEffort = map[string]bool{}, map[string]bool{}
	l.server.config.State.Read(func(view jobs.View) {
		view.RunsOn(key, func(_ jobs.RunID, group *jobs.Group) {
			switch {
			case group.Spec.TargetLatencyMs > 0:
				services[group.Spec.Image] = true
			case group.Spec.BestEffort:
				bestEffort[group.Spec.Image] = true
			}
		})
	})
	return services, bestEffort
}

// grantLease returns the lease that answers the latest report, 0 without a recent
// quorum confirmation that this replica leads. It is granted to the worker's incarnation
// that the session reports on and counted there before it is sent; a session without one
// gets none. The lock is held.
func (l *leadership) grantLease(session *session) time.Duration {
	config := &l.server.config
	view := l.viewOf(session.key)
	if view == nil {
		return 0
	}
	age := max(session.receivedAt.Sub(l.server.confirmer.Began()), 0)
	granted := config.Lease - age
	if granted <= 0 {
		return 0
	}
	until := l.server.now().Add(granted + config.leaseMargin())
	if until.After(view.leaseUntil) {
		if !l.openFor(view, l.server.now()) {
			l.signal() // the round after the report may have left the worker out
		}
		view.leaseUntil = until
	}
	return granted
}

// describeRun returns what an agent needs to know of a run besides how to start it.
func describeRun(run jobs.RunID, group *jobs.Group) *api.RunOrder {
	return &api.RunOrder{
		Run: run.Ref(), BestEffort: group.Spec.BestEffort,
		TargetLatencyMs: group.Spec.TargetLatencyMs, Image: group.Spec.Image, MilliCpu: group.Spec.MilliCpu,
	}
}

// expectedRuns returns all committed runs on a worker's incarnation, and descriptions
// of those that matter to the pace of best-effort runs.
func (l *leadership) expectedRuns(key string) (list []*api.RunRef, described []*api.RunOrder) {
	l.server.config.State.Read(func(view jobs.View) {
		view.RunsOn(key, func(run jobs.RunID, group *jobs.Group) {
			list = append(list, run.Ref())
			if group.Spec.BestEffort || group.Spec.TargetLatencyMs > 0 {
				described = append(described, describeRun(run, group))
			}
		})
	})
	return list, described
}
