package delivery

import (
	"io"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/telemetry"
)

// unknownService stands in metrics for a service that no backend server here
// has, so that callers' words make no new metrics.
const unknownService = "unknown"

// observeRefusal counts an attempt that was refused before it started.
func observeRefusal(start *api.AttemptStart, err error) {
	service, kind := start.Service, fault.KindOf(err)
	if kind == fault.NoBackend {
		service = unknownService
	}
	telemetry.DeliveryRefusals.Add(1, service, kind.String())
}

// WriteMetrics writes the gauges of this VM's backend servers in the
// Prometheus text format.
func (d *Delivery) WriteMetrics(w io.Writer, vm string) {
	telemetry.DeliveriesInProgress.Write(w, float64(d.active.Load()), vm)
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, in := range d.instances {
		in.gate.writeMetrics(w, id)
	}
}

func (g *gate) writeMetrics(w io.Writer, server string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	telemetry.Slots.Write(w, float64(g.slots), server)
	telemetry.SlotsInUse.Write(w, float64(g.running), server)
	telemetry.SlotWaiters.Write(w, float64(g.waiters.Len()), server)
	telemetry.StandingStreams.Write(w, float64(g.standing), server)
}
