package jobnode

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"amaranthpaddle/disk"
	"amaranthpaddle/fault"
	"amaranthpaddle/timing"
)

// Pauses before a failed replica is started again, for example while its disk is full.
const (
	minRestartPause = 200 * time.Millisecond
	maxRestartPause = time.Second
	// healthyAfter is a run time after which the pauses begin again with the shortest.
	healthyAfter = 10 * time.Second
)

// EndedError is the error of a replica that was running and has ended its part in the
// group, unlike the error of one that could not be started.
type EndedError struct{ Cause error }

// Error implements error.
func (e *EndedError) Error() string { return "replica ended: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EndedError) Unwrap() error { return e.Cause }

// Supervise runs replicas one after the other until run returns nil, which means a
// planned stop, or an error from which a replica in this process cannot recover. run
// gets the settings of the next one: whether it is the first start of the system.
//
// After a failure of the storage the next replica starts from the same data folder:
// what it holds is durable, and the rest was not acknowledged. A replica that the
// group has removed, or that it knows with another data folder, joins anew with an
// empty one. Errors: those of run, and fault.StorageFailed.
func Supervise(ctx context.Context, dataDir string, firstStart bool, run func(firstStart bool) error) error {
	if err := finishEmptying(dataDir); err != nil {
		return err
	}
	pauses := timing.NewBackoff(minRestartPause, maxRestartPause)
	for ran := false; ; ran = true {
		started := time.Now()
		err := run(firstStart)
		var ended *EndedError
		running := errors.As(err, &ended)
		switch {
		case running && fault.Is(err, fault.Conflict):
			klog.InfoS("The group does not know this data folder; the replica joins anew with an empty one", "reason", err)
			if err := emptyFolder(dataDir); err != nil {
				return err
			}
			firstStart = false
		case (running || ran) && fault.Is(err, fault.StorageFailed):
		default:
			return err
		}
		if time.Since(started) >= healthyAfter {
			pauses.Reset()
		}
		pause := pauses.Next()
		klog.InfoS("Control replica starts again", "pause_ms", pause.Milliseconds(), "reason", err)
		if !timing.Sleep(ctx, pause) {
			return nil
		}
	}
}

// discardedFile marks a data folder whose content has no use any more.
const discardedFile = "discarded"

// emptyFolder removes what a data folder holds. A part of it would be taken for a
// damaged folder, so a crash meanwhile is followed by finishEmptying.
func emptyFolder(folder string) error {
	if err := markDiscarded(folder); err != nil {
		return err
	}
	return finishEmptying(folder)
}

// markDiscarded makes the next start empty the data folder. Errors: fault.StorageFailed.
func markDiscarded(folder string) error {
	err := disk.WriteFileAtomic(disk.OS{}, folder, filepath.Join(folder, discardedFile), nil)
	return fault.Wrap(fault.StorageFailed, err, "mark data folder as discarded")
}

// finishEmptying empties a folder that is marked as discarded. Errors: fault.StorageFailed.
func finishEmptying(folder string) error {
	entries, err := os.ReadDir(folder)
	marked := slices.ContainsFunc(entries, func(e os.DirEntry) bool { return e.Name() == discardedFile })
	if os.IsNotExist(err) || err == nil && !marked {
		return nil
	}
	if err != nil {
		return fault.Wrap(fault.StorageFailed, err, "list data folder")
	}
	for _, entry := range entries {
		if entry.Name() == discardedFile {
			continue
		}
		if err := os.RemoveAll(filepath.Join(folder, entry.Name())); err != nil {
			return fault.Wrap(fault.StorageFailed, err, "empty data folder")
		}
	}
	// The marker goes last, once the removal of the rest is durable.
	if err := (disk.OS{}).SyncDir(folder); err != nil {
		return fault.Wrap(fault.StorageFailed, err, "sync data folder")
	}
	if err := os.Remove(filepath.Join(folder, discardedFile)); err != nil {
		return fault.Wrap(fault.StorageFailed, err, "remove the mark of a discarded data folder")
	}
	return fault.Wrap(fault.StorageFailed, disk.OS{}.SyncDir(folder), "sync data folder")
}
