package routing

// Parameters of a Limit. An answer while the limit is in use raises it by
// limitIncrease/limit, and a refusal for lack of slots lowers it by
// limitDecrease. The limit is in equilibrium when one attempt in
// limit*limitDecrease/limitIncrease is refused.
const (
	limitIncrease       = 1.0
	limitDecrease       = 0.5
	minLimitUtilization = 0.9 // fraction of the limit in progress from which the limit counts as in use
)

// Limit is an adaptive limit on the attempts of one service that an entry has in
// progress. It grows while it is in use and agents have free slots, and shrinks
// when agents refuse attempts.
type Limit struct {
	current float64
	ceiling float64
}

// NewLimit returns a limit that starts at its ceiling.
func NewLimit(ceiling int) *Limit {
	return &Limit{current: float64(max(ceiling, 1)), ceiling: float64(max(ceiling, 1))}
}

// SetCeiling sets the maximum of the limit: the number of attempts that all slots
// and their queues can hold. Raising the ceiling raises the limit to it.
func (l *Limit) SetCeiling(ceiling int) {
	raised := float64(ceiling) > l.ceiling
	l.ceiling = float64(max(ceiling, 1))
	if raised || l.current > l.ceiling {
		l.current = l.ceiling
	}
}

// Current returns how many attempts may be in progress, at least 1.
func (l *Limit) Current() int { return max(int(l.current), 1) }

// ObserveAnswer records an answer that came while inProgress attempts were in
// progress.
func (l *Limit) ObserveAnswer(inProgress int) {
	if float64(inProgress) >= minLimitUtilization*l.current {
		l.current = min(l.current+limitIncrease/l.current, l.ceiling)
	}
}

// ObserveOverload records a refusal for lack of slots.
func (l *Limit) ObserveOverload() { l.current = max(l.current-limitDecrease, 1) }

// Budget limits extra attempts, such as retries and hedges, to a fraction of the
// first attempts.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget that allows ratio extra attempts per first attempt
// and accumulates at most burst of them. It starts with burst.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// ObserveFirst records a first attempt.
func (b *Budget) ObserveFirst() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Take consumes one extra attempt and reports whether the budget allowed it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
