// Package wal is a write-ahead log of the consensus protocol's hard state and
// entries: checksummed frames in segment files. A torn last frame is truncated;
// any other corruption is reported as fault.DataCorrupt.
package wal

import (
	"fmt"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"amaranthpaddle/api"
	"amaranthpaddle/disk"
	"amaranthpaddle/fault"
)

// DefaultSegmentBytes is the size at which a new segment is started.
const DefaultSegmentBytes = 4 << 20

const segmentSuffix = ".wal"

// Options holds the location of the log and the replica that it belongs to.
type Options struct {
	FS           disk.FS
	Folder       string
	ID           uint64 // of the replica
	Group        uint64
	SegmentBytes int  // 0 means DefaultSegmentBytes
	MustExist    bool // refuse a folder without a log: the replica's votes would be lost
}

// Restored is the content of a log when it was opened.
type Restored struct {
	HardState      *api.HardState
	Entries        []*api.LogEntry
	LastIndex      uint64 // of the last entry, or from a segment header; 0 after a reset
	BytesRead      int64
	TruncatedBytes int64 // size of a torn last frame
}

// WAL is an open log. After the first failed write or sync every call fails,
// because the content of the disk is unknown. It is not safe for concurrent use.
type WAL struct {
	options   Options
	file      disk.File
	size      int
	segments  []segment // in order; the last one is open
	buffer    []byte
	hardState *api.HardState
	lastIndex uint64
	failed    error
}

type segment struct {
	number    uint64
	lastIndex uint64 // index of the last entry before this segment
}

// Open reads the log in the folder, or creates one. Errors: fault.DataCorrupt for
// a corrupt or missing log, fault.Conflict for another replica's log,
// fault.StorageFailed.
func Open(options Options) (*WAL, *Restored, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	w := &WAL{options: options, hardState: &api.HardState{}}
	if err := disk.MakeFolder(options.FS, options.Folder); err != nil {
		return nil, nil, fault.Wrap(fault.StorageFailed, err, "create log folder")
	}
	restored := &Restored{}
	if err := w.replay(restored); err != nil {
		return nil, nil, err
	}
	if options.MustExist && len(w.segments) == 0 {
		return nil, nil, fault.New(fault.DataCorrupt, "the log is missing")
	}
	restored.LastIndex = w.lastIndex
	restored.HardState = proto.Clone(w.hardState).(*api.HardState)
	if err := w.openLastSegment(); err != nil {
		return nil, nil, fault.Wrap(fault.StorageFailed, err, "open log segment")
	}
	return w, restored, nil
}

func (w *WAL) openLastSegment() error {
	if len(w.segments) == 0 {
		return w.startSegment(1)
	}
	last := w.segments[len(w.segments)-1]
	file, err := w.options.FS.Append(w.path(last.number))
	if err != nil {
		return err
	}
	w.file = file
	return w.file.Sync()
}

func (w *WAL) path(number uint64) string {
	return filepath.Join(w.options.Folder, fmt.Sprintf("%016x%s", number, segmentSuffix))
}

// Save makes a batch durable: the hard state if it is not nil, and entries, which
// replace the stored entries at the first entry's index and above.
func (w *WAL) Save(hardState *api.HardState, entries []*api.LogEntry) error {
	if hardState == nil && len(entries) == 0 {
		return w.failed
	}
	if hardState != nil {
		w.hardState = hardState
	}
	if n := len(entries); n > 0 {
		w.lastIndex = entries[n-1].Index
	}
	if err := w.write(&api.WALRecord{HardState: hardState, Entries: entries}); err != nil {
		return err
	}
	if w.size >= w.options.SegmentBytes {
		return w.Rotate()
	}
	return nil
}

// Reset durably removes every entry; the log continues after a snapshot at index.
func (w *WAL) Reset(index uint64) error {
	w.lastIndex = index
	return w.write(&api.WALRecord{Reset_: true, HardState: w.hardState})
}

// write appends one frame and syncs it.
func (w *WAL) write(record *api.WALRecord) error {
	if w.failed != nil {
		return w.failed
	}
	frame, err := appendFrame(w.buffer[:0], record)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode log record")
	}
	w.keepBuffer(frame)
	if _, err := w.file.Write(frame); err != nil {
		return w.discardUnsynced(err, "write log")
	}
	if err := w.file.Sync(); err != nil {
		return w.discardUnsynced(err, "sync log")
	}
	w.size += len(frame)
	return nil
}

// maxReusedBuffer is the largest encoding buffer kept between writes, in bytes.
const maxReusedBuffer = 1 << 20

func (w *WAL) keepBuffer(buffer []byte) {
	if cap(buffer) <= maxReusedBuffer {
		w.buffer = buffer
	} else {
		w.buffer = nil
	}
}

// fail makes all later calls fail. A failed sync is never retried: the kernel may
// have dropped the dirty pages, and a second sync would then report success.
func (w *WAL) fail(err error, message string) error {
	w.failed = fault.Wrap(fault.StorageFailed, err, message)
	return w.failed
}

// discardUnsynced fails the log and removes the frame whose write or sync failed.
// Opening the log again would read it from the page cache and take it for durable.
func (w *WAL) discardUnsynced(err error, message string) error {
	path := w.path(w.segments[len(w.segments)-1].number)
	if truncateErr := w.options.FS.Truncate(path, int64(w.size)); truncateErr != nil {
		klog.ErrorS(truncateErr, "Unsynced end of the log not removed", "segment", path)
	}
	return w.fail(err, message)
}

// Rotate closes the open segment and starts a new one.
func (w *WAL) Rotate() error {
	if w.failed != nil {
		return w.failed
	}
	number := w.segments[len(w.segments)-1].number + 1
	if err := w.file.Close(); err != nil {
		return w.fail(err, "close log segment")
	}
	if err := w.startSegment(number); err != nil {
		return w.fail(err, "start log segment")
	}
	return nil
}

// startSegment creates a segment. Its header repeats the last index and the hard
// state, because earlier segments may be removed.
func (w *WAL) startSegment(number uint64) error {
	header := &api.SegmentHeader{
		Id: w.options.ID, Group: w.options.Group,
		LastIndex: w.lastIndex, HardState: w.hardState,
	}
	frame, err := appendFrame(nil, &api.WALRecord{Header: header})
	if err != nil {
		return err
	}
	path := w.path(number)
	if err := disk.WriteFileAtomic(w.options.FS, w.options.Folder, path, frame); err != nil {
		return err
	}
	if w.file, err = w.options.FS.Append(path); err != nil {
		return err
	}
	w.size = len(frame)
	w.segments = append(w.segments, segment{number: number, lastIndex: w.lastIndex})
	return nil
}

// RemoveThrough removes the segments whose entries are all at or below index. The
// caller must have a durable snapshot that covers them.
func (w *WAL) RemoveThrough(index uint64) error {
	if w.failed != nil {
		return w.failed
	}
	for len(w.segments) > 1 && w.segments[1].lastIndex <= index {
		if err := w.options.FS.Remove(w.path(w.segments[0].number)); err != nil {
			return w.fail(err, "remove log segment")
		}
		// Syncing after each removal keeps the order, so that a crash leaves no gap.
		if err := w.options.FS.SyncDir(w.options.Folder); err != nil {
			return w.fail(err, "sync log folder")
		}
		w.segments = w.segments[1:]
	}
	return nil
}

// Close closes the log; it does not sync.
func (w *WAL) Close() error {
	if w.file == nil {
		return nil
	}
	return w.file.Close()
}

// segmentNumbers returns the numbers of the segment files in order, and removes
// temporary files left by an interrupted creation of a segment.
func (w *WAL) segmentNumbers() ([]uint64, error) {
	names, err := w.options.FS.List(w.options.Folder)
	if err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "list log folder")
	}
	var numbers []uint64
	for _, name := range names {
		if strings.HasSuffix(name, disk.TemporarySuffix) {
			if err := w.options.FS.Remove(filepath.Join(w.options.Folder, name)); err != nil {
				return nil, fault.Wrap(fault.StorageFailed, err, "remove temporary file")
			}
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(name, "%016x"+segmentSuffix, &number); err == nil {
			numbers = append(numbers, number)
		}
	}
	return numbers, nil
}
