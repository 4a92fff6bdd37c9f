package dispatch

import (
	"slices"
	"time"
)

// Returns spreads the times at which refused callers return, so that they find the room
// that their jobs need, one after the other. Callers of one zone return in the order of
// their refusals, and the zones of a queue take turns: between two callers of a zone,
// one of each other zone that has callers to return may come, whichever was refused
// first. It is not safe for concurrent use.
type Returns struct {
	next   map[caller]time.Time      // when the next one may return
	booked map[string][]bookedReturn // by queue, sorted by time
}

// bookedReturn is the time that a returning caller has the room for itself.
type bookedReturn struct{ from, until time.Time }

// Bounds for the time between two returns to a queue.
const (
	minReturnInterval = 100 * time.Millisecond
	maxReturnInterval = maxRetryAfter / 6
)

// NewReturns returns Returns without any.
func NewReturns() *Returns {
	return &Returns{next: map[caller]time.Time{}, booked: map[string][]bookedReturn{}}
}

// Book returns the time after which a caller may return, at most maxRetryAfter: not
// before earliest, and not before the callers of its queue and zone that were refused
// earlier. occupied is the time for which its job takes all the room; random is from 0
// up to 1.
func (r *Returns) Book(queue, zone string, earliest, occupied time.Duration, random float64, now time.Time) time.Duration {
	interval := min(max(occupied, minReturnInterval), maxReturnInterval)
	r.forgetPassed(queue, now)
	key, at := caller{queue, zone}, now.Add(earliest)
	if next := r.next[key]; next.After(at) {
		at = next
	}
	at = r.turn(key, at)
	limit := now.Add(maxRetryAfter - interval)
	if at.After(limit) {
		at = limit // later ones can't be told apart
	} else {
		r.book(queue, bookedReturn{at, at.Add(interval)})
	}
	r.next[key] = at.Add(interval)
	return at.Sub(now) + time.Duration(random*float64(interval))
}

// turn returns the first time from which nobody is booked. At most one booking is passed
// for each other zone, so the callers of a zone that were refused first keep no other
// zone waiting.
func (r *Returns) turn(key caller, at time.Time) time.Time {
	others := 0
	for other, next := range r.next {
		if other.queue == key.queue && other.zone != key.zone && next.After(at) {
			others++
		}
	}
	for _, b := range r.booked[key.queue] {
		if others > 0 && !b.from.After(at) && b.until.After(at) {
			at = b.until
			others--
		}
	}
	return at
}

func (r *Returns) book(queue string, b bookedReturn) {
	all := r.booked[queue]
	i, _ := slices.BinarySearchFunc(all, b, func(x, y bookedReturn) int { return x.from.Compare(y.from) })
	r.booked[queue] = slices.Insert(all, i, b)
}

// forgetPassed drops the bookings of a queue that have passed.
func (r *Returns) forgetPassed(queue string, now time.Time) {
	r.booked[queue] = slices.DeleteFunc(r.booked[queue], func(b bookedReturn) bool { return !b.until.After(now) })
	for key, next := range r.next {
		if key.queue == queue && !next.After(now) {
			delete(r.next, key)
		}
	}
}
