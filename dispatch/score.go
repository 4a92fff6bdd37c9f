package dispatch

import "amaranthpaddle/api"

// Weights of a worker's score, relative to the share of its processors that
// stays free, which is 0 to 1.
const (
	weightDistrust    = 4.0 // a worker that fails everything comes after any full one
	weightSlowness    = 1.0 // a worker that takes twice the time comes after any that keeps pace
	weightOtherRack   = 2.0 // for data or neighbours on another rack, which slows the work by half or more
	weightServing     = 0.5 // for best-effort work beside services, and the reverse
	weightSameService = 0.1 // spreads the tasks of a long-running group over workers
)

// score returns how good a worker is for one more task of a group.
func score(group *api.TaskGroup, l *load, spread spread) float64 {
	s := freeShare(l)
	s -= weightDistrust * l.worker.Distrust
	s -= weightSlowness * max(0, l.worker.Slowness-1)
	if group.DataRack != "" && group.DataRack != l.worker.Rack {
		s -= weightOtherRack
	}
	if group.RackLocal && len(spread.racks) > 0 && spread.racks[l.worker.Rack] == 0 {
		s -= weightOtherRack
	}
	switch {
	case group.BestEffort:
		s -= weightServing * float64(l.serving)
	case group.TargetLatencyMs > 0 && l.bestEffort > 0:
		s -= weightServing
	}
	if group.LongRunning {
		s -= weightSameService * float64(spread.workers[l.worker.Key])
	}
	return s
}

// freeShare returns the share of the processors that neither counted nor
// best-effort work claims. It is negative when best-effort work claims more
// than there is.
func freeShare(l *load) float64 {
	if l.worker.Capacity.MilliCPU <= 0 {
		return 0
	}
	claimed := l.used.MilliCPU + l.bestEffort
	return float64(l.worker.Capacity.MilliCPU-claimed) / float64(l.worker.Capacity.MilliCPU)
}
