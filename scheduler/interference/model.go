// Package interference estimates how much one job slows down another on the
// same VM, by pair of jobs and by the load of the VM, from delayed
// measurements.
//
// The model of a victim is linear. Its measured slowdown is the sum of an
// offset for its own load, a coefficient times the load of the VM above a
// threshold, and, for each neighbouring job, a coefficient of the pair times
// the cores that the neighbour used. The coefficients are fitted by ridge
// regression over all measurements, with exponentially decaying weights.
// Those of load and pairs are not negative.
package interference

import (
	"math"
	"time"
)

// Parameters of the model.
const (
	DefaultPerCore  = 0.002 // slowdown per core by a job without measurements
	loadThreshold   = 0.6   // share of the VM's CPU up to which load causes no slowdown
	maxPerCore      = 0.5
	maxLoadEffect   = 5.0
	maxPairs        = 64
	maxSlowdown     = 3.0 // measured slowdowns are capped here to limit outliers
	solveInterval   = 16  // measurements of a victim between two solutions
	solveSweeps     = 4   // of coordinate descent per solution, starting from the last one
	halfLife        = 2 * time.Hour
	ridgePerCore    = 25.0 // square cores: weight of the default coefficient
	ridgeLoad       = 0.5
	ridgeOffset     = 0.1
	maxWeight       = 1e6 // weight of a new measurement at which all weights are scaled down
	offsetBands     = 8
	loadColumn      = offsetBands
	firstPairColumn = offsetBands + 1
)

// Measurement is the slowdown that a run of a victim showed over an interval,
// with its causes.
type Measurement struct {
	Job        string
	Slowdown   float64     // relative to a fixed reference of the job; 0.2 is 20% slower
	Offset     bool        // whether the reference may differ from running alone, so that an offset is fitted
	OwnLoad    float64     // of the victim, as a share of its granted CPU
	Load       float64     // of the VM, as a share of its CPU
	Neighbours []Neighbour // jobs that ran in the interval, which may have stopped since
}

// Neighbour is a job that ran beside a victim in a measured interval.
type Neighbour struct {
	Job   string
	Cores float64 // averaged over the interval, 0 for the part in which the job did not run
}

// Model holds the regressions of all victims. It is not safe for concurrent
// use, but its View is.
type Model struct {
	victims map[string]*victim
	view    *View // nil when a solution has changed since it was made
}

// victim is a regression, held as its normal equations. A column stands for
// an offset band, the load, or a neighbouring job.
type victim struct {
	columns      map[string]int // by neighbouring job
	jobs         []string       // by column, from firstPairColumn
	columnSeenAt []time.Time    // by column, from firstPairColumn
	products     [][]float64    // weighted sums of products of columns, lower triangle
	targets      []float64      // weighted sums of products with the slowdown
	solution     []float64
	weight       float64 // weight of a new measurement; it grows instead of the older ones shrinking
	weightedAt   time.Time
	unsolved     int
	seenAt       time.Time
	published    solution // solution that new views use
}

// NewModel returns a model without measurements.
func NewModel() *Model { return &Model{victims: map[string]*victim{}} }

func newVictim(now time.Time) *victim {
	v := &victim{columns: map[string]int{}, weight: 1, weightedAt: now}
	for range firstPairColumn {
		v.addColumn(0)
	}
	return v
}

// addColumn adds a column with an initial coefficient.
func (v *victim) addColumn(solution float64) {
	n := len(v.solution)
	v.products = append(v.products, make([]float64, n+1))
	v.targets = append(v.targets, 0)
	v.solution = append(v.solution, solution)
}

// Observe adds a measurement.
func (m *Model) Observe(now time.Time, x Measurement) {
	v := m.victims[x.Job]
	if v == nil {
		v = newVictim(now)
		m.victims[x.Job] = v
	}
	v.seenAt = now
	v.updateWeight(now)
	row := v.row(now, x)
	y := min(x.Slowdown, maxSlowdown)
	for i, a := range row {
		v.targets[a.column] += v.weight * a.value * y
		for _, b := range row[:i+1] {
			v.addProduct(a.column, b.column, v.weight*a.value*b.value)
		}
	}
	v.unsolved++
	if v.unsolved >= solveInterval {
		v.solve()
		m.view = nil
	}
}

type entry struct {
	column int
	value  float64
}

func offsetBand(ownLoad float64) int {
	return min(max(int(ownLoad*offsetBands), 0), offsetBands-1)
}

// row returns the nonzero columns of a measurement.
func (v *victim) row(now time.Time, x Measurement) []entry {
	row := make([]entry, 0, len(x.Neighbours)+2)
	if x.Offset {
		row = append(row, entry{offsetBand(x.OwnLoad), 1})
	}
	if excess := x.Load - loadThreshold; excess > 0 {
		row = append(row, entry{loadColumn, excess})
	}
	for _, n := range x.Neighbours {
		row = append(row, entry{v.column(n.Job, now), n.Cores})
	}
	return row
}

func (v *victim) addProduct(a, b int, product float64) {
	if a < b {
		a, b = b, a
	}
	v.products[a][b] += product
}

func (v *victim) product(a, b int) float64 {
	if a < b {
		a, b = b, a
	}
	return v.products[a][b]
}

// updateWeight raises the weight of new measurements with time, and scales
// all weights down when it becomes large.
func (v *victim) updateWeight(now time.Time) {
	if now.After(v.weightedAt) {
		v.weight *= math.Exp2(float64(now.Sub(v.weightedAt)) / float64(halfLife))
		v.weightedAt = now
	}
	if v.weight < maxWeight {
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

// column returns the column of a neighbouring job. When there are maxPairs,
// it replaces the job that was not observed for the longest time.
func (v *victim) column(job string, now time.Time) int {
	c, ok := v.columns[job]
	switch {
	case ok:
	case len(v.jobs) < maxPairs:
		c = len(v.solution)
		v.addColumn(DefaultPerCore)
		v.jobs = append(v.jobs, job)
		v.columnSeenAt = append(v.columnSeenAt, now)
		v.columns[job] = c
	default:
		c = v.replaceOldest(job)
	}
	v.columnSeenAt[c-firstPairColumn] = now
	return c
}

func (v *victim) replaceOldest(job string) int {
	oldest := 0
	for i, at := range v.columnSeenAt {
		if at.Before(v.columnSeenAt[oldest]) {
			oldest = i
		}
	}
	c := oldest + firstPairColumn
	delete(v.columns, v.jobs[oldest])
	v.columns[job] = c
	v.jobs[oldest] = job
	for other := range v.solution {
		v.addProduct(c, other, -v.product(c, other))
	}
	v.targets[c] = 0
	v.solution[c] = DefaultPerCore
	return c
}

// solve refines the solution by solveSweeps sweeps of coordinate descent.
func (v *victim) solve() {
	v.unsolved = 0
	for range solveSweeps {
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
			rest -= v.product(c, other) * value
		}
	}
	ridge, assumed := ridgeParams(c)
	value := (rest/v.weight + ridge*assumed) / (v.product(c, c)/v.weight + ridge)
	switch {
	case c < loadColumn:
		v.solution[c] = value
	case c == loadColumn:
		v.solution[c] = min(max(value, 0), maxLoadEffect)
	default:
		v.solution[c] = min(max(value, 0), maxPerCore)
	}
}

// ridgeParams returns the ridge weight of a coefficient and the value that it
// is drawn to.
func ridgeParams(c int) (ridge, assumed float64) {
	switch {
	case c < loadColumn:
		return ridgeOffset, 0
	case c == loadColumn:
		return ridgeLoad, 0
	}
	return ridgePerCore, DefaultPerCore
}

// Offset returns the slowdown against the job's reference that a task shows
// when it runs alone at the given load of its own.
func (m *Model) Offset(job string, ownLoad float64) float64 {
	v := m.victims[job]
	if v == nil {
		return 0
	}
	return v.solution[offsetBand(ownLoad)]
}

// Sweep deletes the victims without a measurement since the given time.
func (m *Model) Sweep(since time.Time) {
	for job, v := range m.victims {
		if v.seenAt.Before(since) {
			delete(m.victims, job)
			m.view = nil
		}
	}
}
