package dispatch

import (
	"cmp"
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

// Costs holds how much headroom each core of best-effort work costs a service
// beside it, by pair of images. It is not safe for concurrent use.
type Costs struct {
	perCore map[Pair]float64
}

// NewCosts returns Costs of which nothing is known.
func NewCosts() *Costs { return &Costs{perCore: map[Pair]float64{}} }

// PerCore returns the headroom that a core of the filler costs the service.
func (c *Costs) PerCore(pair Pair) float64 {
	if cost, known := c.perCore[pair]; known {
		return cost
	}
	return unknownPerCore
}

// unknownPerCore is the cost of a pair that was not met, in headroom for each
// core: the mean over all pairs, of which most are harmless.
const unknownPerCore = 0.08

// Known is what was learnt of one pair.
type Known struct {
	Pair    Pair
	PerCore float64
}

// Known returns what was learnt, in a fixed order.
func (c *Costs) Known() []Known {
	known := make([]Known, 0, len(c.perCore))
	for pair, cost := range c.perCore {
		known = append(known, Known{pair, cost})
	}
	slices.SortFunc(known, func(a, b Known) int {
		return cmp.Or(cmp.Compare(a.Pair.Service, b.Pair.Service), cmp.Compare(a.Pair.Filler, b.Pair.Filler))
	})
	return known
}

// Set replaces what is known of a pair.
func (c *Costs) Set(known Known) { c.perCore[known.Pair] = known.PerCore }

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

// Disturbance learns the costs of pairs. The load of a service swings within
// seconds and is not shown, but all replicas of a group carry about the same
// load at the same time. So what tells the cost of best-effort work is by how
// much the headroom of a replica differs from that of the others, and their
// neighbours with it: a regression within groups, which no swing of the load
// can bias. A replica without peers is compared with itself a moment before.
// It is not safe for concurrent use.
type Disturbance struct {
	*Costs
	regressions map[string]*regression // by image of the service
	workers     map[string]*workerLooks
	version     int64 // rises with each change that matters
}

// workerLooks is what is kept of one worker.
type workerLooks struct {
	latest  Look
	samples map[jobs.GroupID]sample // of the latest look
	overAt  map[jobs.GroupID]time.Time

	observed        Look // the latest one that was learnt from
	observedSamples map[jobs.GroupID]sample
}

// sample is what the replicas of one group on one worker show together.
type sample struct {
	image    string
	headroom float64
	settled  bool // neither over the target nor recovering from that
}

// Parameters of the learning.
const (
	shortestLook    = 350 * time.Millisecond // between observations; the worker's figures speak of half a second
	longestLook     = 900 * time.Millisecond // after it a service's load may have changed
	recovery        = 2 * time.Second        // in which the queue of a service that was over its target drains
	mostHeadroom    = 7.0                    // above it a tail is too short to tell differences
	leastShown      = 0.3                    // headroom below which a queue hides how much is missing
	changeMatters   = 0.02                   // headroom for each core
	surprise        = 0.5                    // headroom by which an observation must be off to be acted on at once
	refreshInterval = 500 * time.Millisecond // between solutions of a regression without surprises
)

// NewDisturbance returns a Disturbance that knows nothing.
func NewDisturbance() *Disturbance {
	return &Disturbance{Costs: NewCosts(), regressions: map[string]*regression{}, workers: map[string]*workerLooks{}}
}

// Version rises when what was learnt has changed noticeably.
func (d *Disturbance) Version() int64 { return d.version }

// Forget drops the looks at a worker that is gone.
func (d *Disturbance) Forget(worker string) { delete(d.workers, worker) }

// Recall takes in what an earlier leader learnt of a pair.
func (d *Disturbance) Recall(known Known) {
	d.Set(known)
	d.regressionOf(known.Pair.Service).recall(known.Pair.Filler, known.PerCore)
}

// Learn takes in a look at a worker.
func (d *Disturbance) Learn(worker string, look Look) {
	w := d.workers[worker]
	if w == nil {
		w = &workerLooks{overAt: map[jobs.GroupID]time.Time{}}
		d.workers[worker] = w
	}
	w.latest, w.samples = look, w.sample(look)
	before, earlier := w.observed, w.observedSamples
	if look.At.Sub(before.At) < shortestLook {
		return
	}
	w.observed, w.observedSamples = w.latest, w.samples
	for group, now := range w.samples {
		was := earlier[group]
		if !was.settled || now.headroom >= mostHeadroom {
			continue // while its queue drains, a service shows nothing of what is beside it
		}
		observation, found := d.contrast(worker, group, look, now)
		if !found && look.At.Sub(before.At) <= longestLook {
			observation, found = change(before, look, was, now), true
		}
		if found {
			d.observe(now.image, look.At, observation)
		}
	}
}

// sample joins what the replicas of each group show.
func (w *workerLooks) sample(look Look) map[jobs.GroupID]sample {
	samples, counts := map[jobs.GroupID]sample{}, map[jobs.GroupID]float64{}
	for run, service := range look.Services {
		if service.Headroom <= 0 {
			continue
		}
		group := run.Task.GroupID()
		s := samples[group]
		s.image = service.Image
		s.headroom += float64(service.Headroom)
		samples[group] = s
		counts[group]++
	}
	for group, s := range samples {
		s.headroom = max(s.headroom/counts[group], leastShown)
		if s.headroom < overHeadroom {
			w.overAt[group] = look.At
		}
		s.settled = look.At.Sub(w.overAt[group]) >= recovery
		samples[group] = s
	}
	for group, at := range w.overAt {
		if look.At.Sub(at) >= recovery {
			delete(w.overAt, group)
		}
	}
	return samples
}

// observation says by how much a service's headroom differs for a difference of the
// best-effort work beside it.
type observation struct {
	headroom float64
	cores    map[string]float64 // by image
	weight   float64
}

// contrast compares the replicas of a group on a worker with those elsewhere.
func (d *Disturbance) contrast(worker string, group jobs.GroupID, look Look, now sample) (observation, bool) {
	peers, headroom, cores := 0.0, 0.0, map[string]float64{}
	for other, w := range d.workers {
		peer := w.samples[group]
		if other == worker || !peer.settled || peer.headroom >= mostHeadroom || look.At.Sub(w.latest.At) > longestLook {
			continue
		}
		peers++
		headroom += peer.headroom
		for image, n := range w.latest.Cores {
			cores[image] += n
		}
	}
	if peers == 0 {
		return observation{}, false
	}
	for image := range cores {
		cores[image] /= -peers
	}
	for image, n := range look.Cores {
		cores[image] += n
	}
	return observation{headroom: now.headroom - headroom/peers, cores: cores, weight: peers / (peers + 1)}, true
}

// change compares a group on a worker with itself a look before.
func change(before, look Look, was, now sample) observation {
	cores := map[string]float64{}
	for image, n := range before.Cores {
		cores[image] -= n
	}
	for image, n := range look.Cores {
		cores[image] += n
	}
	return observation{headroom: now.headroom - was.headroom, cores: cores, weight: 0.5}
}

func (d *Disturbance) regressionOf(image string) *regression {
	r := d.regressions[image]
	if r == nil {
		r = newRegression()
		d.regressions[image] = r
	}
	return r
}

// observe takes in an observation, and solves for the costs when it is time.
func (d *Disturbance) observe(image string, at time.Time, o observation) {
	r := d.regressionOf(image)
	off := r.add(at, o)
	if off < surprise && at.Sub(r.solvedAt) < refreshInterval {
		return
	}
	r.solvedAt = at
	for filler, cost := range r.solve() {
		pair := Pair{image, filler}
		if known, met := d.perCore[pair]; !met || cost-known > changeMatters || known-cost > changeMatters {
			d.version++
		}
		d.Set(Known{pair, cost})
	}
}
