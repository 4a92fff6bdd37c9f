package wal

import (
	"math/rand/v2"
	"testing"

	"amaranthpaddle/api"
	"amaranthpaddle/disk/disktest"
	"amaranthpaddle/fault"
)

const folder = "data/log"

func options(fs *disktest.FS) Options {
	return Options{FS: fs, Folder: folder, ID: 1, Group: 2, SegmentBytes: 400}
}

func newFS(seed uint64) *disktest.FS { return disktest.New(rand.New(rand.NewPCG(seed, 1))) }

func mustOpen(t *testing.T, fs *disktest.FS) (*WAL, *Restored) {
	t.Helper()
	w, restored, err := Open(options(fs))
	if err != nil {
		t.Fatal(err)
	}
	return w, restored
}

func entry(index, term uint64) *api.LogEntry {
	return &api.LogEntry{Index: index, Term: term, Data: []byte("some data of an entry")}
}

func mustSave(t *testing.T, w *WAL, hardState *api.HardState, entries ...*api.LogEntry) {
	t.Helper()
	if err := w.Save(hardState, entries); err != nil {
		t.Fatal(err)
	}
}

// lastOf returns the index and term of the last entry, or zeros without entries.
func lastOf(restored *Restored) (index, term uint64) {
	if n := len(restored.Entries); n > 0 {
		return restored.Entries[n-1].Index, restored.Entries[n-1].Term
	}
	return 0, 0
}

func TestASavedBatchSurvivesACrashAtEveryOperation(t *testing.T) {
	for point := range 120 {
		for seed := range uint64(5) {
			checkCrashAt(t, point, seed)
		}
	}
}

func checkCrashAt(t *testing.T, point int, seed uint64) {
	fs := newFS(seed)
	fs.CrashAfter(point)
	saved, term := uint64(0), uint64(0)
	w, _, err := Open(options(fs))
	for index := uint64(1); err == nil && index <= 20; index++ {
		if err = w.Save(&api.HardState{Term: index}, []*api.LogEntry{entry(index, index)}); err == nil {
			saved, term = index, index
		}
		if err == nil && index%8 == 0 {
			if err = w.Rotate(); err == nil {
				err = w.RemoveThrough(index - 4)
			}
		}
	}
	if err != nil && !fs.Crashed() {
		t.Fatal(err)
	}
	fs.Restart()
	_, restored := mustOpen(t, fs)
	if last, _ := lastOf(restored); last < saved || last > saved+1 {
		t.Fatalf("crash at %d, seed %d: last entry %d, saved was %d", point, seed, last, saved)
	}
	if restored.HardState.Term < term {
		t.Fatalf("crash at %d, seed %d: term %d, saved was %d", point, seed, restored.HardState.Term, term)
	}
}

func TestLaterEntriesReplaceStoredOnes(t *testing.T) {
	fs := newFS(1)
	w, _ := mustOpen(t, fs)
	mustSave(t, w, nil, entry(1, 1), entry(2, 1), entry(3, 1))
	mustSave(t, w, nil, entry(2, 2))
	_, restored := mustOpen(t, fs)
	if index, term := lastOf(restored); index != 2 || term != 2 || len(restored.Entries) != 2 {
		t.Errorf("restored %v", restored.Entries)
	}
}

func TestDamagedSegmentIsRefused(t *testing.T) {
	fs := newFS(1)
	w, _ := mustOpen(t, fs)
	for index := uint64(1); index <= 12; index++ {
		mustSave(t, w, &api.HardState{Term: 1}, entry(index, 1))
	}
	for _, segment := range w.segments {
		path := w.path(segment.number)
		for offset := range fs.Size(path) {
			fs.Corrupt(path, offset)
			if _, _, err := Open(options(fs)); !fault.Is(err, fault.DataCorrupt) {
				t.Fatalf("%s with byte %d damaged: %v", path, offset, err)
			}
			fs.Corrupt(path, offset)
		}
	}
}

func TestTornTailIsTruncated(t *testing.T) {
	fs := newFS(1)
	w, _ := mustOpen(t, fs)
	mustSave(t, w, nil, entry(1, 1))
	path := w.path(w.segments[0].number)
	whole := fs.Size(path)
	mustSave(t, w, nil, entry(2, 1))
	end := fs.Size(path)
	for size := whole + 1; size < end; size++ {
		copied := newFS(1)
		data, err := fs.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		file, err := copied.Create(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := file.Write(data[:size]); err != nil {
			t.Fatal(err)
		}
		reopened, restored := mustOpen(t, copied)
		if last, _ := lastOf(restored); last != 1 || restored.TruncatedBytes != int64(size-whole) {
			t.Fatalf("tail of %d bytes: last entry %d, truncated %d", size-whole, last, restored.TruncatedBytes)
		}
		mustSave(t, reopened, nil, entry(2, 5))
		if _, restored = mustOpen(t, copied); len(restored.Entries) != 2 {
			t.Fatalf("after the truncation: %v", restored.Entries)
		}
	}
}

func TestFailedWriteOrSyncFailsLaterCalls(t *testing.T) {
	for name, breakDisk := range map[string]func(*disktest.FS, bool){
		"full disk":   (*disktest.FS).SetFull,
		"failed sync": (*disktest.FS).FailSyncs,
	} {
		fs := newFS(1)
		w, _ := mustOpen(t, fs)
		mustSave(t, w, nil, entry(1, 1))
		breakDisk(fs, true)
		if err := w.Save(nil, []*api.LogEntry{entry(2, 1)}); !fault.Is(err, fault.StorageFailed) {
			t.Errorf("%s: %v", name, err)
		}
		breakDisk(fs, false)
		if err := w.Save(nil, []*api.LogEntry{entry(2, 1)}); !fault.Is(err, fault.StorageFailed) {
			t.Errorf("%s, after the disk recovered: %v", name, err)
		}
		// What was not synced must not be read from the page cache and count as durable.
		if _, restored := mustOpen(t, fs); len(restored.Entries) != 1 {
			t.Errorf("%s: opened again with %d entries, want the synced one", name, len(restored.Entries))
		}
	}
}

func TestAnotherReplicasLogIsRefused(t *testing.T) {
	fs := newFS(1)
	mustOpen(t, fs)
	for _, other := range []Options{{ID: 9, Group: 2}, {ID: 1, Group: 9}} {
		other.FS, other.Folder = fs, folder
		if _, _, err := Open(other); !fault.Is(err, fault.Conflict) {
			t.Errorf("replica %d of group %d: %v", other.ID, other.Group, err)
		}
	}
}

func TestAMissingSegmentIsRefused(t *testing.T) {
	fs := newFS(1)
	w, _ := mustOpen(t, fs)
	for index := uint64(1); index <= 30; index++ {
		mustSave(t, w, nil, entry(index, 1))
	}
	if err := fs.Remove(w.path(w.segments[1].number)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(options(fs)); !fault.Is(err, fault.DataCorrupt) {
		t.Errorf("got %v, want data-corrupt", err)
	}
}
