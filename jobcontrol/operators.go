package jobcontrol

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/fault"
	"amaranthpaddle/telemetry"
)

// Operators accepts operators' orders on any replica and forwards them to the leader.
type Operators struct {
	Server *Server
	Client *controlclient.Client
}

// Configure puts a configuration in force, unless one with the same or a higher
// version is. Errors: fault.InvalidArgument; fault.NotLeader and fault.NoQuorum when
// nothing was done; fault.CommitUnknown when it may take effect.
func (o Operators) Configure(ctx context.Context, configuration *api.JobConfiguration) error {
	return o.order(ctx, &api.OperatorOrder{Body: &api.OperatorOrder_Configure{Configure: configuration}})
}

// SetZone takes a zone out of service or returns it to service. Errors are those of
// Configure, and fault.Stale when a newer order may have overtaken this one, which then
// isn't carried out.
func (o Operators) SetZone(ctx context.Context, zone string, out bool) error {
	return o.order(ctx, &api.OperatorOrder{Body: &api.OperatorOrder_Zone{Zone: &api.ZoneOrder{Zone: zone, Out: out}}})
}

// BeginWave begins a maintenance wave, unless it has begun. Errors are those of
// Configure.
func (o Operators) BeginWave(ctx context.Context, wave *api.MaintenanceWave) error {
	return o.order(ctx, &api.OperatorOrder{Body: &api.OperatorOrder_Wave{Wave: wave}})
}

// Wave returns a maintenance wave; see Server.Wave.
func (o Operators) Wave(ctx context.Context, id int64) (*api.MaintenanceWave, error) {
	return o.Server.Wave(ctx, id)
}

// Configuration returns the configuration in force; see Server.Configuration.
func (o Operators) Configuration(ctx context.Context) (*api.JobConfiguration, error) {
	return o.Server.Configuration(ctx)
}

// order carries out an order that has just been read. It refuses one that may have waited
// while the process paused, or that a newer order may have overtaken.
func (o Operators) order(ctx context.Context, order *api.OperatorOrder) error {
	read := o.Server.now()
	if err := o.Server.checkPause(read); err != nil {
		logRefused(order, "pause", 0, err)
		return err
	}
	order.SeenIndex = o.Server.appliedIndex()
	err := o.send(ctx, order)
	if fault.Is(err, fault.Stale) {
		err = o.sendConfirmed(ctx, order, read, err)
	}
	if fault.Is(err, fault.Stale) {
		logRefused(order, "overtaken", o.Server.now().Sub(read), err)
	}
	return err
}

// sendConfirmed sends an order again that was refused as stale, since this replica may
// lag behind an order that was acknowledged before this one was sent. Afterwards the
// state is confirmed to include every such order. It returns the error stale if the
// caller may have left meanwhile.
func (o Operators) sendConfirmed(ctx context.Context, order *api.OperatorOrder, read time.Time, stale error) error {
	index, err := o.Server.config.Replica.ConfirmRead(ctx)
	if err != nil || ctx.Err() != nil || o.Server.checkPause(read) != nil {
		return stale
	}
	order.SeenIndex = index
	return o.send(ctx, order)
}

func logRefused(order *api.OperatorOrder, reason string, age time.Duration, err error) {
	telemetry.JobOrdersRefused.Add(1, reason)
	klog.InfoS("Operator order refused", "zone", order.GetZone().GetZone(), "out", order.GetZone().GetOut(),
		"version", order.GetConfigure().GetVersion(), "wave", order.GetWave().GetId(),
		"reason", reason, "age_ms", age.Milliseconds(), "error", err)
}

// staleAfterPause is the time after a pause in which orders are refused. Callers wait for
// an answer for as long before they call another replica, so those that have waited since
// before the pause have left.
const staleAfterPause = time.Second

// checkPause returns fault.Stale if the caller of an order that was read at a time may
// have sent it before the latest pause of the process.
func (s *Server) checkPause(read time.Time) error {
	resumed, length := s.pauses.Latest()
	if resumed.IsZero() || read.Sub(resumed) >= staleAfterPause {
		return nil
	}
	return fault.Newf(fault.Stale, "the order may be older than a pause of %v", length.Round(time.Millisecond))
}

func (o Operators) send(ctx context.Context, order *api.OperatorOrder) error {
	if o.Server.Leads() {
		_, err := o.Server.operate(ctx, order)
		if !fault.Is(err, fault.NotLeader) {
			return err
		}
	}
	return o.Client.Do(ctx, func(ctx context.Context, connection *grpc.ClientConn, options ...grpc.CallOption) error {
		_, err := api.NewJobsClient(connection).Operate(ctx, order, options...)
		return err
	})
}
