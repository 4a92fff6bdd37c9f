package replica

import (
	"context"
	"testing"
	"time"

	"amaranthpaddle/disk"
	"amaranthpaddle/fault"
)

// brokenDisk fails every sync of a file once it is told to.
type brokenDisk struct {
	disk.OS
	broken chan struct{}
}

type brokenFile struct {
	disk.File
	broken chan struct{}
}

func (d *brokenDisk) Append(path string) (disk.File, error) {
	file, err := d.OS.Append(path)
	return &brokenFile{file, d.broken}, err
}

func (f *brokenFile) Sync() error {
	select {
	case <-f.broken:
		return fault.New(fault.StorageFailed, "sync refused by the test")
	default:
		return f.File.Sync()
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	t.Cleanup(cancel)
	return ctx
}

func waitApplied(t *testing.T, h *host, count uint64) {
	t.Helper()
	deadline := time.Now().Add(testWait)
	for h.machine.count() < count {
		if time.Now().After(deadline) {
			t.Fatalf("replica %d has %d entries, want %d", h.config.ID, h.machine.count(), count)
		}
		time.Sleep(time.Millisecond)
	}
}

// others returns the hosts besides one.
func others(hosts []*host, one *host) []*host {
	var rest []*host
	for _, h := range hosts {
		if h != one {
			rest = append(rest, h)
		}
	}
	return rest
}

func TestAVMWithALostDiskIsReplacedAndASecondLossLosesNothing(t *testing.T) {
	hosts := startGroup(t, 3, func(c *Config) { c.SnapshotEntries, c.KeepEntries = 20, 5 })
	leader := waitLeader(t, hosts)
	for range 50 {
		mustPropose(t, leader, []byte("change"))
	}
	lost := others(hosts, leader)[0]
	lost.stop()

	fresh := newHost(t, 4)
	fresh.config.Join = true
	fresh.config.SnapshotEntries, fresh.config.KeepEntries = 20, 5
	fresh.start()
	if err := leader.replica.ReplaceMember(testContext(t), lost.config.ID, 4, fresh.config.Address); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		mustPropose(t, leader, []byte("change"))
	}
	leader.stop()

	rest := append(others(others(hosts, leader), lost), fresh)
	next := waitLeader(t, rest)
	mustConfirm(t, next)
	if got := next.machine.count(); got != 60 {
		t.Errorf("after the second loss the state has %d entries, want 60", got)
	}
	waitApplied(t, fresh, 60)
	members, err := next.replica.Members()
	if err != nil {
		t.Fatal(err)
	}
	for _, member := range members {
		if member.ID == lost.config.ID || !member.Voter {
			t.Errorf("member %+v after the replacement", member)
		}
	}
	if err := next.replica.ReplaceMember(testContext(t), lost.config.ID, 4, fresh.config.Address); err != nil {
		t.Errorf("the same replacement again: %v", err)
	}
}

func waitFault(t *testing.T, h *host) {
	t.Helper()
	deadline := time.Now().Add(testWait)
	for h.replica.Status().StorageFault == "" {
		if time.Now().After(deadline) {
			t.Fatalf("status %+v, want a fault", h.replica.Status())
		}
		time.Sleep(time.Millisecond)
	}
}

func TestAnEmptyDiskUnderAnOldIDIsRefused(t *testing.T) {
	hosts := startGroup(t, 3, nil)
	leader := waitLeader(t, hosts)
	lost := others(hosts, leader)[0]
	lost.stop()
	lost.config.DataDir = t.TempDir()
	lost.config.Join = true
	lost.start()
	waitFault(t, lost)
	lost.stop()
	lost.config.DataDir = t.TempDir()
	lost.config.Join = false
	lost.start()
	waitFault(t, lost)
	if _, err := lost.replica.ConfirmRead(testContext(t)); !fault.Is(err, fault.NotLeader) {
		t.Errorf("read on the refused replica: %v", err)
	}
}

func TestAFailedSyncEndsTheReplicasPart(t *testing.T) {
	broken := make(chan struct{})
	hosts := startGroup(t, 3, func(c *Config) { c.FS = &brokenDisk{broken: broken} })
	leader := waitLeader(t, hosts)
	for _, h := range others(hosts, leader) {
		h.stop()
		h.config.FS = disk.OS{}
		h.start()
	}
	leader = waitLeader(t, hosts)
	for leader.config.FS == (disk.OS{}) {
		if err := leader.replica.TransferLeadership(testContext(t), 0); err != nil {
			t.Fatal(err)
		}
		leader = waitLeader(t, hosts)
	}
	mustPropose(t, leader, []byte("change"))
	close(broken)
	_, err := leader.replica.Propose(testContext(t), []byte("change"))
	if !fault.Is(err, fault.CommitUnknown) {
		t.Errorf("proposal during the failure: %v, want commit-unknown", err)
	}
	if _, err = leader.replica.Propose(testContext(t), nil); !fault.Is(err, fault.NotLeader) {
		t.Errorf("proposal after the failure: %v, want not-leader", err)
	}
	if leader.replica.Status().StorageFault == "" {
		t.Error("status shows no storage fault")
	}
	mustPropose(t, waitLeader(t, others(hosts, leader)), []byte("change"))
}

func TestAPlannedStopHandsTheLeadershipOver(t *testing.T) {
	hosts := startGroup(t, 3, nil)
	leader := waitLeader(t, hosts)
	term := leader.replica.Status().Term
	if err := leader.replica.TransferLeadership(testContext(t), 0); err != nil {
		t.Fatal(err)
	}
	leader.stop()
	next := waitLeader(t, others(hosts, leader))
	if got := next.replica.Status().Term; got != term+1 {
		t.Errorf("term %d after the hand-over, want %d", got, term+1)
	}
}

func TestALeaderThatIsToBeReplacedHandsOver(t *testing.T) {
	hosts := startGroup(t, 3, nil)
	leader := waitLeader(t, hosts)
	fresh := newHost(t, 4)
	fresh.config.Join = true
	fresh.start()
	replace := func() error {
		return waitLeader(t, hosts).replica.ReplaceMember(testContext(t), leader.config.ID, 4, fresh.config.Address)
	}
	if err := replace(); !fault.Is(err, fault.NotLeader) {
		t.Errorf("at the leader itself: %v, want not-leader", err)
	}
	hosts = others(hosts, leader)
	if err := replace(); err != nil {
		t.Error(err)
	}
	mustPropose(t, waitLeader(t, append(hosts, fresh)), []byte("change"))
}

func TestAnotherReplicasFolderIsRefused(t *testing.T) {
	h := startGroup(t, 1, nil)[0]
	waitLeader(t, []*host{h})
	h.stop()
	config := h.config
	config.ID = 2
	config.Peers = map[uint64]string{2: config.Address}
	if _, err := Start(config); !fault.Is(err, fault.Conflict) {
		t.Errorf("got %v, want conflict", err)
	}
}

func TestWithoutAQuorumNothingIsAcknowledged(t *testing.T) {
	hosts := startGroup(t, 3, func(c *Config) { c.Election = 500 * time.Millisecond })
	leader := waitLeader(t, hosts)
	for _, h := range others(hosts, leader) {
		h.stop()
	}
	// The leader does not know yet, so the entry is in its log.
	if _, err := leader.replica.Propose(testContext(t), []byte("change")); !fault.Is(err, fault.CommitUnknown) {
		t.Errorf("proposal: %v, want commit-unknown", err)
	}
	if _, err := leader.replica.ConfirmRead(testContext(t)); !fault.Is(err, fault.NoQuorum) && !fault.Is(err, fault.NotLeader) {
		t.Errorf("read: %v", err)
	}
}

// Guards against a replica that discards its data for a removal that is never committed:
// its seat in the group would stay, with nothing behind it.
func TestARemovalCountsOnceItIsCommitted(t *testing.T) {
	hosts := startGroup(t, 3, nil)
	leader := waitLeader(t, hosts)
	rest := others(hosts, leader)
	for _, h := range rest {
		h.stop()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := leader.replica.Remove(ctx, rest[0].config.ID); !fault.Is(err, fault.CommitUnknown) {
		t.Fatalf("removal without a quorum: %v", err)
	}
	if removed, err := leader.replica.WasRemoved(rest[0].config.ID); removed || err != nil {
		t.Errorf("removed %v, error %v before the removal is committed", removed, err)
	}
}
