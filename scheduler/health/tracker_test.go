package health

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("vm-%02d", i))
	}
	return list
}

func never(string) bool { return false }

// work records successes on each VM, and failures of several jobs on bad ones.
func work(t *Tracker, at time.Time, vms []string, bad int) {
	for i, vm := range vms {
		for n := range 5 {
			if i < bad {
				t.Failed(at, vm, fmt.Sprintf("job/%d", n%3))
			} else {
				t.Succeeded(at, vm)
			}
		}
	}
}

func wantStates(t *testing.T, tracker *Tracker, vms []string, want map[string]State) {
	t.Helper()
	for _, vm := range vms {
		if got := tracker.State(vm); got != want[vm] {
			t.Errorf("%s is in state %d, want %d", vm, got, want[vm])
		}
	}
}

func TestAVMThatFailsEverythingIsQuarantinedProbedAndLetBack(t *testing.T) {
	vms := names(11)
	tracker := NewTracker()
	work(tracker, start, vms, 1)
	tracker.Review(start, vms, never)
	wantStates(t, tracker, vms, map[string]State{"vm-00": Quarantined})

	at := start.Add(firstQuarantine)
	tracker.Review(at, vms, never)
	wantStates(t, tracker, vms, map[string]State{"vm-00": Probation})
	tracker.Failed(at, "vm-00", "job/7")
	tracker.Review(at.Add(firstQuarantine), vms, never)
	wantStates(t, tracker, vms, map[string]State{"vm-00": Quarantined})

	at = at.Add(2 * firstQuarantine)
	tracker.Review(at, vms, never)
	tracker.Succeeded(at, "vm-00")
	wantStates(t, tracker, vms, map[string]State{"vm-00": Probation})
	tracker.Succeeded(at, "vm-00")
	tracker.Review(at, vms, never)
	wantStates(t, tracker, vms, map[string]State{})
}

func TestAJobThatFailsEverywhereIsNotHeldAgainstVMs(t *testing.T) {
	vms := names(11)
	tracker := NewTracker()
	for _, vm := range vms {
		for range 20 {
			tracker.Failed(start, vm, "job/broken")
		}
	}
	tracker.Failed(start, vms[3], "job/other")
	tracker.Review(start, vms, func(job string) bool { return job == "job/broken" })
	wantStates(t, tracker, vms, map[string]State{})
	// Nor is it before the job is known to fail: all peers fail alike.
	tracker.Review(start, vms, never)
	wantStates(t, tracker, vms, map[string]State{})
}

func TestOneJobAloneDoesNotCondemnAVM(t *testing.T) {
	vms := names(11)
	tracker := NewTracker()
	work(tracker, start, vms, 0)
	for range 50 {
		tracker.Failed(start, vms[0], "job/7")
	}
	tracker.Review(start, vms, never)
	wantStates(t, tracker, vms, map[string]State{})
}

func TestTheQuarantinedShareIsCapped(t *testing.T) {
	vms := names(20)
	tracker := NewTracker()
	work(tracker, start, vms[:3], 3)
	work(tracker, start, vms[3:], 0)
	for i := range 3 {
		work(tracker, start, vms[3+i:4+i], 1)
		tracker.vms[vms[3+i]].successes = 0
	}
	for range 3 {
		tracker.Review(start, vms, never)
	}
	held := 0
	for _, vm := range vms {
		if tracker.State(vm) != Trusted {
			held++
		}
	}
	if held != 4 {
		t.Errorf("%d of 20 VMs quarantined, want 4", held)
	}
}

func TestProbationEndsWhenThereIsNothingToTryTheVMWith(t *testing.T) {
	vms := names(11)
	tracker := NewTracker()
	work(tracker, start, vms, 1)
	tracker.Review(start, vms, never)
	at := start.Add(firstQuarantine)
	tracker.Review(at.Add(maxProbation-time.Second), vms, never)
	wantStates(t, tracker, vms, map[string]State{"vm-00": Probation})
	tracker.Review(at.Add(maxProbation), vms, never)
	wantStates(t, tracker, vms, map[string]State{})
}
