// Package disk is the small set of file operations that durable state needs, so
// that tests can inject failures at each of them.
package disk

import (
	"io"
	"os"
	"path/filepath"
)

// FS creates, reads and renames files.
type FS interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(path string) error
	// List returns the names in a folder in lexical order.
	List(path string) ([]string, error)
	// ReadFile returns the content of a file.
	ReadFile(path string) ([]byte, error)
	// Create creates or empties a file for writing.
	Create(path string) (File, error)
	// Append opens a file for writing at its end.
	Append(path string) (File, error)
	// Truncate cuts a file to size bytes. It is durable after a sync of the file.
	Truncate(path string, size int64) error
	// Rename replaces newPath by oldPath. It is durable after SyncDir.
	Rename(oldPath, newPath string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(path string) error
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	// Sync makes what was written durable.
	Sync() error
}

// OS is the file system of the operating system.
type OS struct{}

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// MkdirAll implements FS.
func (OS) MkdirAll(path string) error { return os.MkdirAll(path, folderMode) }

// List implements FS.
func (OS) List(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append implements FS.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Truncate implements FS.
func (OS) Truncate(path string, size int64) error { return os.Truncate(path, size) }

// Rename implements FS.
func (OS) Rename(oldPath, newPath string) error { return os.Rename(oldPath, newPath) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	syncErr := folder.Sync()
	closeErr := folder.Close()
	if syncErr != nil {
		return syncErr
	}
	return closeErr
}

// WriteFileAtomic makes data the durable content of path: the file has the old
// content or the new one after a crash, never a part.
func WriteFileAtomic(fs FS, folder, path string, data []byte) error {
	temporary := path + TemporarySuffix
	file, err := fs.Create(temporary)
	if err != nil {
		return err
	}
	if err := writeAndSync(file, data); err != nil {
		return err
	}
	if err := fs.Rename(temporary, path); err != nil {
		return err
	}
	return fs.SyncDir(folder)
}

// MakeFolder creates a folder whose name survives a crash.
func MakeFolder(fs FS, path string) error {
	if err := fs.MkdirAll(path); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(path))
}

// TemporarySuffix ends the name of a file that is not complete yet.
const TemporarySuffix = ".tmp"

func writeAndSync(file File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		file.Close()
		return err
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
