package dispatch

// kindModel predicts the costs of pairs of images that few samples show, from pairs
// that are known.
//
// Services of one kind depend on the same resource of a worker, and best-effort
// images of one kind press on the same one. So two services that the same images
// interfere with are likely alike for other images as well, and so are two
// best-effort images that interfere with the same services. It answers a fleet on
// which hundreds of pairs start at once, such as at the start of a day: until each
// pair had its own samples, best-effort work was placed beside services at random.
//
// Where the known costs show no such kinds, the predictions stay at the prior cost.
type kindModel struct {
	services, bestEffort []string
	known                [][]evidence // by service and best-effort image
}

// evidence is what samples tell of the cost of one pair.
type evidence struct {
	cost       float64 // headroom per core
	confidence float64 // 0 without samples, up to 1
}

// Parameters of the kind model. The factors are ratios of the probability of what is
// known of a third image if two images are of one kind, to that if they are not.
const (
	interferingCost    = 0.12 // headroom per core; costs are near 0 or well above it
	minConfidence      = 0.4  // of a cost that tells of kinds
	priorSameKind      = 0.25 // probability that two images are of one kind
	factorBothAffected = 8.0  // both interfere, or are interfered with
	factorNoneAffected = 1.5
	factorDifferent    = 0.05
	priorPairs         = 0.5 // weight of the prior cost, in pairs
)

// sameKind returns how much more likely than before it is, from 0 to 1, that two
// images are of one kind, from their costs with n other images.
func sameKind(n int, a, b func(int) evidence) float64 {
	odds := priorSameKind / (1 - priorSameKind)
	for i := range n {
		x, y := a(i), b(i)
		if x.confidence < minConfidence || y.confidence < minConfidence {
			continue
		}
		switch affectedX, affectedY := x.cost > interferingCost, y.cost > interferingCost; {
		case affectedX && affectedY:
			odds *= factorBothAffected
		case affectedX != affectedY:
			odds *= factorDifferent
		default:
			odds *= factorNoneAffected
		}
	}
	return max(odds/(1+odds)-priorSameKind, 0) / (1 - priorSameKind)
}

// predict returns the predicted cost of each pair, by service and best-effort image.
func (m *kindModel) predict() [][]float64 {
	rows, columns := len(m.services), len(m.bestEffort)
	serviceKinds := likeness(rows, func(a, b int) float64 {
		return sameKind(columns, func(i int) evidence { return m.known[a][i] }, func(i int) evidence { return m.known[b][i] })
	})
	bestEffortKinds := likeness(columns, func(a, b int) float64 {
		return sameKind(rows, func(i int) evidence { return m.known[i][a] }, func(i int) evidence { return m.known[i][b] })
	})
	predicted := make([][]float64, rows)
	for s := range rows {
		predicted[s] = make([]float64, columns)
		for b := range columns {
			sum, weight := priorPairs*priorCost, priorPairs
			for other := range rows {
				w := serviceKinds[s][other] * m.known[other][b].confidence
				sum, weight = sum+w*m.known[other][b].cost, weight+w
			}
			for other := range columns {
				w := bestEffortKinds[b][other] * m.known[s][other].confidence
				sum, weight = sum+w*m.known[s][other].cost, weight+w
			}
			predicted[s][b] = sum / weight
		}
	}
	return predicted
}

// likeness returns a symmetric matrix of compare, with 0 on its diagonal.
func likeness(n int, compare func(a, b int) float64) [][]float64 {
	matrix := make([][]float64, n)
	for a := range matrix {
		matrix[a] = make([]float64, n)
		for b := range a {
			matrix[a][b] = compare(a, b)
			matrix[b][a] = matrix[a][b]
		}
	}
	return matrix
}
