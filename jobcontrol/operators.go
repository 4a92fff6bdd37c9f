package jobcontrol

import (
	"context"

	"google.golang.org/grpc"

	"amaranthpaddle/api"
	"amaranthpaddle/controlclient"
	"amaranthpaddle/fault"
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
// Configure.
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

func (o Operators) order(ctx context.Context, order *api.OperatorOrder) error {
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
