// Package interference learns how much one job slows another down on the same
// VM, by pair of jobs and by the load of the VM, from measurements that lag.
//
// The model of a victim is linear: its slowdown is the sum, over the tasks
// beside it, of the pair's coefficient times the cores that the other task
// used, plus a coefficient of the VM's load. Each measurement corrects the
// coefficients of those that ran in the interval that it speaks of.
package interference

import "time"

// Parameters of the learning.
const (
	learningRate     = 0.3
	unknownPerCore   = 0.002 // slowdown assumed per core of a job not yet met
	quietLoad        = 0.6   // share of the VM's processor time up to which load does no harm
	maxCoefficient   = 0.5   // per core
	maxLoadEffect    = 5.0
	pairsPerVictim   = 64
	confidentWeight  = 4.0 // samples at which the learned value counts as much as the assumed one
	regularisation   = 4.0 // square cores; keeps small co-runners from taking all blame
	worstMeasurement = 3.0 // slowdowns are capped here, against outliers
)

// Model is the state of the learning. It is not safe for concurrent use.
type Model struct {
	victims map[string]*victim
}

type victim struct {
	pairs map[string]*pair
	load  float64 // slowdown per unit of load above quietLoad
	seen  time.Time
}

type pair struct {
	perCore float64
	weight  float64 // samples, at most maxWeight
	seen    time.Time
}

const maxWeight = 100

// NewModel returns a model that knows nothing.
func NewModel() *Model { return &Model{victims: map[string]*victim{}} }

// Neighbour is what ran beside a victim in a measured interval.
type Neighbour struct {
	Job   string
	Cores float64 // used, averaged over the interval, 0 for the part it did not run
}

// Observe corrects the model by one measurement of a task of the job: its
// slowdown above running alone (0.2 is 20%), who ran beside it in the
// measured interval, and the VM's load, a share of its processor time.
func (m *Model) Observe(now time.Time, job string, slowdown float64, beside []Neighbour, load float64) {
	slowdown = min(max(slowdown, 0), worstMeasurement)
	v := m.victims[job]
	if v == nil {
		v = &victim{pairs: map[string]*pair{}}
		m.victims[job] = v
	}
	v.seen = now
	excess := max(load-quietLoad, 0)
	predicted := v.load * excess
	square := regularisation + excess*excess
	for _, n := range beside {
		p := v.pair(n.Job, now)
		predicted += p.perCore * n.Cores
		square += n.Cores * n.Cores
	}
	step := learningRate * (slowdown - predicted) / square
	v.load = min(max(v.load+step*excess, 0), maxLoadEffect)
	for _, n := range beside {
		p := v.pair(n.Job, now)
		p.perCore = min(max(p.perCore+step*n.Cores, 0), maxCoefficient)
		p.weight = min(p.weight+1, maxWeight)
	}
}

// pair returns the victim's coefficient of the job, making room by
// forgetting the one not seen for longest.
func (v *victim) pair(job string, now time.Time) *pair {
	p := v.pairs[job]
	if p == nil {
		if len(v.pairs) >= pairsPerVictim {
			v.forgetOldest()
		}
		p = &pair{perCore: unknownPerCore}
		v.pairs[job] = p
	}
	p.seen = now
	return p
}

func (v *victim) forgetOldest() {
	var oldest string
	var at time.Time
	for job, p := range v.pairs {
		if oldest == "" || p.seen.Before(at) || p.seen.Equal(at) && job < oldest {
			oldest, at = job, p.seen
		}
	}
	delete(v.pairs, oldest)
}

// Slowdown predicts how much slower a task of the victim's job gets from a task of the
// other job that uses so many cores beside it; 0.1 is 10%.
func (m *Model) Slowdown(victimJob, other string, cores float64) float64 {
	v := m.victims[victimJob]
	if v == nil {
		return unknownPerCore * cores
	}
	p := v.pairs[other]
	if p == nil {
		return unknownPerCore * cores
	}
	share := p.weight / (p.weight + confidentWeight)
	return (share*p.perCore + (1-share)*unknownPerCore) * cores
}

// LoadSlowdown predicts how much slower a task of the job gets from the
// VM's load alone, a share of its processor time.
func (m *Model) LoadSlowdown(victimJob string, load float64) float64 {
	v := m.victims[victimJob]
	if v == nil {
		return 0
	}
	return v.load * max(load-quietLoad, 0)
}

// Sweep forgets victims and pairs of which nothing was seen since the time.
func (m *Model) Sweep(since time.Time) {
	for job, v := range m.victims {
		if v.seen.Before(since) {
			delete(m.victims, job)
			continue
		}
		for other, p := range v.pairs {
			if p.seen.Before(since) {
				delete(v.pairs, other)
			}
		}
	}
}
