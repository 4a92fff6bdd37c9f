package entry

import (
	"io"
	"time"

	"amaranthpaddle/fault"
	"amaranthpaddle/telemetry"
)

// observe counts one finished request in the process's metrics.
func observe(x *execution, err error, took time.Duration) {
	outcome := fault.OutcomeDone
	if err != nil {
		outcome = fault.KindOf(err).Answer().Outcome
	}
	telemetry.Requests.Add(1, x.service.name, string(outcome))
	telemetry.RequestRetries.Add(max(x.attempts-1, 0), x.service.name)
	telemetry.RequestSeconds.Observe(took.Seconds(), x.service.name)
}

// WriteMetrics writes the entry's gauges in the Prometheus text format.
func (e *Entry) WriteMetrics(w io.Writer) {
	name := e.config.Name
	telemetry.RequestsInProgress.Write(w, float64(e.active.Load()), name)
	telemetry.EntryRevision.Write(w, float64(e.directory.inForce()), name)
	telemetry.EntryReady.WriteBool(w, e.Ready(), name)
}
