package control

import (
	"sync"
	"time"

	"amaranthpaddle/task/lease"
)

// leaseTable holds the leader's side of the VM leases. It is safe for concurrent use.
type leaseTable struct {
	terms lease.Terms

	mu      sync.Mutex
	elected time.Time
	vms     map[string]*vmLease
}

type vmLease struct {
	grantor      lease.Grantor
	loss         lossState
	declarations uint64 // number of loss declarations begun
}

// lossState is the progress of a loss declaration, which declares a VM lost.
// Leases are granted in lossNone only.
type lossState uint8

const (
	lossNone     lossState = iota
	lossProposed           // the declaration may still be appended to the log
	lossResolved           // the declaration is in the log or never will be
)

func newLeaseTable(terms lease.Terms) *leaseTable {
	return &leaseTable{terms: terms, vms: map[string]*vmLease{}}
}

// reset starts a new leadership. Every VM is assumed to have been granted a lease
// just before it.
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

// grant records that a renewal is answered at now. It returns false while the
// VM is declared lost; the answer must then grant nothing.
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

// takeExpired returns the VMs whose lease has certainly expired at the holder
// too, and begins a loss declaration for each, which blocks further grants. The
// caller must pass each VM to resolveLoss once the outcome of its declaration is
// known.
func (t *leaseTable) takeExpired(vms []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []string
	for _, vm := range vms {
		l := t.get(vm)
		if l.grantor.Expired(now) {
			l.loss = lossProposed
			l.declarations++
			expired = append(expired, vm)
		}
	}
	return expired
}

// resolveLoss records that a VM's loss declaration was committed, was refused or
// failed. Any entry proposed from now on follows it in the log.
func (t *leaseTable) resolveLoss(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.get(vm); l.loss == lossProposed {
		l.loss = lossResolved
	}
}

// declaredLost reports whether a loss declaration of the VM was begun and no
// announcement has ended it.
func (t *leaseTable) declaredLost(vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(vm).loss != lossNone
}

// beginAnnounce begins the announcement of a VM at now. It extends the VM's
// expiry, so that the VM does not count as expired before its first grant. It
// returns false while a loss declaration is unresolved, because the announcement
// must follow the declaration in the log.
func (t *leaseTable) beginAnnounce(vm string, now time.Time) (declarations uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.get(vm)
	if l.loss == lossProposed {
		return 0, false
	}
	l.grantor.Grant(t.terms, now)
	return l.declarations, true
}

// endAnnounce is called when the announcement was committed. It allows grants to
// the VM again, unless a loss declaration was begun since beginAnnounce.
func (t *leaseTable) endAnnounce(vm string, declarations uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.get(vm); l.declarations == declarations {
		l.loss = lossNone
	}
}

// remaining returns how long, from now, the VM may still hold its lease.
func (t *leaseTable) remaining(vm string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.get(vm).grantor.Expiry().Sub(now), 0)
}

// remainingPermission returns how much of a permission of length bound may be
// granted in the answer to a report. The permission is based on a confirmation
// that began at confirmed; the report arrived at received, and its sender counts
// the permission from when it sent the report.
func remainingPermission(bound time.Duration, confirmed, received time.Time) time.Duration {
	return max(bound-received.Sub(confirmed), 0)
}
