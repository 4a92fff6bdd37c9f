package routing

import "time"

// Adaptation of a Limit.
const (
	limitDecrease = 0.95                   // factor of one step down
	limitPause    = 100 * time.Millisecond // between steps down
	queueShare    = 0.5                    // of the backend time that an attempt may wait for its slot
	queueFloor    = 5 * time.Millisecond   // wait for a slot that is always allowed
)

// Limit adapts how many attempts of one service an entry keeps in progress. It
// grows while it is used up and slots are reached without much waiting, and
// shrinks when agents' queues grow or refuse.
type Limit struct {
	current   float64
	ceiling   float64
	loweredAt time.Time
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

// ObserveAnswer takes in how long an attempt waited for its slot and how long
// the backend server took, with inProgress attempts in progress.
func (l *Limit) ObserveAnswer(now time.Time, queue, backend time.Duration, inProgress int) {
	if queue > max(time.Duration(queueShare*float64(backend)), queueFloor) {
		l.lower(now)
		return
	}
	if float64(inProgress) >= 0.9*l.current {
		l.current = min(l.current+1/l.current, l.ceiling)
	}
}

// ObserveOverload takes in a refusal for lack of slots.
func (l *Limit) ObserveOverload(now time.Time) { l.lower(now) }

func (l *Limit) lower(now time.Time) {
	if now.Sub(l.loweredAt) < limitPause {
		return
	}
	l.loweredAt = now
	l.current = max(l.current*limitDecrease, 1)
}

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
