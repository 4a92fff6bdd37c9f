package blob

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"amaranthpaddle/fault"
)

// DefaultBytes is the default bound on stored bodies, bytes.
const DefaultBytes = 512 << 20

// partSuffix marks files that are still being written.
const partSuffix = ".part"

// Digest is the SHA-256 digest of a body.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest returns the digest in b, or fault.InvalidArgument for a wrong length.
func ParseDigest(b []byte) (Digest, error) {
	var d Digest
	if len(b) != len(d) {
		return d, fault.New(fault.InvalidArgument, "a body digest has 32 bytes")
	}
	copy(d[:], b)
	return d, nil
}

// Store keeps bodies. The least recently used are removed first when the bound is reached;
// a file that is being read stays readable until it is closed.
type Store struct {
	dir       string
	temporary bool
	max       int64

	mu      sync.Mutex
	bytes   int64 // stored, and reserved by writers
	entries map[Digest]*list.Element
	order   *list.List // of *entry, most recently used first
}

type entry struct {
	digest   Digest
	size     int64
	verified bool // by this process
}

// Open opens the store in dir, or in a temporary folder when dir is empty.
// Bodies of an earlier process are found again. It fails with fault.StorageFailed.
func Open(dir string, max int64) (*Store, error) {
	s := &Store{dir: dir, max: max, entries: make(map[Digest]*list.Element), order: list.New()}
	if dir == "" {
		made, err := os.MkdirTemp("", "paddle-bodies-")
		if err != nil {
			return nil, fault.Wrap(fault.StorageFailed, err, "create folder of bodies")
		}
		s.dir, s.temporary = made, true
		return s, nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "create folder of bodies")
	}
	return s, s.load()
}

// load indexes the folder and removes unfinished and surplus files.
func (s *Store) load() error {
	files, err := os.ReadDir(s.dir)
	if err != nil {
		return fault.Wrap(fault.StorageFailed, err, "read folder of bodies")
	}
	for _, file := range files {
		info, err := file.Info()
		if err != nil || !info.Mode().IsRegular() {
			continue
		}
		raw, err := hex.DecodeString(file.Name())
		digest, digestErr := ParseDigest(raw)
		if err != nil || digestErr != nil {
			if strings.HasSuffix(file.Name(), partSuffix) {
				_ = os.Remove(filepath.Join(s.dir, file.Name()))
			}
			continue
		}
		s.insert(digest, info.Size(), false)
	}
	return nil
}

// Has reports whether the body is stored, and counts as a use of it.
func (s *Store) Has(digest Digest) bool {
	_, ok := s.use(digest)
	return ok
}

// use moves a body to the front of the order of use.
func (s *Store) use(digest Digest) (verified, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	element, ok := s.entries[digest]
	if !ok {
		return false, false
	}
	s.order.MoveToFront(element)
	return element.Value.(*entry).verified, true
}

// markVerified notes that the whole content was read and matched.
func (s *Store) markVerified(digest Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if element, ok := s.entries[digest]; ok {
		element.Value.(*entry).verified = true
	}
}

// Bytes returns the stored and reserved bytes.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Get opens a stored body. A body that an earlier process wrote is checked as
// it is read: the reader returns fault.DataCorrupt in place of io.EOF when the
// content does not match the digest. It fails with fault.NotFound.
func (s *Store) Get(digest Digest) (io.ReadCloser, int64, error) {
	verified, ok := s.use(digest)
	if !ok {
		return nil, 0, fault.New(fault.NotFound, "the body is not stored")
	}
	file, err := os.Open(s.path(digest))
	if err != nil {
		s.Remove(digest)
		return nil, 0, fault.Wrap(fault.NotFound, err, "open stored body")
	}
	info, err := file.Stat()
	if err != nil {
		_ = file.Close()
		return nil, 0, fault.Wrap(fault.StorageFailed, err, "stat stored body")
	}
	if verified {
		return file, info.Size(), nil
	}
	return &verifyingReader{file: file, store: s, digest: digest, hash: sha256.New()}, info.Size(), nil
}

// Remove forgets a stored body.
func (s *Store) Remove(digest Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if element, ok := s.entries[digest]; ok {
		s.removeElement(element)
	}
}

// Close removes the folder when it is a temporary one.
func (s *Store) Close() error {
	if !s.temporary {
		return nil
	}
	return os.RemoveAll(s.dir)
}

func (s *Store) path(digest Digest) string { return filepath.Join(s.dir, digest.String()) }

// reserve makes room for size bytes, or fails with fault.TooLarge or fault.Overloaded.
func (s *Store) reserve(size int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if size > s.max {
		return fault.Newf(fault.TooLarge, "a body of %d bytes exceeds the store's %d", size, s.max)
	}
	for s.bytes+size > s.max && s.order.Len() > 0 {
		s.removeElement(s.order.Back())
	}
	if s.bytes+size > s.max {
		return fault.New(fault.Overloaded, "bodies in transfer fill the store")
	}
	s.bytes += size
	return nil
}

func (s *Store) unreserve(size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes -= size
}

func (s *Store) insert(digest Digest, size int64, verified bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.entries[digest]; ok {
		return
	}
	s.bytes += size
	s.entries[digest] = s.order.PushFront(&entry{digest: digest, size: size, verified: verified})
	for s.bytes > s.max && s.order.Len() > 1 {
		s.removeElement(s.order.Back())
	}
}

// removeElement removes an entry and its file. The caller holds mu.
func (s *Store) removeElement(element *list.Element) {
	removed := s.order.Remove(element).(*entry)
	delete(s.entries, removed.digest)
	s.bytes -= removed.size
	_ = os.Remove(s.path(removed.digest))
}

// verifyingReader checks the digest when the end is reached.
type verifyingReader struct {
	file   *os.File
	store  *Store
	digest Digest
	hash   hash.Hash
}

// Read reads from the file and hashes what it read.
func (r *verifyingReader) Read(p []byte) (int, error) {
	n, err := r.file.Read(p)
	hashLimited(r.hash, p[:n])
	if err != io.EOF {
		return n, err
	}
	if string(r.hash.Sum(nil)) != string(r.digest[:]) {
		r.store.Remove(r.digest)
		return n, fault.New(fault.DataCorrupt, "a stored body does not match its digest")
	}
	r.store.markVerified(r.digest)
	return n, io.EOF
}

// Close closes the file.
func (r *verifyingReader) Close() error { return r.file.Close() }
