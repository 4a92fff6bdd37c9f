package control

import (
	"sync"
	"time"

	"amaranthpaddle/task/lease"
)

// leaseTable is the leader's view of the VMs' leases. It is safe for concurrent use.
type leaseTable struct {
	terms lease.Terms

	mu      sync.Mutex
	elected time.Time
	vms     map[string]*vmLease
}

type vmLease struct {
	grantor lease.Grantor
	loss    lossState
	attempt uint64 // counts the declarations of loss
}

// lossState is how far a declaration of loss has come. Nothing is granted but
// in lossNone.
type lossState uint8

const (
	lossNone     lossState = iota
	lossProposed           // may still be appended to the log
	lossResolved           // in the log, or never will be
)

func newLeaseTable(terms lease.Terms) *leaseTable {
	return &leaseTable{terms: terms, vms: map[string]*vmLease{}}
}

// reset begins a leadership. Every VM counts as leased just before it.
func (t *leaseTable) reset(elected time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.elected = elected
	clear(t.vms)
}

func (t *leaseTable) get(vm string) *vmLease {
	l := t.vms[vm]
	if l == nil {
		l = &vmLease{grantor: lease.NewGrantor(t.terms, t.elected)}
		t.vms[vm] = l
	}
	return l
}

// grant records that a renewal is answered at now. It reports false while the
// VM is being declared lost; the answer must then grant nothing.
func (t *leaseTable) grant(vm string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.get(vm)
	if l.loss != lossNone {
		return false
	}
	l.grantor.Grant(t.terms, now)
	return true
}

// takeExpired returns those of the VMs whose lease no holder can still hold,
// and grants them nothing from now on. Each must be passed to resolved once its
// declaration of loss has an outcome.
func (t *leaseTable) takeExpired(vms []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []string
	for _, vm := range vms {
		l := t.get(vm)
		if l.grantor.Expired(now) {
			l.loss = lossProposed
			l.attempt++
			expired = append(expired, vm)
		}
	}
	return expired
}

// resolved records that a VM's declaration of loss was committed, refused or
// failed. Any entry proposed from now on comes after it in the log.
func (t *leaseTable) resolved(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.get(vm); l.loss == lossProposed {
		l.loss = lossResolved
	}
}

// losing reports whether the VM is being declared lost.
func (t *leaseTable) losing(vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(vm).loss != lossNone
}

// beginAnnounce begins the announcement of a VM at now, and keeps it from being
// taken for expired before its first grant. It reports false while a
// declaration of loss is on its way: the announcement must come after it.
func (t *leaseTable) beginAnnounce(vm string, now time.Time) (attempt uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.get(vm)
	if l.loss == lossProposed {
		return 0, false
	}
	l.grantor.Grant(t.terms, now)
	return l.attempt, true
}

// endAnnounce lets the VM hold leases again: its announcement was committed,
// and no declaration of loss was begun since beginAnnounce.
func (t *leaseTable) endAnnounce(vm string, attempt uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.get(vm); l.attempt == attempt {
		l.loss = lossNone
	}
}

// left returns how long the VM's lease may still be held at now.
func (t *leaseTable) left(vm string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.get(vm).grantor.Expiry().Sub(now), 0)
}

// remainder returns the part of a bounded permission that is left for a holder
// that counts from the sending of a report received at the time, when the
// permission rests on a confirmation that began at the other time.
func remainder(bound time.Duration, confirmed, received time.Time) time.Duration {
	return max(bound-received.Sub(confirmed), 0)
}
