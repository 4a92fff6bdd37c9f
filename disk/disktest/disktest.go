// Package disktest provides an in-memory disk.FS for tests of durable state. It
// simulates crashes that lose unsynced changes, full disks and failed syncs.
package disktest

import (
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"amaranthpaddle/disk"
)

// ErrCrashed is returned by every operation but File.Close from a crash until Restart.
var ErrCrashed = errors.New("disktest: crashed")

// FS is a file system in memory. It is not safe for concurrent use.
type FS struct {
	names   map[string]*inode // as the running program sees them
	durable map[string]*inode // as they survive a crash
	pending []nameChange      // not yet durable, oldest first
	random  *rand.Rand

	crashAfter int // operations that succeed before the crash; -1 for no crash
	crashed    bool
	full       bool
	failSyncs  bool
}

type inode struct {
	data   []byte
	synced []byte
}

// nameChange makes path refer to node, or removes path when node is nil.
type nameChange struct {
	path string
	node *inode
}

// New returns an empty file system. Restart and partial writes draw from random
// which unsynced changes and how much of a write are kept.
func New(random *rand.Rand) *FS {
	return &FS{names: map[string]*inode{}, durable: map[string]*inode{}, random: random, crashAfter: -1}
}

// CrashAfter lets the next n operations run and makes the one after them crash.
// A write that crashes is partial.
func (f *FS) CrashAfter(n int) { f.crashAfter = n }

// SetFull makes Create fail and writes stop partway, both with ENOSPC, until it is
// set to false or Restart is called.
func (f *FS) SetFull(full bool) { f.full = full }

// FailSyncs makes every Sync and SyncDir fail with EIO, until it is set to false or
// Restart is called.
func (f *FS) FailSyncs(fail bool) { f.failSyncs = fail }

// Crashed reports whether the file system has crashed and was not restarted.
func (f *FS) Crashed() bool { return f.crashed }

// Restart makes the file system usable again after a crash. Unsynced changes are
// lost, except for a random part that reached the disk before the crash.
func (f *FS) Restart() {
	f.crashed, f.crashAfter = false, -1
	f.full, f.failSyncs = false, false
	for _, change := range f.pending[:f.random.IntN(len(f.pending)+1)] {
		f.apply(f.durable, change)
	}
	f.pending = nil
	f.names = map[string]*inode{}
	for path, node := range f.durable {
		content := f.contentAfterCrash(node)
		restored := &inode{data: content, synced: slices.Clone(content)}
		f.names[path] = restored
		f.durable[path] = restored
	}
}

// sectorBytes is the size of a sector, the smallest unit that a disk writes.
const sectorBytes = 512

// contentAfterCrash returns a possible content of a file after a crash: the synced
// content and a prefix of the data written since, or all of that data with one
// sector zeroed because it was not written. For a file that is now shorter than
// its synced content, it returns either of the two.
func (f *FS) contentAfterCrash(node *inode) []byte {
	if len(node.data) < len(node.synced) {
		if f.random.IntN(2) == 0 {
			return slices.Clone(node.data)
		}
		return slices.Clone(node.synced)
	}
	content := slices.Clone(node.data)
	unsynced := len(content) - len(node.synced)
	if unsynced == 0 || f.random.IntN(4) != 0 {
		return content[:len(node.synced)+f.random.IntN(unsynced+1)]
	}
	lostSector := len(node.synced) + f.random.IntN(unsynced)
	lostSector = max(lostSector/sectorBytes*sectorBytes, len(node.synced))
	clear(content[lostSector:min((lostSector/sectorBytes+1)*sectorBytes, len(content))])
	return content
}

// Corrupt flips the lowest bit of the byte at offset and makes the content durable.
func (f *FS) Corrupt(path string, offset int) {
	node := f.names[path]
	node.data[offset] ^= 1
	node.synced = slices.Clone(node.data)
}

// Size returns the size of a file in bytes, or 0 if it does not exist.
func (f *FS) Size(path string) int {
	if f.names[path] == nil {
		return 0
	}
	return len(f.names[path].data)
}

// startOp counts an operation. It returns ErrCrashed when the operation reaches the
// crash point or follows it.
func (f *FS) startOp() error {
	if f.crashed {
		return ErrCrashed
	}
	if f.crashAfter > 0 {
		f.crashAfter--
	} else if f.crashAfter == 0 {
		f.crashed = true
		return ErrCrashed
	}
	return nil
}

func (f *FS) apply(names map[string]*inode, change nameChange) {
	if change.node == nil {
		delete(names, change.path)
		return
	}
	names[change.path] = change.node
}

func (f *FS) changeNames(changes ...nameChange) {
	for _, change := range changes {
		f.apply(f.names, change)
		f.pending = append(f.pending, change)
	}
}

// MkdirAll implements disk.FS.
func (f *FS) MkdirAll(string) error { return f.startOp() }

// List implements disk.FS.
func (f *FS) List(folder string) ([]string, error) {
	if err := f.startOp(); err != nil {
		return nil, err
	}
	var names []string
	for path := range f.names {
		rest, found := strings.CutPrefix(path, folder+string(filepath.Separator))
		if !found {
			continue
		}
		name, _, _ := strings.Cut(rest, string(filepath.Separator))
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}

// ReadFile implements disk.FS.
func (f *FS) ReadFile(path string) ([]byte, error) {
	if err := f.startOp(); err != nil {
		return nil, err
	}
	node := f.names[path]
	if node == nil {
		return nil, errors.Errorf("disktest: no file %s", path)
	}
	return slices.Clone(node.data), nil
}

// Create implements disk.FS.
func (f *FS) Create(path string) (disk.File, error) {
	if err := f.startOp(); err != nil {
		return nil, err
	}
	if f.full {
		return nil, syscall.ENOSPC
	}
	node := &inode{}
	f.changeNames(nameChange{path, node})
	return &file{fs: f, node: node}, nil
}

// Append implements disk.FS.
func (f *FS) Append(path string) (disk.File, error) {
	if err := f.startOp(); err != nil {
		return nil, err
	}
	node := f.names[path]
	if node == nil {
		return nil, errors.Errorf("disktest: no file %s", path)
	}
	return &file{fs: f, node: node}, nil
}

// Truncate implements disk.FS.
func (f *FS) Truncate(path string, size int64) error {
	if err := f.startOp(); err != nil {
		return err
	}
	f.names[path].data = f.names[path].data[:size]
	return nil
}

// Rename implements disk.FS. It changes both names in one operation, so a crash
// point cannot separate them; Restart may keep the new name and the old one.
func (f *FS) Rename(oldPath, newPath string) error {
	if err := f.startOp(); err != nil {
		return err
	}
	f.changeNames(nameChange{newPath, f.names[oldPath]}, nameChange{oldPath, nil})
	return nil
}

// Remove implements disk.FS.
func (f *FS) Remove(path string) error {
	if err := f.startOp(); err != nil {
		return err
	}
	f.changeNames(nameChange{path, nil})
	return nil
}

// SyncDir implements disk.FS.
func (f *FS) SyncDir(folder string) error {
	if err := f.startOp(); err != nil {
		return err
	}
	if f.failSyncs {
		return syscall.EIO
	}
	remaining := f.pending[:0]
	for _, change := range f.pending {
		if filepath.Dir(change.path) == folder {
			f.apply(f.durable, change)
		} else {
			remaining = append(remaining, change)
		}
	}
	f.pending = remaining
	return nil
}

type file struct {
	fs   *FS
	node *inode
}

// Write implements disk.File. When the operation crashes or the disk is full, a
// random prefix of data is written.
func (f *file) Write(data []byte) (int, error) {
	if f.fs.crashed {
		return 0, ErrCrashed
	}
	err := f.fs.startOp()
	if err == nil && f.fs.full {
		err = syscall.ENOSPC
	}
	if err != nil {
		n := f.fs.random.IntN(len(data) + 1)
		f.node.data = append(f.node.data, data[:n]...)
		return n, err
	}
	f.node.data = append(f.node.data, data...)
	return len(data), nil
}

// Sync implements disk.File.
func (f *file) Sync() error {
	if err := f.fs.startOp(); err != nil {
		return err
	}
	if f.fs.failSyncs {
		return syscall.EIO
	}
	f.node.synced = slices.Clone(f.node.data)
	return nil
}

// Close implements disk.File.
func (f *file) Close() error { return nil }
