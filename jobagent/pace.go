package jobagent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/dispatch"
	"amaranthpaddle/fault"
	"amaranthpaddle/jobs"
)

// adjustPaces adapts the pace of best-effort runs to the headroom of the services
// on the same worker, from the latest response. Agent.mu must be held.
func (w *incarnation) adjustPaces() {
	now := w.agent.config.Clock()
	if now.Sub(w.pacedAt) < paceInterval {
		return // the worker's usage figures have hardly changed
	}
	w.pacedAt = now
	services, bestEffort, ids := w.colocatedRuns()
	w.setPaces(ids, w.pacer.Update(services, bestEffort, w.agent.costs.PerCore), services)
}

// paceNewRun sets the paces after a best-effort run has started, before the
// worker's usage figures show its effect on the services. Agent.mu must be held.
func (w *incarnation) paceNewRun() {
	services, bestEffort, ids := w.colocatedRuns()
	w.setPaces(ids, w.pacer.Paces(services, bestEffort, w.agent.costs.PerCore), services)
}

// setKept takes over which best-effort runs the leader keeps at work. Agent.mu must be
// held.
func (w *incarnation) setKept(list []*api.RunRef) {
	w.kept = make(map[jobs.RunID]bool, len(list))
	for _, ref := range list {
		w.kept[jobs.RunIDOf(ref)] = true
	}
	w.paceNewRun()
}

// colocatedRuns returns the services and the best-effort runs from the worker's
// latest list; ids are those of the best-effort runs. Agent.mu must be held.
func (w *incarnation) colocatedRuns() (services []dispatch.ServiceHeadroom, bestEffort []dispatch.BestEffortRun, ids []jobs.RunID) {
	for id, r := range w.runs {
		if r.order == nil {
			continue
		}
		if target := r.order.TargetLatencyMs; target > 0 && r.status != nil {
			services = append(services, dispatch.ServiceHeadroom{
				Image: r.order.Image, Headroom: dispatch.HeadroomOf(r.status.Usage, target),
			})
		} else if r.order.BestEffort && r.phase == runRunning {
			ids = append(ids, id)
			bestEffort = append(bestEffort, dispatch.BestEffortRun{
				Image: r.order.Image, Cores: cores(r.status.GetUsage()), FullPaceCores: cores(r.order.MilliCpu),
				KeepAtWork: w.kept[id],
			})
		}
	}
	return services, bestEffort, ids
}

// setPaces sends the paces that have changed to the worker. Agent.mu must be
// held.
func (w *incarnation) setPaces(ids []jobs.RunID, paces []int, services []dispatch.ServiceHeadroom) {
	changed := 0
	for i, percent := range paces {
		if r := w.runs[ids[i]]; r.pace != percent {
			r.pace = percent
			changed++
			if !r.pacing {
				r.pacing = true
				w.agent.wg.Go(func() { w.sendPaces(ids[i], r) })
			}
		}
	}
	if changed > 0 {
		klog.InfoS("Best-effort paces changed", "worker", w.key, "runs", changed, "of", len(ids), "services", services)
	}
}

// paceInterval is the minimum time between changes of pace: the worker's usage
// figures cover half a second.
const paceInterval = 350 * time.Millisecond

func cores(milliCPU int64) float64 { return float64(milliCPU) / 1000 }

// sendPaces sets the pace of a run at the worker until it is the latest one. Calls on
// different connections may overtake each other, so one is under way at a time.
func (w *incarnation) sendPaces(id jobs.RunID, r *run) {
	for sent := unknownPace; ; {
		w.agent.mu.Lock()
		percent := r.pace
		if percent == sent || w.runs[id] != r {
			r.pacing = false
			w.agent.mu.Unlock()
			return
		}
		w.agent.mu.Unlock()
		if err := w.callPace(id, percent); err != nil {
			klog.InfoS("Failed to set best-effort pace", "job", id.Task.Job, "run", id.String(), "worker", w.key, "percent", percent, "error", err)
			w.agent.mu.Lock()
			r.pace, r.pacing = unknownPace, false
			w.agent.mu.Unlock()
			return
		}
		sent = percent
	}
}

func (w *incarnation) callPace(id jobs.RunID, percent int) error {
	release := w.acquire()
	if release == nil {
		return fault.New(fault.Canceled, "the worker incarnation has ended")
	}
	defer release()
	w.agent.mu.Lock()
	target, fence := w.target(), w.fence()
	w.agent.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, stopTimeout)
	defer cancel()
	_, err := w.agent.config.Worker.Pace(ctx, target, id, percent, fence)
	return err
}
