package replica

import (
	"path/filepath"
	"slices"

	"google.golang.org/protobuf/proto"

	"amaranthpaddle/api"
	"amaranthpaddle/disk"
	"amaranthpaddle/fault"
	"amaranthpaddle/raft"
	"amaranthpaddle/snap"
	"amaranthpaddle/wal"
)

const (
	identityFile   = "identity"
	logFolder      = "log"
	snapshotFolder = "snapshots"
)

// storage is the durable state of one replica: identity, log and snapshots in
// one data folder.
type storage struct {
	fs       disk.FS
	folder   string
	identity *api.Identity
	log      *wal.WAL
	snaps    *snap.Store
}

// opened is what a storage held when it was opened.
type opened struct {
	state     raft.State // with the snapshot's data
	BytesRead int64
}

// loadIdentity reads the folder's identity, or gives an empty folder one with a
// new incarnation. Errors: fault.Conflict for another replica's folder.
func loadIdentity(fs disk.FS, folder string, id uint64, incarnation func() uint64) (*api.Identity, error) {
	if err := disk.MakeFolder(fs, folder); err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "create data folder")
	}
	names, err := fs.List(folder)
	if err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "list data folder")
	}
	for _, name := range names {
		if name == identityFile {
			return readIdentity(fs, folder, id)
		}
	}
	for _, name := range names {
		if name == logFolder || name == snapshotFolder {
			return nil, fault.New(fault.DataCorrupt, "the data folder has a log and no identity")
		}
	}
	identity := &api.Identity{Id: id, Incarnation: incarnation()}
	return identity, saveIdentity(fs, folder, identity)
}

// StoredID returns the id of the replica that a data folder belongs to, and
// whether it has entered a group. The id is 0 for an empty folder. Errors:
// fault.DataCorrupt, fault.StorageFailed.
func StoredID(fs disk.FS, folder string) (id uint64, inGroup bool, err error) {
	if err := disk.MakeFolder(fs, folder); err != nil {
		return 0, false, fault.Wrap(fault.StorageFailed, err, "create data folder")
	}
	names, err := fs.List(folder)
	if err != nil {
		return 0, false, fault.Wrap(fault.StorageFailed, err, "list data folder")
	}
	if !slices.Contains(names, identityFile) {
		return 0, false, nil
	}
	identity, err := decodeIdentity(fs, folder)
	return identity.GetId(), identity.GetGroup() != 0, err
}

func readIdentity(fs disk.FS, folder string, id uint64) (*api.Identity, error) {
	identity, err := decodeIdentity(fs, folder)
	if err != nil {
		return nil, err
	}
	if identity.Id != id {
		return nil, fault.Newf(fault.Conflict, "the data folder belongs to replica %d", identity.Id)
	}
	return identity, nil
}

func decodeIdentity(fs disk.FS, folder string) (*api.Identity, error) {
	data, err := fs.ReadFile(filepath.Join(folder, identityFile))
	if err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "read identity")
	}
	identity := &api.Identity{}
	if err := proto.Unmarshal(data, identity); err != nil || identity.Id == 0 || identity.Incarnation == 0 {
		return nil, fault.New(fault.DataCorrupt, "the identity file is damaged")
	}
	return identity, nil
}

func saveIdentity(fs disk.FS, folder string, identity *api.Identity) error {
	data, err := proto.Marshal(identity)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode identity")
	}
	err = disk.WriteFileAtomic(fs, folder, filepath.Join(folder, identityFile), data)
	return fault.Wrap(fault.StorageFailed, err, "write identity")
}

// createStorage makes the log of a folder that enters a group. The identity
// names the group only afterwards, so that a log lost later is noticed.
func createStorage(fs disk.FS, folder string, identity *api.Identity) error {
	log, _, err := wal.Open(wal.Options{
		FS: fs, Folder: filepath.Join(folder, logFolder), ID: identity.Id, Group: identity.Group,
	})
	if err != nil {
		return err
	}
	return fault.Wrap(fault.StorageFailed, log.Close(), "close new log")
}

// openStorage opens log and snapshots of a folder whose group is known. Errors:
// fault.DataCorrupt when a part of them is damaged or missing.
func openStorage(fs disk.FS, folder string, identity *api.Identity) (*storage, *opened, error) {
	s := &storage{fs: fs, folder: folder, identity: identity}
	var err error
	if s.snaps, err = snap.Open(fs, filepath.Join(folder, snapshotFolder)); err != nil {
		return nil, nil, err
	}
	snapshot, snapshotBytes, err := s.snaps.Newest()
	if err != nil {
		return nil, nil, err
	}
	var restored *wal.Restored
	s.log, restored, err = wal.Open(wal.Options{
		FS: fs, Folder: filepath.Join(folder, logFolder), ID: identity.Id, Group: identity.Group,
		MustExist: true,
	})
	if err != nil {
		return nil, nil, err
	}
	if len(restored.Entries) == 0 && restored.LastIndex > snapshot.GetIndex() {
		return nil, nil, fault.Newf(fault.DataCorrupt, "the log ends at %d, the snapshot before it is missing", restored.LastIndex)
	}
	entries, err := s.joinLog(snapshot, restored.Entries)
	if err != nil {
		return nil, nil, err
	}
	return s, &opened{
		state:     raft.State{HardState: restored.HardState, Snapshot: snapshot, Entries: entries},
		BytesRead: restored.BytesRead + snapshotBytes,
	}, nil
}

// joinLog returns the entries that follow the snapshot. A log that does not
// contain the snapshot's last entry ended before it, or was replaced by it.
func (s *storage) joinLog(snapshot *api.Snapshot, entries []*api.LogEntry) ([]*api.LogEntry, error) {
	index := snapshot.GetIndex()
	if len(entries) == 0 {
		return nil, nil
	}
	first := entries[0].Index
	if first > index+1 {
		return nil, fault.Newf(fault.DataCorrupt, "the log starts at %d, the snapshot ends at %d", first, index)
	}
	if first == index+1 {
		return entries, nil
	}
	if position := index - first; position < uint64(len(entries)) && entries[position].Term == snapshot.GetTerm() {
		return entries[position+1:], nil
	}
	return nil, s.log.Reset(index)
}

// save makes a batch durable.
func (s *storage) save(hardState *api.HardState, entries []*api.LogEntry) error {
	return s.log.Save(hardState, entries)
}

// install makes a received snapshot durable in place of the log.
func (s *storage) install(snapshot *api.Snapshot) error {
	if err := s.snaps.Save(snapshot); err != nil {
		return err
	}
	if err := s.log.Reset(snapshot.Index); err != nil {
		return err
	}
	return s.release(snapshot.Index)
}

// release removes what a durable snapshot at index makes unnecessary.
func (s *storage) release(index uint64) error {
	if err := s.log.Rotate(); err != nil {
		return err
	}
	if err := s.log.RemoveThrough(index); err != nil {
		return err
	}
	return s.snaps.RemoveBefore(index)
}

func (s *storage) close() error { return s.log.Close() }

// saveBootstrap makes the first state of a new group durable.
func saveBootstrap(fs disk.FS, folder string, snapshot *api.Snapshot) error {
	store, err := snap.Open(fs, filepath.Join(folder, snapshotFolder))
	if err != nil {
		return err
	}
	return store.Save(snapshot)
}
