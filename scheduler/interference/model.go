// Package interference learns how much one job slows another down on the same
// VM, by pair of jobs and by the load of the VM, from measurements that lag.
//
// The model of a victim is linear: its measured slowdown is an offset for its
// own load, plus a coefficient of the VM's load, plus, over the tasks beside
// it, the pair's coefficient times the cores that they used. The coefficients
// are a ridge regression over all measurements, old ones counting less, with
// those of load and pairs not below zero.
package interference

import (
	"math"
	"time"
)

// Parameters of the learning.
const (
	UnknownPerCore   = 0.002 // slowdown assumed per core of a job not yet met
	quietLoad        = 0.6   // share of the VM's processor time up to which load does no harm
	maxPerCore       = 0.5
	maxLoadEffect    = 5.0
	maxPairs         = 64
	worstMeasurement = 3.0 // slowdowns are capped here, against outliers
	solveEvery       = 16  // measurements
	sweeps           = 4   // of coordinate descent, from the last solution
	halfLife         = 2 * time.Hour
	ridgePerCore     = 25.0 // square cores: weight of the assumed coefficient
	ridgeLoad        = 0.5
	ridgeOffset      = 0.1
	rescaleWeight    = 1e6 // of a new measurement, at which all are scaled down
	offsetBands      = 8
	loadColumn       = offsetBands
	firstPairColumn  = offsetBands + 1
)

// Measurement is what one run of a victim's job showed over an interval.
type Measurement struct {
	Job      string
	Slowdown float64     // relative to a fixed reference of the job; 0.2 is 20% slower
	Offset   bool        // the reference is not known to be that of running alone
	OwnLoad  float64     // of the victim, a share of its granted processor time
	Load     float64     // of the VM, a share of its processor time
	Beside   []Neighbour // who ran in the interval, not who runs now
}

// Neighbour is what ran beside a victim in a measured interval.
type Neighbour struct {
	Job   string
	Cores float64 // used, averaged over the interval, 0 for the part it did not run
}

// Model is the state of the learning. It is not safe for concurrent use, but
// its View is.
type Model struct {
	victims map[string]*victim
	view    *View // nil when a solution changed since it was made
}

// victim is a regression by its normal equations. Column c stands for an
// offset band, the load, or a neighbouring job.
type victim struct {
	columns  map[string]int // of neighbouring jobs
	jobs     []string       // by column, from firstPairColumn
	seenAt   []time.Time    // by column, from firstPairColumn
	products [][]float64    // weighted sums of products of columns, lower triangle
	targets  []float64      // weighted sums of products with the slowdown
	solution []float64
	weight   float64 // of a new measurement; grows instead of old ones shrinking
	weighed  time.Time
	unsolved int
	seen     time.Time
	solved   solution // as views see it
}

// NewModel returns a model that knows nothing.
func NewModel() *Model { return &Model{victims: map[string]*victim{}} }

func newVictim(now time.Time) *victim {
	v := &victim{columns: map[string]int{}, weight: 1, weighed: now}
	for range firstPairColumn {
		v.grow(0)
	}
	return v
}

// grow adds a column.
func (v *victim) grow(solution float64) {
	n := len(v.solution)
	v.products = append(v.products, make([]float64, n+1))
	v.targets = append(v.targets, 0)
	v.solution = append(v.solution, solution)
}

// Observe takes in a measurement.
func (m *Model) Observe(now time.Time, x Measurement) {
	v := m.victims[x.Job]
	if v == nil {
		v = newVictim(now)
		m.victims[x.Job] = v
	}
	v.seen = now
	v.age(now)
	row := v.row(now, x)
	y := min(x.Slowdown, worstMeasurement)
	for i, a := range row {
		v.targets[a.column] += v.weight * a.value * y
		for _, b := range row[:i+1] {
			v.add(a.column, b.column, v.weight*a.value*b.value)
		}
	}
	v.unsolved++
	if v.unsolved >= solveEvery {
		v.solve()
		m.view = nil
	}
}

type entry struct {
	column int
	value  float64
}

func band(ownLoad float64) int {
	return min(max(int(ownLoad*offsetBands), 0), offsetBands-1)
}

// row returns the columns that are not zero in a measurement.
func (v *victim) row(now time.Time, x Measurement) []entry {
	row := make([]entry, 0, len(x.Beside)+2)
	if x.Offset {
		row = append(row, entry{band(x.OwnLoad), 1})
	}
	if excess := x.Load - quietLoad; excess > 0 {
		row = append(row, entry{loadColumn, excess})
	}
	for _, n := range x.Beside {
		row = append(row, entry{v.column(n.Job, now), n.Cores})
	}
	return row
}

func (v *victim) add(a, b int, product float64) {
	if a < b {
		a, b = b, a
	}
	v.products[a][b] += product
}

func (v *victim) at(a, b int) float64 {
	if a < b {
		a, b = b, a
	}
	return v.products[a][b]
}

// age lets the weight of new measurements grow, and scales all down when it is large.
func (v *victim) age(now time.Time) {
	if now.After(v.weighed) {
		v.weight *= math.Exp2(float64(now.Sub(v.weighed)) / float64(halfLife))
		v.weighed = now
	}
	if v.weight < rescaleWeight {
		return
	}
	for a := range v.products {
		v.targets[a] /= v.weight
		for b := range v.products[a] {
			v.products[a][b] /= v.weight
		}
	}
	v.weight = 1
}

// column returns the column of a neighbouring job, making room by forgetting
// the job not seen for longest.
func (v *victim) column(job string, now time.Time) int {
	c, ok := v.columns[job]
	switch {
	case ok:
	case len(v.jobs) < maxPairs:
		c = len(v.solution)
		v.grow(UnknownPerCore)
		v.jobs = append(v.jobs, job)
		v.seenAt = append(v.seenAt, now)
		v.columns[job] = c
	default:
		c = v.reuseOldest(job)
	}
	v.seenAt[c-firstPairColumn] = now
	return c
}

func (v *victim) reuseOldest(job string) int {
	oldest := 0
	for i, at := range v.seenAt {
		if at.Before(v.seenAt[oldest]) {
			oldest = i
		}
	}
	c := oldest + firstPairColumn
	delete(v.columns, v.jobs[oldest])
	v.columns[job] = c
	v.jobs[oldest] = job
	for other := range v.solution {
		v.add(c, other, -v.at(c, other))
	}
	v.targets[c] = 0
	v.solution[c] = UnknownPerCore
	return c
}

// solve improves the solution by a few sweeps of coordinate descent.
func (v *victim) solve() {
	v.unsolved = 0
	for range sweeps {
		for c := range v.solution {
			v.solveColumn(c)
		}
	}
	v.publish()
}

func (v *victim) solveColumn(c int) {
	rest := v.targets[c]
	for other, value := range v.solution {
		if other != c {
			rest -= v.at(c, other) * value
		}
	}
	ridge, assumed := ridgeOf(c)
	value := (rest/v.weight + ridge*assumed) / (v.at(c, c)/v.weight + ridge)
	switch {
	case c < loadColumn:
		v.solution[c] = value
	case c == loadColumn:
		v.solution[c] = min(max(value, 0), maxLoadEffect)
	default:
		v.solution[c] = min(max(value, 0), maxPerCore)
	}
}

// ridgeOf returns how strongly a coefficient is drawn to which value.
func ridgeOf(c int) (ridge, assumed float64) {
	switch {
	case c < loadColumn:
		return ridgeOffset, 0
	case c == loadColumn:
		return ridgeLoad, 0
	}
	return ridgePerCore, UnknownPerCore
}

// Offset returns the slowdown against the job's reference that a task which
// runs alone at the own load shows.
func (m *Model) Offset(job string, ownLoad float64) float64 {
	v := m.victims[job]
	if v == nil {
		return 0
	}
	return v.solution[band(ownLoad)]
}

// Sweep forgets the victims of which nothing was seen since the time.
func (m *Model) Sweep(since time.Time) {
	for job, v := range m.victims {
		if v.seen.Before(since) {
			delete(m.victims, job)
			m.view = nil
		}
	}
}
