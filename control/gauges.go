package control

import (
	"io"
	"strconv"

	"amaranthpaddle/operatorapi"
	"amaranthpaddle/telemetry"
)

// WriteMetrics writes the metrics of this replica and, if it leads, of the fleet
// in the Prometheus text format.
func (s *Server) WriteMetrics(w io.Writer) {
	s.metrics.set.WritePrometheus(w)
	node := s.config.Node.Status()
	replica := strconv.FormatUint(node.ID, 10)
	telemetry.ControlTerm.Write(w, float64(node.Term), replica)
	telemetry.ControlCommit.Write(w, float64(node.Commit), replica)
	telemetry.ControlApplied.Write(w, float64(node.Applied), replica)
	telemetry.ControlStorage.WriteBool(w, node.StorageFault != "", replica)
	if !node.LeaderReady {
		return
	}
	status := s.state.status()
	telemetry.PlanNumber.Write(w, float64(status.PlanNumber))
	writeFleet(w, status)
	writeJobs(w, status)
	writeWatchers(w, status.Revision, s.watcherStatus())
}

func writeFleet(w io.Writer, status *operatorapi.Status) {
	for _, z := range status.Zones {
		telemetry.ZoneInService.WriteBool(w, z.InService, z.Name)
		telemetry.ZoneTasks.Write(w, float64(z.Tasks), z.Name)
	}
	states := map[operatorapi.VMState]int{
		operatorapi.VMReady: 0, operatorapi.VMDraining: 0, operatorapi.VMQuarantined: 0, operatorapi.VMLost: 0,
	}
	for _, vm := range status.VMs {
		states[vm.State]++
	}
	for state, n := range states {
		telemetry.VMs.Write(w, float64(n), string(state))
	}
	for _, service := range status.Services {
		telemetry.ServiceRunning.Write(w, float64(service.Running), service.Name)
		telemetry.ServiceWanted.Write(w, float64(service.Instances), service.Name)
	}
}

func writeJobs(w io.Writer, status *operatorapi.Status) {
	var pending, running, finished, failed, evictions int
	for _, job := range status.Jobs {
		pending += job.Pending
		running += job.Running
		finished += job.Finished
		failed += job.Failed
		evictions += job.Evictions
	}
	telemetry.JobTasks.Write(w, float64(pending), "pending")
	telemetry.JobTasks.Write(w, float64(running), "running")
	telemetry.JobTasks.Write(w, float64(finished), "finished")
	telemetry.JobTasks.Write(w, float64(failed), "failed")
	telemetry.Evictions.Write(w, float64(evictions))
}

// writeWatchers writes the largest lag of any agent and of any entry, in revisions.
func writeWatchers(w io.Writer, revision uint64, watchers []operatorapi.WatcherStatus) {
	lag := map[string]uint64{operatorapi.WatcherAgent: 0, operatorapi.WatcherEntry: 0}
	for _, watcher := range watchers {
		if watcher.Revision < revision {
			lag[watcher.Kind] = max(lag[watcher.Kind], revision-watcher.Revision)
		}
	}
	for kind, n := range lag {
		telemetry.WatcherLag.Write(w, float64(n), kind)
	}
}
