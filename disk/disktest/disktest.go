// Package disktest is a disk.FS in memory that forgets what was not synced and
// fails where a test says, for tests of durable state.
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

// ErrCrashed is returned by every operation from a crash until Restart.
var ErrCrashed = errors.New("disktest: crashed")

// FS is a file system in memory. It is not safe for concurrent use.
type FS struct {
	names   map[string]*inode // as programs see them
	durable map[string]*inode // as they would be after a crash
	pending []nameChange      // not durable yet, in order
	random  *rand.Rand

	crashAfter int // operations left until the crash, -1 for none
	crashed    bool
	full       bool
	failSyncs  bool
}

type inode struct {
	data   []byte
	synced []byte
}

// nameChange sets a name, or removes it when node is nil.
type nameChange struct {
	path string
	node *inode
}

// New returns an empty file system; random decides what a crash leaves.
func New(random *rand.Rand) *FS {
	return &FS{names: map[string]*inode{}, durable: map[string]*inode{}, random: random, crashAfter: -1}
}

// CrashAfter makes the operation after the next n ones crash, half done.
func (f *FS) CrashAfter(n int) { f.crashAfter = n }

// SetFull makes writes fail for lack of space after a part, until set to false.
func (f *FS) SetFull(full bool) { f.full = full }

// FailSyncs makes every sync fail, until set to false.
func (f *FS) FailSyncs(fail bool) { f.failSyncs = fail }

// Crashed reports whether the crash point was reached.
func (f *FS) Crashed() bool { return f.crashed }

// Restart loses what was not synced, but for a part that chance wrote out, and
// makes the file system usable again.
func (f *FS) Restart() {
	f.crashed, f.crashAfter = false, -1
	f.full, f.failSyncs = false, false
	for _, change := range f.pending[:f.random.IntN(len(f.pending)+1)] {
		f.apply(f.durable, change)
	}
	f.pending = nil
	f.names = map[string]*inode{}
	for path, node := range f.durable {
		left := f.afterCrash(node)
		kept := &inode{data: left, synced: slices.Clone(left)}
		f.names[path] = kept
		f.durable[path] = kept
	}
}

// sectorBytes is the unit in which a disk writes.
const sectorBytes = 512

// afterCrash returns what may be left of a file: all that was synced, and of
// what was written later a prefix, or all with a sector that was not written.
func (f *FS) afterCrash(node *inode) []byte {
	if len(node.data) < len(node.synced) {
		if f.random.IntN(2) == 0 {
			return slices.Clone(node.data)
		}
		return slices.Clone(node.synced)
	}
	left := slices.Clone(node.data)
	unsynced := len(left) - len(node.synced)
	if unsynced == 0 || f.random.IntN(4) != 0 {
		return left[:len(node.synced)+f.random.IntN(unsynced+1)]
	}
	hole := len(node.synced) + f.random.IntN(unsynced)
	hole = max(hole/sectorBytes*sectorBytes, len(node.synced))
	clear(left[hole:min((hole/sectorBytes+1)*sectorBytes, len(left))])
	return left
}

// Corrupt flips a bit of the file at the offset.
func (f *FS) Corrupt(path string, offset int) {
	node := f.names[path]
	node.data[offset] ^= 1
	node.synced = slices.Clone(node.data)
}

// Size returns the size of a file, 0 when there is none.
func (f *FS) Size(path string) int {
	if f.names[path] == nil {
		return 0
	}
	return len(f.names[path].data)
}

// step counts an operation, and reports the crash.
func (f *FS) step() error {
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

func (f *FS) change(changes ...nameChange) {
	for _, change := range changes {
		f.apply(f.names, change)
		f.pending = append(f.pending, change)
	}
}

// MkdirAll implements disk.FS.
func (f *FS) MkdirAll(string) error { return f.step() }

// List implements disk.FS.
func (f *FS) List(folder string) ([]string, error) {
	if err := f.step(); err != nil {
		return nil, err
	}
	var names []string
	for path := range f.names {
		rest, inside := strings.CutPrefix(path, folder+string(filepath.Separator))
		if !inside {
			continue
		}
		first, _, _ := strings.Cut(rest, string(filepath.Separator))
		names = append(names, first)
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}

// ReadFile implements disk.FS.
func (f *FS) ReadFile(path string) ([]byte, error) {
	if err := f.step(); err != nil {
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
	if err := f.step(); err != nil {
		return nil, err
	}
	if f.full {
		return nil, syscall.ENOSPC
	}
	node := &inode{}
	f.change(nameChange{path, node})
	return &file{fs: f, node: node}, nil
}

// Append implements disk.FS.
func (f *FS) Append(path string) (disk.File, error) {
	if err := f.step(); err != nil {
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
	if err := f.step(); err != nil {
		return err
	}
	f.names[path].data = f.names[path].data[:size]
	return nil
}

// Rename implements disk.FS. Both changes reach the disk together.
func (f *FS) Rename(oldPath, newPath string) error {
	if err := f.step(); err != nil {
		return err
	}
	f.change(nameChange{newPath, f.names[oldPath]}, nameChange{oldPath, nil})
	return nil
}

// Remove implements disk.FS.
func (f *FS) Remove(path string) error {
	if err := f.step(); err != nil {
		return err
	}
	f.change(nameChange{path, nil})
	return nil
}

// SyncDir implements disk.FS.
func (f *FS) SyncDir(folder string) error {
	if err := f.step(); err != nil {
		return err
	}
	if f.failSyncs {
		return syscall.EIO
	}
	rest := f.pending[:0]
	for _, change := range f.pending {
		if filepath.Dir(change.path) == folder {
			f.apply(f.durable, change)
		} else {
			rest = append(rest, change)
		}
	}
	f.pending = rest
	return nil
}

type file struct {
	fs   *FS
	node *inode
}

// Write implements disk.File. A crash or a full disk leaves a part of data.
func (f *file) Write(data []byte) (int, error) {
	if f.fs.crashed {
		return 0, ErrCrashed
	}
	err := f.fs.step()
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
	if err := f.fs.step(); err != nil {
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
