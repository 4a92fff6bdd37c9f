package agent

import (
	"io"

	"amaranthpaddle/telemetry"
)

// WriteMetrics writes the number of active tasks and the configuration revision
// as gauges in the Prometheus text format.
func (a *Agent) WriteMetrics(w io.Writer) {
	vm := a.config.VM.Id
	telemetry.AgentTasks.Write(w, float64(a.session.ActiveTasks()), vm)
	telemetry.AgentRevision.Write(w, float64(a.session.Revision()), vm)
}
