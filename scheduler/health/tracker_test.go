package health

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func vmIDs(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("vm-%02d", i))
	}
	return list
}

func noneFailing(string) bool { return false }

// recordOutcomes records failures of three jobs on the first bad VMs, and
// successes on the others.
func recordOutcomes(t *Tracker, at time.Time, vms []string, bad int) {
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

func TestAFailingVMIsQuarantinedProbedAndTrustedAgain(t *testing.T) {
	vms := vmIDs(11)
	tracker := NewTracker()
	recordOutcomes(tracker, start, vms, 1)
	tracker.Review(start, vms, noneFailing)
	wantStates(t, tracker, vms, map[string]State{"vm-00": Quarantined})

	at := start.Add(firstQuarantine)
	tracker.Review(at, vms, noneFailing)
	wantStates(t, tracker, vms, map[string]State{"vm-00": Probation})
	tracker.Failed(at, "vm-00", "job/7")
	tracker.Review(at.Add(firstQuarantine), vms, noneFailing)
	wantStates(t, tracker, vms, map[string]State{"vm-00": Quarantined})

	at = at.Add(2 * firstQuarantine)
	tracker.Review(at, vms, noneFailing)
	tracker.Succeeded(at, "vm-00")
	wantStates(t, tracker, vms, map[string]State{"vm-00": Probation})
	tracker.Succeeded(at, "vm-00")
	tracker.Review(at, vms, noneFailing)
	wantStates(t, tracker, vms, map[string]State{})
}

func TestAJobThatFailsEverywhereDoesNotQuarantineVMs(t *testing.T) {
	vms := vmIDs(11)
	tracker := NewTracker()
	for _, vm := range vms {
		for range 20 {
			tracker.Failed(start, vm, "job/broken")
		}
	}
	tracker.Failed(start, vms[3], "job/other")
	tracker.Review(start, vms, func(job string) bool { return job == "job/broken" })
	wantStates(t, tracker, vms, map[string]State{})
	// The same holds before the job is known to fail, because it fails alike on
	// all peers.
	tracker.Review(start, vms, noneFailing)
	wantStates(t, tracker, vms, map[string]State{})
}

func TestFailuresOfOneJobDoNotQuarantineAVM(t *testing.T) {
	vms := vmIDs(11)
	tracker := NewTracker()
	recordOutcomes(tracker, start, vms, 0)
	for range 50 {
		tracker.Failed(start, vms[0], "job/7")
	}
	tracker.Review(start, vms, noneFailing)
	wantStates(t, tracker, vms, map[string]State{})
}

func TestTheQuarantinedShareIsLimited(t *testing.T) {
	vms := vmIDs(20)
	tracker := NewTracker()
	recordOutcomes(tracker, start, vms[:3], 3)
	recordOutcomes(tracker, start, vms[3:], 0)
	for i := range 3 {
		recordOutcomes(tracker, start, vms[3+i:4+i], 1)
		tracker.vms[vms[3+i]].successes = 0
	}
	for range 3 {
		tracker.Review(start, vms, noneFailing)
	}
	quarantined := 0
	for _, vm := range vms {
		if tracker.State(vm) != Trusted {
			quarantined++
		}
	}
	if quarantined != 4 {
		t.Errorf("%d of 20 VMs quarantined, want 4", quarantined)
	}
}

func TestProbationEndsWithoutTasksToProbeWith(t *testing.T) {
	vms := vmIDs(11)
	tracker := NewTracker()
	recordOutcomes(tracker, start, vms, 1)
	tracker.Review(start, vms, noneFailing)
	at := start.Add(firstQuarantine)
	tracker.Review(at.Add(maxProbation-time.Second), vms, noneFailing)
	wantStates(t, tracker, vms, map[string]State{"vm-00": Probation})
	tracker.Review(at.Add(maxProbation), vms, noneFailing)
	wantStates(t, tracker, vms, map[string]State{})
}
