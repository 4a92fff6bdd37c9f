package blob

import (
	"crypto/sha256"
	"hash"
	"os"
	"runtime"

	"amaranthpaddle/fault"
)

// reserveStep is how many bytes a writer of unknown length reserves at a time.
const reserveStep = 1 << 20

// hashing bounds how many processors hash bodies at a time, so that requests
// without a large body are not held up by them.
var hashing = make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))

func hashLimited(h hash.Hash, p []byte) {
	hashing <- struct{}{}
	defer func() { <-hashing }()
	_, _ = h.Write(p)
}

// Writer takes one body into the store.
type Writer struct {
	store    *Store
	file     *os.File
	hash     hash.Hash
	size     int64
	reserved int64
	limit    int64
}

// Create starts a body of at most limit bytes. Close must be called. Errors:
// fault.StorageFailed.
func (s *Store) Create(limit int64) (*Writer, error) {
	file, err := os.CreateTemp(s.dir, "*"+partSuffix)
	if err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "create body file")
	}
	return &Writer{store: s, file: file, hash: sha256.New(), limit: limit}, nil
}

// Write appends p. Errors: fault.TooLarge past the limit, fault.Overloaded when
// the store is full of bodies in transfer, fault.StorageFailed.
func (w *Writer) Write(p []byte) (int, error) {
	size := w.size + int64(len(p))
	if size > w.limit {
		return 0, fault.Newf(fault.TooLarge, "the body exceeds %d bytes", w.limit)
	}
	for size > w.reserved {
		if err := w.store.reserve(reserveStep); err != nil {
			return 0, err
		}
		w.reserved += reserveStep
	}
	n, err := w.file.Write(p)
	hashLimited(w.hash, p[:n])
	w.size += int64(n)
	return n, fault.Wrap(fault.StorageFailed, err, "write body file")
}

// Size returns the bytes written so far.
func (w *Writer) Size() int64 { return w.size }

// Commit stores the body and returns its digest. A want other than the zero
// Digest must match, or Commit fails with fault.DataCorrupt.
func (w *Writer) Commit(want Digest) (Digest, error) {
	var digest Digest
	w.hash.Sum(digest[:0])
	if want != (Digest{}) && digest != want {
		return digest, fault.New(fault.DataCorrupt, "the body does not match its digest")
	}
	if w.store.Has(digest) {
		return digest, nil
	}
	if err := os.Rename(w.file.Name(), w.store.path(digest)); err != nil {
		return digest, fault.Wrap(fault.StorageFailed, err, "rename body file")
	}
	w.store.unreserve(w.reserved)
	w.reserved = 0
	w.store.insert(digest, w.size, true)
	return digest, nil
}

// Close releases the writer; without Commit the body is dropped.
func (w *Writer) Close() error {
	w.store.unreserve(w.reserved)
	w.reserved = 0
	_ = os.Remove(w.file.Name())
	return w.file.Close()
}
