package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"amaranthpaddle/jobs"
)

// Headroom is how many times a service's tail latency fits into its target: 1
// at the target, more below it. As long as requests queue at a service, its
// tail grows with the inverse of the processor share that is left to it, so the
// headroom falls linearly with what disturbs the service.
type Headroom float64

// HeadroomOf returns the headroom at a tail latency. It is 0 when nothing is known.
func HeadroomOf(tailMS, targetMS int64) Headroom {
	if tailMS <= 0 || targetMS <= 0 {
		return 0
	}
	return Headroom(float64(targetMS) / float64(tailMS))
}

// Pair names the image of a service and that of best-effort tasks beside it.
type Pair struct {
	Service string
	Filler  string
}

// Disturbance learns how much headroom each core of best-effort work costs a
// service beside it, by pair of images. A service's own load swings within
// seconds and is not shown, so it learns from differences over short times, in
// which the load hardly changes. It is not safe for concurrent use.
type Disturbance struct {
	pairs   map[Pair]cost
	looks   map[string]Look // latest by worker
	version int64           // rises with each change that matters
}

// cost is what is known of a pair.
type cost struct {
	perCore float64
	lessons float64 // differences that it was learnt from
}

// Look is what one worker showed at a time, averaged over about half a second.
type Look struct {
	At       time.Time
	Services map[jobs.RunID]ServiceLook
	Cores    map[string]float64 // in use by best-effort tasks, by image
}

// ServiceLook is what one service showed.
type ServiceLook struct {
	Image    string
	Headroom Headroom
}

// Parameters of the learning, in headroom for each core.
const (
	unknownPerCore = 0.04 // of pairs that were not met; a fraction of what a bad pair costs
	mostPerCore    = 2.0
	firstRate      = 0.6   // of the error of one difference, for a pair that was not met
	lastRate       = 0.15  // for one that was met often; images change over a day
	rateLessons    = 6.0   // in which the first rate halves
	shrinkage      = 0.001 // of a cost a lesson: most pairs cost nothing, and noise must not look like it
	leastCores     = 0.4   // by which an image's work must change to teach about it
	leastChange    = 0.5   // square cores; smaller changes of best-effort work teach nothing
	mostHeadroom   = 8.0   // above it a tail is too short to tell differences
	shortestLook   = 400 * time.Millisecond
	longestLook    = 1600 * time.Millisecond // after it the service's load may have changed too
	changeMatters  = 0.02
)

// NewDisturbance returns a Disturbance that knows nothing.
func NewDisturbance() *Disturbance {
	return &Disturbance{pairs: map[Pair]cost{}, looks: map[string]Look{}}
}

// PerCore returns the headroom that a core of the filler costs the service.
func (d *Disturbance) PerCore(pair Pair) float64 {
	if c, known := d.pairs[pair]; known {
		return c.perCore
	}
	return unknownPerCore
}

// Known is what was learnt of one pair.
type Known struct {
	Pair    Pair
	PerCore float64
}

// Known returns what was learnt, in a fixed order.
func (d *Disturbance) Known() []Known {
	known := make([]Known, 0, len(d.pairs))
	for pair, c := range d.pairs {
		known = append(known, Known{pair, c.perCore})
	}
	slices.SortFunc(known, func(a, b Known) int {
		return cmp.Or(cmp.Compare(a.Pair.Service, b.Pair.Service), cmp.Compare(a.Pair.Filler, b.Pair.Filler))
	})
	return known
}

// Version rises when what was learnt has changed noticeably.
func (d *Disturbance) Version() int64 { return d.version }

// Set replaces what is known of a pair, by what another process learnt.
func (d *Disturbance) Set(known Known) { d.pairs[known.Pair] = cost{perCore: known.PerCore} }

// Learn takes in a look at a worker. A service that was over its target teaches
// nothing: requests have piled up, and its tail stays long for a while whatever
// has become of the best-effort work.
func (d *Disturbance) Learn(worker string, look Look) {
	before, seen := d.looks[worker]
	elapsed := look.At.Sub(before.At)
	if seen && elapsed < shortestLook {
		return
	}
	d.looks[worker] = look
	if !seen || elapsed > longestLook {
		return
	}
	change, square := difference(before.Cores, look.Cores)
	if square < leastChange {
		return
	}
	for run, service := range look.Services {
		earlier, known := before.Services[run]
		if known && earlier.Headroom >= overHeadroom && usable(earlier.Headroom) && usable(service.Headroom) {
			d.adjust(service.Image, float64(earlier.Headroom-service.Headroom), change, square)
		}
	}
}

func usable(h Headroom) bool { return h > 0 && h < mostHeadroom }

// Forget drops the latest look at a worker that is gone.
func (d *Disturbance) Forget(worker string) { delete(d.looks, worker) }

// difference returns by how much the cores of each image changed, and the sum
// of the squares.
func difference(before, now map[string]float64) (change map[string]float64, square float64) {
	change = map[string]float64{}
	for image, cores := range now {
		change[image] = cores - before[image]
	}
	for image, cores := range before {
		if _, still := now[image]; !still {
			change[image] = -cores
		}
	}
	for _, cores := range change {
		square += cores * cores
	}
	return change, square
}

// adjust moves the costs towards those that explain a loss of headroom
// (normalized least mean squares).
func (d *Disturbance) adjust(service string, loss float64, change map[string]float64, square float64) {
	expected := 0.0
	for image, cores := range change {
		expected += d.PerCore(Pair{service, image}) * cores
	}
	step := (loss - expected) / (square + 1)
	for image, cores := range change {
		if math.Abs(cores) >= leastCores {
			d.learnPair(Pair{service, image}, step*cores)
		}
	}
}

func (d *Disturbance) learnPair(pair Pair, correction float64) {
	c, known := d.pairs[pair]
	if !known {
		c.perCore = unknownPerCore
	}
	old := c.perCore
	rate := max(firstRate*rateLessons/(rateLessons+c.lessons), lastRate)
	c.perCore = min(max(old+rate*correction-shrinkage, 0), mostPerCore)
	c.lessons++
	d.pairs[pair] = c
	if c.perCore-old > changeMatters || old-c.perCore > changeMatters {
		d.version++
	}
}
