package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amaranthpaddle/jobs"
)

// Headroom is the ratio of a service's latency target to its tail latency: 1 at
// the target, above 1 when the tail is shorter. While requests queue at a
// service, its tail latency is inversely proportional to the processor share
// left to it, so headroom decreases linearly with interference.
type Headroom float64

// HeadroomOf returns the headroom at a tail latency, or 0 (unknown) if either
// argument is not positive.
func HeadroomOf(tailMS, targetMS int64) Headroom {
	if tailMS <= 0 || targetMS <= 0 {
		return 0
	}
	return Headroom(float64(targetMS) / float64(tailMS))
}

// Pair is the image of a service and the image of best-effort tasks on the same
// worker.
type Pair struct {
	Service    string
	BestEffort string
}

// Costs holds the headroom that a service loses per core of best-effort work on
// the same worker, by pair of images. It is not safe for concurrent use.
type Costs struct {
	perCore   map[Pair]float64
	predicted map[Pair]float64 // of pairs that are not in perCore
}

// NewCosts returns Costs in which every pair has the prior cost.
func NewCosts() *Costs { return &Costs{perCore: map[Pair]float64{}} }

// PerCore returns the headroom that the service loses per core of the
// best-effort image. For a pair without observations it returns the predicted or
// the prior cost.
func (c *Costs) PerCore(pair Pair) float64 {
	if cost, known := c.perCore[pair]; known {
		return cost
	}
	if cost, known := c.predicted[pair]; known {
		return cost
	}
	return priorCost
}

// priorCost is the cost, in headroom per core, of a pair without observations:
// the mean over all pairs, most of which do not interfere.
const priorCost = 0.08

// PairCost is the learnt cost of one pair.
type PairCost struct {
	Pair    Pair
	PerCore float64 // headroom per core
}

// List returns the learnt costs, sorted by service and best-effort image.
func (c *Costs) List() []PairCost {
	known := make([]PairCost, 0, len(c.perCore))
	for pair, cost := range c.perCore {
		known = append(known, PairCost{pair, cost})
	}
	slices.SortFunc(known, func(a, b PairCost) int {
		return cmp.Or(cmp.Compare(a.Pair.Service, b.Pair.Service), cmp.Compare(a.Pair.BestEffort, b.Pair.BestEffort))
	})
	return known
}

// Set replaces the cost of a pair.
func (c *Costs) Set(known PairCost) { c.perCore[known.Pair] = known.PerCore }

// Sample is the state of one worker at one time, averaged over about half a
// second.
type Sample struct {
	At       time.Time
	Services map[jobs.RunID]ServiceSample
	Cores    map[string]float64 // in use by best-effort tasks, by image
}

// ServiceSample is the part of a sample about one service run.
type ServiceSample struct {
	Image    string
	Headroom Headroom
}

// LeastHeadroom returns the least headroom of the services in the sample, that of a service
// without load if there are none.
func (s *Sample) LeastHeadroom() Headroom {
	least := Headroom(maxHeadroom)
	for _, service := range s.Services {
		if service.Headroom > 0 {
			least = min(least, service.Headroom)
		}
	}
	return least
}

// Interference learns how much best-effort work interferes with services, as
// the cost of each pair of images. The load of a service changes within seconds
// and is not observable, but all replicas of a group carry about the same load
// at the same time. The cost of best-effort work is therefore estimated from
// how the headroom of a replica and the best-effort work on its worker differ
// from those of the other replicas: a regression within groups, which load
// changes do not bias. A replica without peers is compared with its own
// previous sample. It is not safe for concurrent use.
type Interference struct {
	*Costs
	regressions map[string]*regression    // by image of the service
	workers     map[string]*workerSamples // by worker key
	version     int64                     // increases with each noticeable cost change
	predictedAt time.Time                 // when costs were last predicted
}

// workerSamples holds the recent samples of one worker.
type workerSamples struct {
	latest       Sample
	groups       map[jobs.GroupID]groupSample // of the latest sample
	overTargetAt map[jobs.GroupID]time.Time   // last time at which the group was over its target

	learntFrom   Sample                       // latest sample that was used for learning
	learntGroups map[jobs.GroupID]groupSample // of learntFrom
}

// groupSample is the combined sample of the replicas of one group on one
// worker.
type groupSample struct {
	image    string
	headroom float64 // mean of the replicas
	settled  bool    // neither over the target nor recovering from it
}

// Learning parameters.
const (
	minSampleInterval = 350 * time.Millisecond // between samples that are learnt from, because a worker reports averages over half a second
	maxSampleInterval = 900 * time.Millisecond // above it a service's load may have changed between two samples
	recoveryTime      = 2 * time.Second        // for the queue of a service that was over its target to drain
	maxHeadroom       = 7.0                    // above it the tail latency is too short to resolve differences
	minHeadroom       = 0.3                    // below it the queue hides how much capacity is missing
	minCostChange     = 0.02                   // headroom per core; smaller changes do not increase the version
	maxResidual       = 0.5                    // headroom; an observation with a larger residual triggers a solution at once
	solveInterval     = 500 * time.Millisecond // between solutions of a regression otherwise
	predictInterval   = 500 * time.Millisecond // between predictions of the costs that few samples show
)

// NewInterference returns an Interference without observations.
func NewInterference() *Interference {
	return &Interference{Costs: NewCosts(), regressions: map[string]*regression{}, workers: map[string]*workerSamples{}}
}

// Version returns a number that increases when a learnt cost has changed
// noticeably.
func (d *Interference) Version() int64 { return d.version }

// Forget drops the samples of a worker that is gone.
func (d *Interference) Forget(worker string) { delete(d.workers, worker) }

// Restore restores the cost of a pair that an earlier leader learnt.
func (d *Interference) Restore(known PairCost) {
	d.Set(known)
	d.regressionOf(known.Pair.Service).restore(known.Pair.BestEffort, known.PerCore)
}

// Learn updates the costs with a sample of a worker.
func (d *Interference) Learn(worker string, sample Sample) {
	w := d.workers[worker]
	if w == nil {
		w = &workerSamples{overTargetAt: map[jobs.GroupID]time.Time{}}
		d.workers[worker] = w
	}
	w.latest, w.groups = sample, w.groupSamples(sample)
	previous, previousGroups := w.learntFrom, w.learntGroups
	if sample.At.Sub(previous.At) < minSampleInterval {
		return
	}
	w.learntFrom, w.learntGroups = w.latest, w.groups
	for group, current := range w.groups {
		prev := previousGroups[group]
		if !prev.settled || current.headroom >= maxHeadroom {
			continue // while its queue drains, the headroom does not reflect the best-effort work on the worker
		}
		observation, found := d.compareWithPeers(worker, group, sample, current)
		if !found && sample.At.Sub(previous.At) <= maxSampleInterval {
			observation, found = compareWithPrevious(previous, sample, prev, current), true
		}
		if found {
			d.addObservation(current.image, sample.At, observation)
		}
	}
}

// groupSamples returns the mean headroom of the replicas of each group.
func (w *workerSamples) groupSamples(sample Sample) map[jobs.GroupID]groupSample {
	samples, counts := map[jobs.GroupID]groupSample{}, map[jobs.GroupID]float64{}
	for run, service := range sample.Services {
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
		s.headroom = max(s.headroom/counts[group], minHeadroom)
		if s.headroom < targetHeadroom {
			w.overTargetAt[group] = sample.At
		}
		s.settled = sample.At.Sub(w.overTargetAt[group]) >= recoveryTime
		samples[group] = s
	}
	for group, at := range w.overTargetAt {
		if sample.At.Sub(at) >= recoveryTime {
			delete(w.overTargetAt, group)
		}
	}
	return samples
}

// observation relates a difference in a service's headroom to the difference in
// best-effort work on the same worker.
type observation struct {
	headroom float64
	cores    map[string]float64 // by image
	weight   float64
}

// compareWithPeers compares the replicas of a group on a worker with those on
// other workers. It returns false if no other worker has a recent, settled
// sample of the group.
func (d *Interference) compareWithPeers(worker string, group jobs.GroupID, sample Sample, current groupSample) (observation, bool) {
	peers, headroom, cores := 0.0, 0.0, map[string]float64{}
	for other, w := range d.workers {
		peer := w.groups[group]
		if other == worker || !peer.settled || peer.headroom >= maxHeadroom || sample.At.Sub(w.latest.At) > maxSampleInterval {
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
	for image, n := range sample.Cores {
		cores[image] += n
	}
	return observation{headroom: current.headroom - headroom/peers, cores: cores, weight: peers / (peers + 1)}, true
}

// compareWithPrevious compares a group on a worker with its own previous
// sample.
func compareWithPrevious(previous, sample Sample, prev, current groupSample) observation {
	cores := map[string]float64{}
	for image, n := range previous.Cores {
		cores[image] -= n
	}
	for image, n := range sample.Cores {
		cores[image] += n
	}
	return observation{headroom: current.headroom - prev.headroom, cores: cores, weight: 0.5}
}

// CostChanged reports whether a cost per core has changed noticeably.
func CostChanged(from, to float64) bool { return math.Abs(to-from) > minCostChange }

func (d *Interference) regressionOf(image string) *regression {
	r := d.regressions[image]
	if r == nil {
		r = newRegression()
		d.regressions[image] = r
	}
	return r
}

// addObservation adds an observation to the regression of the service image. It
// solves for the costs if the residual is large or the solve interval has
// passed.
func (d *Interference) addObservation(image string, at time.Time, o observation) {
	r := d.regressionOf(image)
	residual := r.add(at, o)
	if residual < maxResidual && at.Sub(r.solvedAt) < solveInterval {
		return
	}
	r.solvedAt = at
	for bestEffort, cost := range r.solve() {
		pair := Pair{image, bestEffort}
		if known, seen := d.perCore[pair]; !seen || CostChanged(known, cost) {
			d.version++
		}
		d.Set(PairCost{pair, cost})
	}
	if at.Sub(d.predictedAt) >= predictInterval {
		d.predictedAt = at
		d.predictCosts()
	}
}

// predictCosts predicts the costs of all pairs of known images. The regressions take
// the predictions as prior costs, and pairs without samples as their costs.
func (d *Interference) predictCosts() {
	m := kindModel{services: slices.Sorted(maps.Keys(d.regressions))}
	images := map[string]bool{}
	for _, r := range d.regressions {
		for _, image := range r.images {
			images[image] = true
		}
	}
	m.bestEffort = slices.Sorted(maps.Keys(images))
	for _, service := range m.services {
		row := make([]evidence, len(m.bestEffort))
		for b, image := range m.bestEffort {
			row[b] = d.regressions[service].evidence(image)
		}
		m.known = append(m.known, row)
	}
	d.predicted = map[Pair]float64{}
	for s, row := range m.predict() {
		r := d.regressions[m.services[s]]
		for b, cost := range row {
			d.predicted[Pair{m.services[s], m.bestEffort[b]}] = cost
			r.prior[m.bestEffort[b]] = cost
		}
	}
}
