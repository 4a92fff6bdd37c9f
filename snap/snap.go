// Package snap stores snapshots of the replicated state in files. A file is
// written atomically: it is either complete and durable or does not exist.
package snap

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/disk"
	"amaranthpaddle/fault"
)

const (
	suffix        = ".snap"
	checksumBytes = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Store stores snapshots in a folder, one file each.
type Store struct {
	fs     disk.FS
	folder string
}

// Open creates the folder if needed and removes temporary files of interrupted
// writes. Errors: fault.StorageFailed.
func Open(fs disk.FS, folder string) (*Store, error) {
	s := &Store{fs: fs, folder: folder}
	if err := disk.MakeFolder(fs, folder); err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "create snapshot folder")
	}
	names, err := fs.List(folder)
	if err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "list snapshot folder")
	}
	for _, name := range names {
		if !strings.HasSuffix(name, disk.TemporarySuffix) {
			continue
		}
		if err := fs.Remove(filepath.Join(folder, name)); err != nil {
			return nil, fault.Wrap(fault.StorageFailed, err, "remove temporary snapshot file")
		}
	}
	return s, nil
}

// Save makes the snapshot durable. Errors: fault.StorageFailed.
func (s *Store) Save(snapshot *api.Snapshot) error {
	data, err := proto.Marshal(snapshot)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode snapshot")
	}
	data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(data, castagnoli))
	path := filepath.Join(s.folder, fileName(snapshot.Index))
	if err := disk.WriteFileAtomic(s.fs, s.folder, path, data); err != nil {
		return fault.Wrap(fault.StorageFailed, err, "write snapshot")
	}
	return nil
}

// Newest returns the newest snapshot and its size on disk in bytes, or nil if
// there is none. Errors: fault.StorageFailed, and fault.DataCorrupt if the file is
// damaged. It does not fall back to an older snapshot, because the log entries
// between the two may have been removed.
func (s *Store) Newest() (*api.Snapshot, int64, error) {
	names, err := s.list()
	if err != nil || len(names) == 0 {
		return nil, 0, err
	}
	data, err := s.fs.ReadFile(filepath.Join(s.folder, names[len(names)-1]))
	if err != nil {
		return nil, 0, fault.Wrap(fault.StorageFailed, err, "read snapshot")
	}
	snapshot, err := decode(data)
	return snapshot, int64(len(data)), err
}

func decode(data []byte) (*api.Snapshot, error) {
	split := len(data) - checksumBytes
	if split < 0 || crc32.Checksum(data[:split], castagnoli) != binary.LittleEndian.Uint32(data[split:]) {
		return nil, fault.New(fault.DataCorrupt, "the newest snapshot fails its checksum")
	}
	snapshot := &api.Snapshot{}
	if err := proto.Unmarshal(data[:split], snapshot); err != nil {
		return nil, fault.Wrap(fault.DataCorrupt, err, "decode snapshot")
	}
	return snapshot, nil
}

// RemoveBefore deletes the snapshots with an index below index. Errors: fault.StorageFailed.
func (s *Store) RemoveBefore(index uint64) error {
	names, err := s.list()
	if err != nil {
		return err
	}
	for _, name := range names {
		if name >= fileName(index) {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.folder, name)); err != nil {
			return fault.Wrap(fault.StorageFailed, err, "remove old snapshot")
		}
	}
	return nil
}

// list returns the names of the snapshot files in order of index.
func (s *Store) list() ([]string, error) {
	names, err := s.fs.List(s.folder)
	if err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "list snapshot folder")
	}
	kept := names[:0]
	for _, name := range names {
		if strings.HasSuffix(name, suffix) {
			kept = append(kept, name)
		}
	}
	return kept, nil
}

func fileName(index uint64) string { return fmt.Sprintf("%016x%s", index, suffix) }
