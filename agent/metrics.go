package agent

import (
	"io"

	"amaranthpaddle/telemetry"
)

// WriteMetrics writes the gauges of the VM's tasks in the Prometheus text format.
func (a *Agent) WriteMetrics(w io.Writer) {
	vm := a.config.VM.Id
	telemetry.AgentTasks.Write(w, float64(a.session.ActiveTasks()), vm)
	telemetry.AgentRevision.Write(w, float64(a.session.Revision()), vm)
}
