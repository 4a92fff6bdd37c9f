package limit

import (
	"sync"
	"time"

	"amaranthpaddle/fault"
)

const (
	// smallBody is the size up to which a body may use the whole budget. Larger ones
	// leave a quarter of it to the small ones.
	smallBody    = 64 << 10
	largePercent = 75
	// roomTimeout bounds the wait for a body that gives way to free its bytes.
	roomTimeout = time.Second
)

// Budget bounds the bytes that the request bodies of a process hold.
type Budget struct {
	total int64

	mu       sync.Mutex
	used     int64
	open     map[*Reservation]struct{}
	released chan struct{} // closed and replaced when bytes become free
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(total int64) *Budget {
	return &Budget{total: total, open: map[*Reservation]struct{}{}, released: make(chan struct{})}
}

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Largest returns the most bytes that one body may use.
func (b *Budget) Largest() int64 { return b.total * largePercent / 100 }

// Reservation is what one request uses of a budget.
type Reservation struct {
	budget  *Budget
	began   time.Time
	abandon func() // ends the reading of the body

	// Guarded by budget.mu.
	bytes     int64
	abandoned bool
	complete  bool // the body has arrived whole and is not abandoned any more
}

// Reserve returns an empty reservation. abandon is called, at most once and without
// blocking, when the body has to give way before it is complete.
func (b *Budget) Reserve(now time.Time, abandon func()) *Reservation {
	r := &Reservation{budget: b, began: now, abandon: abandon}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[r] = struct{}{}
	return r
}

// Take adds n bytes to the reservation before they are used, and makes other bodies give
// way if there is no room. Errors: fault.TooLarge if a body can never have that many,
// fault.Overloaded if this body has to give way itself.
func (r *Reservation) Take(n int64) error {
	b := r.budget
	timeout := time.NewTimer(roomTimeout)
	defer timeout.Stop()
	for {
		b.mu.Lock()
		granted, err := b.takeLocked(r, n, time.Now())
		released := b.released
		b.mu.Unlock()
		if granted || err != nil {
			return err
		}
		select {
		case <-released:
		case <-timeout.C:
			return errNoRoom()
		}
	}
}

func errNoRoom() error {
	return fault.New(fault.Overloaded, "request bodies use all the memory for them")
}

// takeLocked decides on n more bytes: they are granted, refused, or neither until others
// have released theirs.
func (b *Budget) takeLocked(r *Reservation, n int64, now time.Time) (granted bool, err error) {
	limit := b.total
	if r.bytes+n > smallBody {
		limit = b.Largest()
	}
	switch {
	case r.bytes+n > limit:
		return false, fault.Newf(fault.TooLarge, "the body needs more than %d bytes of memory", limit)
	case r.abandoned:
		return false, errNoRoom()
	case b.used+n <= limit:
		r.bytes += n
		b.used += n
		return true, nil
	}
	freed := int64(0)
	for other := range b.open {
		if other.abandoned {
			freed += other.bytes
		}
	}
	for b.used-freed+n > limit {
		victim := b.victimLocked(r, n, now)
		if victim == nil {
			return false, errNoRoom()
		}
		victim.abandoned = true
		freed += victim.bytes
		victim.abandon()
	}
	return false, nil
}

// victimLocked returns the unfinished body that has held most bytes for longest, nil if
// there is none or r itself would be it.
func (b *Budget) victimLocked(r *Reservation, n int64, now time.Time) *Reservation {
	var victim *Reservation
	heaviest := weight(r.bytes+n, r.began, now)
	for other := range b.open {
		if other == r || other.abandoned || other.complete || other.bytes == 0 {
			continue
		}
		if w := weight(other.bytes, other.began, now); w > heaviest {
			victim, heaviest = other, w
		}
	}
	return victim
}

func weight(bytes int64, began, now time.Time) float64 {
	return float64(bytes) * now.Sub(began).Seconds()
}

// Complete keeps the body from being abandoned, as it has arrived whole.
func (r *Reservation) Complete() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.complete = true
}

// Give returns n bytes of the reservation.
func (r *Reservation) Give(n int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.giveLocked(n)
}

func (r *Reservation) giveLocked(n int64) {
	r.bytes -= n
	r.budget.used -= n
	close(r.budget.released)
	r.budget.released = make(chan struct{})
}

// Abandoned reports whether the body had to give way.
func (r *Reservation) Abandoned() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.abandoned
}

// Release returns all bytes and ends the reservation.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	delete(r.budget.open, r)
	r.giveLocked(r.bytes)
}
