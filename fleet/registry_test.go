package fleet

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
)

func announceVM(t *testing.T, r *Registry, nowMS int64, vm string, incarnation uint64, servers ...string) {
	t.Helper()
	if err := r.Announce(nowMS, announcementOf(vm, incarnation, servers...)); err != nil {
		t.Fatal(err)
	}
	r.publisher.Commit()
}

func announcementOf(vm string, incarnation uint64, servers ...string) Announcement {
	a := Announcement{VM: &api.VM{Id: vm, Zone: "a"}, Incarnation: incarnation, ServersChanged: true}
	for _, id := range servers {
		a.Servers = append(a.Servers, &api.BackendServer{Id: id, Service: "s", AgentAddress: "127.0.0.1:1"})
	}
	return a
}

func newTestRegistry() *Registry { return NewRegistry(NewPublisher(NewDirectory())) }

func TestDrainedVMServersTakeNoNewWork(t *testing.T) {
	r := newTestRegistry()
	announceVM(t, r, 0, "vm", 1, "s1")
	if err := r.SetDraining(0, "vm", true); err != nil {
		t.Fatal(err)
	}
	if s := r.publisher.Directory().Server("s1"); !s.Leaving {
		t.Fatalf("server %v", s)
	}
	announceVM(t, r, 0, "vm", 2, "s1", "s2")
	if s := r.publisher.Directory().Server("s2"); !s.Leaving || r.VM("vm").TakesWork() {
		t.Fatal("a restart of the agent ended the drain")
	}
	if err := r.SetDraining(0, "vm", false); err != nil || r.publisher.Directory().Server("s1").Leaving {
		t.Fatalf("undrain: %v", err)
	}
}

func TestLostVMServersAreWithdrawnUntilReturn(t *testing.T) {
	r := newTestRegistry()
	announceVM(t, r, 0, "vm", 1, "s1")
	if !r.MarkLost(0, "vm", 1) || r.publisher.Directory().Server("s1") != nil {
		t.Fatal("the lost VM's server is still published")
	}
	announceVM(t, r, 0, "vm", 1, "s1")
	if r.MarkLost(0, "vm", 2) || r.publisher.Directory().Server("s1") == nil {
		t.Fatal("the VM that returned is not published")
	}
}

func TestEarlierIncarnationIsRefused(t *testing.T) {
	r := newTestRegistry()
	announceVM(t, r, 0, "vm", 2, "s1")
	if err := r.Announce(0, announcementOf("vm", 1)); !fault.Is(err, fault.Stale) {
		t.Fatalf("error %v", err)
	}
}

func TestServerOfAnotherVMIsRefused(t *testing.T) {
	r := newTestRegistry()
	announceVM(t, r, 0, "vm", 1, "s1")
	if err := r.Announce(0, announcementOf("other", 1, "s1")); !fault.Is(err, fault.Conflict) {
		t.Fatalf("error %v", err)
	}
	r.MarkLost(0, "vm", 1)
	announceVM(t, r, 0, "other", 1, "s1")
	announceVM(t, r, 0, "vm", 2)
	if s := r.publisher.Directory().Server("s1"); s == nil || s.Vm != "other" {
		t.Fatalf("server %v", s)
	}
}

func TestFlappingVMIsSuppressedUntilPenaltyDecays(t *testing.T) {
	r := newTestRegistry()
	now := int64(0)
	announceVM(t, r, now, "vm", 1, "s1")
	for incarnation := uint64(2); incarnation <= 3; incarnation++ {
		now += time.Second.Milliseconds()
		announceVM(t, r, now, "vm", incarnation, "s1")
	}
	if r.VM("vm").Suppressed {
		t.Fatal("a VM is suppressed after only two restarts")
	}
	for incarnation := uint64(4); incarnation <= 8; incarnation++ {
		now += time.Second.Milliseconds()
		announceVM(t, r, now, "vm", incarnation, "s1")
	}
	if !r.VM("vm").Suppressed || r.publisher.Directory().Server("s1") != nil || r.VM("vm").TakesWork() {
		t.Fatal("a VM that restarts every second is not suppressed")
	}
	if r.NeedsReinstate(now + time.Second.Milliseconds()) {
		t.Fatal("a suppressed VM is reinstated after one second")
	}
	now += (5 * time.Minute).Milliseconds()
	r.Reinstate(now)
	if r.VM("vm").Suppressed || r.publisher.Directory().Server("s1") == nil {
		t.Fatal("a VM without restarts for five minutes is still suppressed")
	}
}

// An agent whose clock stepped back announces a lower incarnation than before.
func TestEarlierIncarnationIsAcceptedOnceVMIsLost(t *testing.T) {
	r := newTestRegistry()
	announceVM(t, r, 0, "vm", 9)
	if err := r.Announce(1, announcementOf("vm", 3)); !fault.Is(err, fault.Stale) {
		t.Fatalf("got %v, want stale while the later incarnation may still run", err)
	}
	if !r.MarkLost(0, "vm", 9) {
		t.Fatal("the VM was not declared lost")
	}
	announceVM(t, r, 2, "vm", 3)
	if v := r.VM("vm"); v.Lost || v.Incarnation != 3 {
		t.Errorf("VM %+v", v)
	}
}

func TestLostVMIsRemovedAfterRetentionUnlessDrained(t *testing.T) {
	r := newTestRegistry()
	for _, vm := range []string{"gone", "drained", "last"} {
		announceVM(t, r, 0, vm, 1)
	}
	if err := r.SetDraining(0, "drained", true); err != nil {
		t.Fatal(err)
	}
	r.MarkLost(0, "gone", 1)
	r.MarkLost(0, "drained", 1)
	r.MarkLost(lostRetention.Milliseconds()+1, "last", 1)
	if r.VM("gone") != nil || r.VM("drained") == nil || r.VM("last") == nil {
		t.Fatalf("VMs %v", r.VMs())
	}
}
