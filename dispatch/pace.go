package dispatch

import (
	"cmp"
	"slices"
)

// Serving is what a worker shows of a service.
type Serving struct {
	Image    string
	Headroom Headroom // 0 when nothing is known
}

// Filler is what a worker shows of a best-effort run.
type Filler struct {
	Image string
	Cores float64 // in use now
	Full  float64 // that it would use at full pace
}

// Pacing decides how fast the best-effort runs on one worker may work. The load
// pattern that it answers: the services' load swings within seconds, and
// best-effort tasks disturb them by amounts that differ by pair of images.
//
// A run that disturbs no service beside it works at full pace. The others get
// what headroom the services can spare, those that cost least first. Where that
// is not enough, they are slowed down further, and in the end all are paused
// until the services recover.
type Pacing struct {
	caution float64 // share of the pace that is left to those that may disturb; 1 unless a service was over its target
	over    int     // looks in a row at which a service was over its target
}

// Parameters of the pace.
const (
	spareHeadroom = 1.35 // that is left to a service: its load may grow by that much until the next look
	overHeadroom  = 1.0  // below it a service is over its target
	calmHeadroom  = 1.2  // above it caution ends
	harmlessCore  = 0.05 // headroom for each core, below which a pair is taken for harmless; learnt costs of harmless ones stay below
	panicLooks    = 4    // at which a service is over its target, before all best-effort work is paused; two seconds
	cautionFactor = 0.5  // for each look at which a service is over its target
	cautionStep   = 0.25 // back, for each look at which all are well
	leastCaution  = 0.06 // below it best-effort work is paused
	lowestPercent = 5    // of pace, below it a run is paused
	FullPace      = 100
)

// NewPacing returns the pacing of a worker on which no service was disturbed yet.
func NewPacing() *Pacing { return &Pacing{caution: 1} }

// Look takes in one look at a worker and returns the pace of each filler, in percent.
func (p *Pacing) Look(services []Serving, fillers []Filler, perCore func(Pair) float64) []int {
	p.takeCare(services)
	return p.Paces(services, fillers, perCore)
}

// Paces returns the pace of each filler by what the latest look showed, when
// only the fillers have changed since.
func (p *Pacing) Paces(services []Serving, fillers []Filler, perCore func(Pair) float64) []int {
	paces := make([]int, len(fillers))
	if p.over >= panicLooks {
		return paces
	}
	budgets := p.budgets(services, fillers, perCore)
	for _, i := range byCost(fillers, budgets, perCore) {
		share := 1.0
		for image, left := range budgets {
			if taken := harmPerCore(perCore, Pair{image, fillers[i].Image}) * fillers[i].Full; taken > 0 {
				share = min(share, max(left, 0)/taken)
			}
		}
		if paces[i] = int(share * FullPace); paces[i] < lowestPercent {
			paces[i] = 0
			continue
		}
		for image := range budgets {
			budgets[image] -= share * harmPerCore(perCore, Pair{image, fillers[i].Image}) * fillers[i].Full
		}
	}
	return paces
}

// budgets returns the headroom that the services can spare for best-effort
// work, by image.
func (p *Pacing) budgets(services []Serving, fillers []Filler, perCore func(Pair) float64) map[string]float64 {
	budgets := map[string]float64{}
	for _, service := range services {
		if service.Headroom <= 0 {
			continue
		}
		spare := float64(service.Headroom) - spareHeadroom
		for _, filler := range fillers {
			spare += harmPerCore(perCore, Pair{service.Image, filler.Image}) * filler.Cores
		}
		spare *= p.caution
		if known, met := budgets[service.Image]; !met || spare < known {
			budgets[service.Image] = spare
		}
	}
	return budgets
}

// harmPerCore returns the headroom that a core of the filler costs the service,
// 0 for a harmless pair.
func harmPerCore(perCore func(Pair) float64, pair Pair) float64 {
	if cost := perCore(pair); cost > harmlessCore {
		return cost
	}
	return 0
}

// byCost returns the indexes of the fillers, those first that cost the services
// least for each core: that lets the most work go on.
func byCost(fillers []Filler, budgets map[string]float64, perCore func(Pair) float64) []int {
	worst := make([]float64, len(fillers))
	order := make([]int, len(fillers))
	for i, filler := range fillers {
		order[i] = i
		for image := range budgets {
			worst[i] = max(worst[i], harmPerCore(perCore, Pair{image, filler.Image}))
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(worst[a], worst[b]) })
	return order
}

// takeCare slows all best-effort work down while a service is over its target.
func (p *Pacing) takeCare(services []Serving) {
	lowest := Headroom(mostHeadroom)
	for _, service := range services {
		if service.Headroom > 0 {
			lowest = min(lowest, service.Headroom)
		}
	}
	if lowest < overHeadroom {
		p.over++
	} else {
		p.over = 0
	}
	switch {
	case lowest < overHeadroom:
		p.caution *= cautionFactor
		if p.caution < leastCaution {
			p.caution = 0
		}
	case lowest > calmHeadroom:
		p.caution = min(1, p.caution+cautionStep)
	}
}
