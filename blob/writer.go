package blob

import (
	"crypto/sha256"
	"hash"
	"os"
	"runtime"

	"amaranthpaddle/fault"
)

// reserveStep is the number of bytes that a writer reserves at a time, as it
// does not know the length of the body.
const reserveStep = 1 << 20

// hashSlots limits concurrent hashing to half of the processors, at least one,
// so that large bodies do not delay requests without one.
var hashSlots = make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))

func hashLimited(h hash.Hash, p []byte) {
	hashSlots <- struct{}{}
	defer func() { <-hashSlots }()
	_, _ = h.Write(p)
}

// Writer writes one body to the store.
type Writer struct {
	store    *Store
	file     *os.File
	hash     hash.Hash
	size     int64
	reserved int64
	limit    int64
}

// Create returns a writer for a body of at most limit bytes. The caller must
// close it. Create fails with fault.StorageFailed.
func (s *Store) Create(limit int64) (*Writer, error) {
	file, err := os.CreateTemp(s.dir, "*"+partSuffix)
	if err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "create body file")
	}
	return &Writer{store: s, file: file, hash: sha256.New(), limit: limit}, nil
}

// Write appends p to the body. It fails with fault.TooLarge when the body exceeds
// the writer's limit or reserveStep exceeds the store's, with fault.Overloaded when
// bodies in transfer fill the store, and with fault.StorageFailed.
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

// Size returns the number of bytes written so far.
func (w *Writer) Size() int64 { return w.size }

// Commit adds the body to the store and returns its digest. It fails with
// fault.DataCorrupt when want is not the zero Digest and differs from the digest
// of the body, and with fault.StorageFailed.
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

// Close releases the writer and discards a body that was not committed.
func (w *Writer) Close() error {
	w.store.unreserve(w.reserved)
	w.reserved = 0
	_ = os.Remove(w.file.Name())
	return w.file.Close()
}
