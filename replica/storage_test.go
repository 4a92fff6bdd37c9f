package replica

import (
	"math/rand/v2"
	"testing"

	"amaranthpaddle/api"
	"amaranthpaddle/disk/disktest"
	"amaranthpaddle/fault"
)

func entriesOf(term, first, last uint64) []*api.LogEntry {
	var entries []*api.LogEntry
	for index := first; index <= last; index++ {
		entries = append(entries, &api.LogEntry{Index: index, Term: term, Data: []byte("data")})
	}
	return entries
}

// TestASnapshotReplacesAConflictingLogAtEveryCrash installs a snapshot over a
// log that conflicts with it, goes on after it, and crashes at each operation.
func TestASnapshotReplacesAConflictingLogAtEveryCrash(t *testing.T) {
	for point := range 40 {
		for seed := range uint64(5) {
			checkInstall(t, point, seed)
		}
	}
}

func checkInstall(t *testing.T, point int, seed uint64) {
	fs := disktest.New(rand.New(rand.NewPCG(seed, 1)))
	identity := &api.Identity{Id: 1, Incarnation: 1, Group: 1}
	if err := createStorage(fs, "data", identity); err != nil {
		t.Fatal(err)
	}
	s, _, err := openStorage(fs, "data", identity)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.save(&api.HardState{Term: 1}, entriesOf(1, 1, 9)); err != nil {
		t.Fatal(err)
	}
	fs.CrashAfter(point)
	installed, later := false, false
	if s.install(&api.Snapshot{Index: 5, Term: 2}) == nil {
		installed = true
		later = s.save(&api.HardState{Term: 2}, entriesOf(2, 6, 7)) == nil
	}
	fs.Restart()
	reopened, opened, err := openStorage(fs, "data", identity)
	if err != nil {
		t.Fatalf("crash at %d, seed %d: %v", point, seed, err)
	}
	state := opened.state
	if state.Snapshot != nil {
		checkGoesOn(t, fs, identity, reopened)
	}
	if installed && state.Snapshot.GetIndex() != 5 {
		t.Fatalf("crash at %d, seed %d: the installed snapshot is lost", point, seed)
	}
	if later && len(state.Entries) != 2 {
		t.Fatalf("crash at %d, seed %d: entries %v after the snapshot, want 6 and 7", point, seed, state.Entries)
	}
	if state.Snapshot == nil {
		return
	}
	for _, entry := range state.Entries {
		if entry.Term != 2 {
			t.Fatalf("crash at %d, seed %d: entry %v of the replaced log", point, seed, entry)
		}
	}
}

// checkGoesOn saves an entry after the snapshot and reads it back.
func checkGoesOn(t *testing.T, fs *disktest.FS, identity *api.Identity, s *storage) {
	t.Helper()
	if err := s.save(nil, entriesOf(3, 6, 6)); err != nil {
		t.Fatal(err)
	}
	_, opened, err := openStorage(fs, "data", identity)
	if err != nil {
		t.Fatal(err)
	}
	if entries := opened.state.Entries; len(entries) != 1 || entries[0].Term != 3 {
		t.Fatalf("entries %v after a restart, want entry 6 of term 3", entries)
	}
}

func TestAFolderWithALogAndNoIdentityIsRefused(t *testing.T) {
	fs := disktest.New(rand.New(rand.NewPCG(1, 1)))
	identity, err := loadIdentity(fs, "data", 1, func() uint64 { return 7 })
	if err != nil {
		t.Fatal(err)
	}
	if err := createStorage(fs, "data", identity); err != nil {
		t.Fatal(err)
	}
	if err := fs.Remove("data/" + identityFile); err != nil {
		t.Fatal(err)
	}
	if _, err := loadIdentity(fs, "data", 1, nil); !fault.Is(err, fault.DataCorrupt) {
		t.Errorf("got %v, want data-corrupt", err)
	}
}

func TestAMissingPartOfAFolderIsRefused(t *testing.T) {
	for _, part := range []string{logFolder, snapshotFolder} {
		fs := disktest.New(rand.New(rand.NewPCG(1, 1)))
		identity := &api.Identity{Id: 1, Incarnation: 1, Group: 1}
		if err := createStorage(fs, "data", identity); err != nil {
			t.Fatal(err)
		}
		s, _, err := openStorage(fs, "data", identity)
		if err != nil {
			t.Fatal(err)
		}
		if err := s.save(&api.HardState{Term: 1}, entriesOf(1, 1, 9)); err != nil {
			t.Fatal(err)
		}
		if err := s.snaps.Save(&api.Snapshot{Index: 9, Term: 1}); err != nil {
			t.Fatal(err)
		}
		if err := s.release(9); err != nil {
			t.Fatal(err)
		}
		names, err := fs.List("data/" + part)
		if err != nil || len(names) == 0 {
			t.Fatalf("%s holds %v, %v", part, names, err)
		}
		for _, name := range names {
			if err := fs.Remove("data/" + part + "/" + name); err != nil {
				t.Fatal(err)
			}
		}
		if _, _, err := openStorage(fs, "data", identity); !fault.Is(err, fault.DataCorrupt) {
			t.Errorf("without %s: %v, want data-corrupt", part, err)
		}
	}
}
