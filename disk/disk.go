// Package disk defines the file operations that durable state needs as an
// interface, so that tests can inject a failure into each of them.
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
	// List returns the names of the entries of a folder in lexical order.
	List(path string) ([]string, error)
	// ReadFile returns the content of a file.
	ReadFile(path string) ([]byte, error)
	// Create opens a file for writing, creating or truncating it.
	Create(path string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(path string) (File, error)
	// Truncate shortens a file to size bytes. The change is durable after File.Sync.
	Truncate(path string, size int64) error
	// Rename renames oldPath to newPath and replaces an existing file there. The
	// change is durable after SyncDir.
	Rename(oldPath, newPath string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncDir makes the creation, renaming and removal of files in a folder durable.
	SyncDir(path string) error
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	// Sync makes the content of the file durable.
	Sync() error
}

// OS implements FS on the file system of the operating system.
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

// WriteFileAtomic replaces the content of path, a file in folder, with data and
// makes it durable. After a crash the file has either the old or the new content,
// never a part of one.
func WriteFileAtomic(fs FS, folder, path string, data []byte) error {
	temporaryPath := path + TemporarySuffix
	file, err := fs.Create(temporaryPath)
	if err != nil {
		return err
	}
	if err := writeAndSync(file, data); err != nil {
		return err
	}
	if err := fs.Rename(temporaryPath, path); err != nil {
		return err
	}
	return fs.SyncDir(folder)
}

// MakeFolder creates a folder and its parents, and makes the folder's name durable
// in its parent.
func MakeFolder(fs FS, path string) error {
	if err := fs.MkdirAll(path); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(path))
}

// TemporarySuffix is the suffix of the name of an incomplete file.
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
