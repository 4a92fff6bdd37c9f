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
	losing  bool // the VM is being declared lost: nothing more is granted
}

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
	if l.losing {
		return false
	}
	l.grantor.Grant(t.terms, now)
	return true
}

// takeExpired returns those of the VMs whose lease no holder can still hold,
// and grants them nothing from now on.
func (t *leaseTable) takeExpired(vms []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []string
	for _, vm := range vms {
		l := t.get(vm)
		if l.grantor.Expired(now) {
			l.losing = true
			expired = append(expired, vm)
		}
	}
	return expired
}

// losing reports whether the VM is being declared lost.
func (t *leaseTable) losing(vm string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(vm).losing
}

// announced lets the VM hold leases again. A new announcement was committed
// after any declaration of loss.
func (t *leaseTable) announced(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(vm).losing = false
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
