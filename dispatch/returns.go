package dispatch

import "time"

// Returns spreads the times at which refused callers return, so that they find the room
// that their jobs need, one after the other in the order of their refusals. It is
// not safe for concurrent use.
type Returns struct {
	next map[string]time.Time // by queue, when the next one may return
}

// Bounds for the time between two returns to a queue.
const (
	minReturnInterval = 100 * time.Millisecond
	maxReturnInterval = maxRetryAfter / 6
)

// NewReturns returns Returns without any.
func NewReturns() *Returns { return &Returns{next: map[string]time.Time{}} }

// Book returns the time after which a caller may return, at most maxRetryAfter: not
// before earliest, and not before the callers that were refused earlier. occupied is
// the time for which its job takes all the room; random is from 0 up to 1.
func (r *Returns) Book(queue string, earliest, occupied time.Duration, random float64, now time.Time) time.Duration {
	interval := min(max(occupied, minReturnInterval), maxReturnInterval)
	at := now.Add(earliest)
	if next := r.next[queue]; next.After(at) {
		at = next
	}
	if limit := now.Add(maxRetryAfter - interval); at.After(limit) {
		at = limit // later ones can't be told apart
	}
	r.next[queue] = at.Add(interval)
	return at.Sub(now) + time.Duration(random*float64(interval))
}
