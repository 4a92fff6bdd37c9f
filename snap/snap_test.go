package snap

import (
	"math/rand/v2"
	"path/filepath"
	"testing"

	"amaranthpaddle/api"
	"amaranthpaddle/disk/disktest"
	"amaranthpaddle/fault"
)

const folder = "data/snapshots"

func snapshot(index uint64) *api.Snapshot {
	return &api.Snapshot{Index: index, Term: 1, Data: []byte("state")}
}

func TestACrashLeavesTheOldOrTheNewSnapshot(t *testing.T) {
	for point := range 20 {
		for seed := range uint64(5) {
			fs := disktest.New(rand.New(rand.NewPCG(seed, 1)))
			saved := uint64(0)
			fs.CrashAfter(point)
			store, err := Open(fs, folder)
			for index := uint64(1); err == nil && index <= 2; index++ {
				if err = store.Save(snapshot(index)); err == nil {
					saved = index
					err = store.RemoveBefore(index)
				}
			}
			fs.Restart()
			if store, err = Open(fs, folder); err != nil {
				t.Fatal(err)
			}
			newest, _, err := store.Newest()
			if err != nil || newest.GetIndex() < saved {
				t.Fatalf("crash at %d, seed %d: newest %d, saved was %d, %v", point, seed, newest.GetIndex(), saved, err)
			}
		}
	}
}

func TestADamagedSnapshotIsRefused(t *testing.T) {
	fs := disktest.New(rand.New(rand.NewPCG(1, 1)))
	store, err := Open(fs, folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Save(snapshot(1)); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, fileName(1))
	for offset := range fs.Size(path) {
		fs.Corrupt(path, offset)
		if _, _, err := store.Newest(); !fault.Is(err, fault.DataCorrupt) {
			t.Fatalf("byte %d damaged: %v", offset, err)
		}
		fs.Corrupt(path, offset)
	}
}
