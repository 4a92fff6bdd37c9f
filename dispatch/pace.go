package dispatch

import (
	"cmp"
	"slices"
)

// ServiceHeadroom is the headroom of a service run on a worker.
type ServiceHeadroom struct {
	Image    string
	Headroom Headroom // 0 if unknown
}

// BestEffortRun is the CPU use of a best-effort run on a worker.
type BestEffortRun struct {
	Image         string
	Cores         float64 // in use now
	FullPaceCores float64 // expected use at full pace
	KeepAtWork    bool    // it has at least MinPace, as its job has nothing else at work
}

// leastPace returns the pace of a run when the services can spare nothing for it. While a
// service is over its target, runs that are kept at work pause in turns, so that it
// recovers if they are the cause.
func (p *Pacer) leastPace(r BestEffortRun) int {
	if r.KeepAtWork && p.overTarget%keptCycle < keptSamples {
		return MinPace
	}
	return 0
}

// Pacer throttles the best-effort runs on one worker. It handles service load
// that changes within seconds, and interference that differs by pair of images.
//
// A run that interferes with no service on the worker works at full pace. The
// other runs share the headroom that the services can spare, those with the
// lowest cost per core first. If a service exceeds its target all the same,
// their share is reduced further, and finally all best-effort runs are paused
// until the services recover, except those that the leader keeps at work.
type Pacer struct {
	budgetScale float64 // share of the spare headroom that interfering runs may use; below 1 after a service was over its target
	overTarget  int     // consecutive samples with a service over its target
}

// Pacing parameters.
const (
	reservedHeadroom  = 1.35 // left to a service: its load may grow by this factor until the next sample
	targetHeadroom    = 1.0  // below it a service is over its target
	recoveredHeadroom = 1.2  // above it the budget scale increases again
	harmlessCost      = 0.05 // headroom per core, up to which a pair counts as harmless; the learnt costs of harmless pairs stay below
	pauseAfterSamples = 4    // consecutive samples over the target, two seconds, after which all best-effort runs are paused
	scaleDownFactor   = 0.5  // per sample with a service over its target
	scaleUpStep       = 0.25 // per sample with all services recovered
	minBudgetScale    = 0.06 // below it the budget scale is set to 0
	keptCycle         = 7    // samples; the pause within it is below the 3 s for which a job may stand still
	keptSamples       = 2    // of a cycle, in which kept runs work beside a service over its target
	MinPace           = 5    // percent; lower paces are rounded down to a pause
	FullPace          = 100
)

// NewPacer returns a Pacer with the full budget.
func NewPacer() *Pacer { return &Pacer{budgetScale: 1} }

// Update adjusts the budget scale to a new sample of the worker and returns the
// pace of each run, in percent.
func (p *Pacer) Update(services []ServiceHeadroom, runs []BestEffortRun, perCore func(Pair) float64) []int {
	p.updateBudgetScale(services)
	return p.Paces(services, runs, perCore)
}

// Paces returns the pace of each run, in percent, without updating the budget
// scale. It is for changes of the set of runs between samples.
func (p *Pacer) Paces(services []ServiceHeadroom, runs []BestEffortRun, perCore func(Pair) float64) []int {
	paces := make([]int, len(runs))
	for i := range runs {
		paces[i] = p.leastPace(runs[i])
	}
	if p.overTarget >= pauseAfterSamples {
		return paces
	}
	budgets := p.budgets(services, runs, perCore)
	for _, i := range byCost(runs, budgets, perCore) {
		share := 1.0
		for image, left := range budgets {
			if taken := significantCost(perCore, Pair{image, runs[i].Image}) * runs[i].FullPaceCores; taken > 0 {
				share = min(share, max(left, 0)/taken)
			}
		}
		if paces[i] = int(share * FullPace); paces[i] < MinPace {
			paces[i] = p.leastPace(runs[i])
			continue
		}
		for image := range budgets {
			budgets[image] -= share * significantCost(perCore, Pair{image, runs[i].Image}) * runs[i].FullPaceCores
		}
	}
	return paces
}

// budgets returns the headroom that the services can spare for best-effort
// runs, by service image.
func (p *Pacer) budgets(services []ServiceHeadroom, runs []BestEffortRun, perCore func(Pair) float64) map[string]float64 {
	budgets := map[string]float64{}
	for _, service := range services {
		if service.Headroom <= 0 {
			continue
		}
		spare := float64(service.Headroom) - reservedHeadroom
		for _, run := range runs {
			spare += significantCost(perCore, Pair{service.Image, run.Image}) * run.Cores
		}
		spare *= p.budgetScale
		if known, seen := budgets[service.Image]; !seen || spare < known {
			budgets[service.Image] = spare
		}
	}
	return budgets
}

// significantCost returns the cost per core of a pair, or 0 if the pair is
// harmless.
func significantCost(perCore func(Pair) float64, pair Pair) float64 {
	if cost := perCore(pair); cost > harmlessCost {
		return cost
	}
	return 0
}

// byCost returns the indexes of the runs in ascending order of their highest
// cost per core. Serving cheap runs first lets the most work continue.
func byCost(runs []BestEffortRun, budgets map[string]float64, perCore func(Pair) float64) []int {
	worst := make([]float64, len(runs))
	order := make([]int, len(runs))
	for i, run := range runs {
		order[i] = i
		for image := range budgets {
			worst[i] = max(worst[i], significantCost(perCore, Pair{image, run.Image}))
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(worst[a], worst[b]) })
	return order
}

// updateBudgetScale reduces the budget scale while a service is over its target
// and restores it stepwise after all have recovered.
func (p *Pacer) updateBudgetScale(services []ServiceHeadroom) {
	lowest := Headroom(maxHeadroom)
	for _, service := range services {
		if service.Headroom > 0 {
			lowest = min(lowest, service.Headroom)
		}
	}
	if lowest < targetHeadroom {
		p.overTarget++
	} else {
		p.overTarget = 0
	}
	switch {
	case lowest < targetHeadroom:
		p.budgetScale *= scaleDownFactor
		if p.budgetScale < minBudgetScale {
			p.budgetScale = 0
		}
	case lowest > recoveredHeadroom:
		p.budgetScale = min(1, p.budgetScale+scaleUpStep)
	}
}
