package jobcontrol

import (
	"context"
	"slices"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
)

// Operate commits an operator's order at the leader. An order that was accepted
// before is acknowledged again. Errors: fault.InvalidArgument; fault.Stale for one that a
// newer order may have overtaken; fault.NotLeader and fault.NoQuorum when nothing was done;
// fault.CommitUnknown when it may take effect.
func (s *Server) Operate(ctx context.Context, order *api.OperatorOrder) (*api.OperatorAnswer, error) {
	answer, err := s.operate(ctx, order)
	if err != nil {
		return nil, s.toStatus(ctx, err)
	}
	return answer, nil
}

func (s *Server) operate(ctx context.Context, order *api.OperatorOrder) (*api.OperatorAnswer, error) {
	var change *api.JobChange
	switch body := order.Body.(type) {
	case *api.OperatorOrder_Configure:
		if err := jobs.CheckConfiguration(body.Configure); err != nil {
			return nil, err
		}
		change = &api.JobChange{Body: &api.JobChange_Configure{Configure: body.Configure}}
	case *api.OperatorOrder_Zone:
		change = &api.JobChange{Body: &api.JobChange_Zone{Zone: body.Zone}}
	case *api.OperatorOrder_Wave:
		if err := jobs.CheckWave(body.Wave); err != nil {
			return nil, err
		}
		change = &api.JobChange{Body: &api.JobChange_Wave{Wave: body.Wave}}
	default:
		return nil, fault.New(fault.InvalidArgument, "an order of an unknown type")
	}
	lead, err := s.currentLeadership()
	if err != nil {
		return nil, err
	}
	if err := lead.commitOrder(ctx, change, order.SeenIndex); err != nil {
		return nil, err
	}
	return &api.OperatorAnswer{}, nil
}

// dropOvertaken takes operators' orders out of a batch that is about to be proposed: those
// whose caller has left, and those on a zone that would undo an order which may be newer.
// The lock is held.
func (l *leadership) dropOvertaken(next *batch) {
	zonesOut := map[string]bool{} // of the changes that stay in the batch
	next.changes = slices.DeleteFunc(next.changes, func(p *pendingChange) bool {
		if p.caller == nil {
			return false
		}
		if p.caller.Err() != nil {
			p.finish(fault.Wrap(fault.Canceled, p.caller.Err(), "the order was not proposed"))
			return true
		}
		order := p.change.GetZone()
		if order == nil {
			return false
		}
		out, batched := zonesOut[order.Zone]
		if !batched {
			l.assumed.Read(func(view jobs.View) { out = view.ZoneOut(order.Zone) })
		}
		if out != order.Out && (l.zoneOrders.overtaken(order.Zone, p.seen) || batched && p.seen > 0) {
			p.finish(fault.Newf(fault.Stale, "zone %s may have been ordered otherwise after index %d", order.Zone, p.seen))
			return true
		}
		zonesOut[order.Zone] = order.Out
		return false
	})
}

// Configuration returns the configuration in force, confirmed by a quorum. It works
// on any replica. Errors: fault.NotLeader, fault.NoQuorum; fault.NotFound before the
// first configuration.
func (s *Server) Configuration(ctx context.Context) (*api.JobConfiguration, error) {
	if _, err := s.config.Replica.ConfirmRead(ctx); err != nil {
		return nil, err
	}
	var configuration *api.JobConfiguration
	s.config.State.Read(func(view jobs.View) { configuration = view.Configuration() })
	if configuration == nil {
		return nil, fault.New(fault.NotFound, "no configuration yet")
	}
	return configuration, nil
}

// Wave returns a maintenance wave, confirmed by a quorum. It works on any replica.
// Errors: fault.NotLeader, fault.NoQuorum; fault.NotFound.
func (s *Server) Wave(ctx context.Context, id int64) (*api.MaintenanceWave, error) {
	if _, err := s.config.Replica.ConfirmRead(ctx); err != nil {
		return nil, err
	}
	var wave *api.MaintenanceWave
	s.config.State.Read(func(view jobs.View) { wave = view.Wave(id) })
	if wave == nil {
		return nil, fault.Newf(fault.NotFound, "no wave %d", id)
	}
	return wave, nil
}
