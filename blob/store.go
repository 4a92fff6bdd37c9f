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

// DefaultMaxBytes is the default limit on the total size of stored bodies, in bytes.
const DefaultMaxBytes = 512 << 20

// partSuffix marks files that are still being written.
const partSuffix = ".part"

// Digest is the SHA-256 digest of a body.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest converts b to a Digest. It fails with fault.InvalidArgument when b
// is not 32 bytes long.
func ParseDigest(b []byte) (Digest, error) {
	var d Digest
	if len(b) != len(d) {
		return d, fault.New(fault.InvalidArgument, "a body digest has 32 bytes")
	}
	copy(d[:], b)
	return d, nil
}

// Store holds bodies up to a total size, and evicts the least recently used ones
// to stay within it. An evicted body stays readable through readers that are open.
type Store struct {
	dir       string
	temporary bool
	maxBytes  int64

	mu      sync.Mutex
	bytes   int64 // stored bytes and bytes reserved by writers
	entries map[Digest]*list.Element
	lru     *list.List // of *entry, most recently used first
}

type entry struct {
	digest   Digest
	size     int64
	verified bool // the digest was checked by this process
}

// Open opens the store in dir, or in a temporary folder when dir is empty.
// The store includes bodies that an earlier process left in dir. Open fails
// with fault.StorageFailed.
func Open(dir string, maxBytes int64) (*Store, error) {
	s := &Store{dir: dir, maxBytes: maxBytes, entries: make(map[Digest]*list.Element), lru: list.New()}
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "paddle-bodies-")
		if err != nil {
			return nil, fault.Wrap(fault.StorageFailed, err, "create folder of bodies")
		}
		s.dir, s.temporary = tempDir, true
		return s, nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "create folder of bodies")
	}
	return s, s.load()
}

// load indexes the bodies in the folder. It deletes incomplete files, and bodies
// in excess of the store's limit.
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

// Has reports whether the body is stored, and marks it as the most recently used.
func (s *Store) Has(digest Digest) bool {
	_, ok := s.touch(digest)
	return ok
}

// touch marks a body as the most recently used. It reports whether the body is
// stored and verified.
func (s *Store) touch(digest Digest) (verified, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	element, ok := s.entries[digest]
	if !ok {
		return false, false
	}
	s.lru.MoveToFront(element)
	return element.Value.(*entry).verified, true
}

// markVerified records that the whole content was read and matches the digest.
func (s *Store) markVerified(digest Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if element, ok := s.entries[digest]; ok {
		element.Value.(*entry).verified = true
	}
}

// Bytes returns the number of bytes stored or reserved by writers.
func (s *Store) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// Get opens a stored body and returns its size. A body that an earlier process
// wrote is verified as it is read: the reader returns fault.DataCorrupt instead
// of io.EOF when the content does not match the digest. Get fails with
// fault.NotFound when the body is not stored or its file cannot be opened, and
// with fault.StorageFailed when the size of the file cannot be read.
func (s *Store) Get(digest Digest) (io.ReadCloser, int64, error) {
	verified, ok := s.touch(digest)
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

// Remove deletes a stored body.
func (s *Store) Remove(digest Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if element, ok := s.entries[digest]; ok {
		s.removeElement(element)
	}
}

// Close deletes the folder if Open created it as a temporary one.
func (s *Store) Close() error {
	if !s.temporary {
		return nil
	}
	return os.RemoveAll(s.dir)
}

func (s *Store) path(digest Digest) string { return filepath.Join(s.dir, digest.String()) }

// reserve reserves size bytes and evicts bodies to make room for them. It fails
// with fault.TooLarge when size exceeds the limit of the store, and with
// fault.Overloaded when reservations leave too little room.
func (s *Store) reserve(size int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if size > s.maxBytes {
		return fault.Newf(fault.TooLarge, "a body of %d bytes exceeds the store's %d", size, s.maxBytes)
	}
	for s.bytes+size > s.maxBytes && s.lru.Len() > 0 {
		s.removeElement(s.lru.Back())
	}
	if s.bytes+size > s.maxBytes {
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
	s.entries[digest] = s.lru.PushFront(&entry{digest: digest, size: size, verified: verified})
	for s.bytes > s.maxBytes && s.lru.Len() > 1 {
		s.removeElement(s.lru.Back())
	}
}

// removeElement deletes an entry and its file. The caller holds mu.
func (s *Store) removeElement(element *list.Element) {
	removed := s.lru.Remove(element).(*entry)
	delete(s.entries, removed.digest)
	s.bytes -= removed.size
	_ = os.Remove(s.path(removed.digest))
}

// verifyingReader checks the digest of the content at the end of the file.
type verifyingReader struct {
	file   *os.File
	store  *Store
	digest Digest
	hash   hash.Hash
}

// Read reads from the file and hashes the bytes read.
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
