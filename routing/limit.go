package routing

// Adaptation of a Limit: one answer raises a limit that is used up by limitRaise
// over the limit, one refusal for lack of slots lowers it by limitLower. They
// balance when one attempt in limit*limitLower/limitRaise is refused.
const (
	limitRaise = 1.0
	limitLower = 0.5
	limitInUse = 0.9 // part of the limit in progress from which it counts as used up
)

// Limit adapts how many attempts of one service an entry keeps in progress. It
// grows while it is used up and agents find slots, and shrinks when they refuse.
type Limit struct {
	current float64
	ceiling float64
}

// NewLimit returns a limit that starts at its ceiling.
func NewLimit(ceiling int) *Limit {
	return &Limit{current: float64(max(ceiling, 1)), ceiling: float64(max(ceiling, 1))}
}

// SetCeiling sets the highest limit: what all slots and their queues can hold.
func (l *Limit) SetCeiling(ceiling int) {
	raised := float64(ceiling) > l.ceiling
	l.ceiling = float64(max(ceiling, 1))
	if raised || l.current > l.ceiling {
		l.current = l.ceiling
	}
}

// Current returns how many attempts may be in progress, at least 1.
func (l *Limit) Current() int { return max(int(l.current), 1) }

// ObserveAnswer takes in an answer, with inProgress attempts in progress.
func (l *Limit) ObserveAnswer(inProgress int) {
	if float64(inProgress) >= limitInUse*l.current {
		l.current = min(l.current+limitRaise/l.current, l.ceiling)
	}
}

// ObserveOverload takes in a refusal for lack of slots.
func (l *Limit) ObserveOverload() { l.current = max(l.current-limitLower, 1) }

// Budget allows extra attempts as a fraction of the first ones.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// NewBudget returns a budget of ratio extra attempts for each first one, with
// at most burst saved up.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// First counts a first attempt.
func (b *Budget) First() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Take uses one extra attempt up, and reports false when there is none.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
