package dispatch

import (
	"math"
	"time"
)

// regression estimates the costs of the best-effort images for the services of
// one image: ridge regression on observations, of which old ones count less.
type regression struct {
	index    map[string]int // of a best-effort image
	images   []string
	gram     [][]float64 // sums of products of cores
	moment   []float64   // sums of products of lost headroom and cores
	cost     []float64   // latest solution
	clock    decayClock
	solvedAt time.Time
}

// Parameters of the regression, in square cores where nothing else is said.
const (
	observationMemory = 90 * time.Second // after which an observation counts a third; costs may drift over a day
	priorWeight       = 8.0              // of the prior cost: an observation's variance of 0.12 over a cost's of 0.015
	recallWeight      = 40.0             // of a cost that an earlier leader learnt
)

func newRegression() *regression { return &regression{index: map[string]int{}} }

// position returns the index of an image, which it adds if it is new.
func (r *regression) position(image string) int {
	if i, known := r.index[image]; known {
		return i
	}
	i := len(r.images)
	r.index[image] = i
	r.images = append(r.images, image)
	for row := range r.gram {
		r.gram[row] = append(r.gram[row], 0)
	}
	r.gram = append(r.gram, make([]float64, i+1))
	r.moment = append(r.moment, 0)
	r.cost = append(r.cost, unknownPerCore)
	return i
}

// recall takes in a cost that was learnt before.
func (r *regression) recall(image string, cost float64) {
	i := r.position(image)
	r.gram[i][i] += recallWeight
	r.moment[i] += recallWeight * cost
	r.cost[i] = cost
}

// add takes in an observation and returns how far the latest solution was off.
func (r *regression) add(at time.Time, o observation) float64 {
	r.age(at)
	positions := make([]int, 0, len(o.cores))
	values := make([]float64, 0, len(o.cores))
	expected := 0.0
	for image, cores := range o.cores {
		if cores == 0 {
			continue
		}
		i := r.position(image)
		positions, values = append(positions, i), append(values, cores)
		expected += r.cost[i] * cores
	}
	lost := -o.headroom
	for a, i := range positions {
		r.moment[i] += o.weight * lost * values[a]
		for b, j := range positions {
			r.gram[i][j] += o.weight * values[a] * values[b]
		}
	}
	return math.Abs(lost - expected)
}

func (r *regression) age(at time.Time) {
	factor := r.clock.advance(at, observationMemory)
	for i := range r.gram {
		r.moment[i] *= factor
		for j := range r.gram[i] {
			r.gram[i][j] *= factor
		}
	}
}

// solve returns the costs that explain the observations best, none below 0.
func (r *regression) solve() map[string]float64 {
	n := len(r.images)
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = append(append(make([]float64, 0, n+1), r.gram[i]...), r.moment[i]+priorWeight*unknownPerCore)
		rows[i][i] += priorWeight
	}
	r.cost = solveSymmetric(rows)
	costs := make(map[string]float64, n)
	for i, image := range r.images {
		costs[image] = max(r.cost[i], 0)
	}
	return costs
}

// solveSymmetric solves a positive definite system, whose rows end with the
// right side, by elimination. It overwrites the rows.
func solveSymmetric(rows [][]float64) []float64 {
	n := len(rows)
	for i := range n {
		for below := i + 1; below < n; below++ {
			factor := rows[below][i] / rows[i][i]
			if factor == 0 {
				continue
			}
			for j := i; j <= n; j++ {
				rows[below][j] -= factor * rows[i][j]
			}
		}
	}
	solution := make([]float64, n)
	for i := n - 1; i >= 0; i-- {
		sum := rows[i][n]
		for j := i + 1; j < n; j++ {
			sum -= rows[i][j] * solution[j]
		}
		solution[i] = sum / rows[i][i]
	}
	return solution
}
