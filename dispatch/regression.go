package dispatch

import (
	"math"
	"time"
)

// regression estimates the headroom cost per core of each best-effort image for
// the services of one image. It is a ridge regression with exponentially
// decaying weights of the observations.
type regression struct {
	index    map[string]int // into images, by best-effort image
	images   []string
	gram     [][]float64        // sums of products of cores
	moment   []float64          // sums of products of lost headroom and cores
	cost     []float64          // latest solution, by index
	prior    map[string]float64 // predicted costs, by best-effort image; priorCost for others
	clock    decayClock
	solvedAt time.Time
}

// Regression parameters. The weights are in square cores.
const (
	observationTimeConstant = 90 * time.Second // weight of an observation drops to a third; costs may drift over a day
	priorWeight             = 8.0              // of the prior cost: variance of an observation, 0.12, over variance of a cost, 0.015
	restoredWeight          = 40.0             // of a cost that an earlier leader learnt
)

func newRegression() *regression {
	return &regression{index: map[string]int{}, prior: map[string]float64{}}
}

// priorOf returns the cost of an image as far as no observations tell.
func (r *regression) priorOf(image string) float64 {
	if cost, predicted := r.prior[image]; predicted {
		return cost
	}
	return priorCost
}

// evidence returns what the observations tell of the cost of an image.
func (r *regression) evidence(image string) evidence {
	i, known := r.index[image]
	if !known {
		return evidence{}
	}
	return evidence{cost: max(r.cost[i], 0), confidence: r.gram[i][i] / (r.gram[i][i] + priorWeight)}
}

// imageIndex returns the index of an image and adds the image if it is new.
func (r *regression) imageIndex(image string) int {
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
	r.cost = append(r.cost, r.priorOf(image))
	return i
}

// restore adds a cost that an earlier leader learnt as an observation.
func (r *regression) restore(image string, cost float64) {
	i := r.imageIndex(image)
	r.gram[i][i] += restoredWeight
	r.moment[i] += restoredWeight * cost
	r.cost[i] = cost
}

// add adds an observation and returns the absolute residual of the latest
// solution.
func (r *regression) add(at time.Time, o observation) float64 {
	r.decay(at)
	positions := make([]int, 0, len(o.cores))
	values := make([]float64, 0, len(o.cores))
	expected := 0.0
	for image, cores := range o.cores {
		if cores == 0 {
			continue
		}
		i := r.imageIndex(image)
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

func (r *regression) decay(at time.Time) {
	factor := r.clock.advance(at, observationTimeConstant)
	for i := range r.gram {
		r.moment[i] *= factor
		for j := range r.gram[i] {
			r.gram[i][j] *= factor
		}
	}
}

// solve returns the costs, by image, that fit the observations best. Negative
// costs are returned as 0.
func (r *regression) solve() map[string]float64 {
	n := len(r.images)
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = append(append(make([]float64, 0, n+1), r.gram[i]...), r.moment[i]+priorWeight*r.priorOf(r.images[i]))
		rows[i][i] += priorWeight
	}
	r.cost = solveSymmetric(rows)
	costs := make(map[string]float64, n)
	for i, image := range r.images {
		costs[image] = max(r.cost[i], 0)
	}
	return costs
}

// solveSymmetric solves a positive definite system by Gaussian elimination.
// Each row ends with its right-hand side. The rows are overwritten.
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
