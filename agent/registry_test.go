package agent

import (
	"testing"
	"time"

	"amaranthpaddle/api"
	"amaranthpaddle/fault"
	"amaranthpaddle/worker"
)

var (
	noon   = time.Unix(1_000_000, 0)
	ledger = worker.Announcement{ID: "ledger-0", Service: "ledger", URL: "http://127.0.0.1:1", Slots: 8, Connections: 64}
)

func TestRegistryAnnouncesRenewsAndExpires(t *testing.T) {
	registry := NewRegistry(&api.BackendServer{Vm: "vm-1", Zone: "Cork", Incarnation: 7})
	changed := registry.Changed()
	if err := registry.Announce(ledger, noon); err != nil {
		t.Fatal(err)
	}
	wantClosed(t, changed, true, "an announcement")
	servers := registry.Servers()
	if len(servers) != 1 || servers[0].Vm != "vm-1" || servers[0].Incarnation != 7 || servers[0].Slots != 8 {
		t.Fatalf("announced %v", servers)
	}
	changed = registry.Changed()
	if err := registry.Announce(ledger, noon.Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	wantClosed(t, changed, false, "a renewal")
	registry.Expire(noon.Add(time.Second + announcementTTL))
	if len(registry.Servers()) != 1 {
		t.Error("a renewed announcement expired at its original time")
	}
	registry.Expire(noon.Add(time.Second + announcementTTL + 1))
	wantClosed(t, changed, true, "an expiry")
	if len(registry.Servers()) != 0 {
		t.Error("an announcement did not expire")
	}
}

func TestRegistryLeavingServerTakesNoNewWorkAndIsNotRenewed(t *testing.T) {
	registry := NewRegistry(&api.BackendServer{})
	if err := registry.Announce(ledger, noon); err != nil {
		t.Fatal(err)
	}
	changed := registry.Changed()
	registry.Leave(ledger.ID)
	wantClosed(t, changed, true, "a deregistration")
	if servers := registry.Servers(); len(servers) != 1 || !servers[0].Leaving {
		t.Errorf("got %v, want the server announced as leaving", servers)
	}
	if present := registry.Present(); len(present) != 0 {
		t.Errorf("a leaving server still gets work: %v", present)
	}
	if err := registry.Announce(ledger, noon); !fault.Is(err, fault.Draining) {
		t.Errorf("a late renewal gave %v, want draining", err)
	}
}

func TestRegistryRefusesIncompleteAnnouncements(t *testing.T) {
	registry := NewRegistry(&api.BackendServer{})
	invalidations := map[string]func(*worker.Announcement){
		"without id":          func(a *worker.Announcement) { a.ID = "" },
		"without service":     func(a *worker.Announcement) { a.Service = "" },
		"without url":         func(a *worker.Announcement) { a.URL = "" },
		"without slots":       func(a *worker.Announcement) { a.Slots = 0 },
		"without connections": func(a *worker.Announcement) { a.Connections = -1 },
	}
	for name, change := range invalidations {
		announcement := ledger
		change(&announcement)
		if err := registry.Announce(announcement, noon); !fault.Is(err, fault.InvalidArgument) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func wantClosed(t *testing.T, c <-chan struct{}, want bool, what string) {
	t.Helper()
	closed := false
	select {
	case <-c:
		closed = true
	default:
	}
	if closed != want {
		t.Errorf("after %s: changed = %v, want %v", what, closed, want)
	}
}
